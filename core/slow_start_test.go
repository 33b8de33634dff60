package core

import (
	"math"
	"testing"
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// If the endpoint of many deferred attempts has restarted, they are not sent to it all at once: the attempts sent stay within the
// slow-start budget.
func TestDeferredAttemptsRespectSlowStart(t *testing.T) {
	const requests, weight, kb = 100, 100.0, 40.0
	old, h, clk := newCore(t)
	opt := old.opt
	opt.MaxOpen = 2 * requests
	set := &opt.Settings
	set.SlowStartShare, set.SlowStartDuration, set.CollapseMultiple, set.CollapseWindow = 0.001, 20*time.Second, 2, time.Second
	c, err := New(opt, h)
	if err != nil {
		t.Fatal(err)
	}
	list := func(started float64) {
		ev := EndpointList{Snapshot: true}
		for i, kind := range []int{0, 2} {
			m := control.Endpoint{ID: control.EndpointID(i + 1), Kind: kind, Zone: 1 - kind/2, Weight: weight, State: control.Ready}
			if kind == 0 {
				m.StartedAt = clock.Duration(started)
			}
			ev.Endpoints = append(ev.Endpoints, Endpoint{Info: m})
		}
		c.Handle(ev)
	}
	list(0)
	for tag := range uint64(requests) {
		c.Handle(newRequest(h, tag+1, "tile", clk.Now()))
	}
	first := len(h.sent)
	for _, s := range h.sent[:first] {
		h.endAttempt(c, AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.ConnectionLost, Unconfirmed: true})
	}
	if c.stats.Deferred < requests/2 {
		t.Fatalf("%d attempts are deferred of %d", c.stats.Deferred, first)
	}
	clk.Advance(1)
	list(clk.Now())
	var unconfirmed []AttemptKey
	for k := range h.unconfirmed {
		unconfirmed = append(unconfirmed, k)
	}
	h.confirm(c, BarrierResult{Keys: unconfirmed})
	for range 100 { // the CollapseWindow
		clk.Advance(10)
		c.Tick()
	}
	n := set.SlowStartShare * weight * set.CollapseMultiple * set.CollapseWindow.Seconds() / (kb / set.ClientKBps)
	sent := 0
	for _, s := range h.sent[first:] {
		if s.Endpoint == 1 {
			sent++
		}
	}
	if limit := n + 3*math.Sqrt(n) + 3; float64(sent) > limit {
		t.Errorf("%d attempts were sent to an endpoint whose budget is %.1f", sent, limit)
	}
}
