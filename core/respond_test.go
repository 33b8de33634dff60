package core

import (
	"testing"

	"turnfork.dev/turnfork/control"
)

// A request that the controller sheds is answered at once, with a RetryAfter.
func TestShedRequestIsAnsweredAtOnce(t *testing.T) {
	c, h, clk := newCore(t)
	c.Handle(newRequest(h, 1, "tile", clk.Now()))
	c.notifyController(control.TimerFired{Token: 1<<8 | 0xff}) // its deadline in the controller
	if a := h.answers[1]; len(a) != 1 || a[0].Verdict != Rejected || a[0].RetryAfter < 50 || !a[0].MayHaveRun {
		t.Errorf("%+v", a)
	}
	c.Handle(newRequest(h, 2, "no such", clk.Now()))
	if a := h.answers[2]; len(a) != 1 || a[0].Reason != UnknownClass {
		t.Errorf("%+v", a)
	}
}
