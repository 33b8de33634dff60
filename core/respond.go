package core

import "turnfork.dev/turnfork/control"

// Responses, the last stage: handleAttemptResult calls respond for a served request, execute calls respondUnserved for the
// controller's decision to reject or fail one, and stopForwarding is called where an attempt must not start any more. Only
// requests that were never added to the table are answered elsewhere, in ingress.go.

// deadlineMarginMs is the time before the client's deadline, in ms, within which a shed request is reported as
// DeadlineExceeded.
const deadlineMarginMs = 20.0

// respondUnserved answers a request that the controller has rejected or failed, with a more specific reason where the core
// has one.
func (c *Core) respondUnserved(id control.RequestID, answer Answer) {
	r := c.requests[id]
	if r == nil || r.answered {
		return // at most one final answer
	}
	if answer.Reason == Shed {
		answer.Reason = c.unservedReason(r)
	}
	c.respond(r, answer)
}

// unservedReason returns why a request that the controller rejected or failed was not served.
func (c *Core) unservedReason(r *request) Reason {
	switch {
	case c.now() >= r.ReceivedAt+r.Remaining-deadlineMarginMs:
		return DeadlineExceeded
	case len(r.attempts) > 0 && r.openAttempts == 0:
		return UpstreamFailed
	}
	return Shed
}

// stopForwarding ends a request that must not be forwarded any more, because its client has disconnected or its
// authorization has expired.
func (c *Core) stopForwarding(r *request) {
	switch {
	case r.answered:
	case r.Canceled.Load():
		c.handleClientGone(r)
	default:
		c.respond(r, Answer{Verdict: Failed, Reason: AuthorizationExpired})
	}
}

// respond sends the final answer to a request. The caller has checked that the request is unanswered.
func (c *Core) respond(r *request, answer Answer) {
	answer.MayHaveRun, r.rejected = r.mayHaveRun(), answer.Verdict == Rejected
	c.countVerdict(answer.Verdict)
	c.traceResponse(r, answer)
	r.Frontend.Answer(r.RequestTag, answer)
	c.markAnswered(r)
}

// countVerdict counts a final answer.
func (c *Core) countVerdict(verdict Verdict) {
	switch verdict {
	case Served:
		c.stats.Served++
	case NotModified:
		c.stats.NotModified++
	case Rejected:
		c.stats.Rejected++
	case Failed:
		c.stats.Failed++
	}
}
