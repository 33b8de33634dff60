package control

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// After a confirmed miss a request is rejected once a fill, with the observed lateness of fills, can no longer meet
// the latency objective. If requests stayed queued up to the last moment under overload, every one of them would be
// sent just too late. First tries whose remaining time differs only by network delays are still queued.
func TestConfirmedMissIsNotQueuedWhenFillsAreTooLate(t *testing.T) {
	queued := func(late float64, remaining time.Duration) bool {
		c, err := New(testSettings(), 3)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * time.Second
		c.Handle(now, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, nil)
		c.fillLateness[0] = meanEstimator{mean: late, samples: 1}
		c.link.reported, c.link.utilization, c.window.inFlight = true, 2*fullUtilization, 1 // no slot
		c.longestRemaining[0] = 4 * time.Second
		c.Handle(now, Request{ID: 1, Object: 1, SizeKB: 50, Remaining: remaining}, nil)
		c.Handle(now, AttemptResult{ID: 1, Endpoint: c.requests[1].attempts[0].target.ID, Outcome: Miss}, nil)
		return c.requests[1] != nil
	}
	if !queued(0.1, 3900*ms) {
		t.Error("a confirmed miss is not queued although a fill would be in time")
	}
	if queued(0.5, 3900*ms) {
		t.Error("a confirmed miss is queued although fills are later than its latency objective allows")
	}
	if queued(0.1, 2*time.Second) {
		t.Error("a client's retry is queued")
	}
}

// A write transfers nothing over the link that caches use for fills. When it waited for a slot of the window like a
// fill, it was rejected while the window was closed, and was lost for good at a cache that loses responses.
func TestWriteIsSentToOrigin(t *testing.T) {
	set := testSettings()
	set.Classes[2].Write = true
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(100*time.Second, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, nil)
	c.window.inFlight, c.window.max = 5, 1
	actions := c.Handle(100*time.Second, Request{ID: 1, Class: 2, Object: 7, Remaining: time.Second}, nil)
	for _, a := range actions {
		if a, ok := a.(Attempt); ok && a.To == originID && a.Source == originID && a.CacheRank == 0 && c.window.inFlight == 5 {
			return
		}
	}
	t.Errorf("%+v", actions)
}

// If more is queued than the caches can transfer in time, the large requests are rejected at once, and the many
// small ones that fit in their place are not. A gateway whose caches have capacity rejects none.
func TestOverloadRejectsLeastValuable(t *testing.T) {
	c := newTwoCacheController(t)
	rejected, sizes := map[RequestID]bool{}, map[RequestID]float64{}
	send := func(id RequestID, kb float64) {
		sizes[id] = kb
		for _, a := range c.Handle(c.now, Request{ID: id, Object: ObjectID(id), SizeKB: kb, Remaining: 5 * time.Second}, nil) {
			if a, ok := a.(Reject); ok {
				rejected[a.ID] = true
				if a.RetryAfter != 0 && !c.settings.CanRetryAfter {
					t.Error("a Retry-After that the settings do not allow")
				}
			}
		}
	}
	send(1, 500)
	if len(rejected) > 0 {
		t.Fatal("rejected although the caches are idle")
	}
	for id := RequestID(2); id < 200; id++ {
		kb := 20.0
		if id%3 == 0 {
			kb = 800
		}
		send(id, kb)
	}
	small := 0
	for id := range rejected {
		if sizes[id] < 100 {
			small++
		}
	}
	if backlog, _ := c.queue.backlog(c.meanTransfer); len(rejected) < 20 || small > 0 || backlog == 0 || backlog > 2*linkOvercommit*10 {
		t.Errorf("%d rejected, %d of them small, %.1f s still queued", len(rejected), small, backlog)
	}
}

// A request with too little time to transfer its response is rejected at once and causes no work at a cache. If the
// client holds a copy, the response may need no body, so the request is sent.
func TestRequestWithTooLittleTimeIsRejectedAtOnce(t *testing.T) {
	for _, known := range []bool{false, true} {
		c := newTwoCacheController(t)
		sent := false
		for _, a := range c.Handle(c.now, Request{ID: 1, Object: 7, SizeKB: 500, ClientHasCopy: known, Remaining: 300 * time.Millisecond}, nil) {
			_, ok := a.(Attempt)
			sent = sent || ok
		}
		if sent != known {
			t.Errorf("known %v: sent %v", known, sent)
		}
	}
}

