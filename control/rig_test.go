package control

import (
	"slices"
	"testing"
	"time"
)

const (
	ms        = time.Millisecond
	testZone  = 2
	parentID  = 50
	originID  = 60
	testGrace = 500 * ms
)

// testSettings returns the settings of a location with two gateways and one hub, with one class of each kind.
func testSettings() Settings {
	return Settings{
		Gateways: 4, Zone: testZone, GatewaysByZone: []int{0, 0, 2, 2}, HubOfZone: []int{0, 1, 0, 1}, Kinds: 3,
		ParentKind: 1, OriginKind: 2, BatchInterval: 2 * ms, ClientKBps: 1000, WeightsKnown: true, MaxAttempts: 5,
		CanCancel: true, CanHedge: true, CanBypassCaches: true, CanJoinFills: true, ResultsDetailed: true, DrainGrace: testGrace,
		SlowStartShare: 0.2, SlowStartDuration: 10 * time.Second, CollapseMultiple: 2, CollapseWindow: 2 * time.Second,
		ParentSlowStartShare: 0.1, ParentSlowStartDuration: 20 * time.Second, ParentCollapseMultiple: 2,
		PurgeGrace: 300 * ms, PurgeCompletion: 6 * time.Second,
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 1, Deadline: 4 * time.Second, PriorityWeight: 2},
			{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, FreshFor: 5 * time.Second, MaxStaleness: 5 * time.Second},
			{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: NonIdempotent},
			{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, DedupScope: DedupScopeCell, DedupWindow: time.Second},
		},
	}
}

func testEndpoints() []Endpoint {
	list := []Endpoint{
		{ID: parentID, Zone: 0, Kind: 1, Weight: 20, State: Ready}, {ID: parentID + 1, Zone: 1, Kind: 1, Weight: 20, State: Ready},
		{ID: originID, Zone: 0, Kind: 2, Weight: 1, State: Ready},
	}
	for i := range 4 {
		list = append(list, Endpoint{ID: EndpointID(10 + i), Cell: i / 2, Zone: testZone, Weight: 4, State: Ready})
	}
	return list
}

type sentAttempt struct {
	Attempt
	sentAt  time.Duration
	outcome Outcome
	ended   bool
}

// harness carries out the actions of a controller and checks the five rules on them.
type harness struct {
	t             *testing.T
	settings      Settings
	controller    *Controller
	now           time.Duration
	requests      map[RequestID]Request
	deadlines     map[RequestID]time.Duration
	answered      map[RequestID]bool
	attempts      map[RequestID][]*sentAttempt
	endpoints     map[EndpointID]Endpoint
	notReady      map[EndpointID]time.Duration // time since which it is listed as draining or gone
	purges        []Purged
	purgedAt      []time.Duration
	slowStartWork map[EndpointID][][2]float64 // send time and work of each attempt
	timers        []SetTimer
}

func newHarness(t *testing.T, set Settings, endpoints []Endpoint) *harness {
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, settings: set, controller: c, now: 100 * time.Second, requests: map[RequestID]Request{}, answered: map[RequestID]bool{},
		deadlines: map[RequestID]time.Duration{}, attempts: map[RequestID][]*sentAttempt{}, endpoints: map[EndpointID]Endpoint{},
		notReady: map[EndpointID]time.Duration{}, slowStartWork: map[EndpointID][][2]float64{}}
	h.updateList(true, endpoints...)
	return h
}

func (h *harness) updateList(snapshot bool, endpoints ...Endpoint) {
	for _, m := range endpoints {
		h.endpoints[m.ID] = m
		delete(h.notReady, m.ID)
		if m.State != Ready {
			h.notReady[m.ID] = h.now
		}
	}
	h.handle(EndpointList{Snapshot: snapshot, Endpoints: endpoints})
}

func (h *harness) request(q Request) {
	h.requests[q.ID], h.deadlines[q.ID] = q, h.now+q.Remaining
	h.handle(q)
}

func (h *harness) endAttempt(id RequestID, n int, res Outcome, note Note) {
	s := h.attempts[id][n]
	s.ended, s.outcome = true, res
	if res == LocalFailure {
		h.refundAttempt(s)
	}
	if res == OK {
		h.answered[id] = true
	}
	h.handle(AttemptResult{ID: id, Attempt: n, Endpoint: s.To, Outcome: res, Note: note, Latency: h.now - s.sentAt, RequestClosed: h.answered[id]})
}

// advance moves the clock forward and fires the timers that expire.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += h.settings.BatchInterval
		var due []SetTimer
		rest := h.timers[:0:0]
		for _, w := range h.timers {
			if w.At <= h.now {
				due = append(due, w)
			} else {
				rest = append(rest, w)
			}
		}
		h.timers = rest
		for _, w := range due {
			h.handle(TimerFired{w.Token})
		}
		for id, until := range h.deadlines {
			if h.now > until && !h.answered[id] {
				h.t.Fatalf("rule 1: request %d has no final response", id)
			}
			if h.answered[id] {
				delete(h.deadlines, id)
			}
		}
	}
}

