package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Parameters of the tests below: the endpoint in slow start, the observed time and the load.
const (
	slowStartingID      = EndpointID(10)
	endpointStart       = 100 * time.Second
	observedDuration    = 6 * time.Second
	stepInterval        = 40 * ms
	requestKB           = 300.0
	fewRequests         = 30 // below this number the limit allows for more random variation
	disturbanceInterval = 12 // in steps
	idleDuration        = 5 * time.Second
)

// allowedRequests returns the limit on requests in a collapse window for which the settings allow n requests.
func allowedRequests(n float64) float64 {
	if n < fewRequests {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// slowStartFleet is a set of gateways that all send as much as they may to one endpoint in slow start.
type slowStartFleet struct {
	settings Settings
	gateways []*Controller
	weight   float64
	work     float64 // transfer time of one request, in seconds
	sends    []time.Duration
	lastID   RequestID
}

func newSlowStartFleet(t *testing.T, n int, weight, multiple float64) *slowStartFleet {
	f := &slowStartFleet{weight: weight}
	f.settings, f.gateways = newGateways(t, n, endpointStart, slowStartingID, weight, multiple)
	f.work = requestKB / f.settings.ClientKBps
	return f
}

// list sends a gateway an update of the endpoint list.
func (f *slowStartFleet) list(gateway int, now time.Duration, snapshot bool, state State) {
	ev := EndpointList{Snapshot: snapshot}
	for _, m := range testEndpoints() {
		if m.ID == slowStartingID {
			m.StartedAt, m.Weight, m.State = endpointStart, f.weight, state
		} else if !snapshot {
			continue
		}
		ev.Endpoints = append(ev.Endpoints, m)
	}
	f.gateways[gateway].Handle(now, ev, nil)
}

// restart replaces a gateway with a new process without any learned state.
func (f *slowStartFleet) restart(t *testing.T, gateway int, now time.Duration) {
	settings := f.settings
	settings.Gateway = gateway
	c, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	f.gateways[gateway] = c
	f.list(gateway, now, true, Ready)
}

// sendAll lets each gateway send all that it may send at one time.
func (f *slowStartFleet) sendAll(now time.Duration) {
	for _, c := range f.gateways {
		for range 4 {
			f.lastID++
			r := &request{Request: Request{ID: f.lastID}, class: &f.settings.Classes[0], sendDeadline: noDeadline, deadline: now + time.Second}
			e := c.endpoint(slowStartingID)
			c.now, c.meanTransfer[0], c.actions, e.inFlight = now, f.work, nil, nil
			if !c.send(r, e, e, modeLookup) {
				break
			}
			f.sends = append(f.sends, now)
		}
	}
}

// overBudget returns the collapse window with the largest excess, the number of requests in it and the limit; zeros
// if no window exceeds its limit.
func (f *slowStartFleet) overBudget() (at time.Duration, came, allowed float64) {
	set, from, worst := f.settings, 0, 0.0
	for i, until := range f.sends {
		for f.sends[from] <= until-set.CollapseWindow {
			from++
		}
		present := set.SlowStartShare + (1-set.SlowStartShare)*(f.sends[from]-endpointStart).Seconds()/set.SlowStartDuration.Seconds()
		budget := allowedRequests(set.CollapseMultiple * present * f.weight * set.CollapseWindow.Seconds() / f.work)
		if got := float64(i - from + 1); got-budget > worst {
			at, came, allowed, worst = until-endpointStart, got, budget, got-budget
		}
	}
	return at, came, allowed
}

// The slow-start budget of an endpoint is kept with any number of gateways, also when lists are repeated, when the
// endpoint leaves the list and returns without a restart, and when gateways restart.
func TestSlowStartBudgetForAnyFleet(t *testing.T) {
	const afterIdle = "idle period" // each gateway accumulates its maximum budget
	disturbances := map[string]func(t *testing.T, f *slowStartFleet, step int, now time.Duration){
		"no disturbance": func(*testing.T, *slowStartFleet, int, time.Duration) {},
		afterIdle:        func(*testing.T, *slowStartFleet, int, time.Duration) {},
		"repeated snapshots": func(_ *testing.T, f *slowStartFleet, _ int, now time.Duration) {
			for i := range f.gateways {
				f.list(i, now, true, Ready)
			}
		},
		"endpoint leaves the list and returns": func(_ *testing.T, f *slowStartFleet, _ int, now time.Duration) {
			for i := range f.gateways {
				f.list(i, now, false, Gone)
				f.list(i, now, false, Ready)
			}
		},
		"a tenth of the gateways restarts": func(t *testing.T, f *slowStartFleet, step int, now time.Duration) {
			for i := range f.gateways {
				if i%10 == step/disturbanceInterval%10 {
					f.restart(t, i, now)
				}
			}
		},
		"all gateways restart once": func(t *testing.T, f *slowStartFleet, step int, now time.Duration) {
			for i := range f.gateways {
				if step == 4*disturbanceInterval {
					f.restart(t, i, now)
				}
			}
		},
	}
	for name, disturb := range disturbances {
		for _, gateways := range []int{1, 3, 10, 30, 60, 900} {
			for _, weight := range []float64{1, 20} {
				t.Run(fmt.Sprintf("%s/%d gateways/weight %v", name, gateways, weight), func(t *testing.T) {
					f := newSlowStartFleet(t, gateways, weight, 2)
					for step := range int(observedDuration / stepInterval) {
						now := endpointStart + time.Duration(step)*stepInterval
						if step > 0 && step%disturbanceInterval == 0 {
							disturb(t, f, step, now)
						}
						if name != afterIdle || step == 0 || now > endpointStart+idleDuration {
							f.sendAll(now)
						}
					}
					if at, came, allowed := f.overBudget(); came > 0 {
						t.Errorf("%v requests in the window up to %v, %.1f are allowed", came, at, allowed)
					}
					if len(f.sends) == 0 {
						t.Error("no request was sent")
					}
				})
			}
		}
	}
}
