package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// The core itself: its options, its state, and the event loop of the goroutine that owns that state. Run reads events from
// the two queues and timers from the heap; Handle dispatches each event to its stage.

// maxQueuedEvents is the capacity of the event queue. Post blocks while the queue is full.
const maxQueuedEvents = 4096

// maxQueuedAdminEvents is the capacity of the queue that PostUrgent fills.
const maxQueuedAdminEvents = 64

// maxOpenRequests is the default and the upper bound of Options.MaxOpen.
const maxOpenRequests = 4096

// maxTimerWait bounds how long the loop sleeps when no timer is due earlier.
const maxTimerWait = time.Hour

// errStopped is returned by PostUrgent once the core has stopped.
var errStopped = errors.New("core: stopped")

// Options configure a core. Durations of type float64 are in milliseconds.
type Options struct {
	Settings             control.Settings // of the controller
	Classes              []string         // names of the request classes, in the order of Settings.Classes
	Seed                 uint64           // of the controller's random number generator
	MaxOpen              int              // maximum number of open requests; further ones are rejected; 0 or more than 4096: 4096
	ClientBytesPerSecond float64          // rate in bytes/s at which a response is sent to one client; 0: unknown
	CancelGrace          float64          // ms within which an endpoint is assumed to process a cancellation; 0: 40
	Clock                *clock.Clock
	Log                  zerolog.Logger

	// TraceShare is the fraction of requests, 0 to 1, that are also traced at level info, at most 10 per second. Requests
	// are selected by a hash of their ID, so gateways with the same share trace the same requests.
	TraceShare float64

	// SharedIDs holds the request IDs in use at the gateway's processes while one replaces the other. Nil: there is only this
	// process.
	SharedIDs SharedIDs

	// MaxCopyAge returns the maximum age of copies that may be served, or 0 for no limit. The limit applies while purges
	// may have been missed. It must be safe for concurrent use. Nil: there is never a limit.
	MaxCopyAge func() time.Duration
}

// Core connects frontends, the controller and an upstream. Post and PostUrgent are safe for concurrent use; Run, Handle and
// Tick may be called only by the goroutine that owns the core.
type Core struct {
	opt        Options
	classes    map[string]int // class name to its index in the settings
	sampler    sampler
	controller *control.Controller
	upstream   Upstream

	events      chan Event
	adminEvents chan Event // handled before events
	stopped     chan struct{}

	timers          timerHeap
	compactedTimers int              // number of timers after the last removal of obsolete ones
	actions         []control.Action // buffer, reused for each call of the controller
	pendingEvents   []control.Event  // passed to the controller after the current actions are carried out
	dispatching     bool             // notifyController is running

	// A request is in requests and byTxn until it is answered, all its attempts have ended, and the end of the last one
	// is confirmed or its grace period is over. It is in byTag until it is answered.
	requests map[control.RequestID]*request
	byTxn    map[string]*request
	byTag    map[frontendTag]*request
	lastID   control.RequestID
	retired  retiredIDs

	addresses    map[uint32]string  // of the listed endpoints
	healthChecks map[uint32]float64 // endpoint to the time at which its pending health check was sent, in ms
	stats        Stats
	idleWaiters  []chan<- struct{} // closed once every open request has its final answer
	shuttingDown bool              // Abort was received: new requests are rejected
}

// Stats holds the core's counters since its start.
type Stats struct {
	Received, Served, NotModified, Rejected, Failed, ClientGone, Attempts, HealthChecks, Canceled int

	// Deferred counts the attempts that were deferred until the previous attempt's cancellation was confirmed;
	// CancelConfirmed counts those of them for which the endpoint's acknowledgement arrived.
	Deferred, CancelConfirmed int
}

