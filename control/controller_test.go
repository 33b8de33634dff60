package control

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Checks the rules on long random sequences of events, without a model of caches, for several kinds of site.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(36) {
		results := int(NotSent) + 1
		if seed >= 24 { // with local failures as well
			results = int(LocalFailure) + 1
		}
		rng := rand.New(rand.NewPCG(seed, 7))
		set := testSettings()
		set.CanHedge, set.CanBypassCaches, set.CanCheckHealth = seed%2 == 0, seed%3 != 0, seed%5 == 0
		set.ResultsDetailed, set.CanCancel = seed%4 != 1, seed%7 != 0
		list := testEndpoints()
		h := newHarness(t, set, list)
		next := RequestID(1)
		served := 0
		for range 1500 {
			h.advance(time.Duration(rng.IntN(20)) * ms)
			switch k := rng.IntN(100); {
			case k < 60:
				size := 300.0
				if seed%6 == 1 {
					size = 0
				}
				q := Request{ID: next, Class: rng.IntN(4), Object: ObjectID(1 + rng.IntN(40)), SizeKB: size,
					ObjectGroup: uint16(rng.IntN(3)), Remaining: time.Duration(500+rng.IntN(2500)) * ms, Part: uint32(rng.IntN(2))}
				h.request(q)
				next++
			case k < 64:
				m := list[rng.IntN(len(list))]
				m.State = State(1 + rng.IntN(2))
				if m.ID != originID && rng.IntN(2) == 0 {
					m.StartedAt = h.now
					h.slowStartWork[m.ID] = nil
				}
				h.updateList(false, m)
			case k < 67:
				p := Purged{Object: ObjectID(rng.IntN(40)), Group: uint16(rng.IntN(3)), Ago: time.Duration(rng.IntN(400)) * ms}
				h.purges, h.purgedAt = append(h.purges, p), append(h.purgedAt, h.now)
				h.handle(p)
			case k < 68 && next > 1:
				id := RequestID(1 + rng.IntN(int(next)))
				if _, ok := h.requests[id]; ok && !h.answered[id] {
					h.answered[id] = true
					h.handle(ClientGone{ID: id})
				}
			}
			for id := max(1, int(next)-60); id < int(next); id++ {
				for n, s := range h.attempts[RequestID(id)] {
					if !s.ended && rng.IntN(8) == 0 {
						res := Outcome(rng.IntN(results))
						if rng.IntN(2) == 0 {
							res, served = OK, served+1
						}
						h.endAttempt(RequestID(id), n, res, Note(rng.IntN(11)))
						break
					}
				}
			}
		}
		h.advance(5 * time.Second)
		if served == 0 || len(h.requests) < 500 {
			t.Errorf("seed %d: %d served of %d requests: too few for a test", seed, served, len(h.requests))
		}
		for id := range h.requests {
			for n, s := range h.attempts[id] {
				if !s.ended {
					h.endAttempt(id, n, TimedOut, NoNote)
				}
			}
		}
		if len(h.controller.requests) != 0 || h.controller.window.inFlight != 0 || len(h.controller.fillsInFlight) != 0 {
			t.Errorf("seed %d: at the end %d requests, %d slots and %d fills remain", seed, len(h.controller.requests), h.controller.window.inFlight, len(h.controller.fillsInFlight))
		}
		for _, e := range h.controller.endpoints {
			if len(e.inFlight) != 0 {
				t.Errorf("seed %d: endpoint %d keeps %d attempts", seed, e.ID, len(e.inFlight))
			}
		}
	}
}

// A late result for a finished request has no effect, nor have events for unknown requests or endpoints.
func TestStrayEvents(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints())
	for _, ev := range []Event{
		AttemptResult{ID: 9, Endpoint: 7}, AttemptResult{ID: 9, Attempt: -1, Endpoint: 10}, ClientGone{ID: 4}, ResponseStarted{ID: 4}, TimerFired{Token: 1 << 40},
		HealthCheckResult{Endpoint: 99, Outcome: OK}, EndpointList{Failed: true}, Purged{}, Request{ID: 3, Class: 77, Remaining: time.Second},
	} {
		h.handle(ev)
	}
	if !h.answered[3] {
		t.Error("a request of an unknown class got no response")
	}
}

