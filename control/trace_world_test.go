package control_test

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
)

// This file generates the events of the recorded traces: a world of clients, endpoints and operators that responds
// to the module's actions. It is used only for recording; the replay reads the events from the traces.

const (
	eventsPerTrace  = 6500
	worldStart      = 10 * time.Second
	worldResolution = 100 * time.Microsecond // event times are multiples of it, so that traces compress well
	originID        = control.EndpointID(900)
	firstParentID   = control.EndpointID(500)
	foreignCacheID  = control.EndpointID(300)
	firstCacheID    = control.EndpointID(10)
	unknownID       = control.EndpointID(77_777)
)

// recordTraces writes the trace of each scenario.
func recordTraces(t *testing.T) {
	t.Helper()
	if err := os.MkdirAll(traceFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios() {
		w, err := newWorld(s)
		if err != nil {
			t.Fatal(s.name, err)
		}
		w.run()
		if err := writeTrace(filepath.Join(traceFolder, s.name+".gz"), &w.trace); err != nil {
			t.Fatal(err)
		}
	}
}

// worldEndpoint is the actual state of an endpoint, which the list may report late.
type worldEndpoint struct {
	control.Endpoint
	inFlight  int
	cached    map[cachedPart]time.Duration // when the copy was stored
	fault     endpointFault
	faultEnds time.Duration
}

type cachedPart struct {
	object control.ObjectID
	part   uint32
}

// endpointFault is the failure mode of an endpoint.
type endpointFault int

const (
	noFault endpointFault = iota
	unreachable
	silent
	slow
	overloaded
	resetting
	endpointFaults
)

// worldRequest is a client's request.
type worldRequest struct {
	control.Request
	sizeKB   float64
	attempts []*worldAttempt
	answered bool
	started  bool // its response has begun
}

type worldAttempt struct {
	number   int
	request  *worldRequest
	to       *worldEndpoint
	ended    bool
	answered bool // its result is scheduled
}

// world drives one controller.
type world struct {
	trace
	set        scenario
	controller *control.Controller
	random     *rand.Rand
	now        time.Duration
	schedule   schedule
	scheduled  int
	endpoints  []*worldEndpoint // sorted by ID
	requests   map[control.RequestID]*worldRequest
	lastID     control.RequestID
	fills      int // fills in flight
	excluded   map[control.EndpointID]bool
}

// task is a function that is called at a given time.
type task struct {
	at    time.Duration
	order int
	do    func()
}

type schedule []task

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), cmp.Compare(s[i].order, s[j].order)) < 0
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(task)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newWorld(s scenario) (*world, error) {
	c, err := control.New(s.settings, traceSeed)
	if err != nil {
		return nil, err
	}
	seed := fnv.New64()
	seed.Write([]byte(s.name))
	w := &world{
		trace: trace{settings: s.settings}, set: s, controller: c, random: rand.New(rand.NewPCG(seed.Sum64(), 1)), now: worldStart,
		requests: map[control.RequestID]*worldRequest{}, excluded: map[control.EndpointID]bool{},
	}
	w.addEndpoints()
	return w, nil
}

func (w *world) addEndpoints() {
	add := func(id control.EndpointID, cell, zone, kind int, weight float64) {
		w.endpoints = append(w.endpoints, &worldEndpoint{
			Endpoint: control.Endpoint{ID: id, Cell: cell, Zone: zone, Kind: kind, Weight: weight, State: control.Ready},
			cached:   map[cachedPart]time.Duration{},
		})
	}
	set, zone := &w.set.world, w.set.settings.Zone
	for i := range set.caches {
		add(firstCacheID+control.EndpointID(i), i%set.cells, zone, cacheKind, set.weight+float64(i%3))
	}
	for i := range set.foreignCaches {
		add(foreignCacheID+control.EndpointID(i), 0, otherZone, cacheKind, set.weight)
	}
	for hub := range 2 {
		for i := range set.parents {
			add(firstParentID+control.EndpointID(100*hub+i), 0, hub, parentKind, 4*set.weight)
		}
	}
	add(originID, 0, hubZone, originKind, 8*set.weight)
}

