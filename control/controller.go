package control

// Controller: the state of the decision module, its event dispatch and its timers.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	tickInterval = 50 * time.Millisecond // interval of the tick, which checks queued requests, purges and health

	// noDeadline is a time that is never reached.
	noDeadline = math.MaxInt64 * time.Nanosecond
)

// The token of a timer consists of the request id and, in the low byte, the number of the attempt that may
// time out or one of these kinds.
const (
	timerDeadline = 0xff // the request must be answered
	timerQueue    = 0xfe // a queued request can no longer be sent in time
	timerTick     = 0xfd // the periodic tick, which belongs to no request
	timerRetry    = 0xfc // the backoff after a local failure is over

	timerKindBits = 8
	timerKindMask = 1<<timerKindBits - 1
)

// Controller is one gateway's decision module.
type Controller struct {
	settings  Settings
	now       time.Duration // time of the current event
	actions   []Action      // actions appended for the current event
	started   bool          // whether the first event was handled
	processes int           // number of processes of this gateway
	random    *rand.Rand    // for the jitter of retries

	// Requests (admission.go, fair_queue.go).
	requests         map[RequestID]*request
	queue            fairQueue
	longestRemaining []time.Duration // by class: the longest time that a client has allowed

	// Endpoints (endpoints.go, outlier.go, load_report.go, slow_start.go).
	endpoints         []*endpoint                // sorted by id
	knownIDs          [2]map[EndpointID]struct{} // ids that were listed, in two generations
	excluded          map[EndpointID]struct{}    // by the operators
	origins           []*endpoint                // sorted by id
	reporting         []*endpoint                // all with a recent report, maybe others; sorted by id
	slowStarting      []*endpoint                // caches in slow start; ended ones are removed later
	healthCheckBudget float64                    // health checks that may be sent

	// Selection (cache_selection.go, fill_source.go).
	caches           rendezvousSet
	hubParents       rendezvousSet               // of this zone's hub
	otherParents     rendezvousSet               // of the other hubs
	setVersion       int                         // incremented on each change of the sets, starting at 1
	recentChanges    [maxRecentChanges]*endpoint // endpoints that changed last, by version
	rankings         []*objectRankings           // direct-mapped table, by object hash
	candidates       []*endpoint                 // reused by firstCaches
	scanned          []scored                    // reused by scans of the sets
	originCongestion float64                     // share of fills from the origin that are late or fail
	poolParents      bool                        // fills hash over the parents of all hubs

	// Fills (fill_window.go).
	window         fillWindow
	link           linkMeter
	fillsInFlight  []*attempt    // fills that hold a slot of the window
	lateCountedAt  time.Duration // when the next two fields were counted
	lateFills      int           // fills in flight past their latency objective
	countedFills   int           // fills in flight that were considered for lateFills
	missShare      float64       // share of lookups without a confirmed miss whose response came over the link
	meanSourceWait float64       // mean wait of a fill for its source, in seconds

	// Timeouts (attempts.go): how much longer than the transfer time a response takes.
	lateness     []meanEstimator // by class
	fillLateness []meanEstimator // by class, of fills alone
	fillBackoff  time.Duration   // additional lateness allowed after fills have timed out

	// Transfer times, in seconds.
	meanTransfer           []float64 // by class
	longestInitialTransfer float64   // the longest initial value, which follows from the settings

	// Objects (freshness.go).
	objects  [2]map[objectKey]*object // in two generations
	purges   map[purgeKey]purge
	purgeLog []purgeKey // keys in the order of arrival, for expiry
}

// New returns a controller, or an error that names the invalid setting. The seed determines the jitter of
// retries after local failures, which is the only use of random numbers.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings:   s,
		processes:  1,
		random:     newRandom(seed),
		requests:   map[RequestID]*request{},
		excluded:   map[EndpointID]struct{}{},
		purges:     map[purgeKey]purge{},
		setVersion: 1,
		window:     fillWindow{max: 1, fastStart: true},
		link:       linkMeter{capacity: s.linkCapacity()},
	}
	c.knownIDs[0] = map[EndpointID]struct{}{}
	c.objects[0] = map[objectKey]*object{}
	c.objects[1] = map[objectKey]*object{}
	for _, class := range s.Classes {
		// Until responses are observed, the transfer time of a class is assumed to be its latency objective.
		// That is too long, so slow-start budgets err on the safe side.
		c.meanTransfer = append(c.meanTransfer, max(class.LatencyObjective, time.Millisecond).Seconds())
		c.lateness = append(c.lateness, meanEstimator{mean: class.LatencyObjective.Seconds()})
		c.fillLateness = append(c.fillLateness, meanEstimator{})
		c.longestRemaining = append(c.longestRemaining, 0)
		c.queue.addClass(class.PriorityWeight)
	}
	c.longestInitialTransfer = slices.Max(c.meanTransfer)
	return c, nil
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, jitterStream)) }

