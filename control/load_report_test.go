package control

import (
	"testing"
	"time"
)

// With many gateways the even share of each in a cache's link is below one transfer. The load report then shows
// whether there is capacity; as it is delayed, one gateway uses at most half of the link by it. Without this rule
// requests were rejected needlessly (44 caches and 23 gateways lost 4% on a day of low load).
func TestReportedUtilizationShowsCapacity(t *testing.T) {
	for _, tc := range []struct {
		load LoadReport
		want int
	}{
		{LoadReport{InFlight: 9, Utilization: 0.5, HitRate: -1, LinkUtilization: 0}, 3},
		{LoadReport{InFlight: 0, Utilization: 0.99, HitRate: -1, LinkUtilization: 0}, 1},
		{LoadReport{InFlight: 1, Utilization: -1, HitRate: -1, LinkUtilization: 0}, 3},
		{LoadReport{InFlight: 9, Utilization: -1, HitRate: -1, LinkUtilization: 0}, 1},
	} {
		set := testSettings()
		set.Gateways, set.GatewaysByZone = 20, []int{0, 0, 20, 0}
		c, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * time.Second
		list := testEndpoints()[:4] // one cache only
		c.Handle(now, EndpointList{Snapshot: true, Endpoints: list}, nil)
		ask := func(id RequestID) (n int) {
			for _, a := range c.Handle(now, Request{ID: id, Object: 5, SizeKB: 500, Remaining: 4 * time.Second}, nil) {
				if _, ok := a.(Attempt); ok {
					n++
				}
			}
			return n
		}
		ask(1)
		c.Handle(now, AttemptResult{ID: 1, Endpoint: 10, Outcome: OK, Note: Hit, RequestClosed: true, Load: &tc.load}, nil)
		n := 0
		for id := RequestID(2); id < 8; id++ {
			n += ask(id)
		}
		if n != tc.want {
			t.Errorf("load %+v: %d requests sent, want %d", tc.load, n, tc.want)
		}
	}
}

// A request whose cache is full goes to the next cache with capacity, as long as fills may start. If it waited for
// the one cache, it would be rejected while another is idle. If all caches of the location are full, requests are
// queued.
func TestFullCacheIsBypassed(t *testing.T) {
	for _, tc := range []struct{ gateways, requests, to int }{{1, 2, 2}, {1, 3, 2}, {20, 2, 2}} {
		set := testSettings()
		set.Gateways, set.GatewaysByZone = tc.gateways, []int{0, 0, tc.gateways, 0}
		set.CanHedge = false
		list := testEndpoints()
		for i := range list {
			list[i].Weight = 0.5 // capacity for one transfer
		}
		h := newHarness(t, set, list)
		to := map[EndpointID]bool{}
		for id := range RequestID(tc.requests) {
			h.request(Request{ID: 1 + id, Object: 5, SizeKB: 100, Remaining: 4 * time.Second})
			for _, a := range h.attempts[1+id] {
				to[a.To] = true
			}
		}
		if len(to) != tc.to {
			t.Errorf("%d gateways: a part requested %d times went to %d caches, want %d", tc.gateways, tc.requests, len(to), tc.to)
		}
	}
}

// Overdue attempts at a slow cache still use its link.
func TestSlowedCacheHasNoCapacity(t *testing.T) {
	c := newTwoCacheController(t)
	e := c.endpoints[0]
	for range 20 {
		fill(c, e, time.Second)
	}
	if !c.hasLinkCapacity(e) {
		t.Error("fills that wait for their source count against the cache's link")
	}
	for range 40 {
		c.observeLatency(e, 5)
	}
	if c.hasLinkCapacity(e) {
		t.Error("a slow cache with 20 transfers on a link for 10 is reported to have capacity")
	}
}