// A client's retry has missed its objective: it is sent if possible at once, but not queued ahead of requests in
// time.
func TestRetriesAreNotQueued(t *testing.T) {
	h := newHarness(t, testSettings(), nil) // without endpoints nothing can be sent
	h.request(Request{ID: 1, Object: 1, SizeKB: 100, Remaining: 2 * time.Second})
	if h.answered[1] {
		t.Fatal("a first try in time was not queued")
	}
	h.request(Request{ID: 2, Object: 2, SizeKB: 100, Remaining: 2 * time.Second, Retry: true})
	h.request(Request{ID: 3, Object: 3, SizeKB: 100, Remaining: time.Second})
	if !h.answered[2] || !h.answered[3] {
		t.Error("a retry, marked or with less time left, was queued")
	}
}

// Large requests stay queued for less time than small ones, because they slow down the others that share a link.
func TestLargeRequestsAreQueuedForLessTime(t *testing.T) {
	h := newHarness(t, testSettings(), nil)
	h.request(Request{ID: 1, Object: 1, SizeKB: 10, Remaining: 3 * time.Second})
	h.request(Request{ID: 2, Object: 2, SizeKB: 300, Remaining: 3 * time.Second})
	h.advance(200 * ms)
	if h.answered[1] || !h.answered[2] {
		t.Errorf("after 200 ms: small request answered %v, large request answered %v", h.answered[1], h.answered[2])
	}
}

// simulatedCaches simulates caches that share their links evenly among their open transfers, and a shared link for
// fills.
type simulatedCaches struct {
	*harness
	sizesKnown   bool
	heldShare    float64 // share of the parts that are cached
	linkCapacity float64 // transfers at a client's pace that the link for fills carries
	size         map[RequestID]time.Duration
	remaining    map[*sentAttempt]time.Duration // remaining transfer time of an attempt at a client's pace
	startsAt     map[*sentAttempt]time.Duration // when the first byte arrives from the cache or its source
	requested    []RequestID
	served       map[RequestID]bool
}

// step advances the caches and the link by one batch interval.
func (d *simulatedCaches) step() {
	type open struct {
		s *sentAttempt
		n int
	}
	var at []open
	on, fills := map[EndpointID]float64{}, 0.0
	for id := range d.deadlines {
		for n, s := range d.attempts[id] {
			if s.ended {
				continue
			}
			if _, seen := d.remaining[s]; !seen {
				d.remaining[s], d.startsAt[s] = d.size[id], d.now+5*ms
				if d.miss(s) {
					d.startsAt[s] = d.now + 40*ms
				}
			}
			if at = append(at, open{s, n}); d.now >= d.startsAt[s] {
				on[s.To]++
				if d.miss(s) {
					fills++
				}
			}
		}
	}
	slices.SortFunc(at, func(a, b open) int { return cmp.Compare(a.s.ID, b.s.ID) })
	for _, o := range at {
		s := o.s
		if d.now < d.startsAt[s] {
			continue
		}
		if d.miss(s) && (s.Source == s.To || s.CachedOnly) {
			d.endAttempt(s.ID, o.n, Miss, NoNote)
			continue
		}
		pace := min(1, d.endpoints[s.To].Weight/on[s.To])
		if d.miss(s) {
			pace = min(pace, d.linkCapacity/fills)
		}
		if d.remaining[s] -= time.Duration(pace * float64(d.settings.BatchInterval)); d.remaining[s] > 0 {
			continue
		}
		note, wait := Hit, time.Duration(0)
		if d.miss(s) {
			note, wait = Filled, 40*ms
		}
		s.ended, s.outcome, d.answered[s.ID], d.served[s.ID] = true, OK, true, true
		out := AttemptResult{ID: s.ID, Attempt: o.n, Endpoint: s.To, Note: note, Latency: d.now - s.sentAt, FirstByte: wait, RequestClosed: true}
		if !d.sizesKnown {
			out.TransferTime = d.size[s.ID]
		}
		d.handle(out)
	}
	d.advance(d.settings.BatchInterval)
}

