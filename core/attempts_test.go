package core

import (
	"testing"

	"turnfork.dev/turnfork/control"
)

// A non-idempotent request that may have run is neither retried nor rejected: it fails.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	for _, res := range []control.Outcome{control.ConnectionLost, control.ServerError, control.TimedOut} {
		c, h, clk := newCore(t)
		c.Handle(newRequest(h, 1, "ride-end", clk.Now()))
		if len(h.sent) != 1 {
			t.Fatalf("%d attempts", len(h.sent))
		}
		delete(h.open[h.sent[0].ID], 0)
		c.Handle(AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: res})
		if a := h.answers[1]; len(h.sent) != 1 || len(a) != 1 || a[0].Verdict != Failed {
			t.Errorf("%v: %d attempts, answers %+v", res, len(h.sent), a)
		}
	}
}

// No attempt is started once a request's authorization has expired; the request is answered at once.
func TestNoAttemptAfterAuthorizationExpired(t *testing.T) {
	c, h, clk := newCore(t)
	a := newRequest(h, 1, "tile", clk.Now())
	a.AuthorizedUntil = clk.Now() + 100
	c.Handle(a)
	clk.Advance(101)
	delete(h.open[h.sent[0].ID], 0)
	c.Handle(AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: control.Overloaded})
	c.Tick()
	clk.Advance(60)
	c.Tick()
	if got := h.answers[1]; len(h.sent) != 1 || len(got) != 1 || got[0].Reason != AuthorizationExpired {
		t.Errorf("%d attempts, %+v", len(h.sent), got)
	}
}
