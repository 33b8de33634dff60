package control

import (
	"math"
	"testing"
	"time"
)

// worstSlowStartLoad returns the largest load that n gateways send to an endpoint in slow start in any collapse
// window, relative to the limit there, and their total work. All gateways get their requests at the same time, which
// is the worst case.
func worstSlowStartLoad(t *testing.T, n int, cold EndpointID) (worst, sum float64) {
	set := testSettings()
	set.Gateways, set.GatewaysByZone = n, []int{0, 0, n, 0}
	start := 100 * time.Second
	list := testEndpoints()
	var startedEntry Endpoint
	for i := range list {
		if list[i].ID == cold {
			list[i].StartedAt = start
			startedEntry = list[i]
		}
	}
	share, duration, multiple := set.SlowStartShare, set.SlowStartDuration, set.CollapseMultiple
	if startedEntry.Kind == set.ParentKind {
		share, duration, multiple = set.ParentSlowStartShare, set.ParentSlowStartDuration, set.ParentCollapseMultiple
	}
	gateways := make([]*Controller, n)
	for i := range gateways {
		set.Gateway = i
		c, err := New(set, uint64(i)*0x9e3779b97f4a7c15+7)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(start, EndpointList{Snapshot: true, Endpoints: list}, nil)
		gateways[i] = c
	}
	type sentWork struct{ at, work float64 }
	var sent []sentWork
	const sizeKB = 300
	for step := range 400 {
		now := start + time.Duration(step)*20*ms
		for i, c := range gateways {
			id := RequestID(step + 1)
			for _, a := range c.Handle(now, Request{ID: id, Object: ObjectID(step*n + i + 1), SizeKB: sizeKB, Remaining: 4 * time.Second}, nil) {
				a, ok := a.(Attempt)
				if !ok {
					continue
				}
				if a.To == cold || a.Source == cold {
					sent = append(sent, sentWork{now.Seconds(), sizeKB / set.ClientKBps})
				}
				c.Handle(now, AttemptResult{ID: a.ID, Endpoint: a.To, Outcome: OK, Note: Filled, Latency: 300 * ms, RequestClosed: true}, nil)
			}
		}
	}
	from := 0
	for i, d := range sent {
		sum += d.work
		in := 0.0
		for ; sent[from].at < d.at-set.CollapseWindow.Seconds(); from++ {
		}
		for _, e := range sent[from : i+1] {
			in += e.work
		}
		present := share + (1-share)*(d.at-start.Seconds())/duration.Seconds()
		worst = max(worst, in/(multiple*present*startedEntry.Weight*set.CollapseWindow.Seconds()))
	}
	return worst, sum
}

// Incidents ia42fbf and i7f82df: hundreds of gateways each sent one request at the same moment to a cache that had
// just started, because each gateway's budget started full and allowed a request that cost more than all of it.
func TestManyGatewaysDoNotCollapseSlowStartingEndpoints(t *testing.T) {
	for _, id := range []EndpointID{10, parentID} {
		for _, n := range []int{1, 10, 60, 200} {
			worst, sum := worstSlowStartLoad(t, n, id)
			if worst > 1 {
				t.Errorf("%d gateways send endpoint %d in slow start %.2f times the limit", n, id, worst)
			}
			if sum == 0 && n < 200 {
				t.Errorf("%d gateways send nothing to endpoint %d in slow start", n, id)
			}
		}
	}
}

// newGateways returns n gateways of the tests' location, for which one cache is in slow start and the others are
// not.
func newGateways(t *testing.T, n int, start time.Duration, cold EndpointID, weight, multiple float64) (set Settings, gateways []*Controller) {
	set = testSettings()
	set.Gateways, set.GatewaysByZone, set.CollapseMultiple = n, []int{0, 0, n, 0}, multiple
	list := testEndpoints()
	for i := range list {
		if list[i].ID == cold {
			list[i].StartedAt, list[i].Weight = start, weight
		}
	}
	for i := range n {
		set.Gateway = i
		c, err := New(set, uint64(i)*0x9e3779b97f4a7c15+7)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(start, EndpointList{Snapshot: true, Endpoints: list}, nil)
		gateways = append(gateways, c)
	}
	return set, gateways
}

