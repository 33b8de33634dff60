package core

import (
	"slices"

	"turnfork.dev/turnfork/control"
)

// Cancellation: two attempts of one request must never be at the endpoints at the same time.
//
// A DROP command, or the close of a connection, is ordered only within its own connection. An endpoint that reads several
// connections may read a further attempt on one before the cancellation of the previous attempt on another, and then
// processes the request twice at the same time. So the end of an attempt that was canceled, or whose connection broke, is
// unconfirmed at first. The controller is notified of the end and decides at once, and a rejection or failure is not
// delayed; only the start of a further attempt is deferred:
//
//   - to any endpoint: until the endpoint of the ended attempt acknowledges the cancellation (CancelConfirmed), or the grace
//     period has passed. For a request that is idempotent by its key the grace period is not sufficient, see needsAck;
//   - to the same endpoint: until that endpoint has answered a barrier ping written after the cancellation
//     (BarrierResult) or has acknowledged the cancellation. No grace period is sufficient, because an endpoint that was
//     suspended finds everything that was written to it when it resumes, and reads its connections in any order. An endpoint
//     that has come up at the address of another one counts as the same: the earlier attempt may have reached it.
//
// attempts.go starts attempts through startOrDefer; results.go calls recordUnconfirmedCancel; Handle calls handleCancelConfirmed
// and handleBarrierResult; the timer calls handleGraceExpired.

// defaultCancelGraceMs is the default of Options.CancelGrace, in ms.
const defaultCancelGraceMs = 40.0

// unconfirmedCancel describes the end of an attempt that its endpoint may not have processed yet.
type unconfirmedCancel struct {
	key        AttemptKey
	endedAt    float64 // ms
	graceUntil float64 // ms; 0: there is none
	needsAck   bool    // the end of the grace period is not sufficient, only CancelConfirmed is
}

// recordUnconfirmedCancel records that the endpoint of an ended attempt may not have processed the end yet, and starts the
// grace period.
//
// A canceled attempt of a keyed request requires the acknowledgement: an endpoint that was suspended may run it after it
// resumes, even if the key has expired there by then. A connection that the endpoint closed ended all the attempts on
// it at the endpoint, and the grace period covers data that was still in transit.
func (c *Core) recordUnconfirmedCancel(r *request, a *attempt, outcome control.Outcome) {
	a.needsBarrier, a.mayStillRun = true, true
	r.unconfirmedCancel = unconfirmedCancel{
		key:        a.key,
		endedAt:    c.now(),
		graceUntil: c.now() + c.opt.CancelGrace,
		needsAck:   r.idempotentByKey && outcome != control.ConnectionLost,
	}
	c.schedule(timer{at: r.unconfirmedCancel.graceUntil, kind: cancelGraceTimer, attempt: a})
}

// startOrDefer sends an attempt now, or defers it until the previous one's cancellation is confirmed.
func (c *Core) startOrDefer(a *attempt, req AttemptRequest) {
	if req.SendDeadline <= req.Deadline {
		c.schedule(timer{at: req.SendDeadline, kind: sendDeadlineTimer, attempt: a})
	}
	c.requestBarriers(a.request, req.Endpoint)
	if c.mayStartNext(a.request, req.Endpoint) {
		c.upstream.Send(req)
		return
	}
	c.stats.Deferred++
	a.deferred = &req
}

// requestBarriers has the upstream send an endpoint a barrier ping for each unconfirmed cancellation there. If the
// upstream cannot do this, the grace period alone has to suffice.
func (c *Core) requestBarriers(r *request, endpoint uint32) {
	for _, previous := range r.attempts {
		if previous.needsBarrier && c.reachedProcessOf(previous, endpoint) && !c.upstream.ConfirmCancel(previous.key, endpoint) {
			previous.needsBarrier = false
		}
	}
}

// mayStartNext reports whether the next attempt of a request may be sent to an endpoint.
func (c *Core) mayStartNext(r *request, endpoint uint32) bool {
	if r.unconfirmedCancel.graceUntil > c.now() || r.unconfirmedCancel.needsAck {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(previous *attempt) bool {
		return previous.needsBarrier && c.reachedProcessOf(previous, endpoint)
	})
}

// handleBarrierResult handles the result of a barrier ping. If the endpoint did not respond, an attempt deferred for it ends
// unsent, and the controller decides again.
func (c *Core) handleBarrierResult(ev BarrierResult) {
	for _, key := range ev.Keys {
		r := c.requests[key.ID]
		if r == nil && !ev.NoResponse {
			c.confirmRetired(key)
		}
		if r == nil || key.Number >= len(r.attempts) || !r.attempts[key.Number].needsBarrier {
			continue
		}
		canceled := r.attempts[key.Number]
		last := r.lastAttempt()
		c.traceBarrier(r, key, ev.NoResponse)
		if !ev.NoResponse {
			canceled.needsBarrier, canceled.mayStillRun = false, false
			c.startDeferred(last)
		} else if last.deferred != nil && c.reachedProcessOf(canceled, last.endpoint) {
			c.cancelDeferred(last)
		}
	}
}

// handleCancelConfirmed handles an endpoint's acknowledgement that it has processed the end of an attempt.
func (c *Core) handleCancelConfirmed(ev CancelConfirmed) {
	r := c.requests[ev.ID]
	if r == nil {
		c.confirmRetired(ev.AttemptKey)
		return
	}
	if ev.Number < len(r.attempts) {
		a := r.attempts[ev.Number]
		a.needsBarrier, a.mayStillRun = false, false
	}
	if r.lastAttempt().deferred != nil && r.unconfirmedCancel.key == ev.AttemptKey {
		c.stats.CancelConfirmed++
	}
	c.confirmCancel(r, ev.AttemptKey)
}

// handleGraceExpired handles the end of an attempt's grace period.
func (c *Core) handleGraceExpired(r *request, key AttemptKey) {
	if r.unconfirmedCancel.key == key && r.unconfirmedCancel.needsAck {
		c.removeIfDone(r)
		return
	}
	c.confirmCancel(r, key)
}

// confirmCancel marks an attempt's end as processed by its endpoint, after an acknowledgement or at the end of the grace
// period.
func (c *Core) confirmCancel(r *request, key AttemptKey) {
	if r.unconfirmedCancel.graceUntil != 0 && r.unconfirmedCancel.key == key {
		c.traceCancelConfirmed(r, key)
		r.unconfirmedCancel = unconfirmedCancel{}
	}
	c.startDeferred(r.lastAttempt())
}

// startDeferred sends a deferred attempt if it may start now, or cancels it if the request must not be forwarded any more.
func (c *Core) startDeferred(a *attempt) {
	switch {
	case a.deferred == nil:
		c.removeIfDone(a.request)
	case a.request.Canceled.Load() || a.request.authorizationExpired(c.now()):
		c.stopForwarding(a.request)
		c.cancelDeferred(a)
	case c.mayStartNext(a.request, a.endpoint):
		req := *a.deferred
		a.deferred = nil
		c.upstream.Send(req)
	}
}

// endUnsent ends an attempt whose send deadline has passed, unless it may have been sent: it waits for a connection, or is deferred.
func (c *Core) endUnsent(a *attempt) {
	switch {
	case a.ended:
	case a.deferred != nil:
		c.cancelDeferred(a)
	default:
		c.upstream.CancelUnsent(a.key)
	}
}

// cancelDeferred ends a deferred attempt with the outcome NotSent.
func (c *Core) cancelDeferred(a *attempt) {
	a.deferred = nil
	c.handleAttemptResult(AttemptResult{AttemptKey: a.key, Outcome: control.NotSent})
}
