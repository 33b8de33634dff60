package control

// Settings: the configuration of a gateway, and its validation.

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Idempotency states whether a request of a class may run twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated, and rejected at any time
	IdempotentByKey                    // the caches of a scope drop its repeats within a time window
	NonIdempotent                      // must not run twice
)

// DedupScope is the set of caches that drop the repeats of a request with an idempotency key.
type DedupScope uint8

// The dedup scopes.
const (
	DedupScopeAll  DedupScope = iota // every cache
	DedupScopeZone                   // the caches of the zone in which it ran
	DedupScopeCell                   // the caches of the cell in which it ran
)

// PeerScope states which other caches may be the source of a fill.
type PeerScope uint8

// The peer scopes.
const (
	PeerScopeNone PeerScope = iota // none
	PeerScopeZone                  // those of the same zone
	PeerScopeAny                   // all
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // a response within it earns the full priority weight
	ObjectiveStretch float64       // multiple of the response's transfer time added to the objective
	Deadline         time.Duration // time that a client waits, over all its tries
	PriorityWeight   float64       // value of a response within the objective
	LateValue        float64       // share of the priority weight for a response after the objective
	Idempotency      Idempotency
	DedupScope       DedupScope    // of requests with an idempotency key
	DedupWindow      time.Duration // how long caches remember an idempotency key
	FreshFor         time.Duration // how long a copy is fresh; 0: until purged
	MaxStaleness     time.Duration // how far beyond its freshness a copy may be served
	StaleValue       float64       // share of the priority weight for a response from a stale copy
	Write            bool          // never cached; runs at the origin
}

// Settings is the configuration of a gateway. Zero values mean "unknown" or "not allowed".
type Settings struct {
	// The fleet.
	Gateway        int   // number of this gateway
	Gateways       int   // number of gateways
	Zone           int   // of this gateway
	GatewaysByZone []int // number of gateways in each zone
	HubOfZone      []int // the hub zone of each zone; hubs form a ring
	Kinds          int   // number of kinds of machines
	ParentKind     int   // the kind of parents; -1: no parents exist
	OriginKind     int   // the kind of origins

	Classes []Class

	// What the host and the endpoints can do.
	BatchInterval      time.Duration // minimum interval between batches of events
	LinkKBps           []float64     // capacity of each zone's link for fills; 0: unknown
	ClientKBps         float64       // transfer rate to one client
	WeightsKnown       bool          // a weight is the number of such transfers that the endpoint's link carries
	PollEndpoints      bool          // the endpoint list must be requested
	MaxAttempts        int           // per request, not counting local failures
	CanCancel          bool
	CanCheckHealth     bool
	CanHedge           bool // a request may have two attempts in flight
	CanRetryAfter      bool
	ClientsMarkRetries bool // a request that is not marked as a retry is a first try
	MaxRetryAfter      time.Duration
	CanBypassCaches    bool // requests may be sent directly to a parent or the origin
	CanJoinFills       bool // a request may join a fill in flight
	PeerFillScope      PeerScope
	ResultsDetailed    bool // results carry all notes, not only hits

	// Drains, slow start and purges.
	DrainGrace              time.Duration // how long a draining endpoint still responds
	SlowStartShare          float64       // minimum share of its capacity that a cache starts with
	SlowStartDuration       time.Duration // time after which it has its full capacity
	CollapseMultiple        float64       // a cache collapses under this multiple of its current capacity ...
	CollapseWindow          time.Duration // ... if the load lasts for this time
	ParentSlowStartShare    float64       // the same for parents
	ParentSlowStartDuration time.Duration
	ParentCollapseMultiple  float64
	PurgeGrace              time.Duration // how long after a purge older copies may be served
	PurgeCompletion         time.Duration // time after which endpoints have dropped purged copies
}

// check returns an error that names the first invalid setting. Errors use the names of the settings in the
// operators' configuration (cold share, fall multiple, aim, worth); the two sets of names are mapped only
// here.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("control: Classes: none given")
	case s.MaxAttempts < 1:
		return fmt.Errorf("control: MaxAttempts: %d is below 1", s.MaxAttempts)
	case s.Zone < 0:
		return fmt.Errorf("control: Zone: %d is negative", s.Zone)
	case !(s.SlowStartShare >= 0 && s.SlowStartShare <= 1): // also NaN
		return fmt.Errorf("control: ColdShare: %v is not between 0 and 1", s.SlowStartShare)
	case !(s.ParentSlowStartShare >= 0 && s.ParentSlowStartShare <= 1):
		return fmt.Errorf("control: ParentColdFrom: %v is not between 0 and 1", s.ParentSlowStartShare)
	case !nonNegativeFinite(s.CollapseMultiple):
		return fmt.Errorf("control: FallMultiple: %v is negative or not finite", s.CollapseMultiple)
	case !nonNegativeFinite(s.ParentCollapseMultiple):
		return fmt.Errorf("control: ParentFall: %v is negative or not finite", s.ParentCollapseMultiple)
	case !nonNegativeFinite(s.ClientKBps):
		return fmt.Errorf("control: ClientKBps: %v is negative or not finite", s.ClientKBps)
	}
	for _, t := range []struct {
		field string
		value time.Duration
	}{
		{"Quantum", s.BatchInterval},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"DrainGrace", s.DrainGrace},
		{"ColdFor", s.SlowStartDuration},
		{"FallFor", s.CollapseWindow},
		{"ParentColdFor", s.ParentSlowStartDuration},
		{"PurgeGrace", s.PurgeGrace},
		{"PurgeDone", s.PurgeCompletion},
	} {
		if t.value < 0 {
			return fmt.Errorf("control: %s: %v is negative", t.field, t.value)
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(); err != nil {
			return fmt.Errorf("control: Classes[%d].%w", i, err)
		}
	}
	return nil
}

// check returns an error that names the first invalid field of a class.
func (class *Class) check() error {
	for _, v := range []struct {
		field string
		value float64
	}{
		{"Aim", class.LatencyObjective.Seconds()},
		{"AimStretch", class.ObjectiveStretch},
		{"Worth", class.PriorityWeight},
		{"LateWorth", class.LateValue},
		{"KeyFor", class.DedupWindow.Seconds()},
		{"Fresh", class.FreshFor.Seconds()},
		{"StaleFor", class.MaxStaleness.Seconds()},
		{"StaleWorth", class.StaleValue},
	} {
		if !nonNegativeFinite(v.value) {
			return &fieldError{v.field, v.value, "negative or not finite"}
		}
	}
	if class.Deadline <= 0 {
		return &fieldError{"Deadline", class.Deadline, "not positive"}
	}
	return nil
}

// fieldError names a field with an invalid value.
type fieldError struct {
	field   string
	value   any
	problem string
}

// Error returns the field, its value and the problem.
func (e *fieldError) Error() string { return fmt.Sprintf("%s: %v is %s", e.field, e.value, e.problem) }

// nonNegativeFinite reports whether a value is 0 or more, and neither infinite nor NaN.
func nonNegativeFinite(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// linkCapacity returns the number of transfers at a client's pace that the link of this gateway's zone
// carries; 0: unknown.
func (s *Settings) linkCapacity() float64 {
	if s.Zone >= len(s.LinkKBps) || s.ClientKBps == 0 {
		return 0
	}
	return max(0, s.LinkKBps[s.Zone]) / s.ClientKBps
}
