package core

import (
	"errors"
	"sync/atomic"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/limits"
)

// Events that frontends, upstreams, discovery and the admin API post to the core. Times are in ms, of the monotonic clock
// unless a comment says otherwise.

// ErrUnknownEndpoint is the reply to an Exclude of an endpoint that has never been in an endpoint list.
var ErrUnknownEndpoint = errors.New("core: endpoint was never in an endpoint list")

// Event is an input of the core. The types in this file implement it.
type Event interface{ event() }

// Request is a request that a frontend has received completely.
type Request struct {
	Frontend              Frontend
	RequestTag            uint64 // chosen by the frontend, unique among its open requests
	Txn                   string // the request's ID, which is also sent to endpoints (X-Txn)
	Class                 string
	ObjectName            string // of the object, as sent by the client
	Object                uint64
	Part                  uint32
	Group                 uint16 // the object's group, for purges
	SizeKB                float64
	ReceivedAt, Remaining float64 // when it was received, and the time from then until the client's deadline
	Retry                 bool    // the client marked the request as a retry
	ClientETag            string  // of the client's copy
	IdempotencyKey        string  // the client's key
	Body                  []byte
	AuthorizedUntil       float64 // clock time from which no attempt is sent; 0: no limit

	// Canceled is set by the frontend as soon as the client disconnects, before it posts the CancelRequest: in whatever
	// state the request is, it is not forwarded any more. The core sets it with the final answer. Nil: the core allocates it.
	Canceled *atomic.Bool

	// ReportAfterCancel has the core answer the frontend even after the client has disconnected, because the frontend
	// keeps account of the requests that may have run.
	ReportAfterCancel bool
}

// CancelRequest reports that a request's client has disconnected.
type CancelRequest struct {
	Frontend   Frontend
	RequestTag uint64
}

// AttemptResult reports how an attempt ended.
type AttemptResult struct {
	AttemptKey
	Outcome control.Outcome

	// Unconfirmed is set if the endpoint may not have processed the end of the attempt yet. No further attempt of the
	// request is sent until CancelConfirmed is received or the grace period ends.
	Unconfirmed bool

	Note        control.Note
	QueueDelay  float64 // ms for which the endpoint waited for the source
	Load        *control.LoadReport
	Body        []byte
	ETag        string
	CreatedAt   float64 // Unix time in ms at which the origin sent the copy; 0: unknown
	NotModified bool    // the client's copy is current

	// BodyReservation holds the bytes of Body in a budget of the upstream. The core releases it once the frontend has the
	// answer. Nil: the upstream has no budget.
	BodyReservation *limits.Reservation
}

// CancelConfirmed reports that the endpoint has acknowledged the end of an attempt that ended Unconfirmed.
type CancelConfirmed struct{ AttemptKey }

// BarrierResult reports that an endpoint has answered a barrier ping, which was written after the cancellations of these
// attempts but on another connection, or with NoResponse that no answer is expected any more.
type BarrierResult struct {
	Keys       []AttemptKey
	NoResponse bool
}

// HealthCheckResult reports how a health check ended.
type HealthCheckResult struct {
	Endpoint uint32
	Outcome  control.Outcome
	Load     *control.LoadReport
}

// EndpointList is an update of the endpoint list: the complete list if Snapshot, else the entries that changed.
type EndpointList struct {
	Snapshot  bool
	Endpoints []Endpoint
}

// Purge reports that an object, or if Object is 0 every object of a group, was purged.
type Purge struct {
	Object uint64
	Group  uint16
	At     float64 // Unix time in ms
}

// CopyAgeLimited reports that Options.MaxCopyAge now returns a limit, which also applies to attempts that have not been sent
// yet.
type CopyAgeLimited struct{}

// Exclude is an operator's command to take an endpoint out of service, or with Excluded false to return it to service.
type Exclude struct {
	Endpoint        uint32
	Excluded        bool
	SkipListedCheck bool         // skip the check that the endpoint has been in an endpoint list
	Reply           chan<- error // buffered; receives nil once the command is in effect, or ErrUnknownEndpoint; nil: no reply
}

// ProcessCount reports the current number of processes of this gateway.
type ProcessCount struct{ Processes int }

// Abort ends every open request at once with a final answer, and has all later ones rejected: the process is shutting
// down.
type Abort struct{}

// WhenIdle has Done closed once every open request has its final answer.
type WhenIdle struct{ Done chan<- struct{} }

// GetStats requests the counters. Reply must be buffered.
type GetStats struct{ Reply chan<- Stats }

func (Request) event()           {}
func (CancelRequest) event()     {}
func (AttemptResult) event()     {}
func (CancelConfirmed) event()   {}
func (BarrierResult) event()     {}
func (HealthCheckResult) event() {}
func (EndpointList) event()      {}
func (Purge) event()             {}
func (CopyAgeLimited) event()    {}
func (Exclude) event()           {}
func (ProcessCount) event()      {}
func (Abort) event()             {}
func (WhenIdle) event()          {}
func (GetStats) event()          {}