// A gateway sends a cache more than its even share of the link if the other gateways send nothing, and no more than
// that share if they are active.
func TestUnusedShareOfOtherGatewaysIsUsed(t *testing.T) {
	for others, want := range map[float64]int{0: 4, 3: 2} {
		c, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		e := &endpoint{Endpoint: Endpoint{ID: 10, Zone: testZone, Weight: 4, State: Ready}}
		c.now = 100 * time.Second
		for range 8 {
			e.recordReport(&LoadReport{InFlight: float64(len(e.inFlight)) + others, Utilization: 0.9, HitRate: -1, LinkUtilization: -1}, c.now)
		}
		n := 0
		for ; c.hasLinkCapacity(e); n++ {
			r := &request{class: &c.settings.Classes[0], transferTime: time.Second}
			e.inFlight = append(e.inFlight, &attempt{request: r, target: e, source: e, sentAt: c.now})
		}
		if n-1 != want && n != want {
			t.Errorf("others have %v in flight: %d transfers sent, want about %d", others, n, want)
		}
	}
}

// A gateway that shares a cache with many others may use its even share of the link, which may be less than one
// transfer, plus one standard deviation. A gateway that is alone may use the full link. A load report takes
// precedence over the statistical allowance.
func TestGatewaysDoNotSendInStep(t *testing.T) {
	for _, x := range []struct {
		name           string
		gateways, want int
		reported       float64 // reported requests in flight; below 0: no report
	}{
		{"alone", 1, 5, -1},
		{"two", 2, 4, -1},
		{"nine", 9, 2, -1},
		{"a hundred", 100, 1, -1},
		{"nine, and a report of a full link", 9, 1, 30},
	} {
		set := testSettings()
		set.GatewaysByZone = []int{0, 0, x.gateways, 0}
		c, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.now = 100 * time.Second
		e := &endpoint{Endpoint: Endpoint{ID: 10, Zone: testZone, Weight: 3.5, State: Ready}, load: LoadReport{-1, -1, -1, -1}}
		if x.reported >= 0 {
			e.recordReport(&LoadReport{InFlight: x.reported, Utilization: 1, HitRate: -1, LinkUtilization: -1}, c.now)
		}
		r := &request{class: &set.Classes[0], transferTime: time.Second}
		for c.hasLinkCapacity(e) && len(e.inFlight) < 100 {
			e.inFlight = append(e.inFlight, &attempt{request: r, target: e, source: e, sentAt: c.now})
		}
		if got := len(e.inFlight); got != x.want {
			t.Errorf("%s: %d transfers sent, want %d", x.name, got, x.want)
		}
	}
}

// If the caches' reports show that the other gateways send nothing, as requests in flight or as utilization, a
// gateway counts itself as the only one. Without reports it assumes its even share.
func TestActiveGatewaysAreEstimatedFromReports(t *testing.T) {
	for _, x := range []struct {
		name     string
		load     *LoadReport
		from, to float64
	}{
		{"no report", nil, 2, 2},
		{"the other gateway is idle", &LoadReport{InFlight: 2, Utilization: -1}, 1, 1.3},
		{"the other gateway sends as much", &LoadReport{InFlight: 4, Utilization: -1}, 1.6, 2},
		{"idle, utilization reported only", &LoadReport{InFlight: -1, Utilization: 0.5}, 1, 1.3},
		{"as much, utilization reported only", &LoadReport{InFlight: -1, Utilization: 1}, 1.6, 2},
		{"more than all", &LoadReport{InFlight: 40, Utilization: -1}, 2, 2},
	} {
		set := testSettings()
		h := newHarness(t, set, testEndpoints()) // weights of 4, two gateways
		for _, e := range h.controller.endpoints {
			if !h.controller.isCache(e) {
				continue
			}
			e.inFlight = []*attempt{{}, {}}
			for range 8 {
				h.controller.recordReport(e, x.load)
			}
		}
		if got := h.controller.activeGateways(); got < x.from || got > x.to {
			t.Errorf("%s: shared by %.2f gateways, want %v to %v", x.name, got, x.from, x.to)
		}
	}
}
