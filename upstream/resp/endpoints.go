package resp

import (
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// Endpoint list: which process an endpoint's ID means. A connection belongs to an ID at an address since a start: what was queued
// on it, or is asked on it, must not be taken for work of, or an answer by, another process that has come up since.

// UpdateEndpoints applies an update of the endpoint list. The connections of a removed endpoint stay open until its attempts
// in flight have ended.
func (p *Pool) UpdateEndpoints(list core.EndpointList) {
	p.mu.Lock()
	ended := p.applyEndpoints(list)
	p.mu.Unlock()
	for _, ev := range ended {
		p.postAsync(ev)
	}
}

func (p *Pool) applyEndpoints(list core.EndpointList) (ended []core.Event) {
	if list.Snapshot {
		for _, q := range p.peers {
			q.removed, q.ready = true, false
		}
	}
	named := make(map[uint32]bool, len(list.Endpoints))
	arrived := map[string]bool{} // addresses at which an endpoint is new
	for _, e := range list.Endpoints {
		q := p.peers[uint32(e.Info.ID)]
		if q == nil {
			q = &peer{id: uint32(e.Info.ID)}
			p.peers[q.id] = q
		}
		named[q.id] = true
		if q.addr != e.Addr && e.Info.State != control.Gone {
			arrived[e.Addr] = true
		}
		ended = append(ended, p.updatePeer(q, e)...)
	}
	ended = append(ended, p.displace(arrived, named)...)
	if list.Snapshot {
		for id, q := range p.peers {
			if q.removed {
				p.removed[id] = q
			}
		}
	}
	for id, q := range p.removed {
		ended = append(ended, p.endUnsent(id)...)
		q.drainConns()
		p.removeIfUnused(q)
	}
	return ended
}

// updatePeer applies an endpoint's entry in a list.
func (p *Pool) updatePeer(q *peer, e core.Endpoint) (ended []core.Event) {
	known, restarted := q.addr != "", e.Info.StartedAt > q.startedAt
	moved := known && q.addr != e.Addr
	q.addr, q.startedAt = e.Addr, e.Info.StartedAt
	q.removed, q.ready = e.Info.State == control.Gone, e.Info.State == control.Ready
	if q.removed {
		p.removed[q.id] = q
	} else {
		delete(p.removed, q.id)
	}
	// What was decided for the former process is decided again: a cold cache takes less load.
	if !q.ready || moved || restarted {
		ended = p.endUnsent(q.id)
	}
	if !known || !moved && !restarted {
		return ended
	}
	for _, c := range q.conns {
		if moved || c.openedAt < clock.Ms(q.startedAt) {
			ended = append(ended, c.endHealthChecks()...)
			c.drain()
		}
		c.closeIfDone()
	}
	return ended
}

// displace has the endpoints accept no new work that the list does not name and whose address another endpoint has now: the list
// tells late that they are gone, and what is sent to them would reach the other one.
func (p *Pool) displace(arrived map[string]bool, named map[uint32]bool) (ended []core.Event) {
	if len(arrived) == 0 {
		return nil
	}
	for id, q := range p.peers {
		if q.ready && arrived[q.addr] && !named[id] {
			q.ready = false
			ended = append(ended, p.endUnsent(id)...)
			q.drainConns()
		}
	}
	return ended
}

// drainConns has an endpoint's connections take no new attempts, and closes those without any.
func (q *peer) drainConns() {
	for _, c := range q.conns {
		c.drain()
		c.closeIfDone()
	}
}

// endHealthChecks ends the health checks that are in flight on a connection to a former process, whose answer says nothing about
// the present one.
func (c *conn) endHealthChecks() (ended []core.Event) {
	for _, a := range c.open {
		if !a.probe || a.confirms != nil {
			continue
		}
		if ev := c.pool.endAttempt(a, control.NotSent); ev != nil {
			ended = append(ended, ev)
		}
	}
	return ended
}
