package core

import (
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Actions: every stage reports events to the controller through notifyController, which carries out the actions that the
// controller returns. No policy decision is made here.

// notifyController passes an event to the controller and carries out the actions it returns. An event reported during
// that is queued and passed on afterwards: the controller is never re-entered.
func (c *Core) notifyController(ev control.Event) {
	c.pendingEvents = append(c.pendingEvents, ev)
	if c.dispatching {
		return
	}
	c.dispatching = true
	for len(c.pendingEvents) > 0 {
		next := c.pendingEvents[0]
		c.pendingEvents = c.pendingEvents[1:]
		c.actions = c.controller.Handle(clock.Duration(c.now()), next, c.actions[:0])
		for _, action := range c.actions {
			c.execute(action)
		}
	}
	c.pendingEvents = nil
	c.dispatching = false
}

// execute carries out one action of the controller.
func (c *Core) execute(action control.Action) {
	switch action := action.(type) {
	case control.Attempt:
		c.startAttempt(action)
	case control.Reject:
		c.respondUnserved(action.ID, Answer{Verdict: Rejected, Reason: Shed, RetryAfter: clock.Ms(action.RetryAfter)})
	case control.Fail:
		c.respondUnserved(action.ID, Answer{Verdict: Failed, Reason: Shed})
	case control.Cancel:
		c.executeCancel(action)
	case control.HealthCheck:
		c.stats.HealthChecks++
		c.healthChecks[uint32(action.To)] = c.now()
		c.upstream.CheckHealth(uint32(action.To))
	case control.SetTimer:
		c.schedule(timer{at: clock.Ms(action.At), kind: controllerTimer, token: action.Token})
	case control.RefreshEndpoints: // nothing to do: the watch of the endpoint list delivers each update
	}
}