// Handle processes one event at clock time now, appends the resulting actions and returns the extended
// slice.
func (c *Controller) Handle(now time.Duration, ev Event, actions []Action) []Action {
	c.now = now
	c.actions = actions
	if !c.started {
		c.started = true
		c.tick()
		c.refreshEndpoints()
	}
	c.handleEvent(ev)
	actions = c.actions
	c.actions = nil
	return actions
}

// handleEvent dispatches an event to its handler.
func (c *Controller) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case EndpointList:
		c.updateEndpoints(ev)
	case Excluded:
		c.setExcluded(ev)
	case ProcessCount:
		c.processes = max(1, ev.Processes)
	case Request:
		c.admitRequest(ev)
	case AttemptResult:
		c.attemptEnded(ev)
	case HealthCheckResult:
		c.healthCheckEnded(ev)
	case ClientGone:
		if r := c.requests[ev.ID]; r != nil {
			c.finish(r)
		}
	case ResponseStarted:
		if r := c.requests[ev.ID]; r != nil {
			r.streaming = true
			c.queue.remove(r)
		}
	case Purged:
		isGroup := ev.Object == 0
		if c.recordPurge(ev) && isGroup {
			c.assumeOriginCongestion()
		}
	case TimerFired:
		c.timerFired(ev.Token)
	}
}

// emit appends an action for the host.
func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// ---- Timers ----

// setTimer requests a timer, no earlier than the next batch of events.
func (c *Controller) setTimer(at time.Duration, id RequestID, kind uint64) {
	c.emit(SetTimer{At: max(at, c.now+c.settings.BatchInterval), Token: timerToken(id, kind)})
}

func timerToken(id RequestID, kind uint64) uint64 { return uint64(id)<<timerKindBits | kind }

// RequestOfTimer returns the request that a timer's token belongs to. ok is false if it belongs to none.
func RequestOfTimer(token uint64) (id RequestID, ok bool) {
	return RequestID(token >> timerKindBits), token&timerKindMask != timerTick
}

// DeadlineReached returns the event that the deadline of a request is reached, which ends the request at
// once.
func DeadlineReached(id RequestID) TimerFired {
	return TimerFired{Token: timerToken(id, timerDeadline)}
}

// timerFired handles an expired timer.
func (c *Controller) timerFired(token uint64) {
	kind := token & timerKindMask
	if kind == timerTick {
		c.tick()
		return
	}
	r := c.requests[RequestID(token>>timerKindBits)]
	if r == nil || r.answered || r.streaming {
		return
	}
	switch {
	case kind == timerRetry && r.retryAt > 0:
		c.resumeAfterBackoff(r)
	case kind < timerTick:
		c.attemptTimedOut(r, int(kind))
	case kind == timerDeadline || r.queued && c.now >= r.sendBy:
		c.rejectOrFail(r)
	}
}

// tick runs the periodic work.
func (c *Controller) tick() {
	c.setTimer(c.now+tickInterval, 0, timerTick)
	c.expirePurges()
	c.checkHealth()
	c.dispatch()
}

// ---- For logs ----

// Explain returns a description, for logs, of the state that decides where a part of an object is sent now:
// the fill window, and each cache in the order of its ranking with its health, capacity and load report. It
// has no effect on later decisions.
func (c *Controller) Explain(object ObjectID, part uint32) string {
	var b strings.Builder
	waiting := 0
	for _, class := range c.queue.classes {
		waiting += len(class.waiting)
	}
	fmt.Fprintf(&b, "window %d/%d late %t u %.2f held %d;", c.window.inFlight, c.window.max, c.fillsRunLate(),
		c.link.utilization, waiting)
	for _, e := range c.rank(objectHash(object, part), c.isCache) {
		c.explainEndpoint(&b, e)
	}
	return b.String()
}

// explainEndpoint appends the state that decides whether a cache may take a request.
func (c *Controller) explainEndpoint(b *strings.Builder, e *endpoint) {
	quota := e.linkQuota
	hasCapacity := c.hasLinkCapacity(e)
	e.linkQuota = quota
	age := time.Duration(-1)
	if e.reportedAt > 0 {
		age = c.now - e.reportedAt
	}
	fmt.Fprintf(b, " %d:%s usable %t room %t open %d own %.1f w %.1f others %.1f load %+v age %v budget %.2f;",
		e.ID%10000, stateName(e.State), e.available(c.now), hasCapacity, len(e.inFlight), e.linkQuota,
		e.Weight, e.othersInFlight, e.load, age, e.slowStartBudget)
}

func stateName(s State) string { return [...]string{"gone", "ready", "draining"}[min(int(s), 2)] }
