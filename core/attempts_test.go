package core

import (
	"slices"
	"testing"

	"turnfork.dev/turnfork/clock"
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

// An attempt that waits in the upstream must not be sent once the authorization of its request has expired, nor once endpoints may
// have discarded its idempotency key. The request is answered as soon as the upstream reports that.
func TestAttemptIsNotSentAfterAuthorizationExpired(t *testing.T) {
	// sendFirst returns the first attempt of a request that is authorized for this time in ms.
	sendFirst := func(class string, authorizedFor float64) (*Core, *harness, *clock.Clock, AttemptRequest) {
		c, h, clk := newCore(t)
		r := newRequest(h, 1, class, clk.Now())
		r.IdempotencyKey = "k"
		r.AuthorizedUntil = clk.Now() + authorizedFor
		c.Handle(r)
		return c, h, clk, h.sent[0]
	}
	const forever, soon = 1e9, 100
	for _, class := range []string{"tile", "mark"} {
		_, _, _, unlimited := sendFirst(class, forever)
		c, h, clk, limited := sendFirst(class, soon)
		if want := clk.Now() + soon; limited.SendDeadline != want || unlimited.SendDeadline <= want {
			t.Errorf("%s: may be sent until %v and %v, want %v and later", class, limited.SendDeadline, unlimited.SendDeadline, want)
		}
		clk.Advance(soon - 1)
		c.Tick()
		if len(h.canceledUnsent) != 0 {
			t.Errorf("%s: %v canceled before", class, h.canceledUnsent)
		}
		clk.Advance(1)
		c.Tick()
		if !slices.Equal(h.canceledUnsent, []AttemptKey{limited.AttemptKey}) { // without it, the request would wait for a connection in vain
			t.Errorf("%s: %v canceled at the end of the authorization, want the attempt", class, h.canceledUnsent)
		}
		h.endAttempt(c, AttemptResult{AttemptKey: limited.AttemptKey, Outcome: control.NotSent})
		if got := h.answers[1]; len(h.sent) != 1 || len(got) != 1 || got[0].Reason != AuthorizationExpired {
			t.Errorf("%s: %d attempts, %+v", class, len(h.sent), got)
		}
	}
}