// New returns a core that sends its attempts and health checks through upstream.
func New(opt Options, upstream Upstream) (*Core, error) {
	controller, err := control.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, err
	}
	if len(opt.Classes) != len(opt.Settings.Classes) {
		return nil, fmt.Errorf("core: Classes: %d names for %d classes", len(opt.Classes), len(opt.Settings.Classes))
	}
	if opt.MaxOpen <= 0 || opt.MaxOpen > maxOpenRequests {
		opt.MaxOpen = maxOpenRequests
	}
	if opt.CancelGrace <= 0 {
		opt.CancelGrace = defaultCancelGraceMs
	}
	c := &Core{
		opt:          opt,
		classes:      map[string]int{},
		sampler:      newSampler(opt.TraceShare),
		controller:   controller,
		upstream:     upstream,
		events:       make(chan Event, maxQueuedEvents),
		adminEvents:  make(chan Event, maxQueuedAdminEvents),
		stopped:      make(chan struct{}),
		requests:     map[control.RequestID]*request{},
		byTxn:        map[string]*request{},
		byTag:        map[frontendTag]*request{},
		addresses:    map[uint32]string{},
		healthChecks: map[uint32]float64{},
		retired:      newRetiredIDs(),
	}
	for i, name := range opt.Classes {
		c.classes[name] = i
	}
	return c, nil
}

// Post queues an event. It blocks while the queue is full, and does nothing once the core has stopped.
func (c *Core) Post(ev Event) {
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// PostUrgent queues an event ahead of all events queued by Post, so that an operator's command takes effect before the queued
// requests that it concerns. It returns an error if ctx ends first or the core has stopped.
func (c *Core) PostUrgent(ctx context.Context, ev Event) error {
	select {
	case c.adminEvents <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return errStopped
	}
}

// Run handles events and timers until ctx ends. The goroutine that calls it owns the core.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.stopped)
	wake := time.NewTimer(maxTimerWait)
	defer wake.Stop()
	for {
		c.Tick()
		wake.Reset(c.untilNextTimer())
		select {
		case ev := <-c.adminEvents:
			c.Handle(ev)
			continue
		default:
		}
		select {
		case ev := <-c.adminEvents:
			c.Handle(ev)
		case <-ctx.Done():
			c.opt.Log.Info().Interface("stats", c.stats).Msg("core stopped")
			return nil
		case ev := <-c.events:
			c.Handle(ev)
		case <-wake.C:
		}
	}
}

// now returns the monotonic time in ms.
func (c *Core) now() float64 { return c.opt.Clock.Now() }

// Handle handles one event. Only the goroutine that owns the core may call it.
func (c *Core) Handle(ev Event) {
	switch ev := ev.(type) {
	case Request:
		c.receive(ev)
	case CancelRequest:
		c.cancelRequest(ev)
	case AttemptResult:
		c.handleAttemptResult(ev)
		ev.BodyReservation.Release()
	case CancelConfirmed:
		c.handleCancelConfirmed(ev)
	case BarrierResult:
		c.handleBarrierResult(ev)
	case HealthCheckResult:
		c.handleHealthCheckResult(ev)
	case EndpointList:
		c.updateEndpoints(ev)
	case Purge:
		c.applyPurge(ev)
	case CopyAgeLimited:
		c.applyCopyAgeLimit()
	case Exclude:
		c.setExcluded(ev)
	case ProcessCount:
		c.notifyController(control.ProcessCount{Processes: ev.Processes})
	case Abort:
		c.abort()
	case WhenIdle:
		c.idleWaiters = append(c.idleWaiters, ev.Done)
	case GetStats:
		ev.Reply <- c.stats // buffered, does not block
	}
	c.notifyIdle()
}

// notifyIdle closes the channels passed with WhenIdle if every request has its final answer.
func (c *Core) notifyIdle() {
	if len(c.byTag) > 0 {
		return
	}
	for _, waiter := range c.idleWaiters {
		close(waiter)
	}
	c.idleWaiters = nil
}

// abort has the controller end every unanswered request, as if its deadline had passed.
func (c *Core) abort() {
	c.shuttingDown = true
	for _, r := range c.openRequests() {
		if !r.answered {
			c.notifyController(control.DeadlineReached(r.id))
		}
	}
}
