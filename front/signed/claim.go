package signed

import (
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
)

const (
	claimMargin        = 60000       // ms that a claim is kept beyond the end of the token's single use and leeway
	outcomeTimeout     = time.Minute // for recording the outcome of a claim; after it the claim stays as it is
	maxPendingOutcomes = 256         // outcomes that are being recorded at the same time
)

// claim marks a request's token as used, before the request is sent. If the replicated store gives no result, the request is
// not sent: the token may be claimed by another, so the client has to retry.
func (c *conn) claim(s *slot, remaining float64) bool {
	f := c.frontend
	if s.claimName == "" {
		c.fail(s, 403, "bad_claim", "this class needs a token of a single use, with a jti", "")
		return false
	}
	c.mu.Lock()
	s.owner = rand.Text()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(min(remaining, f.opt.ClaimTimeout)))
	defer cancel()
	hold := claims.Step{Op: claims.Hold, Owner: s.owner, Until: s.claimUntil}
	send := claims.Step{Op: claims.Send, Owner: s.owner}
	if !c.claimStep(ctx, s, hold) || !c.claimEarlierName(ctx, s) || !c.claimStep(ctx, s, send) {
		return false
	}
	f.logSampled(f.opt.Log.Info(), "single-use token claimed", func(e *zerolog.Event) {
		e.Str("claim", s.claimName).Str("path", s.msg.Path)
	})
	return true
}

// claimStep applies a step to the claim of a request's token, or answers the request if the step is not granted.
func (c *conn) claimStep(ctx context.Context, s *slot, step claims.Step) (granted bool) {
	r, granted, err := c.frontend.opt.Claims.Step(ctx, s.claimName, step)
	switch {
	case err != nil:
		if !errors.Is(err, claims.ErrNotProposed) {
			c.releaseClaim(s)
		}
		c.failUnavailable(s, step.Op, err)
		return false
	case !granted:
		c.failReplayed(s, r)
	}
	return granted
}

// releaseClaim releases the claim of a request of which nothing was sent, whether or not its steps were applied.
func (c *conn) releaseClaim(s *slot) {
	c.frontend.recordOutcome(s.claimName, claims.Step{Op: claims.Release, Owner: s.owner})
}

// failUnavailable answers a request for which a step of a claim had no result.
func (c *conn) failUnavailable(s *slot, op claims.Op, err error) {
	c.frontend.opt.Log.Warn().Err(err).Str("step", string(op)).Msg("single-use token could not be claimed")
	c.fail(s, 503, "no_quorum", "the token can't be checked at present", "Retry-After: 1\r\n")
}

// failReplayed answers a request whose token has the claim r of another request.
func (c *conn) failReplayed(s *slot, r claims.Record) {
	f := c.frontend
	f.logSampled(f.opt.Log.Info(), "single-use token rejected", func(e *zerolog.Event) {
		e.Str("claim", s.claimName).Str("stage", claimHeader(r)).Str("path", s.msg.Path)
	})
	if r.Pending(f.opt.Clock.Unix(), s.class.Deadline) {
		c.fail(s, 503, "claim_pending", "the token is in use; ask again for what became of it", "Retry-After: 1\r\nX-Claim: sent\r\n")
		return
	}
	c.fail(s, 403, "replayed", replayDetail(r), "X-Claim: "+claimHeader(r)+"\r\n")
}

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
