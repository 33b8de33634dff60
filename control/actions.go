package control

// Actions: what the module asks the host to do.

import (
	"time"
)

// Action is an operation that the host carries out. Actions are carried out in the order in which they are
// returned.
type Action interface{ action() }

// Attempt sends a request to endpoint To. If that is a cache which lacks the object, the object is filled
// from Source. If Source equals To, nothing is filled: the endpoint answers by itself.
type Attempt struct {
	ID           RequestID
	To           EndpointID
	Source       EndpointID
	CacheRank    uint8 // rank at which the response is cached, 1 to 3; 0: it is not cached
	JoinFill     bool  // the endpoint may join the attempt to a fill in flight for the same object
	CachedOnly   bool  // the source answers only from its cache and fills nothing itself
	Timeout      time.Duration
	MaxAge       time.Duration // maximum age of a copy that may be served; 0: the freshness of the class
	SendDeadline time.Duration // clock time from which it must not be sent; math.MaxInt64: none
}

// Reject is a final response which promises the client that a retry is safe.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no Retry-After is given
}

// Fail is a final response without that promise.
type Fail struct{ ID RequestID }

// Cancel ends an attempt in flight.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// HealthCheck checks the health of an endpoint.
type HealthCheck struct{ To EndpointID }

// SetTimer asks for a [TimerFired] event at a clock time.
type SetTimer struct {
	At    time.Duration
	Token uint64
}

// RefreshEndpoints asks for the endpoint list and its changes.
type RefreshEndpoints struct{}

func (Attempt) action()          {}
func (Reject) action()           {}
func (Fail) action()             {}
func (Cancel) action()           {}
func (HealthCheck) action()      {}
func (SetTimer) action()         {}
func (RefreshEndpoints) action() {}
