package core

import (
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Attempts: startAttempt carries out the controller's decision to forward a request, executeCancel its decision to cancel
// an attempt; timeOutAttempt is called by the attempt's timer. Attempts started here are sent by startOrDefer in
// cancellation.go.

// startAttempt starts the next attempt of a request. Controller and core both number the attempts of a request from 0.
func (c *Core) startAttempt(action control.Attempt) {
	r := c.requests[action.ID]
	if r == nil {
		c.opt.Log.Error().Uint64("controller_id", uint64(action.ID)).Msg("attempt for unknown request")
		return
	}
	a := &attempt{
		request:   r,
		key:       AttemptKey{r.id, len(r.attempts)},
		endpoint:  uint32(action.To),
		address:   c.addresses[uint32(action.To)],
		startedAt: c.now(),
	}
	a.deadline = attemptDeadline(a, action)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if r.Canceled.Load() || r.authorizationExpired(c.now()) {
		c.abandonAttempt(a)
		return
	}
	c.stats.Attempts++
	if action.Timeout > 0 {
		c.schedule(timer{at: a.startedAt + clock.Ms(action.Timeout), kind: attemptTimer, attempt: a})
	}
	c.startOrDefer(a, c.attemptRequest(a, action))
	c.traceAttemptStarted(r, a, action)
}

// abandonAttempt ends an attempt before it is sent, because the client has disconnected or its authorization has expired.
// The controller is notified that nothing was sent, and a client that is still connected gets its answer now.
func (c *Core) abandonAttempt(a *attempt) {
	a.ended = true
	a.neverSent = true
	a.request.openAttempts--
	c.stopForwarding(a.request)
	c.notifyController(control.AttemptResult{
		ID: a.key.ID, Attempt: a.key.Number, Endpoint: control.EndpointID(a.endpoint), Outcome: control.NotSent, RequestClosed: true,
	})
}

// attemptRequest returns the request that the upstream is to send for an attempt.
func (c *Core) attemptRequest(a *attempt, action control.Attempt) AttemptRequest {
	r := a.request
	return AttemptRequest{
		AttemptKey:     a.key,
		Endpoint:       a.endpoint,
		Source:         uint32(action.Source),
		Fill:           action.Source != action.To,
		Txn:            r.Txn,
		Class:          r.Class,
		ObjectName:     r.ObjectName,
		Part:           r.Part,
		CacheRank:      action.CacheRank,
		JoinFill:       action.JoinFill,
		CachedOnly:     action.CachedOnly,
		Deadline:       a.deadline,
		MaxAge:         c.maxCopyAge(r, clock.Ms(action.MaxAge)),
		ClientETag:     r.ClientETag,
		Body:           r.Body,
		Write:          r.isWrite,
		NonIdempotent:  r.nonIdempotent,
		IdempotencyKey: r.IdempotencyKey,
		SendDeadline:   sendDeadline(r, action),
		Canceled:       r.Canceled,
	}
}

// attemptDeadline returns the deadline of an attempt, as clock time in ms: the controller's time-out or the client's
// deadline, whichever is earlier.
func attemptDeadline(a *attempt, action control.Attempt) float64 {
	deadline := a.request.ReceivedAt + a.request.Remaining
	if action.Timeout > 0 {
		deadline = min(deadline, a.startedAt+clock.Ms(action.Timeout))
	}
	return deadline
}

// sendDeadline returns the time in ms from which an attempt must not be sent, however long it waits for a connection: endpoints may
// have discarded its idempotency key, or the request's authorization has expired.
func sendDeadline(r *request, action control.Attempt) float64 {
	deadline := clock.Ms(action.SendDeadline)
	if r.AuthorizedUntil > 0 {
		deadline = min(deadline, r.AuthorizedUntil)
	}
	return deadline
}

// executeCancel cancels the attempt that the controller has chosen.
func (c *Core) executeCancel(action control.Cancel) {
	r := c.requests[action.ID]
	if r != nil && action.Attempt >= 0 && action.Attempt < len(r.attempts) {
		c.cancelAttempt(r.attempts[action.Attempt], control.Canceled)
	}
}

// timeOutAttempt cancels an attempt whose deadline has passed.
func (c *Core) timeOutAttempt(a *attempt) { c.cancelAttempt(a, control.TimedOut) }

// cancelAttempt has the upstream cancel an attempt; the attempt's result follows. A deferred attempt, which was not passed
// to the upstream yet, ends at once.
func (c *Core) cancelAttempt(a *attempt, outcome control.Outcome) {
	if a.deferred != nil {
		c.cancelDeferred(a)
		return
	}
	if a.ended || a.canceling {
		return
	}
	a.canceling = true
	c.stats.Canceled++
	c.upstream.Cancel(a.key, outcome)
}
