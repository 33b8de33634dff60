package control

import (
	"testing"
	"time"
)

// fills completes n fills on a window that is kept full.
func fills(w *fillWindow, n int, u float64) {
	for range n {
		w.inFlight = w.max
		w.release(true, u)
	}
}

func TestWindowAdjustment(t *testing.T) {
	w := fillWindow{max: 1, fastStart: true}
	for _, want := range []int{2, 4, 8} { // Wmax doubles in each interval while U is below half of Umax
		fills(&w, fillsPerWindowStep*w.max, 0.2)
		if w.max != want {
			t.Fatalf("fast start: Wmax %d, want %d", w.max, want)
		}
	}
	fills(&w, fillsPerWindowStep*8, 0.7) // from here on equation 4 applies
	if w.max != 9 || w.fastStart {
		t.Fatalf("one step up: Wmax %d fast %v, want 9 false", w.max, w.fastStart)
	}
	fills(&w, fillsPerWindowStep*9, 0.1) // fast start does not resume
	if w.max != 10 {
		t.Fatalf("Wmax %d, want 10", w.max)
	}
	fills(&w, fillsPerWindowStep*10, fullUtilization) // U equal to Umax: no change
	if w.max != 10 {
		t.Fatalf("U = Umax changed Wmax to %d", w.max)
	}
	fills(&w, fillsPerWindowStep*10, 1.3)
	if w.max != 9 {
		t.Fatalf("one step down: Wmax %d, want 9", w.max)
	}
	for range fillsPerWindowStep * 9 { // a window that is not full does not change
		w.inFlight = w.max - 1
		w.release(true, 0.1)
	}
	if w.max != 9 {
		t.Fatalf("Wmax of a window with free slots changed to %d", w.max)
	}
	least := fillWindow{max: 1}
	fills(&least, fillsPerWindowStep, 2)
	if least.max != 1 {
		t.Fatalf("Wmax fell to %d", least.max)
	}
}

func TestWindowAdmitsFills(t *testing.T) {
	w := fillWindow{inFlight: 3, max: 3}
	for _, c := range []struct {
		u    float64
		want bool
	}{{fullUtilization, false}, {1.2, false}, {fullUtilization - 0.01, true}, {-1, false}} {
		if w.admits(c.u) != c.want {
			t.Errorf("full window, U %v: admits is %v", c.u, !c.want)
		}
	}
	w.inFlight = 2
	if !w.admits(2) {
		t.Error("a fill is not admitted to a free slot")
	}
}

// While the origin is slow, its late fills close the window, also for objects that the parent has cached. A request
// that must wait for a slot is therefore also looked up at its parent, which does not ask the origin. If a full link
// closes the window, the lookup must not cause further transfers over the link.
func TestLookupReachesParentWhileFillsAreLate(t *testing.T) {
	for _, x := range []struct {
		name   string
		u      float64
		late   bool
		parent bool
	}{
		{"late fills, capacity on the link", 0.5, true, true},
		{"a full link", 1.2, false, false},
		{"late fills and a full link", 1.2, true, false},
		{"link utilization unknown", -1, true, false},
	} {
		set := testSettings()
		set.CanHedge = false
		c, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(10*time.Second, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, nil)
		sent := 9900 * ms
		if x.late {
			sent = 9 * time.Second
		}
		old := &request{class: &set.Classes[0], transferTime: 300 * ms, arrivedAt: sent}
		c.fillsInFlight = []*attempt{{request: old, target: c.endpoints[0], source: c.endpoints[1], sentAt: sent, holdsSlot: true}}
		c.window.inFlight, c.window.max = 1, 1
		c.link.reported, c.link.utilization = true, x.u
		var got []Attempt
		for _, a := range c.Handle(10*time.Second+ms, Request{ID: 9, Object: 99, SizeKB: 50, Remaining: 2 * time.Second}, nil) {
			if a, ok := a.(Attempt); ok {
				got = append(got, a)
			}
		}
		if len(got) != 1 || got[0].CachedOnly != x.parent || (got[0].Source != got[0].To) != x.parent {
			t.Errorf("%s: %+v", x.name, got)
			continue
		}
		out := c.Handle(10*time.Second+5*ms, AttemptResult{ID: 9, Endpoint: got[0].To, Outcome: Miss, Note: SourceLacks}, nil)
		for _, a := range out {
			if a, ok := a.(Attempt); ok {
				t.Errorf("%s: after the miss %+v, with no slot free", x.name, a)
			}
		}
		if c.window.inFlight != 1 || len(c.fillsInFlight) != 1 {
			t.Errorf("%s: a lookup took a slot: %d slots, %d fills", x.name, c.window.inFlight, len(c.fillsInFlight))
		}
	}
}

