package resp

import (
	"context"
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
)

// assign assigns an attempt to a connection, or dials one. Attempts are spread over several connections, because a malformed
// response ends all attempts on its connection. An attempt waits for a dial only if the peer has no usable connection.
func (p *Pool) assign(q *peer, a *attempt) (ended []core.Event) {
	// An attempt that must not be sent twice gets a connection of its own, which is closed after it. On a shared connection
	// it could be lost to the endpoint's idle close or to a malformed response to another attempt.
	if a.NonIdempotent && p.conns < p.opt.MaxConns {
		p.conns++
		p.wg.Add(1)
		go p.dial(q, q.addr, a)
		return nil
	}
	c := q.pickConn(a.wireID, p.opt.MaxAttemptsPerConn)
	needsDial := c == nil || len(c.open) >= dialThreshold && p.now() > q.dialFailedAt+redialDelay
	if needsDial && !q.dialing && p.conns < p.opt.MaxConns && q.countConns() < p.peerConnLimit() {
		q.dialing = true
		p.conns++
		p.wg.Add(1)
		go p.dial(q, q.addr, nil)
	}
	switch {
	case c != nil:
		c.add(a)
	case q.dialing:
		q.waiting = append(q.waiting, a)
	default: // connection limit reached: not sent, which is no failure of the endpoint
		if ev := p.endAttempt(a, control.NotSent); ev != nil {
			ended = append(ended, ev)
		}
	}
	return ended
}

// peerConnLimit returns the maximum number of connections to one endpoint.
func (p *Pool) peerConnLimit() int {
	return max(2, min(maxConnsPerPeer, (p.opt.MaxConns-reservedConns)/max(1, len(p.peers))))
}

// pickConn returns a connection that can take an attempt with this ID, or nil. Among lightly loaded connections it prefers the
// most recently used one, so that attempts do not meet the endpoint's close of an idle connection; otherwise it returns the
// connection with the fewest attempts.
func (q *peer) pickConn(wireID string, streams int) (best *conn) {
	better := func(a, b *conn) bool {
		if len(a.open) < dialThreshold && len(b.open) < dialThreshold {
			return a.lastUse > b.lastUse
		}
		return len(a.open) < len(b.open)
	}
	for _, c := range q.conns {
		if c.canTake(wireID, streams) && (best == nil || better(c, best)) {
			best = c
		}
	}
	return best
}

// canTake reports whether the connection can take an attempt with this ID.
func (c *conn) canTake(wireID string, streams int) bool {
	return !c.draining && !c.broken && !c.idleExpired() && len(c.open) < streams && c.queuedBytes < maxQueuedBytes && !c.idInUse(wireID)
}

// countConns counts a peer's connections, except for those that have no attempts and are about to be closed.
func (q *peer) countConns() (n int) {
	for _, c := range q.conns {
		if !c.draining && !c.idleExpired() || len(c.open) > 0 {
			n++
		}
	}
	return n
}

// dial opens a connection for all waiting attempts of a peer, or, if dedicated is not nil, for that attempt only.
func (p *Pool) dial(q *peer, addr string, dedicated *attempt) {
	defer p.wg.Done()
	ctx, cancel := context.WithTimeout(p.ctx, clock.Duration(p.opt.DialTimeout))
	nc, err := p.opt.Dial(ctx, "tcp", addr)
	cancel()
	p.mu.Lock()
	waiting := []*attempt{dedicated}
	if dedicated == nil {
		q.dialing = false
		waiting, q.waiting = q.waiting, nil
	}
	if err == nil {
		if err = p.checkDialed(q); err != nil {
			nc.Close()
		}
	}
	var ended []core.Event
	if err != nil {
		ended = p.failDial(q, waiting, dedicated != nil, err)
	} else {
		ended = p.addConn(q, newConn(p, q, nc), addr, waiting, dedicated != nil)
	}
	p.mu.Unlock()
	if err != nil {
		p.opt.Log.Debug().Err(err).Str("addr", addr).Int("waiting", len(waiting)).Msg("dial failed")
	}
	for _, ev := range ended {
		p.post(ev)
	}
}

// checkDialed returns an error if a new connection to a peer is of no use: the pool is closed, or the endpoint was removed. In the
// second case, waiting attempts would otherwise dial it again and again.
func (p *Pool) checkDialed(q *peer) error {
	if err := p.ctx.Err(); err != nil {
		return err
	}
	if q.removed {
		return errEndpointRemoved
	}
	return nil
}

// failDial ends the attempts that waited for a dial that has failed. A failed dial for a dedicated connection does not delay the
// next one of the peer.
func (p *Pool) failDial(q *peer, waiting []*attempt, dedicated bool, err error) (ended []core.Event) {
	p.conns--
	if !dedicated {
		q.dialFailedAt = p.now()
	}
	for _, a := range waiting {
		if ev := p.endAttempt(a, dialOutcome(err)); ev != nil {
			ended = append(ended, ev)
		}
	}
	return ended
}

// addConn adds a new connection to a peer, and assigns the attempts that waited for it. The connection takes no others if it is
// dedicated to an attempt, or if the peer has another address now.
func (p *Pool) addConn(q *peer, c *conn, dialed string, waiting []*attempt, dedicated bool) (ended []core.Event) {
	moved := q.addr != dialed
	c.draining = dedicated || moved
	q.conns = append(q.conns, c)
	p.wg.Add(2)
	go c.readLoop()
	go c.writeLoop(c.wake)
	for _, a := range waiting {
		switch {
		case a.ended:
		case dedicated && !moved:
			c.add(a)
		default:
			ended = append(ended, p.assign(q, a)...)
		}
	}
	c.closeIfDone()
	return ended
}

// dialOutcome returns the outcome of a failed dial. A failure local to this host is not counted against the endpoint.
func dialOutcome(err error) control.Outcome {
	if neterr.IsLocal(err) {
		return control.LocalFailure
	}
	return control.ConnectFailed
}

// removeIfUnused deletes an endpoint that is no longer in the list once it has no connection and no dial in progress.
func (p *Pool) removeIfUnused(q *peer) {
	if q.removed && len(q.conns) == 0 && !q.dialing {
		delete(p.peers, q.id)
		delete(p.removed, q.id)
	}
}

// sweep closes idle and unresponsive connections.
func (p *Pool) sweep() {
	defer p.wg.Done()
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
		for _, ev := range p.sweepConns() {
			p.post(ev)
		}
	}
}

// sweepConns closes the idle and unresponsive connections that there are now.
func (p *Pool) sweepConns() (ended []core.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, q := range p.peers {
		for _, c := range q.conns {
			ended = append(ended, c.sweep(now)...)
		}
		p.removeIfUnused(q)
	}
	return ended
}

// sweep drains the connection if it is idle or unresponsive, and closes it once it is drained.
func (c *conn) sweep(now float64) (ended []core.Event) {
	c.forgetExpiredIDs(now)
	// A connection with canceled attempts and no response since may lead to a machine that has failed without closing it. New
	// attempts then dial a new connection: a failed dial proves that they have not run.
	unresponsive := c.unresponsiveSince > 0 && now-c.unresponsiveSince > unresponsiveTTL
	if unresponsive || c.idleExpired() {
		c.drain()
	}
	if c.draining && now-c.lastUse > barrierTimeout { // no response: the canceled attempts stay unconfirmed
		ended = c.failBarriers()
	}
	c.closeIfDone()
	return ended
}