// Each gateway may have accumulated the budget of one request for a cache in slow start, whatever its share. If all
// spend it at the same moment after an idle period, the number of requests in any collapse window must not exceed N
// + 2 x root of N + 2, where N is the number that the settings allow. The cache must not be left idle either: if all
// gateways send all the time, most of the earned budget is used.
func TestSlowStartBurstsAreSpentInTurn(t *testing.T) {
	for _, multiple := range []float64{1, 2, 4} {
		for _, weight := range []float64{1, 4, 20} {
			for _, n := range []int{1, 8, 20, 30, 60, 200} {
				for _, idle := range []time.Duration{0, 2 * time.Second, 6 * time.Second} {
					checkBurstAfterIdle(t, n, weight, multiple, idle)
				}
			}
		}
	}
}

func checkBurstAfterIdle(t *testing.T, n int, weight, multiple float64, idle time.Duration) {
	const cold, start, observed, sizeKB = EndpointID(10), 100 * time.Second, 8 * time.Second, 300
	set, gateways := newGateways(t, n, start, cold, weight, multiple)
	work := sizeKB / set.ClientKBps
	var sends []time.Duration
	id := RequestID(0)
	for now := start; now < start+observed; now += 20 * ms {
		if now > start && now < start+idle { // budgets are created at the start and grow from then on
			continue
		}
		for _, c := range gateways {
			id++
			r := &request{Request: Request{ID: id}, class: &set.Classes[0], sendDeadline: noDeadline, deadline: now + time.Second}
			e := c.endpoint(cold)
			c.now, c.meanTransfer[0], c.actions, e.inFlight = now, work, nil, nil
			if c.send(r, e, e, modeLookup) {
				sends = append(sends, now)
			}
		}
	}
	allowed := func(at time.Duration) float64 {
		present := set.SlowStartShare + (1-set.SlowStartShare)*(at-start).Seconds()/set.SlowStartDuration.Seconds()
		return set.CollapseMultiple * present * weight * set.CollapseWindow.Seconds() / work
	}
	from := 0
	for i, at := range sends {
		for ; sends[from] <= at-set.CollapseWindow; from++ {
		}
		limit := allowed(sends[from])
		if got := float64(i - from + 1); got > limit+2*math.Sqrt(limit)+2 {
			t.Errorf("multiple %v, weight %v, %d gateways idle for %v: %v requests by %v, %.1f are allowed", multiple, weight, n, idle, got, at-start, limit)
			break
		}
	}
	c := gateways[0]
	sum := func(at time.Duration) float64 {
		c.now = at
		allowance, _ := c.slowStart(c.endpoint(cold))
		return allowance.earned * float64(n) / work
	}
	if earned := sum(start+observed) - sum(start+idle); float64(len(sends)) < 0.6*earned-1 {
		t.Errorf("multiple %v, weight %v, %d gateways idle for %v: %d requests, budget for %.1f", multiple, weight, n, idle, len(sends), earned)
	}
}

// All gateways together send a cache in slow start little more than its minimum capacity. When each of them sent
// that much, the cache was slow during its entire slow start.
func TestSlowStartingCacheIsNotOverloaded(t *testing.T) {
	set := testSettings()
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.now = 100 * time.Second
	e := &endpoint{Endpoint: Endpoint{ID: 10, Zone: testZone, Weight: 4, State: Ready, StartedAt: c.now}}
	allowance, cold := c.slowStart(e)
	if total := allowance.rate * float64(c.processesSendingTo(e)); !cold || total > slowStartLoad*set.SlowStartShare*e.Weight+1e-9 {
		t.Errorf("in slow start %v: %v transfers from all gateways, capacity %v", cold, total, set.SlowStartShare*e.Weight)
	}
}