// fill adds a fill in flight that was sent the given time ago.
func fill(c *Controller, to *endpoint, ago time.Duration) {
	r := &request{class: &c.settings.Classes[0], transferTime: 10 * time.Millisecond}
	a := &attempt{request: r, target: to, source: c.endpoints[2], sentAt: c.now - ago, holdsSlot: true}
	c.fillsInFlight = append(c.fillsInFlight, a)
	to.inFlight = append(to.inFlight, a)
	c.window.inFlight++
}

// The fills of one slow cache, and those whose responses are lost, used to close the window for every other cache: a
// fifth of all requests was rejected while the links were idle.
func TestOneCacheDoesNotCloseTheWindow(t *testing.T) {
	for name, ago := range map[string]time.Duration{
		"slowed": 1500 * time.Millisecond, "lost": 3 * time.Second, "lossy": 1500 * time.Millisecond,
	} {
		c := newTwoCacheController(t)
		slow, well := c.endpoints[0], c.endpoints[1]
		switch name {
		case "slowed":
			for range 40 {
				c.observeLatency(slow, 5)
			}
		case "lossy":
			slow.lossRate = 0.1
		}
		c.now += time.Second
		for range 5 {
			fill(c, slow, ago)
		}
		fill(c, well, 50*time.Millisecond)
		if c.window.max = 1; c.fillsRunLate() || !c.fillMayStart() {
			t.Errorf("%s: late %v, a fill may start %v", name, c.fillsRunLate(), c.fillMayStart())
		}
		c.now += time.Millisecond
		for range 5 { // late fills at a healthy cache do close the window
			fill(c, well, 1500*time.Millisecond)
		}
		if !c.fillsRunLate() {
			t.Errorf("%s: late fills of a healthy cache do not close the window", name)
		}
	}
}

// fill requests a new object and answers it through a parent after the given time.
func (h *harness) fill(id RequestID, kb float64, took time.Duration) {
	h.request(Request{ID: id, Object: ObjectID(1000 + id), SizeKB: kb, Remaining: 3 * time.Second})
	h.now += took
	h.endAttempt(id, 0, OK, Filled)
}

// newLinkHarness returns a gateway whose link carries four transfers at a client's pace. It has observed fills that
// took the given multiple of their transfer times plus a wait.
func newLinkHarness(t *testing.T, gateways int, times float64, wait time.Duration) *harness {
	set := testSettings()
	set.CanHedge = false
	set.LinkKBps = []float64{0, 0, 4000, 0}
	set.GatewaysByZone[testZone] = gateways
	h := newHarness(t, set, testEndpoints())
	for i := range RequestID(80) {
		sending := time.Duration(50+100*(i%3)) * ms
		h.fill(1+i, float64(sending/ms), wait+time.Duration(times*float64(sending)))
	}
	return h
}

// If the link is not reported, U is the number of a gateway's own fills divided by its share of the link capacity in
// the settings, once fills are slowed down. Waits for a slow source do not count as a slow link, and a gateway takes
// over the share that other gateways leave unused.
func TestLinkUtilizationBySettings(t *testing.T) {
	for _, x := range []struct {
		name        string
		gateways    int
		times       float64
		wait        time.Duration
		wantStarted int // fills that start at once; 0: not limited by the link
	}{
		{"a full link of one gateway", 1, 1.4, 0, 5},
		{"a full link of two gateways", 2, 1.4, 0, 3},
		{"a link with capacity of two gateways", 2, 1, 0, 0},
		{"a slow source", 2, 1, 150 * ms, 0},
	} {
		h := newLinkHarness(t, x.gateways, x.times, x.wait)
		h.controller.window.max, h.controller.missShare = 1, 1 // no free slot
		sent := 0
		for i := range RequestID(12) {
			h.request(Request{ID: 500 + i, Object: ObjectID(5000 + i), SizeKB: 100, Remaining: 3 * time.Second})
			if a := h.attempts[500+i]; len(a) == 1 && a[0].Source != a[0].To && !a[0].CachedOnly {
				sent++
			}
		}
		if x.wantStarted > 0 && sent != x.wantStarted || x.wantStarted == 0 && sent < 8 {
			t.Errorf("%s: %d fills started, want %d; U %.2f, slope %.2f", x.name, sent, x.wantStarted, h.controller.linkUtilization(), h.controller.link.fillTimes.slope())
		}
	}
}

