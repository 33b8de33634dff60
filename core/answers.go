package core

import "turnfork.dev/turnfork/control"

// Answers: the final answers that frontends receive, and the names of verdicts and reasons in the log.

// Frontend posts requests and receives their answers.
type Frontend interface {
	// Answer delivers the final answer to the request that was posted with a tag. It is called exactly once for each
	// Request, except for one that the frontend canceled with CancelRequest and without ReportAfterCancel: then it is not
	// called any more once the core has handled the cancellation. It must not block.
	Answer(tag uint64, a Answer)
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota // with the body
	NotModified                // the client's copy is current
	Rejected                   // not served, and a retry is harmless
	Failed                     // not served, and a retry may not be harmless
)

// Reason is why a request was not served.
type Reason uint8

// The reasons.
const (
	NoReason              Reason = iota // it was served
	Shed                                // the controller rejected or failed it before its deadline
	DeadlineExceeded                    // the client's deadline passed
	UnknownClass                        // there is no class of that name
	Overloaded                          // too many requests are open
	DuplicateID                         // a request of the same ID is open
	AuthorizationExpired                // its authorization expired before it was forwarded
	MissingIdempotencyKey               // its class is idempotent by key, and it has no key
	UpstreamFailed                      // its last attempt failed
	ClientGone                          // its client disconnected
	ShuttingDown                        // the process is shutting down
)

// Answer is a request's final answer.
type Answer struct {
	Verdict    Verdict
	Reason     Reason
	Body       []byte
	ETag       string       // of the copy served
	Note       control.Note // where the endpoint got the copy from, e.g. its cache
	CreatedAt  float64      // Unix time in ms at which the origin sent this copy; 0: unknown
	RetryAfter float64      // ms that the client should wait before a retry; 0: not specified
	MayHaveRun bool         // the request was forwarded and may have run
}

var (
	verdictNames = [...]string{
		Served:      "served",
		NotModified: "not_modified",
		Rejected:    "rejected",
		Failed:      "failed",
	}
	reasonNames = [...]string{
		NoReason:              "",
		Shed:                  "shed",
		DeadlineExceeded:      "deadline_exceeded",
		UnknownClass:          "unknown_class",
		Overloaded:            "overloaded",
		DuplicateID:           "duplicate_id",
		AuthorizationExpired:  "authorization_expired",
		MissingIdempotencyKey: "missing_idempotency_key",
		UpstreamFailed:        "upstream_failed",
		ClientGone:            "client_gone",
		ShuttingDown:          "shutting_down",
	}
)

// String returns the verdict's name in the log.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown_verdict"
}

// String returns the reason's name in the log, or "" for NoReason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown_reason"
}