// run records events until there are enough.
func (w *world) run() {
	w.handle(control.EndpointList{Snapshot: true, Endpoints: w.list()})
	w.every(w.set.world.requestRate, w.newRequest)
	w.every(w.set.world.listRate, w.changeList)
	w.every(w.set.world.purgeRate, w.purge)
	w.every(w.set.world.excludeRate, w.exclude)
	w.every(w.set.world.outageRate, w.beginFault)
	w.every(w.set.world.processRate, func() { w.handle(control.ProcessCount{Processes: w.random.IntN(4)}) })
	w.every(w.set.world.badEventRate, w.badEvent)
	for len(w.records) < eventsPerTrace {
		next := heap.Pop(&w.schedule).(task)
		w.now = max(w.now, next.at)
		next.do()
	}
}

// after schedules a call after a delay, rounded up to the time resolution.
func (w *world) after(wait time.Duration, do func()) { w.at(w.now+max(0, wait), do) }

func (w *world) at(at time.Duration, do func()) {
	if rounded := at.Truncate(worldResolution); rounded < at {
		at = rounded + worldResolution
	}
	w.scheduled++
	heap.Push(&w.schedule, task{at, w.scheduled, do})
}

// every schedules calls at random times with the given mean rate per second.
func (w *world) every(rate float64, do func()) {
	if rate == 0 {
		return
	}
	w.after(w.seconds(w.random.ExpFloat64()/(rate*w.loadFactor())), func() {
		do()
		w.every(rate, do)
	})
}

// loadFactor varies between 0.5 and 2 with a period of twenty seconds, so that the load rises and falls.
func (w *world) loadFactor() float64 { return math.Exp2(math.Sin(2 * math.Pi * w.now.Seconds() / 20)) }

func (w *world) seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(worldResolution)
}

// between returns a random duration between two numbers of milliseconds.
func (w *world) between(low, high float64) time.Duration {
	return w.seconds((low + w.random.Float64()*(high-low)) / 1000)
}

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

// handle records an event and carries out its actions.
func (w *world) handle(event any) {
	actions := handle(w.controller, w.now, event)
	w.records = append(w.records, record{w.now, event, encodeActions(w.now, actions)})
	for _, action := range actions {
		w.carryOut(action)
	}
}

func (w *world) carryOut(action any) {
	switch a := action.(type) {
	case control.Attempt:
		w.attempt(a)
	case control.Reject:
		w.rejected(w.requests[a.ID])
	case control.Fail:
		w.requests[a.ID].answered = true
	case control.Cancel:
		w.cancel(w.requests[a.ID].attempts[a.Attempt])
	case control.HealthCheck:
		w.healthCheck(w.endpoint(a.To))
	case control.SetTimer:
		w.at(a.At, func() { w.handle(control.TimerFired{Token: a.Token}) })
	case control.RefreshEndpoints:
		w.after(w.between(5, 300), w.pollList)
	}
}