// U counts requests without a confirmed miss by the share of them that is filled over the link.
func TestLinkUtilizationLeavesOutHits(t *testing.T) {
	h := newLinkHarness(t, 1, 1.4, 0)
	for i := range RequestID(60) { // three of four are hits
		h.request(Request{ID: 200 + i, Object: ObjectID(2000 + i), SizeKB: 150, Remaining: 3 * time.Second})
		h.now += 210 * ms
		h.endAttempt(200+i, 0, OK, []Note{Filled, Hit, Hit, Hit}[i%4])
	}
	if h.controller.missShare < 0.15 || h.controller.missShare > 0.35 {
		t.Errorf("the estimated miss share is %.2f, the true one 0.25", h.controller.missShare)
	}
}

// Responses that parents send past the caches pass over the location's link, so they adjust the window as fills do.
func TestFillsThatBypassCachesAreCounted(t *testing.T) {
	set := testSettings()
	set.CanHedge = false
	h := newHarness(t, set, testEndpoints()[:3]) // without caches
	for i := range RequestID(fillsPerWindowStep) {
		h.request(Request{ID: 1 + i, Object: ObjectID(1 + i), SizeKB: 100, Remaining: 3 * time.Second})
		h.now += 120 * ms
		h.endAttempt(1+i, 0, OK, Hit)
	}
	if h.controller.window.max != 2 || h.controller.link.fillTimes.samples != fillsPerWindowStep {
		t.Errorf("window %d after an interval of fills, %v observed on the link", h.controller.window.max, h.controller.link.fillTimes.samples)
	}
}

// Every outcome releases the slot.
func TestSlotIsReturned(t *testing.T) {
	for res := OK; res <= LocalFailure; res++ {
		set := testSettings()
		set.MaxAttempts = 1
		h := newHarness(t, set, testEndpoints())
		h.request(Request{ID: 1, Object: 5, SizeKB: 100, Remaining: time.Second})
		if h.controller.window.inFlight != 1 {
			t.Fatalf("a fill in flight holds %d slots, want 1", h.controller.window.inFlight)
		}
		h.endAttempt(1, 0, res, NoNote)
		if h.controller.window.inFlight != 0 {
			t.Errorf("the slot is not released after outcome %d", res)
		}
	}
}

// Fills at an unresponsive cache used to keep their slots and to count as late fills of slow sources: the window
// closed for every responsive cache, and a fifth of all requests was rejected.
func TestUnresponsiveCacheReleasesSlots(t *testing.T) {
	c := newTwoCacheController(t)
	now := 10 * time.Second
	for i := range 6 {
		c.Handle(now, Request{ID: RequestID(i + 1), Object: ObjectID(i * 77), SizeKB: 50, Remaining: 5 * time.Second}, nil)
	}
	slots := c.window.inFlight
	if slots == 0 || slots != len(c.fillsInFlight) {
		t.Fatalf("%d slots for %d fills", slots, len(c.fillsInFlight))
	}
	for now < 11*time.Second { // no attempt is answered; every timer fires
		now += 10 * time.Millisecond
		for i := range 6 {
			for n := range 8 {
				c.Handle(now, TimerFired{Token: uint64(i+1)<<8 | uint64(n)}, nil)
			}
		}
	}
	for _, a := range c.fillsInFlight {
		if now > a.sentAt+a.request.transferTime+time.Second {
			t.Errorf("a fill at the unresponsive cache %d still holds a slot", a.target.ID)
		}
	}
	if c.window.inFlight != len(c.fillsInFlight) || c.window.inFlight < 0 {
		t.Errorf("window counts %d, fills in flight %d", c.window.inFlight, len(c.fillsInFlight))
	}
}
