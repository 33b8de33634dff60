package core

import (
	"testing"

	"turnfork.dev/turnfork/control"
)

// endByClient sends a request whose client disconnects while its attempt is open. The attempt ends without confirmation.
func endByClient(c *Core, h *harness, req Request) AttemptKey {
	c.Handle(req)
	sent := h.sent[len(h.sent)-1]
	c.Handle(CancelRequest{Frontend: h, RequestTag: req.RequestTag})
	h.endAttempt(c, AttemptResult{AttemptKey: sent.AttemptKey, Outcome: control.Canceled, Unconfirmed: true})
	return sent.AttemptKey
}

// again returns the same request, as it comes on another connection.
func again(req Request, tag uint64, at float64) Request {
	req.RequestTag, req.ReceivedAt, req.Canceled = tag, at, nil
	return req
}

// Guards against timers of requests that have ended: they were kept until they were due, with all that they refer to, so that a
// client with very long deadlines and ever new IDs filled the memory.
func TestTimersOfEndedRequestsAreRemoved(t *testing.T) {
	c, h, clk := newCore(t)
	for tag := uint64(1); tag < 20*minCompactTimers; tag++ {
		req := newRequest(h, tag, "tile", clk.Now())
		req.Remaining = 1e11
		h.confirm(c, CancelConfirmed{endByClient(c, h, req)})
		clear(h.answers)
		h.sent, h.canceled = h.sent[:0], h.canceled[:0]
	}
	if n := len(c.timers); n > 2*minCompactTimers {
		t.Errorf("%d timers with %d open requests", n, len(c.requests))
	}
	if due := c.untilNextTimer(); due > maxTimerWait {
		t.Errorf("the next timer is due in %v", due)
	}
}

// A client's deadline beyond that of its class is a fault of the client: it must neither keep the request longer nor change how the
// others of the class are treated.
func TestDeadlineIsBoundedByClass(t *testing.T) {
	c, h, clk := newCore(t)
	req := newRequest(h, 1, "tile", clk.Now())
	req.Remaining = 1e11
	c.Handle(req)
	if got, want := h.sent[0].Deadline, clk.Now()+2500; got > want {
		t.Errorf("the endpoint is told %v ms, the class has 2500", got-clk.Now())
	}
}
