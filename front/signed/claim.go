package signed

import (
	"context"
	"strconv"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/core"
)

// outcomeStep returns the step that records how a claimed request ended. A rejection guarantees that nothing ran, and a
// request that was never sent has not run either: the token may be used again. A request that failed after it was sent may
// have run.
func outcomeStep(s *slot, a core.Answer) claims.Step {
	step := claims.Step{Op: claims.Finish, Owner: s.owner, To: claims.Unconfirmed}
	switch {
	case a.Verdict == core.Rejected, a.Verdict == core.Failed && !a.MayHaveRun:
		step.Op, step.To = claims.Release, ""
	case a.Verdict == core.Served || a.Verdict == core.NotModified:
		step.To, step.Outcome = claims.Ran, "served "+strconv.Itoa(len(a.Body))+" bytes"
	case a.Reason == core.DeadlineExceeded:
		step.Outcome = "no answer in time"
	default:
		step.Outcome = "the store failed"
	}
	return step
}

// claimHeader returns the value of X-Claim for the stage of a claim.
func claimHeader(r claims.Record) string {
	if r.Stage == "" {
		return "unknown"
	}
	return string(r.Stage)
}

// replayDetail describes what is known of the earlier use of a token.
func replayDetail(r claims.Record) string {
	text := "the token has been used"
	switch r.Stage {
	case claims.Held:
		return text + ": by a request that is being let in"
	case claims.Sent:
		return text + ": by a request that was sent on and may have run"
	case claims.Ran:
		text += ": it ran"
	case claims.Unconfirmed:
		text += ": it may have run"
	}
	if r.Outcome != "" {
		text += " (" + r.Outcome + ")"
	}
	return text
}

// recordOutcome applies the last step of a claim without blocking the core. The step is retried until the time-out, as a group
// of voters without a leader soon elects one. If too many steps are pending, the claim stays as it is, which prevents a second
// use of the token.
func (f *Frontend) recordOutcome(name string, step claims.Step) {
	select {
	case f.outcomeSlots <- struct{}{}:
	default:
		f.opt.Log.Warn().Str("claim", name).Msg("claim outcome not recorded: too many outcomes pending")
		return
	}
	go func() {
		defer func() { <-f.outcomeSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if _, ok, err := f.opt.Claims.Step(ctx, name, step); err != nil || !ok {
			f.opt.Log.Warn().Err(err).Str("claim", name).Str("step", string(step.Op)).Bool("granted", ok).Msg("claim outcome not recorded")
		}
	}()
}
