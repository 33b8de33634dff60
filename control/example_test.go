package control_test

import (
	"fmt"
	"time"

	"turnfork.dev/turnfork/control"
)

// A request misses while the location's link is full: it is sent as a lookup, is queued after the miss, and is sent
// as a fill when a slot becomes free.
func Example() {
	c, err := control.New(control.Settings{
		Gateways: 1, Zone: 1, GatewaysByZone: []int{0, 1}, HubOfZone: []int{0, 0}, Kinds: 3, ParentKind: 1, OriginKind: 2,
		BatchInterval: time.Millisecond, ClientKBps: 1000, WeightsKnown: true, MaxAttempts: 4, CanJoinFills: true, ResultsDetailed: true,
		Classes: []control.Class{{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	handle := func(what string, ev control.Event) {
		fmt.Println(what)
		for _, action := range c.Handle(now, ev, nil) {
			switch a := action.(type) {
			case control.Attempt:
				if a.Source == a.To {
					fmt.Printf("  request %d: lookup at cache %d\n", a.ID, a.To)
				} else {
					fmt.Printf("  request %d: cache %d, filled from %d\n", a.ID, a.To, a.Source)
				}
			case control.Reject:
				fmt.Printf("  request %d rejected\n", a.ID)
			case control.SetTimer: // the host sets a timer and passes a control.TimerFired when it expires
			}
		}
		now += 10 * time.Millisecond
	}
	handle("the endpoint list arrives", control.EndpointList{Snapshot: true, Endpoints: []control.Endpoint{
		{ID: 7, Zone: 1, Kind: 0, Weight: 10, State: control.Ready},
		{ID: 8, Zone: 0, Kind: 1, Weight: 10, State: control.Ready},
		{ID: 9, Zone: 0, Kind: 2, Weight: 10, State: control.Ready},
	}})
	handle("request 1", control.Request{ID: 1, Object: 100, SizeKB: 50, Remaining: 5 * time.Second})
	handle("response 1, with a report of a full link", control.AttemptResult{
		ID: 1, Endpoint: 7, Outcome: control.OK, Note: control.Filled, Latency: 10 * time.Millisecond, RequestClosed: true,
		Load: &control.LoadReport{InFlight: 1, Utilization: -1, HitRate: -1, LinkUtilization: 1.2},
	})
	handle("request 2 takes the only slot", control.Request{ID: 2, Object: 200, SizeKB: 50, Remaining: 5 * time.Second})
	handle("request 3 finds no free slot", control.Request{ID: 3, Object: 300, SizeKB: 50, Remaining: 5 * time.Second})
	handle("the lookup reports a miss", control.AttemptResult{ID: 3, Endpoint: 7, Outcome: control.Miss})
	handle("response 2 frees the slot", control.AttemptResult{
		ID: 2, Endpoint: 7, Outcome: control.OK, Note: control.Filled, Latency: 30 * time.Millisecond, RequestClosed: true,
	})
	// Output:
	// the endpoint list arrives
	// request 1
	//   request 1: cache 7, filled from 8
	// response 1, with a report of a full link
	// request 2 takes the only slot
	//   request 2: cache 7, filled from 8
	// request 3 finds no free slot
	//   request 3: lookup at cache 7
	// the lookup reports a miss
	// response 2 frees the slot
	//   request 3: cache 7, filled from 8
}
