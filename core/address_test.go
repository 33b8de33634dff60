package core

import (
	"testing"

	"turnfork.dev/turnfork/control"
)

// Guards against a new endpoint at the address of one that has gone, which gets a request although the earlier attempt may have
// reached it: that attempt's endpoint was another one by its ID, so nothing had to confirm its end.
func TestNoConcurrentAttemptsAtOneAddress(t *testing.T) {
	for _, answered := range []bool{true, false} {
		c, h, clk := newCore(t)
		const address = "10.1.0.9:5050"
		entry := func(id uint32, addr string, state control.State) Endpoint {
			return Endpoint{Addr: addr, Info: control.Endpoint{ID: control.EndpointID(id), Zone: 1, Weight: 10, State: state}}
		}
		// Only the first cache accepts requests, and there is no parent or origin.
		c.Handle(EndpointList{Snapshot: true, Endpoints: []Endpoint{entry(1, address, control.Ready)}})
		c.Handle(newRequest(h, 1, "tile", clk.Now()))
		if len(h.sent) != 1 || h.sent[0].Endpoint != 1 {
			t.Fatalf("%+v", h.sent)
		}
		h.addresses = map[uint32]string{1: address, 9: address}
		c.Handle(EndpointList{Endpoints: []Endpoint{entry(1, address, control.Gone), entry(9, address, control.Ready)}})
		h.endAttempt(c, AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: control.ConnectionLost, Unconfirmed: true})
		for range 30 { // far beyond the grace period; the harness reports an attempt
			clk.Advance(10)
			c.Tick()
		}
		if len(h.barriers) == 0 {
			t.Fatalf("no barrier was requested; %d attempts", len(h.sent))
		}
		h.confirm(c, BarrierResult{Keys: h.barriers[:1], NoResponse: !answered})
		if sent := len(h.sent) == 2 && h.sent[1].Endpoint == 9; sent != answered {
			t.Errorf("barrier answered %t: attempts %+v", answered, h.sent)
		}
	}
}
