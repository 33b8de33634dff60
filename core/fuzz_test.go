package core

import (
	"testing"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// FuzzCore runs random steps and checks the core's guarantees: one final answer for each request, no later than its deadline,
// at most 8 attempts and never two at once, no retry of a non-idempotent request that may have run.
func FuzzCore(f *testing.F) {
	f.Add([]byte{0, 1, 8, 16, 2, 3, 40, 80, 5, 5, 5})
	f.Add([]byte{0, 0, 0, 1, 9, 17, 25, 33, 41, 49, 57, 4, 4, 4})
	f.Add([]byte{64, 2, 66, 3, 67, 5, 69, 1, 65, 129, 7, 6})
	f.Add([]byte{0, 234, 45, 234, 45, 226, 133, 133, 141, 234, 133, 141, 133})
	f.Add([]byte{0, 193, 193, 193, 193, 193, 193, 193, 193, 193, 5, 5, 5, 5})
	f.Fuzz(func(t *testing.T, steps []byte) {
		run := newFuzzRun(t)
		for _, step := range steps {
			run.runStep(step)
			run.endCanceled(control.Canceled)
			if step >= 128 {
				run.answerBarriers(int(step/8)%2 == 0)
			}
			run.checkAnswers()
		}
		for range 400 {
			run.clock.Advance(25)
			run.core.Tick()
			run.endCanceled(control.TimedOut)
			run.checkAnswers()
		}
		run.checkTablesEmpty()
	})
}

// fuzzRun is one run of FuzzCore.
type fuzzRun struct {
	*testing.T
	core    *Core
	harness *harness
	clock   *clock.Clock

	lastTag      uint64
	class        map[uint64]string  // by request tag
	deadline     map[uint64]float64 // by request tag
	disconnected map[uint64]bool    // requests whose client disconnected before the answer
	mayHaveRun   map[control.RequestID]bool
}

func newFuzzRun(t *testing.T) *fuzzRun {
	c, h, clk := newCore(t)
	return &fuzzRun{
		T: t, core: c, harness: h, clock: clk,
		class: map[uint64]string{}, deadline: map[uint64]float64{}, disconnected: map[uint64]bool{}, mayHaveRun: map[control.RequestID]bool{},
	}
}

// runStep runs the step that a byte encodes.
func (r *fuzzRun) runStep(step byte) {
	pick := int(step / 8)
	switch step % 8 {
	case 0, 1:
		r.postRequest(pick)
	case 2, 3, 4:
		r.endOpenAttempt(pick)
	case 5:
		r.clock.Advance(float64(1 + pick*13))
		r.core.Tick()
	case 6:
		r.disconnectClient(pick)
	case 7:
		r.core.Handle(Purge{Group: uint16(pick), At: r.clock.Unix()})
	}
}

// postRequest posts a request; one in four is non-idempotent.
func (r *fuzzRun) postRequest(pick int) {
	r.lastTag++
	class := "tile"
	if pick%4 == 3 {
		class = "ride-end"
	}
	r.class[r.lastTag] = class
	r.deadline[r.lastTag] = r.clock.Now() + 2500
	r.core.Handle(newRequest(r.harness, r.lastTag, class, r.clock.Now()))
}

// endOpenAttempt ends one of the open attempts.
func (r *fuzzRun) endOpenAttempt(pick int) {
	outcomes := []control.Outcome{
		control.OK, control.Miss, control.ServerError, control.Overloaded, control.ConnectFailed, control.ConnectionLost,
	}
	open := []AttemptKey{}
	for _, s := range r.harness.sent {
		if _, ok := r.harness.open[s.ID][s.Number]; ok {
			open = append(open, s.AttemptKey)
		}
	}
	if len(open) > 0 {
		r.endAttempt(open[pick%len(open)], outcomes[pick%len(outcomes)])
	}
}

// endAttempt ends an attempt. For one request in three the endpoint acknowledges that at once.
func (r *fuzzRun) endAttempt(k AttemptKey, outcome control.Outcome) {
	unconfirmed := outcome == control.ConnectionLost || outcome == control.Canceled || outcome == control.TimedOut
	if unconfirmed || outcome == control.ServerError {
		r.mayHaveRun[k.ID] = true
	}
	before := len(r.harness.sent)
	if unconfirmed {
		r.harness.graceEnds[k.ID] = r.clock.Now() + defaultCancelGraceMs
	}
	r.harness.endAttempt(r.core, AttemptResult{AttemptKey: k, Outcome: outcome, Body: []byte("x"), Unconfirmed: unconfirmed})
	if k.ID%3 == 0 {
		delete(r.harness.graceEnds, k.ID)
		r.harness.confirm(r.core, CancelConfirmed{k})
	}
	for _, s := range r.harness.sent[before:] {
		if s.Class == "ride-end" && r.mayHaveRun[s.ID] {
			r.Fatalf("ride-end %d was retried though it may have run", s.ID)
		}
	}
}

// disconnectClient disconnects the client of a request.
func (r *fuzzRun) disconnectClient(pick int) {
	if r.lastTag == 0 {
		return
	}
	tag := uint64(pick)%r.lastTag + 1
	if len(r.harness.answers[tag]) == 0 {
		r.disconnected[tag] = true
	}
	r.core.Handle(CancelRequest{Frontend: r.harness, RequestTag: tag})
}

// endCanceled ends the attempts that the core has canceled, as the upstream does once it has written the cancellation.
func (r *fuzzRun) endCanceled(outcome control.Outcome) {
	for len(r.harness.canceled) > 0 {
		k := r.harness.canceled[0]
		r.harness.canceled = r.harness.canceled[1:]
		if _, ok := r.harness.open[k.ID][k.Number]; ok {
			r.endAttempt(k, outcome)
		}
	}
}

// answerBarriers reports the results of the barrier pings that the core has requested.
func (r *fuzzRun) answerBarriers(silent bool) {
	for ; len(r.harness.barriers) > 0; r.harness.barriers = r.harness.barriers[1:] {
		r.harness.confirm(r.core, BarrierResult{Keys: r.harness.barriers[:1], NoResponse: silent})
	}
}

// checkAnswers checks that no request has two answers, and that none is overdue.
func (r *fuzzRun) checkAnswers() {
	for tag, deadline := range r.deadline {
		n := len(r.harness.answers[tag])
		if n > 1 || n == 0 && !r.disconnected[tag] && r.clock.Now() > deadline {
			r.Fatalf("request %d (%s) has %d answers, due %v ago", tag, r.class[tag], n, r.clock.Now()-deadline)
		}
	}
}

// checkTablesEmpty checks that the core's tables of requests are empty.
func (r *fuzzRun) checkTablesEmpty() {
	c := r.core
	if len(c.byTag) != 0 || len(c.requests) != 0 || len(c.byTxn) != 0 {
		r.Fatalf("%d unanswered requests, %d entries and %d IDs are left", len(c.byTag), len(c.requests), len(c.byTxn))
	}
}