func (w *world) endpoint(id control.EndpointID) *worldEndpoint {
	i, ok := slices.BinarySearchFunc(w.endpoints, id, func(e *worldEndpoint, id control.EndpointID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return w.endpoints[i]
}

func (w *world) someEndpoint() *worldEndpoint { return w.endpoints[w.random.IntN(len(w.endpoints))] }

// ---- Clients ----

func (w *world) newRequest() {
	class := w.random.IntN(len(w.set.settings.Classes))
	object := control.ObjectID(1 + math.Floor(float64(w.set.world.objects)*math.Pow(w.random.Float64(), 3)))
	q := control.Request{
		Class: class, Object: object, Part: uint32(w.random.IntN(2)), ObjectGroup: uint16(object % 8),
		Remaining: w.set.settings.Classes[class].Deadline - w.between(0, 50),
	}
	if w.chance(0.05) { // a client with a short deadline
		q.Remaining = w.between(1, 500)
	}
	q.ClientHasCopy, q.Write = w.chance(0.1), w.chance(0.02)
	sizeKB := 5 * float64(1+w.random.IntN(16))
	if w.chance(0.1) {
		sizeKB *= 10
	}
	w.ask(q, sizeKB)
}

// ask sends a client's request to the module.
func (w *world) ask(q control.Request, sizeKB float64) {
	w.lastID++
	q.ID = w.lastID
	if q.SizeKB = sizeKB; w.set.world.sizesUnknown || w.chance(0.02) {
		q.SizeKB = 0
	}
	r := &worldRequest{Request: q, sizeKB: sizeKB}
	w.requests[q.ID] = r
	if w.chance(w.set.world.clientGone) {
		w.after(time.Duration(w.random.Float64()*float64(q.Remaining)/4), func() {
			if !r.answered {
				r.answered = true
				w.handle(control.ClientGone{ID: r.ID})
			}
		})
	}
	w.handle(q)
}

// rejected records that a request was rejected; its client may retry.
func (w *world) rejected(r *worldRequest) {
	if r == nil { // the event had an unknown id
		return
	}
	r.answered = true
	left := r.Remaining - milliseconds(200)
	if left <= 0 || !w.chance(w.set.world.clientRetries) {
		return
	}
	again := r.Request
	again.Remaining, again.Retry = left, w.set.settings.ClientsMarkRetries
	w.after(w.between(50, 300), func() { w.ask(again, r.sizeKB) })
}

// ---- Endpoints ----

// attempt schedules the response of an endpoint to an attempt, if there is one.
func (w *world) attempt(a control.Attempt) {
	r, to := w.requests[a.ID], w.endpoint(a.To)
	attempt := &worldAttempt{number: len(r.attempts), request: r, to: to}
	r.attempts = append(r.attempts, attempt)
	to.inFlight++
	w.after(a.Timeout, func() { w.end(attempt, control.AttemptResult{Outcome: control.TimedOut, Latency: a.Timeout}) })
	if a.MaxAge > 0 && w.chance(0.5) {
		w.after(w.between(0, 3), func() { w.handle(query{kindQueryMaxCopyAge, uint64(a.ID)}) })
	}
	result, answers := w.resultOf(a, attempt)
	if !answers {
		return
	}
	attempt.answered = true
	if streams := result.Outcome == control.OK || result.Outcome == control.ConnectionLost; streams && w.chance(w.set.world.streamed) {
		w.after(result.Latency/2, func() { w.start(attempt) })
	}
	if result.Note == control.Filled || result.Note == control.FilledByOrigin {
		w.fills++
		w.after(result.Latency, func() { w.fills-- })
	}
	w.after(result.Latency, func() { w.end(attempt, result) })
}

// start reports that a response has begun, at most once per request and never after its end.
func (w *world) start(a *worldAttempt) {
	if !a.ended && !a.request.answered && !a.request.started {
		a.request.started = true
		w.handle(control.ResponseStarted{ID: a.request.ID, Attempt: a.number})
	}
}

// end reports the result of an attempt, at most once.
func (w *world) end(a *worldAttempt, result control.AttemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	a.to.inFlight--
	result.ID, result.Attempt, result.Endpoint = a.request.ID, a.number, a.to.ID
	result.RequestClosed = result.RequestClosed || result.Outcome == control.OK || a.request.started || a.request.answered
	if result.Outcome == control.OK {
		a.request.answered = true
	}
	heard := result.Outcome != control.TimedOut && result.Outcome != control.ConnectFailed && result.Outcome != control.NotSent
	if heard && result.Outcome != control.Canceled && w.chance(w.set.world.reportRate) {
		result.Load = w.report(a.to)
	}
	w.handle(result)
}

// cancel ends an attempt soon, unless its response arrives first.
func (w *world) cancel(a *worldAttempt) {
	if a.answered && w.chance(0.3) {
		return
	}
	result := control.AttemptResult{Outcome: control.Canceled}
	if w.chance(0.15) {
		result.Outcome = control.NotSent
	}
	w.after(w.between(0.1, 8), func() { w.end(a, result) })
}

// report returns a load report of an endpoint.
func (w *world) report(e *worldEndpoint) *control.LoadReport {
	load := &control.LoadReport{InFlight: float64(e.inFlight + w.random.IntN(3)), Utilization: -1, HitRate: -1, LinkUtilization: -1}
	if w.set.world.reportsCPU {
		load.Utilization = math.Round(64*min(1, load.InFlight/e.Weight)) / 64
		if w.chance(0.2) {
			load.InFlight = -1
		}
	}
	if w.set.world.reportsLink && w.chance(0.9) {
		load.LinkUtilization = math.Round(64*w.linkUtilization()) / 64
	}
	if w.chance(0.5) {
		load.HitRate = 0.5
	}
	return load
}

// linkUtilization returns the utilization of the zone's link.
func (w *world) linkUtilization() float64 {
	return float64(w.fills) / (2 * w.set.world.weight) * (0.8 + 0.4*w.random.Float64())
}

// resultOf returns the result of an attempt, by the state of its endpoint and at random, and false if there is no
// response.
func (w *world) resultOf(a control.Attempt, attempt *worldAttempt) (result control.AttemptResult, answers bool) {
	to := attempt.to
	if w.now >= to.faultEnds {
		to.fault = noFault
	}
	switch to.fault {
	case unreachable:
		return control.AttemptResult{Outcome: control.ConnectFailed, Latency: w.between(0.1, 1)}, true
	case silent:
		return result, false
	case overloaded:
		return control.AttemptResult{Outcome: control.Overloaded, Latency: w.between(0.5, 2)}, true
	case resetting:
		return control.AttemptResult{Outcome: control.ConnectionLost, Latency: w.between(0.5, 30)}, true
	}
	if w.chance(w.set.world.lossRate) {
		return result, false
	}
	if w.chance(w.set.world.errorRate) {
		return w.randomFault(a), true
	}
	return w.responseOf(a, attempt), true
}

// randomFault returns the result of a failed attempt.
func (w *world) randomFault(a control.Attempt) control.AttemptResult {
	kinds := []control.AttemptResult{
		{Outcome: control.ServerError}, {Outcome: control.ServerError, Note: control.NoSpace}, {Outcome: control.Overloaded},
		{Outcome: control.Overloaded, Note: control.NoSpace}, {Outcome: control.ConnectionLost}, {Outcome: control.NotSent},
		{Outcome: control.ConnectFailed}, {Outcome: control.TimedOut}, {Outcome: control.ConnectionLost, RequestClosed: true},
	}
	if a.Source != a.To {
		kinds = append(kinds, []control.AttemptResult{
			{Outcome: control.ServerError, Note: control.SourceLost}, {Outcome: control.Overloaded, Note: control.SourceOverloaded},
			{Outcome: control.ServerError, Note: control.OriginFailed}, {Outcome: control.ServerError, Note: control.SourceOverloaded},
			{Outcome: control.Miss, Note: control.SourceLacks},
		}...)
	}
	result := kinds[w.random.IntN(len(kinds))]
	if result.Latency = w.between(0.5, 60); w.chance(0.3) {
		result.FirstByte = result.Latency / 2
	}
	return result
}

// responseOf returns the result of an attempt at a healthy endpoint: a hit, a miss, or a fill.
func (w *world) responseOf(a control.Attempt, attempt *worldAttempt) (result control.AttemptResult) {
	r, to, part := attempt.request, attempt.to, cachedPart{attempt.request.Object, attempt.request.Part}
	sending := w.seconds(r.sizeKB / 1000 * (1 + float64(to.inFlight)/(2*to.Weight)))
	if to.fault == slow {
		sending *= 5
	}
	if w.chance(0.8) {
		result.TransferTime = w.seconds(r.sizeKB / 1000)
	}
	since, cached := to.cached[part]
	stale := a.MaxAge > 0 && w.now-since > a.MaxAge
	switch {
	case to.Kind == cacheKind && cached && !stale && !r.Write:
		result.Note, result.Latency = control.Hit, w.between(1, 4)+sending
		if age := w.now - since; age > 5*time.Second && w.chance(0.2) {
			result.Note = control.StaleCopy
		}
	case to.Kind == cacheKind && a.Source == a.To:
		return control.AttemptResult{Outcome: control.Miss, Latency: w.between(0.5, 3)}
	default:
		return w.fill(a, attempt, part, sending, result)
	}
	if !w.set.settings.ResultsDetailed && result.Note != control.Hit {
		result.Note = control.NoNote
	}
	return result
}

// fill returns the result of an attempt that is answered by a parent or the origin.
func (w *world) fill(a control.Attempt, attempt *worldAttempt, part cachedPart, sending time.Duration, result control.AttemptResult) control.AttemptResult {
	source := w.endpoint(a.Source)
	_, sourceHolds := source.cached[part]
	result.FirstByte = w.between(3, 15)
	result.Note = control.Filled
	switch {
	case source.Kind == parentKind && a.CachedOnly && !sourceHolds:
		return control.AttemptResult{Outcome: control.Miss, Note: control.SourceLacks, Latency: w.between(3, 8)}
	case a.JoinFill && w.chance(0.1):
		result.Note = control.Joined
	case source.Kind == originKind || !sourceHolds:
		result.Note = control.FilledByOrigin
		result.FirstByte = w.between(20, 80)
		if w.chance(w.set.world.originFailures) {
			if w.chance(0.5) {
				return control.AttemptResult{Outcome: control.ServerError, Note: control.OriginFailed, Latency: w.between(20, 200)}
			}
			result.FirstByte += w.between(200, 1200)
		}
	}
	congestion := max(1, w.linkUtilization())
	result.Latency = result.FirstByte + w.seconds(sending.Seconds()*congestion)
	w.keep(a, attempt, source, part)
	if !w.set.settings.ResultsDetailed {
		result.Note = control.NoNote
	}
	if w.chance(0.2) {
		result.FirstByte = 0
	}
	return result
}

// keep stores copies at the endpoints of a fill.
func (w *world) keep(a control.Attempt, attempt *worldAttempt, source *worldEndpoint, part cachedPart) {
	if a.CacheRank == 0 {
		return
	}
	for _, e := range []*worldEndpoint{attempt.to, source} {
		if e.Kind != originKind {
			e.cached[part] = w.now
		}
	}
}

// healthCheck schedules the response of an endpoint to a health check.
func (w *world) healthCheck(e *worldEndpoint) {
	result := control.HealthCheckResult{Endpoint: e.ID, Outcome: control.OK, Latency: w.between(0.3, 3)}
	if w.now >= e.faultEnds {
		e.fault = noFault
	}
	switch {
	case e.fault == unreachable:
		result.Outcome = control.ConnectFailed
	case e.fault == silent:
		result.Outcome, result.Latency = control.TimedOut, milliseconds(200)
	case e.fault == resetting:
		result.Outcome = control.ConnectionLost
	case w.chance(0.1):
		result.Outcome = control.ServerError
	}
	w.after(result.Latency, func() {
		if result.Outcome == control.OK && w.chance(w.set.world.reportRate) {
			result.Load = w.report(e)
		}
		w.handle(result)
	})
}

func (w *world) beginFault() {
	e := w.someEndpoint()
	e.fault = 1 + endpointFault(w.random.IntN(int(endpointFaults)-1))
	e.faultEnds = w.now + w.between(200, 1000*w.set.world.outageSeconds)
}

// ---- Discovery and operators ----

func (w *world) list() (entries []control.Endpoint) {
	for _, e := range w.endpoints {
		entries = append(entries, e.Endpoint)
	}
	return entries
}

// pollList responds to a poll of the endpoint list.
func (w *world) pollList() {
	if w.chance(w.set.world.listFailures) {
		w.handle(control.EndpointList{Failed: true})
		return
	}
	w.handle(control.EndpointList{Snapshot: true, Endpoints: w.list()})
}

// changeList changes an endpoint and reports it in a delta or a snapshot, which may omit one.
func (w *world) changeList() {
	if w.chance(w.set.world.listFailures) { // the connection to the source of changes is lost
		w.handle(control.EndpointList{Failed: true})
		return
	}
	e := w.someEndpoint()
	switch {
	case w.chance(w.set.world.restartShare):
		e.StartedAt, e.State, e.cached = w.now, control.Ready, map[cachedPart]time.Duration{}
		if w.chance(0.3) { // the list reports the start late
			e.StartedAt -= w.between(0, 2000)
		}
	case e.State != control.Ready || e.Kind == originKind && w.chance(0.8):
		e.State = control.Ready
	case w.chance(0.6):
		e.State = control.Draining
	default:
		e.State = control.Gone
	}
	entry := e.Endpoint
	switch w.random.IntN(30) { // invalid weights
	case 0:
		entry.Weight = 0
	case 1:
		entry.Weight = math.Inf(1)
	case 2:
		entry.Weight = -1
	}
	if w.chance(0.8) {
		w.handle(control.EndpointList{Endpoints: []control.Endpoint{entry}})
	} else {
		list := w.list()
		if w.chance(0.3) {
			list = slices.DeleteFunc(list, func(m control.Endpoint) bool { return m.ID == e.ID && m.Kind != originKind })
		}
		w.handle(control.EndpointList{Snapshot: true, Endpoints: list})
	}
	if e.State != control.Ready { // it becomes ready again
		w.after(w.between(300, 4000), func() {
			e.State = control.Ready
			w.handle(control.EndpointList{Endpoints: []control.Endpoint{e.Endpoint}})
		})
	}
}

func (w *world) purge() {
	p := control.Purged{Ago: w.between(0, 400)}
	object := control.ObjectID(1 + w.random.IntN(w.set.world.objects))
	if p.Group = uint16(object % 8); w.chance(0.9) {
		p.Object = object
	}
	w.handle(p)
	if w.chance(0.2) { // reported twice
		w.handle(p)
	}
}

// exclude excludes an endpoint on behalf of the operators and readmits it later.
func (w *world) exclude() {
	id := w.someEndpoint().ID
	if w.chance(0.1) {
		id = unknownID
	}
	if w.excluded[id] {
		return
	}
	w.excluded[id] = true
	w.handle(control.Excluded{Endpoint: id, Excluded: true})
	w.after(w.between(200, 5000), func() {
		delete(w.excluded, id)
		w.handle(control.Excluded{Endpoint: id})
	})
}

// badEvent sends an event with an unknown or finished subject, or makes a query.
func (w *world) badEvent() {
	id := control.RequestID(1 + w.random.Uint64N(uint64(w.lastID)+1))
	r := w.requests[id]
	switch w.random.IntN(9) {
	case 0: // a repeated id of an unfinished request
		if r != nil && !r.answered {
			w.handle(r.Request)
		}
	case 1:
		w.handle(control.Request{ID: 1 << 40, Class: len(w.set.settings.Classes), Object: 1, Remaining: time.Second})
	case 2:
		w.handle(control.AttemptResult{ID: id, Attempt: 99, Endpoint: firstCacheID, Outcome: control.OK, Load: w.report(w.endpoints[0])})
	case 3:
		w.handle(control.AttemptResult{ID: 1 << 41, Endpoint: unknownID, Outcome: control.ServerError})
	case 4:
		w.handle(control.ClientGone{ID: 1 << 42})
	case 5:
		w.handle(control.TimerFired{Token: w.random.Uint64N(1 << 20)})
	case 6:
		w.handle(query{kindQueryListed, uint64([]control.EndpointID{firstCacheID, originID, unknownID}[w.random.IntN(3)])})
	case 7:
		w.handle(query{kindQueryDeadlineReached, uint64(id)})
		if r != nil && !r.answered {
			w.handle(control.DeadlineReached(id))
		}
	case 8:
		w.handle(control.HealthCheckResult{Endpoint: unknownID, Outcome: control.TimedOut})
	}
}
