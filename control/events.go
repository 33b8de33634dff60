package control

// Events: what the host reports to the module.

import (
	"time"
)

type (
	// RequestID identifies a client's request and is never reused.
	RequestID uint64
	// EndpointID identifies a cache, a parent or the origin.
	EndpointID uint32
	// ObjectID identifies an object; all its parts share it. Zero means "no object".
	ObjectID uint64
)

// Event is an occurrence that the host reports; see the types below.
type Event interface{ event() }

// Request is a new client request. It must get exactly one final response.
type Request struct {
	ID            RequestID
	Class         int
	Object        ObjectID
	Part          uint32
	ObjectGroup   uint16
	SizeKB        float64       // size of the response; 0: unknown
	ClientHasCopy bool          // the client has a copy; if it is current, few bytes are sent
	Remaining     time.Duration // time until the client's deadline
	Retry         bool          // the client has marked it as a retry
	Write         bool
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. Overloaded, ConnectFailed, NotSent, LocalFailure and Miss prove that the request did not
// run. LocalFailure is a failed system call on the gateway's own host, such as for lack of file descriptors.
// It carries no information about the endpoint.
const (
	OK             Outcome = iota
	Miss                   // the cache lacks the object and was not allowed to fill it
	ServerError            // an error response
	Overloaded             // the endpoint rejected the request because of overload
	TimedOut               // no response within the timeout
	ConnectFailed          // no connection could be established
	ConnectionLost         // the connection was lost before the complete response was read
	Canceled               // the gateway canceled the attempt
	NotSent                // the send deadline passed or the request ended before it was sent
	LocalFailure           // a system call failed on the gateway's own host
)

// Note describes how a response was produced, if the endpoint reports it.
type Note uint8

// The notes.
const (
	NoNote           Note = iota
	Hit                   // served from the cache
	Filled                // filled from the source, which had it cached
	FilledByOrigin        // filled from the origin, directly or through a parent
	Joined                // joined a fill in flight for another request
	StaleCopy             // served from a stale copy
	SourceOverloaded      // the source was overloaded
	SourceLost            // the source did not respond
	SourceLacks           // the source lacks the object
	NoSpace               // the cache had no space for the object
	OriginFailed          // the origin failed
)

// Names for logs and reports, in the order of the constants.
var (
	outcomeNames = [...]string{"ok", "miss", "errored", "full", "timed-out", "unreached", "broken", "cancelled",
		"unsent", "local-failure"}
	noteNames = [...]string{"", "hit", "filled", "filled-by-origin", "joined", "stale-copy", "source-refused",
		"source-lost", "source-lacks", "no-place", "origin-failed"}
)

// String returns the name of the outcome in logs and reports.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "result?"
}

// String returns the name of the note in logs and reports, or "" for NoNote.
func (n Note) String() string {
	if int(n) < len(noteNames) {
		return noteNames[n]
	}
	return "note?"
}

// LoadReport is a load report of an endpoint. Values that are not reported are negative.
type LoadReport struct {
	InFlight        float64 // requests in flight at the endpoint
	Utilization     float64 // CPU utilization, as a share of its cores
	HitRate         float64 // recent cache hit rate
	LinkUtilization float64 // of a cache: utilization of its location's link; of a parent: its fills in flight
}

// AttemptResult reports the end of an attempt. Every attempt gets exactly one.
type AttemptResult struct {
	ID            RequestID
	Attempt       int
	Endpoint      EndpointID
	Outcome       Outcome
	Note          Note
	Latency       time.Duration
	TransferTime  time.Duration // of the response at a client's pace; 0: unknown
	FirstByte     time.Duration // of a fill: time to the source's first byte or failure; 0: unknown
	RequestClosed bool          // the final response was sent
	Load          *LoadReport
}

// HealthCheckResult reports the result of one health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Outcome  Outcome
	Latency  time.Duration
	Load     *LoadReport
}

// ClientGone reports that a client has disconnected: no response is needed any more.
type ClientGone struct{ ID RequestID }

// ResponseStarted reports that a streamed response has begun: no other attempt may serve the request.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// TimerFired reports that a timer has expired.
type TimerFired struct{ Token uint64 }

// Purged reports that an object, or without an object a whole group, was purged at the origin, the duration
// Ago before the event.
type Purged struct {
	Object ObjectID
	Group  uint16
	Ago    time.Duration
}

// State is the state of an endpoint in the list.
type State uint8

// The states of an endpoint.
const (
	Gone     State = iota // it receives nothing
	Ready                 // it accepts requests
	Draining              // it finishes its requests and receives no new ones
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Cell      int
	Zone      int
	Kind      int
	Weight    float64 // number of transfers at a client's pace that its link can carry
	State     State
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// EndpointList is an update from service discovery: a snapshot, which replaces the list, or a delta, which
// changes entries of it.
type EndpointList struct {
	Snapshot  bool
	Failed    bool // the list could not be read; the previous one stays valid
	Endpoints []Endpoint
}

// Excluded is a command of the operators: while the endpoint is excluded, nothing is sent to it whatever its
// listed state; once it is no longer excluded, it may serve again.
type Excluded struct {
	Endpoint EndpointID
	Excluded bool
}

// ProcessCount is the current number of processes of this gateway. They share the load that one gateway may
// send.
type ProcessCount struct{ Processes int }

func (EndpointList) event()      {}
func (Request) event()           {}
func (AttemptResult) event()     {}
func (HealthCheckResult) event() {}
func (ClientGone) event()        {}
func (ResponseStarted) event()   {}
func (TimerFired) event()        {}
func (Purged) event()            {}
func (Excluded) event()          {}
func (ProcessCount) event()      {}
