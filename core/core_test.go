package core

import (
	"context"
	"testing"
)

// An operator's command is handled before all queued events, and one about an endpoint that was never listed is an error.
func TestAdminEventsOvertakeTraffic(t *testing.T) {
	c, h, clk := newCore(t)
	for i := range uint64(15) {
		c.Post(newRequest(h, i+1, "tile", clk.Now()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, b := range []struct {
		id   uint32
		want error
	}{{1, nil}, {99, ErrUnknownEndpoint}} {
		reply := make(chan error, 1)
		if err := c.PostUrgent(ctx, Exclude{Endpoint: b.id, Excluded: true, Reply: reply}); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := <-reply; err != b.want {
				t.Errorf("endpoint %d: %v", b.id, err)
			}
		}()
	}
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	reply := make(chan Stats, 1)
	c.Post(GetStats{Reply: reply}) // handled after the requests
	<-reply
	cancel()
	<-done
	if len(h.excludedAt) != 1 || h.excludedAt[0] != 0 || len(h.sent) == 0 {
		t.Errorf("excluded after %v of %d attempts", h.excludedAt, len(h.sent))
	}
	for _, s := range h.sent {
		if s.Endpoint == 1 || s.Source == 1 {
			t.Errorf("sent to an excluded endpoint: %+v", s)
		}
	}
}

// On shutdown each open request is answered at once, as its class allows, and new requests are rejected.
func TestAbortAnswersAllOpenRequests(t *testing.T) {
	c, h, clk := newCore(t)
	for tag, class := range map[uint64]string{1: "tile", 2: "ride-end", 3: "tile"} {
		c.Handle(newRequest(h, tag, class, clk.Now()))
	}
	c.Handle(Abort{})
	c.Handle(newRequest(h, 4, "tile", clk.Now()))
	for tag, want := range map[uint64]Verdict{1: Rejected, 2: Failed, 3: Rejected, 4: Rejected} {
		if got := h.answers[tag]; len(got) != 1 || got[0].Verdict != want || want == Rejected && got[0].RetryAfter <= 0 {
			t.Errorf("%d: %+v", tag, got)
		}
	}
	if h.answers[4][0].Reason != ShuttingDown || len(h.sent) != 3 {
		t.Errorf("%+v, %d attempts", h.answers[4], len(h.sent))
	}
}