// miss reports whether the caches lack the part that an attempt requests.
func (d *simulatedCaches) miss(s *sentAttempt) bool {
	return float64(splitmix(uint64(d.requests[s.ID].Object))>>11)/(1<<53) >= d.heldShare
}

// shares returns the served share of all requests, of the tenth with the largest objects, and of the next fifth.
func (d *simulatedCaches) shares() (all, largest, next float64) {
	slices.SortFunc(d.requested, func(a, b RequestID) int { return cmp.Compare(d.size[b], d.size[a]) })
	of := func(ids []RequestID) float64 {
		n := 0.0
		for _, id := range ids {
			n += indicator(d.served[id])
		}
		return n / float64(len(ids))
	}
	n := len(d.requested)
	return of(d.requested), of(d.requested[:n/10]), of(d.requested[n/10 : n/10+n/5])
}

// In each class the requests with the largest objects are served in proportion to the others, also above capacity.
func TestLargestRequestsGetTheirShare(t *testing.T) {
	for _, x := range []struct {
		name            string
		sizesKnown      bool
		load, heldShare float64 // load relative to the capacity of the caches; share of the parts that are cached
		bound           float64
	}{
		{"low load, sizes known", true, 0.7, 0.7, 2. / 3}, {"low load, sizes unknown", false, 0.7, 0.7, 2. / 3},
		{"caches overloaded, sizes known", true, 1.5, 0.95, 0.5}, {"caches overloaded, sizes unknown", false, 1.5, 0.95, 0.5},
		{"link overloaded, sizes known", true, 0.8, 0.3, 0.5}, {"link overloaded, sizes unknown", false, 0.8, 0.3, 0.5},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.Gateways, set.GatewaysByZone, set.CanHedge = 1, []int{0, 0, 1, 0}, false
			set.LinkKBps = []float64{0, 0, 5000, 0}
			set.Classes = []Class{
				{LatencyObjective: 500 * ms, ObjectiveStretch: 2, Deadline: 5 * time.Second, PriorityWeight: 2},
				{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 3 * time.Second, PriorityWeight: 1},
			}
			d := &simulatedCaches{harness: newHarness(t, set, testEndpoints()), sizesKnown: x.sizesKnown, heldShare: x.heldShare, linkCapacity: 5, size: map[RequestID]time.Duration{},
				remaining: map[*sentAttempt]time.Duration{}, startsAt: map[*sentAttempt]time.Duration{}, served: map[RequestID]bool{}}
			rng := rand.New(rand.NewPCG(1, 2))
			const capacity, mean = 16.0, 0.317 // capacity of the caches in transfers, mean seconds of a transfer
			next := d.now
			ids := [2][]RequestID{}
			for id := RequestID(1); id <= 2500; {
				for d.now >= next {
					class := int(id) % 2
					kb := 20 * math.Pow(40, rng.Float64()) // the largest is 40 times the smallest
					if class == 0 {
						kb *= 2
					}
					d.size[id] = time.Duration(kb / set.ClientKBps * float64(time.Second))
					q := Request{ID: id, Class: class, Object: ObjectID(1 + rng.IntN(2000)), Remaining: set.Classes[class].Deadline}
					if x.sizesKnown {
						q.SizeKB = kb
					}
					ids[class] = append(ids[class], id)
					d.request(q)
					id++
					next += time.Duration(rng.ExpFloat64() * mean / capacity / x.load * float64(time.Second))
				}
				d.step()
			}
			for range 1500 {
				d.step()
			}
			for class, requested := range ids {
				d.requested = requested[len(requested)/10:] // without the learning phase at the start
				all, largest, next := d.shares()
				t.Logf("class %d: served %.3f, of the largest %.3f (%.2f), of the next fifth %.3f (%.2f)", class, all, largest, largest/all, next, next/all)
				if least := min(largest, next) / all; all == 0 || least < x.bound {
					t.Errorf("class %d: the largest are served at %.2f of the overall share, want %.2f", class, least, x.bound)
				}
			}
		})
	}
}