func (h *harness) handle(ev Event) {
	for _, a := range h.controller.Handle(h.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			h.timers = append(h.timers, a)
		case Reject:
			h.checkFinalAnswer(a.ID)
			for _, s := range h.attempts[a.ID] {
				idempotency := h.settings.Classes[h.requests[a.ID].Class].Idempotency
				if idempotency != Idempotent && (!s.ended || s.outcome == ServerError || s.outcome == TimedOut || s.outcome == ConnectionLost || s.outcome == Canceled) {
					h.t.Fatalf("rule 2: request %d rejected although it may have run", a.ID)
				}
			}
		case Fail:
			h.checkFinalAnswer(a.ID)
		case Attempt:
			h.checkAttempt(a)
		}
	}
}

func (h *harness) checkFinalAnswer(id RequestID) {
	if h.answered[id] {
		h.t.Fatalf("rule 1: second final response for %d", id)
	}
	h.answered[id] = true
}

func (h *harness) checkAttempt(a Attempt) {
	t, q := h.t, h.requests[a.ID]
	class := h.settings.Classes[q.Class]
	if h.answered[a.ID] {
		t.Fatalf("rule 1: attempt after the final response to %d", a.ID)
	}
	if h.attemptsSent(a.ID) >= h.settings.MaxAttempts {
		t.Fatalf("request %d: too many attempts", a.ID)
	}
	for _, s := range h.attempts[a.ID] {
		if !s.ended && !h.settings.CanHedge {
			t.Fatalf("rule 2: two concurrent attempts of %d", a.ID)
		}
		if s.ended && (s.outcome == Miss || s.outcome == Overloaded || s.outcome == ConnectFailed || s.outcome == NotSent || s.outcome == LocalFailure) {
			continue
		}
		if class.Idempotency == NonIdempotent {
			t.Fatalf("rule 2: non-idempotent request %d sent again", a.ID)
		}
		if class.Idempotency == IdempotentByKey && (h.endpoints[s.To].Cell != h.endpoints[a.To].Cell || h.now > s.sentAt+class.DedupWindow) {
			t.Fatalf("rule 2: request %d with an idempotency key sent outside its dedup scope or window", a.ID)
		}
	}
	for _, id := range []EndpointID{a.To, a.Source} {
		if at, ok := h.notReady[id]; ok && h.now > at+h.settings.DrainGrace {
			t.Fatalf("rule 3: %d sent to %d, which is draining or gone", a.ID, id)
		}
	}
	for i, p := range h.purges {
		hit := p.Object == q.Object || p.Object == 0 && p.Group == q.ObjectGroup
		if hit && h.now > h.purgedAt[i]+h.settings.PurgeGrace && h.now < h.purgedAt[i]-p.Ago+h.settings.PurgeCompletion {
			if copied := h.now - a.MaxAge; a.MaxAge == 0 || copied < h.purgedAt[i]-p.Ago {
				t.Fatalf("rule 5: %d allows copies up to %v old, purged %v ago", a.ID, a.MaxAge, h.now-h.purgedAt[i]+p.Ago)
			}
		}
	}
	if q.SizeKB > 0 { // otherwise the transfer time is an estimate that this test cannot check
		h.checkSlowStartWork(a.To, h.settings.SlowStartShare, h.settings.SlowStartDuration, h.settings.CollapseMultiple, 2, 0.3)
	}
	if a.Source != a.To {
		h.checkSlowStartWork(a.Source, h.settings.ParentSlowStartShare, h.settings.ParentSlowStartDuration, h.settings.ParentCollapseMultiple, h.settings.Gateways, q.SizeKB/h.settings.ClientKBps)
	}
	h.attempts[a.ID] = append(h.attempts[a.ID], &sentAttempt{Attempt: a, sentAt: h.now})
}

// attemptsSent returns the number of attempts of a request that may have been sent by the gateway.
func (h *harness) attemptsSent(id RequestID) (n int) {
	for _, s := range h.attempts[id] {
		if s.outcome != LocalFailure {
			n++
		}
	}
	return n
}

// refundAttempt removes the work of an attempt that was not sent.
func (h *harness) refundAttempt(s *sentAttempt) {
	for _, id := range []EndpointID{s.To, s.Source} {
		at := func(w [2]float64) bool { return w[0] == s.sentAt.Seconds() }
		if i := slices.IndexFunc(h.slowStartWork[id], at); i >= 0 {
			h.slowStartWork[id] = slices.Delete(h.slowStartWork[id], i, i+1)
		}
		if s.To == s.Source {
			return
		}
	}
}

// checkSlowStartWork checks that this gateway's share of the load that all gateways may send stays below the limit,
// with a tolerance of one request, assuming that all gateways send the same load.
func (h *harness) checkSlowStartWork(id EndpointID, share float64, duration time.Duration, multiple float64, gateways int, work float64) {
	m := h.endpoints[id]
	if m.StartedAt == 0 || h.now > m.StartedAt+duration || m.Kind == h.settings.OriginKind {
		return
	}
	h.slowStartWork[id] = append(h.slowStartWork[id], [2]float64{h.now.Seconds(), work})
	sum, span := 0.0, h.settings.CollapseWindow.Seconds()
	for _, w := range h.slowStartWork[id] {
		if w[0] > h.now.Seconds()-span {
			sum += w[1]
		}
	}
	present := share + (1-share)*(h.now-m.StartedAt).Seconds()/duration.Seconds()
	if limit := multiple*present*m.Weight*span/float64(gateways) + work; sum > limit {
		h.t.Fatalf("rule 4: %.2f s of work sent to endpoint %d in slow start in %.1f s, %.2f at most", sum, id, span, limit)
	}
}
