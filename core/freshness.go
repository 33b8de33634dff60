package core

import (
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Freshness: Handle calls applyPurge and applyCopyAgeLimit; attempts.go calls maxCopyAge for every attempt. An attempt that the
// controller requested before a purge but that has not been sent yet (it is deferred, or queued for a connection) must not
// accept a copy older than the purge.

// applyPurge reports a purge to the controller and applies it to the attempts that have not been sent.
func (c *Core) applyPurge(ev Purge) {
	c.notifyController(control.Purged{
		Object: control.ObjectID(ev.Object),
		Group:  ev.Group,
		Ago:    clock.Duration(c.purgeAge(ev.At)),
	})
	for _, r := range c.requests {
		if !r.answered && r.openAttempts > 0 && ev.covers(r) {
			c.limitCopyAge(r, c.maxCopyAge(r, clock.Ms(c.controller.MaxCopyAge(r.id))))
		}
	}
}

// covers reports whether a purge applies to the object of a request.
func (ev Purge) covers(r *request) bool {
	if ev.Object != 0 {
		return r.Object == ev.Object
	}
	return r.Group == ev.Group
}

// purgeAge returns the age in ms of a purge that another machine dated, in Unix ms. It is computed by the wall clock and by the
// monotonic clock, and the smaller result is used, because too large an age would allow copies from before the purge. A
// step of the wall clock, even one that was corrected since the start, therefore never increases it.
func (c *Core) purgeAge(date float64) float64 {
	return max(0, min(c.opt.Clock.Unix(), c.now())-date)
}

// applyCopyAgeLimit applies Options.MaxCopyAge to the attempts that have not been sent.
func (c *Core) applyCopyAgeLimit() {
	for _, r := range c.requests {
		if !r.answered && r.openAttempts > 0 && !r.isWrite {
			c.limitCopyAge(r, c.maxCopyAge(r, clock.Ms(c.controller.MaxCopyAge(r.id))))
		}
	}
}

// maxCopyAge returns the maximum age in ms of a copy served to a request: the age that the controller allows (0: the
// FreshFor of its class), or Options.MaxCopyAge if that is lower.
func (c *Core) maxCopyAge(r *request, age float64) float64 {
	if c.opt.MaxCopyAge == nil || r.isWrite {
		return age
	}
	bound := clock.Ms(c.opt.MaxCopyAge())
	if bound <= 0 {
		return age
	}
	if age <= 0 {
		age = clock.Ms(c.opt.Settings.Classes[c.classes[r.Class]].FreshFor)
	}
	if age <= 0 {
		return bound
	}
	return min(age, bound)
}

// limitCopyAge has the unsent attempts of a request accept no copy older than age ms.
func (c *Core) limitCopyAge(r *request, age float64) {
	if age <= 0 {
		return
	}
	for _, a := range r.attempts {
		switch {
		case a.ended:
		case a.deferred != nil:
			a.deferred.MaxAge = age
		default:
			c.upstream.LimitCopyAge(a.key, age)
		}
	}
}
