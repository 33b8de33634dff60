package resp

import (
	"slices"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// Exclude stops sending new attempts to an endpoint and naming it as a fill source, until it is called with excluded
// false. Attempts in flight at the endpoint continue.
func (p *Pool) Exclude(endpoint uint32, excluded bool) {
	p.mu.Lock()
	delete(p.excluded, endpoint)
	var ended []core.Event
	if excluded {
		p.excluded[endpoint] = struct{}{}
		ended = p.endUnsent(endpoint)
	}
	p.mu.Unlock()
	for _, ev := range ended {
		p.postAsync(ev)
	}
}

// endUnsent ends the attempts that are not yet sent and have this endpoint as their target or fill source. Without it,
// attempts delayed by a dial or a full connection would reach an endpoint that no longer accepts new work, possibly after
// its grace period.
func (p *Pool) endUnsent(id uint32) (ended []core.Event) {
	none := true
	cancel := func(a *attempt) {
		none = false
		if a.conn != nil {
			a.conn.removeQueued(a)
		}
		if ev := p.endAttempt(a, control.NotSent); ev != nil {
			ended = append(ended, ev)
		}
	}
	for _, a := range p.attempts {
		if (a.Endpoint == id || a.Fill && a.Source == id) && !a.mayBeSent && !a.cancelRequested {
			cancel(a)
		}
	}
	if q := p.peers[id]; q != nil { // probes have no key in p.attempts
		for _, a := range q.waiting {
			cancel(a)
		}
		for _, c := range q.conns {
			for _, a := range c.open {
				if a.probe && !a.mayBeSent {
					cancel(a)
				}
			}
		}
	}
	if none { // the usual case: most endpoints in a list update have no unsent attempts
		return nil
	}
	for _, q := range p.peers {
		q.waiting = slices.DeleteFunc(q.waiting, func(a *attempt) bool { return a.ended })
	}
	return ended
}
