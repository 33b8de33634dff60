package core

import (
	"sync/atomic"
	"testing"

	"turnfork.dev/turnfork/control"
)

// A request whose client disconnects before it is forwarded is never forwarded. With ReportAfterCancel the frontend receives the
// final answer, which states whether the request may have run.
func TestClientGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		report bool             // ReportAfterCancel
		before bool             // the client disconnects before the core receives the request
		result *control.Outcome // of the attempt that was open when it disconnected
		sends  int
		want   []Answer
	}{
		{"disconnected before receipt", false, true, nil, 0, nil},
		{"disconnected before receipt, reported", true, true, nil, 0, []Answer{{Verdict: Failed, Reason: ClientGone}}},
		{"disconnected, then served", false, false, new(control.OK), 1, nil},
		{"disconnected, then served, reported", true, false, new(control.OK), 1, []Answer{{Verdict: Served, MayHaveRun: true}}},
		{"disconnected, then overloaded", false, false, new(control.Overloaded), 1, nil},
		{"disconnected, then overloaded, reported", true, false, new(control.Overloaded), 1, []Answer{{Verdict: Failed, Reason: ClientGone, MayHaveRun: true}}},
		{"disconnected, then a local failure, reported", true, false, new(control.LocalFailure), 1, []Answer{{Verdict: Failed, Reason: ClientGone}}},
		{"disconnected, then never sent, reported", true, false, new(control.NotSent), 1, []Answer{{Verdict: Failed, Reason: ClientGone}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, h, clk := newCore(t)
			a := newRequest(h, 1, "tile", clk.Now())
			a.ReportAfterCancel, a.Canceled = c.report, new(atomic.Bool)
			a.Canceled.Store(c.before)
			core.Handle(a)
			core.Handle(CancelRequest{Frontend: h, RequestTag: 1})
			if c.result != nil {
				delete(h.open[h.sent[0].ID], 0)
				core.Handle(AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: *c.result})
			}
			for range 100 {
				clk.Advance(10)
				core.Tick()
			}
			got := h.answers[1]
			same := len(got) == len(c.want)
			for i := range got {
				same = same && got[i].Verdict == c.want[i].Verdict && got[i].Reason == c.want[i].Reason && got[i].MayHaveRun == c.want[i].MayHaveRun
			}
			if len(h.sent) != c.sends || !same {
				t.Errorf("%d attempts, answers %+v, want %d and %+v", len(h.sent), got, c.sends, c.want)
			}
		})
	}
}

// A request with the ID of an open one is rejected, which guarantees that a retry is harmless; but if the open one must not run
// twice and may have run, the new request fails.
func TestDuplicateOfNonIdempotentIsNotRejected(t *testing.T) {
	for _, x := range []struct {
		name, class string
		result      *control.Outcome // of the open attempt; nil: it has not ended
		unconfirmed bool
		want        Verdict
	}{
		{"idempotent, open", "tile", nil, false, Rejected},
		{"keyed, open", "mark", nil, false, Rejected}, // endpoints ignore a duplicate
		{"non-idempotent, open", "ride-end", nil, false, Failed},
		{"non-idempotent, connection lost", "ride-end", new(control.ConnectionLost), true, Failed},
		{"non-idempotent, connection failed, retry open", "ride-end", new(control.ConnectFailed), false, Failed},
		{"idempotent, connection lost", "tile", new(control.ConnectionLost), true, Rejected},
	} {
		c, h, clk := newCore(t)
		first := newRequest(h, 1, x.class, clk.Now())
		first.IdempotencyKey = "key"
		c.Handle(first)
		if x.result != nil {
			h.endAttempt(c, AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: *x.result, Unconfirmed: x.unconfirmed})
		}
		second := newRequest(h, 2, x.class, clk.Now())
		second.Txn, second.IdempotencyKey = first.Txn, "key"
		c.Handle(second)
		got := h.answers[2]
		if len(got) != 1 || got[0].Verdict != x.want || got[0].MayHaveRun != (x.want == Failed) {
			t.Errorf("%s: %+v, want verdict %v", x.name, got, x.want)
		}
	}
}