// Memory stays bounded with any number of distinct objects and purges.
func TestMemoryIsBounded(t *testing.T) {
	set := testSettings()
	h := newHarness(t, set, testEndpoints())
	for i := range 5 * maxObjects {
		h.now += 5 * ms
		id := RequestID(i + 1)
		h.controller.Handle(h.now, Request{ID: id, Object: ObjectID(i + 1), SizeKB: 1, Remaining: time.Second}, nil)
		h.controller.Handle(h.now, AttemptResult{ID: id, Endpoint: 10, Outcome: OK, Note: Hit, RequestClosed: true}, nil)
		h.controller.Handle(h.now, Purged{Object: ObjectID(i + 1)}, nil)
		if i%20 == 0 {
			h.controller.Handle(h.now, TimerFired{Token: timerTick}, nil)
		}
	}
	if n := len(h.controller.objects[0]) + len(h.controller.objects[1]); n > 2*maxObjects {
		t.Errorf("%d objects are kept, %d at most", n, 2*maxObjects)
	}
	if most := int((set.PurgeCompletion+2*time.Second)/(5*ms)) + 20; len(h.controller.purges) > most || len(h.controller.purgeLog) > most {
		t.Errorf("%d purges are kept, %d at most", len(h.controller.purges), most)
	}
	if len(h.controller.requests) > 0 {
		t.Errorf("%d requests are kept after their responses", len(h.controller.requests))
	}
}

// The same events must give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		c, err := New(testSettings(), 9)
		if err != nil {
			t.Fatal(err)
		}
		now := 50 * time.Second
		all = c.Handle(now, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, all)
		for i := range 300 {
			now += 3 * ms
			all = c.Handle(now, Request{ID: RequestID(i), Object: ObjectID(i % 37), Class: i % 4, Remaining: time.Second}, all)
			if i%3 == 0 {
				all = c.Handle(now, AttemptResult{ID: RequestID(i / 2), Endpoint: 10, Outcome: Outcome(i % 9)}, all)
			}
		}
		return all
	}
	a, b := run(), run()
	if len(a) != len(b) || len(a) < 300 {
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d: %+v and %+v", i, a[i], b[i])
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	c, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	actions := c.Handle(time.Second, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, nil)
	b.ReportAllocs()
	for i := range b.N {
		now, id := time.Minute+time.Duration(i)*ms, RequestID(i)
		actions = c.Handle(now, Request{ID: id, Object: ObjectID(i%1000 + 1), SizeKB: 10, Remaining: time.Second}, actions[:0])
		actions = c.Handle(now, AttemptResult{ID: id, Endpoint: 10, Outcome: OK, Note: Hit, RequestClosed: true}, actions[:0])
	}
}

// BenchmarkLargeFleet has 200 endpoints, of which few are in the gateway's location. A request may cost one pass
// over the list more than with seven endpoints, and no further allocation.
func BenchmarkLargeFleet(b *testing.B) {
	set := testSettings()
	set.Gateways, set.GatewaysByZone = 240, []int{0, 0, 10, 230}
	c, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := testEndpoints()
	for i := range 193 {
		list = append(list, Endpoint{ID: EndpointID(1000 + i), Zone: 3, Weight: 4, State: Ready})
	}
	actions := c.Handle(time.Second, EndpointList{Snapshot: true, Endpoints: list}, nil)
	b.ReportAllocs()
	for i := range b.N {
		now, id := time.Minute+time.Duration(i)*ms, RequestID(i)
		actions = c.Handle(now, Request{ID: id, Object: ObjectID(i%1000 + 1), SizeKB: 10, Remaining: time.Second}, actions[:0])
		actions = c.Handle(now, AttemptResult{ID: id, Endpoint: 10, Outcome: OK, Note: Hit, RequestClosed: true}, actions[:0])
	}
}
