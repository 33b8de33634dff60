package core

import (
	"sync/atomic"
	"testing"

	"turnfork.dev/turnfork/control"
)

// A keyed request whose connection was closed by the endpoint is retried once the grace period is over and the endpoint has
// answered a barrier ping; one that the gateway canceled, only once the endpoint has acknowledged the cancellation. The grace
// period alone is not sufficient in either case, because the retry goes to the same endpoint.
func TestKeyedRetryNeedsAcknowledgement(t *testing.T) {
	for _, x := range []struct {
		res                    control.Outcome
		afterBarrier, afterAck int
	}{{control.ConnectionLost, 2, 2}, {control.TimedOut, 1, 2}, {control.Canceled, 1, 2}} {
		c, h, clk := newCore(t)
		a := newRequest(h, 1, "mark", clk.Now())
		a.IdempotencyKey = "k"
		c.Handle(a)
		k := h.sent[0].AttemptKey
		h.endAttempt(c, AttemptResult{AttemptKey: k, Outcome: x.res, Unconfirmed: true})
		for _, ms := range []float64{0, 41, 500} {
			clk.Advance(ms)
			c.Tick()
		}
		if n := len(h.sent); n != 1 { // the retry would go to the same endpoint, the only origin
			t.Errorf("%v: %d attempts after the grace period alone, want 1", x.res, n)
		}
		h.confirm(c, BarrierResult{Keys: []AttemptKey{k}})
		if n := len(h.sent); n != x.afterBarrier {
			t.Errorf("%v: %d attempts after the barrier, want %d", x.res, n, x.afterBarrier)
		}
		h.confirm(c, CancelConfirmed{AttemptKey: k})
		if n := len(h.sent); n != x.afterAck || h.sent[n-1].IdempotencyKey != "k" {
			t.Errorf("%v: %d attempts after the acknowledgement, want %d", x.res, n, x.afterAck)
		}
	}
}

// A deferred attempt is never sent if the client disconnects, or its authorization expires, before the previous attempt's
// cancellation is confirmed. Only the Canceled flag is set: the core has not handled the client's CancelRequest yet.
func TestDeferredAttemptIsNotSentAfterClientGoneOrAuthorizationExpired(t *testing.T) {
	for _, x := range []struct {
		name    string
		expires bool // the authorization expires, else the client disconnects
		want    Reason
	}{
		{"the client disconnects", false, ClientGone},
		{"the authorization expires", true, AuthorizationExpired},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, h, clk := newCore(t)
			request := newRequest(h, 1, "tile", clk.Now())
			request.Canceled, request.ReportAfterCancel = new(atomic.Bool), true
			if x.expires {
				request.AuthorizedUntil = clk.Now() + 20
			}
			c.Handle(request)
			h.endAttempt(c, AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: control.ConnectionLost, Unconfirmed: true})
			if c.stats.Deferred != 1 {
				t.Fatalf("%d attempts are deferred", c.stats.Deferred)
			}
			request.Canceled.Store(!x.expires)
			if x.expires { // it is answered at once, not after the grace period
				clk.Advance(20)
			} else {
				clk.Advance(defaultCancelGraceMs + 1)
			}
			c.Tick()
			if got := h.answers[1]; len(h.sent) != 1 || len(got) != 1 || got[0].Reason != x.want {
				t.Errorf("%d attempts, answers %+v, want %v", len(h.sent), got, x.want)
			}
		})
	}
}
