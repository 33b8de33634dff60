package resp

import (
	"net"
	"syscall"

	"turnfork.dev/turnfork/core"
)

// conn is one connection. The pool's lock guards all fields except net and the buffers of the reader and writer goroutines.
type conn struct {
	pool         *Pool
	peer         *peer
	net          net.Conn
	raw          syscall.RawConn              // nil: net has none
	open         map[string]*attempt          // in flight or queued, by ID
	retiredIDs   map[string]float64           // IDs for which a response may still arrive, with the time of their attempt's end
	barriers     map[string][]core.AttemptKey // canceled attempts, by the ID of the PING behind their DROPs
	outgoing     []chunk                      // queued for writing
	buf          []byte                       // used by the writer goroutine only
	queuedBytes  int                          // in outgoing
	wake         chan struct{}
	draining     bool // takes no new attempts, and is closed when its attempts have ended
	closing      bool // Close has been called
	broken       bool
	writeErr     error // why the writer closed the connection; nil: it did not
	openedAt     float64
	lastResponse float64 // time of the last response
	lastUse      float64

	// When an attempt was canceled that had no response for unresponsiveAfter, with no response to any other since; 0: it responds.
	unresponsiveSince float64
}

// chunk is a command to be written: the GET, the DROP or the probe of an attempt, or a PING behind DROPs.
type chunk struct {
	attempt    *attempt
	bytes      []byte // nil for a queued GET or probe, which is encoded when it is written
	queuedSize int    // as counted in conn.queuedBytes
	isDrop     bool   // it is the DROP of the attempt
	barrierID  string // the ID of a PING behind DROPs; else ""
}

const (
	maxRetiredIDs = 4096    // IDs that cannot be reused yet; a connection with more takes no new attempts
	maxPoolIDs    = 16384   // the same, on all connections together
	retiredIDTTL  = 10000.0 // ms until an ID can be reused, unless requests may last longer

	maxBarriers = 4 // PINGs behind DROPs in flight on a connection
)

func newConn(p *Pool, q *peer, nc net.Conn) *conn {
	now := p.now()
	var raw syscall.RawConn
	if sc, ok := nc.(syscall.Conn); ok {
		raw, _ = sc.SyscallConn()
	}
	return &conn{
		raw: raw, pool: p, peer: q, net: nc, open: map[string]*attempt{}, retiredIDs: map[string]float64{}, barriers: map[string][]core.AttemptKey{},
		wake: make(chan struct{}, 1), openedAt: now, lastResponse: now, lastUse: now,
	}
}

// idInUse reports whether an ID must not be used for a new attempt on this connection, because a response to an earlier attempt
// with the same ID may still arrive: the response to a canceled attempt, or a duplicate. If it were matched to the new
// attempt, that would end early, and a third attempt could be sent while the second still runs.
func (c *conn) idInUse(wireID string) bool {
	_, retired := c.retiredIDs[wireID]
	return retired || c.open[wireID] != nil
}

// idleExpired reports whether the connection has been unused for so long that the endpoint may soon close it. It is also checked
// between two sweeps, so that no request is written into that close.
func (c *conn) idleExpired() bool {
	return c.pool.opt.IdleClose > 0 && c.pool.now()-c.lastUse > idleCloseFraction*c.pool.opt.IdleClose
}

// retireID keeps an ID from being reused on this connection until forgetExpiredIDs deletes it. If there are too many such IDs, the
// connection takes no new attempts, which makes all of its IDs unnecessary.
func (c *conn) retireID(wireID string) {
	p := c.pool
	if c.draining || c.broken {
		return
	}
	if _, retired := c.retiredIDs[wireID]; !retired {
		if len(c.retiredIDs) >= maxRetiredIDs || p.retiredIDs >= maxPoolIDs {
			c.drain()
			return
		}
		p.retiredIDs++
	}
	c.retiredIDs[wireID] = p.now()
}

// drain has the connection take no new attempts. It is closed when its attempts have ended.
func (c *conn) drain() {
	c.draining = true
	c.forgetIDs()
}

// forgetIDs deletes all retired IDs.
func (c *conn) forgetIDs() {
	c.pool.retiredIDs -= len(c.retiredIDs)
	c.retiredIDs = map[string]float64{}
}

// forgetExpiredIDs deletes the retired IDs for which no response can arrive any more.
func (c *conn) forgetExpiredIDs(now float64) {
	for id, since := range c.retiredIDs {
		if now-since > max(retiredIDTTL, c.pool.opt.MaxRequestDuration) {
			delete(c.retiredIDs, id)
			c.pool.retiredIDs--
		}
	}
}

// add assigns an attempt to the connection and queues its command.
func (c *conn) add(a *attempt) {
	a.conn = c
	c.open[a.wireID] = a
	c.enqueue(chunk{attempt: a, queuedSize: len(a.probeCommand) + len(a.Body) + commandOverhead})
}

// enqueue adds a chunk to the write queue and wakes the writer.
func (c *conn) enqueue(k chunk) {
	c.outgoing = append(c.outgoing, k)
	c.queuedBytes += k.queuedSize
	c.lastUse = c.pool.now()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *conn) removeQueued(a *attempt) {
	for i, k := range c.outgoing {
		if k.attempt == a {
			c.queuedBytes -= k.queuedSize
			c.outgoing = append(c.outgoing[:i], c.outgoing[i+1:]...)
			return
		}
	}
}

// addBarrier registers a PING to be written behind DROPs and returns its ID. An endpoint reads a connection in order, so the
// response confirms that it has read them. It returns "" for an endpoint that accepts no new work, or if too many such PINGs
// are in flight.
func (c *conn) addBarrier(drops []core.AttemptKey) (id string) {
	_, excluded := c.pool.excluded[c.peer.id]
	if len(drops) == 0 || excluded || !c.peer.ready || len(c.barriers) >= maxBarriers || c.pool.opt.DisableHealthChecks {
		return ""
	}
	c.pool.lastProbeID++
	id = probeID(c.pool.lastProbeID)
	c.barriers[id] = drops
	return id
}

// failBarriers ends the PINGs behind DROPs that have no response yet: their attempts stay unconfirmed.
func (c *conn) failBarriers() (ended []core.Event) {
	for _, keys := range c.barriers {
		ended = append(ended, core.BarrierResult{Keys: keys, NoResponse: true})
	}
	clear(c.barriers)
	return ended
}

// markIfUnresponsive marks the connection unresponsive when an attempt on it is canceled without any response since the attempt
// was written, more than unresponsiveAfter ago. If the endpoint has responded on another connection meanwhile, the fault lies
// with this connection, which then drains.
func (c *conn) markIfUnresponsive(a *attempt) {
	now := c.pool.now()
	if c.lastResponse > a.writtenAt || now-a.writtenAt <= unresponsiveAfter {
		return
	}
	if c.unresponsiveSince == 0 {
		c.unresponsiveSince = now
	}
	for _, other := range c.peer.conns {
		if other != c && other.lastResponse > a.writtenAt {
			c.drain()
		}
	}
}

// closeIfDone closes a draining connection once its attempts have ended and its DROPs are confirmed or their PINGs have timed
// out. It closes in a goroutine of its own to avoid a deadlock: Close waits until the writer releases the file descriptor,
// and the writer may wait for the pool's lock, which the caller holds.
func (c *conn) closeIfDone() {
	if c.draining && len(c.open) == 0 && len(c.outgoing) == 0 && len(c.barriers) == 0 && !c.broken && !c.closing {
		c.closing = true
		c.pool.wg.Go(func() { c.net.Close() }) // the reader then removes it from the peer
	}
}
