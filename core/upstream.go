package core

import (
	"sync/atomic"

	"turnfork.dev/turnfork/control"
)

// The interface to upstreams, which carry out attempts and health checks and post an AttemptResult or HealthCheckResult
// for each. Implementations: upstream/resp, upstream/httpstore, upstream/mux.

// Upstream carries out attempts and health checks. Its methods are called by the goroutine that owns the core; they must not
// block, and must not post events from that goroutine before they return.
type Upstream interface {
	// Send starts an attempt. Exactly one AttemptResult follows.
	Send(a AttemptRequest)
	// Cancel cancels an attempt. Its AttemptResult follows only after the DROP command has been written to the endpoint or
	// the connection has been closed. Such a result is Unconfirmed, because the endpoint may read this later than data
	// written to another connection. The parameter as is the outcome to report.
	Cancel(k AttemptKey, as control.Outcome)
	// CancelUnsent ends an attempt that is not sent yet, with the outcome NotSent. It has no effect on one that may have been sent.
	CancelUnsent(k AttemptKey)
	// LimitCopyAge has an unsent attempt accept no copy older than maxAge ms, because its object was purged or the age of
	// copies was limited since the attempt was started.
	LimitCopyAge(k AttemptKey, maxAge float64)
	// ConfirmCancel has an endpoint, at which an attempt ended Unconfirmed, confirm that it has read everything written to
	// it before. A CancelConfirmed or a BarrierResult follows. It returns false if the upstream cannot ask the endpoint.
	ConfirmCancel(k AttemptKey, endpoint uint32) bool
	// CheckHealth requests an endpoint's load report. Exactly one HealthCheckResult follows.
	CheckHealth(endpoint uint32)
	// UpdateEndpoints applies an update of the endpoint list. Unsent attempts to an endpoint that no longer accepts new
	// requests are not sent.
	UpdateEndpoints(s EndpointList)
	// Exclude with on true stops new attempts to an endpoint and its use as a source of fills; with on false it allows both
	// again.
	Exclude(endpoint uint32, on bool)
}

// AttemptKey identifies an attempt.
type AttemptKey struct {
	ID     control.RequestID
	Number int // from 0, within the request
}

// AttemptRequest is one attempt of a request, to be sent to an endpoint. Times are in ms of the monotonic clock.
type AttemptRequest struct {
	AttemptKey
	Endpoint, Source uint32  // the endpoint, and the endpoint from which it fills a miss
	Fill             bool    // a miss is filled from Source
	Txn, Class       string  // the request's ID and class
	ObjectName       string  // of the object, as sent by the client
	Part             uint32  // of the object
	CacheRank        uint8   // the endpoint's rank among the caches of the object
	JoinFill         bool    // wait for a fill of the object that is already in progress
	CachedOnly       bool    // Source serves only what it has cached
	Deadline         float64 // deadline of the attempt; the endpoint is sent the time left when it is written; 0: none
	MaxAge           float64 // maximum age in ms of a copy that may be served; 0: the FreshFor of the class
	ClientETag       string  // of the client's copy
	Body             []byte
	Write            bool         // it runs at the origin and is not cached
	NonIdempotent    bool         // it must not run twice, so a broken connection ends the attempt
	IdempotencyKey   string       // the client's key, if the class is idempotent by key
	SendDeadline     float64      // clock time from which it must not be sent: endpoints may have discarded its key, or its authorization has expired; 0: none
	Canceled         *atomic.Bool // true once the request is answered or its client has disconnected: it must not be sent
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Addr string
	Info control.Endpoint
}
