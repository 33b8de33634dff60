package core

import (
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
)

// The transfer time is the size of the body divided by Options.ClientBytesPerSecond, if that is set.
func TestTransferTime(t *testing.T) {
	for _, x := range []struct {
		bytesPerSecond float64
		e              AttemptResult
		want           time.Duration
	}{
		{1e5, AttemptResult{Body: make([]byte, 5000)}, 50 * time.Millisecond}, {0, AttemptResult{Body: make([]byte, 5000)}, 0},
		{1e5, AttemptResult{NotModified: true}, 0},
	} {
		if got := (&Core{opt: Options{ClientBytesPerSecond: x.bytesPerSecond}}).transferTime(x.e); got != x.want {
			t.Errorf("%d bytes at %v a second: %v, want %v", len(x.e.Body), x.bytesPerSecond, got, x.want)
		}
	}
}

// After an attempt that failed on this host it is certain that nothing ran: even a non-idempotent request is retried until its
// deadline. If the failures persist it is rejected, because a retry by the client is harmless.
func TestLocalFailureIsRetried(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    string
		failures int // attempts that fail
		verdict  Verdict
	}{
		{"read, transient", "tile", 3, Served},
		{"non-idempotent, transient", "ride-end", 3, Served},
		{"keyed, transient", "mark", 3, Served},
		{"read, persistent", "tile", 1000, Rejected},
		{"non-idempotent, persistent", "ride-end", 1000, Rejected},
		{"keyed, persistent", "mark", 1000, Rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, h, clk := newCore(t)
			request := newRequest(h, 1, c.class, clk.Now())
			request.IdempotencyKey, request.Remaining = "key", 3000
			core.Handle(request)
			ended, until := 0, clk.Now()+request.Remaining
			for clk.Now() < until && len(h.answers[1]) == 0 {
				if ended < len(h.sent) {
					result := control.OK
					if ended < c.failures {
						result = control.LocalFailure
					}
					ended++
					h.endAttempt(core, AttemptResult{AttemptKey: h.sent[ended-1].AttemptKey, Outcome: result, Body: []byte("x")})
					if result == control.LocalFailure && len(h.sent) > ended {
						t.Fatal("the next attempt was sent at once")
					}
				}
				clk.Advance(2)
				core.Tick()
			}
			got := h.answers[1]
			if len(got) != 1 || got[0].Verdict != c.verdict || got[0].MayHaveRun != (c.verdict == Served) {
				t.Fatalf("%d attempts, answers %+v", ended, got)
			}
			if c.verdict == Rejected && got[0].RetryAfter <= 0 {
				t.Errorf("rejected without RetryAfter: %+v", got[0])
			}
		})
	}
}
