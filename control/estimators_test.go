package control

import (
	"math"
	"testing"
	"time"
)

// The slope is found whatever the offset, and follows a change. Samples without spread give slope 1.
func TestLineEstimator(t *testing.T) {
	var l lineEstimator
	for _, want := range []float64{1, 2.5, 1} {
		for i := range 200 {
			x := 0.05 + 0.1*float64(i%5)
			l.observe(x, 0.3+want*x)
		}
		if got := l.slope(); math.Abs(got-want) > 0.02 {
			t.Errorf("slope %.3f, want %v", got, want)
		}
	}
	var flat lineEstimator
	for range 20 {
		flat.observe(0.1, 0.4)
	}
	if got := flat.slope(); got != 1 {
		t.Errorf("slope %v of samples with the same x", got)
	}
}

// If sizes are unknown, the transfer time of a part is the shortest one observed; otherwise it follows from the
// size.
func TestTransferTimesAreLearned(t *testing.T) {
	for _, x := range []struct {
		kb   float64
		want time.Duration
	}{{0, 90 * ms}, {400, 400 * ms}} {
		h := newHarness(t, testSettings(), testEndpoints())
		for i, took := range []time.Duration{300 * ms, 90 * ms, 200 * ms} {
			id := RequestID(1 + i)
			h.request(Request{ID: id, Object: 7, SizeKB: x.kb, Remaining: 3 * time.Second})
			h.now += took
			h.endAttempt(id, 0, OK, Hit)
		}
		h.request(Request{ID: 9, Object: 7, SizeKB: x.kb, Remaining: 3 * time.Second})
		if got := h.controller.requests[9].transferTime; got != x.want {
			t.Errorf("size %v KB: transfer time %v, want %v", x.kb, got, x.want)
		}
	}
}

// If the size of a response gives its transfer time, that value is used instead of the measured duration.
func TestReportedSizeGivesTheTransferTime(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints())
	h.request(Request{ID: 1, Object: 7, Remaining: 3 * time.Second})
	h.handle(AttemptResult{ID: 1, Endpoint: h.attempts[1][0].To, Outcome: OK, Note: Hit, Latency: 900 * ms, TransferTime: 250 * ms, RequestClosed: true})
	h.request(Request{ID: 2, Object: 7, Remaining: 3 * time.Second})
	if got := h.controller.requests[2].transferTime; got != 250*ms {
		t.Errorf("transfer time %v, want 250ms", got)
	}
}
