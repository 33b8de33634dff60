package core

import (
	"testing"

	"turnfork.dev/turnfork/control"
)

const hour = 3600 * 1000.0 // ms

// The remaining time of an authorization is measured by the monotonic clock: a step of the wall clock neither ends nor extends it.
func TestClockStepKeepsAuthorization(t *testing.T) {
	for _, x := range []struct {
		name          string
		step, elapsed float64
		continues     bool
	}{
		{"step forward, not expired", hour, 10, true}, {"step back, expired", -hour, 101, false},
		{"step forward, expired", hour, 101, false}, {"step back, not expired", -hour, 10, true},
	} {
		c, h, clk := newCore(t)
		a := newRequest(h, 1, "tile", clk.Now())
		a.AuthorizedUntil = clk.Now() + 100
		c.Handle(a)
		clk.StepUnix(x.step)
		clk.Advance(x.elapsed)
		delete(h.open[h.sent[0].ID], 0)
		c.Handle(AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: control.Overloaded})
		for range 6 {
			c.Tick()
			clk.Advance(10)
		}
		got := h.answers[1]
		if continues := len(h.sent) > 1 && len(got) == 0; continues != x.continues {
			t.Errorf("%s: %d attempts, %+v", x.name, len(h.sent), got)
		}
	}
}

// The age of a purge is the smaller of the ages by the two clocks, so a step of the wall clock does not allow older copies.
func TestClockStepKeepsPurgeAge(t *testing.T) {
	for _, x := range []struct {
		name               string
		before, step, want float64
	}{
		{"no step", 300, 0, 300}, {"step forward", 300, hour, 300}, {"step back", 300, -hour, 0}, {"dated in the future", -hour, 0, 0},
		{"dated by a clock ahead, then step forward", 300 - hour, hour, 0},
	} {
		c, h, clk := newCore(t)
		purgedAt := clk.Now() - x.before
		clk.StepUnix(x.step)
		c.Handle(Purge{Object: 1, At: purgedAt})
		c.Handle(newRequest(h, 1, "tile", clk.Now()))
		if got := c.purgeAge(purgedAt); got != x.want {
			t.Errorf("%s: %v ms ago, want %v", x.name, got, x.want)
		}
		if got := h.sent[0].MaxAge; got <= 0 || got > max(1, x.want) {
			t.Errorf("%s: MaxAge is %v ms, want at most %v", x.name, got, x.want)
		}
	}
}

// Steps of the wall clock do not start a new second for the sampler, which would let it sample more requests.
func TestClockStepSamplesNoMoreRequests(t *testing.T) {
	c, h, clk := newCore(t)
	c.sampler = newSampler(1)
	for i := range uint64(2 * maxSampledPerSecond) {
		clk.StepUnix([]float64{hour, -hour}[i%2])
		c.Handle(newRequest(h, i+1, "tile", clk.Now()))
	}
	traced := 0
	for _, r := range c.requests {
		if r.sampled {
			traced++
		}
	}
	if traced != maxSampledPerSecond {
		t.Errorf("%d requests are traced in a second, want %d", traced, maxSampledPerSecond)
	}
}
