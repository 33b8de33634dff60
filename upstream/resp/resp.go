// Package resp is the upstream that sends attempts to endpoints (caches, parents and the origin) as RESP arrays. Many
// attempts share a connection; their IDs match responses to attempts.
package resp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
	"turnfork.dev/turnfork/limits"
)

// Options set the limits of an upstream.
type Options struct {
	DialTimeout         float64            // ms
	IdleClose           float64            // ms after which endpoints close idle connections; the pool closes them somewhat earlier
	HealthCheckTimeout  float64            // ms, of health checks and PINGs
	MaxAttemptsPerConn  int                // maximum number of attempts in flight on one connection
	MaxConns            int                // to all endpoints together
	MaxRequestDuration  float64            // ms, the maximum duration of a request
	DisableHealthChecks bool               // health checks are disabled, and with them PINGs: only time resolves an unconfirmed cancellation
	DisableCancel       bool               // cancellation is disabled: no DROP is sent, and a canceled attempt runs to its end at the endpoint
	ResponseBudget      *limits.ByteBudget // for the bodies of responses until the core has handed them on; nil: no limit
	Clock               *clock.Clock
	Log                 zerolog.Logger
	Dial                func(ctx context.Context, network, addr string) (net.Conn, error) // nil: net.Dialer
}

const (
	idleCloseFraction   = 0.8             // of IdleClose, so that this side closes first and no request is sent into the endpoint's close
	writeTimeout        = 2 * time.Second // a connection whose endpoint reads nothing for this duration is closed
	maxQueuedBytes      = 2 << 20         // bytes buffered for one connection's writer
	unresponsiveAfter   = 500.0           // ms without a response since an attempt was written: its cancellation then marks the connection unresponsive
	unresponsiveTTL     = 1000.0          // ms for which an unresponsive connection still takes new attempts
	sweepInterval       = 250 * time.Millisecond
	barrierTimeout      = 2000.0 // ms since its last use for which a draining connection waits for the responses to barrier PINGs
	maxConnsPerPeer     = 8
	reservedConns       = 8                      // reserved for endpoints without a connection
	redialDelay         = 1000.0                 // ms after a failed dial until an additional connection is dialed again
	dialThreshold       = 2                      // attempts in flight on each connection before an additional one is dialed
	responseReadTimeout = 500 * time.Millisecond // maximum time between two reads of one response
	responseTimeout     = 2 * time.Second        // from a response's first byte to its last
	readBufferSize      = 4 << 10
	minTTL              = 1.0 // ms that the client must have left for its request to be sent: the least value of the ttl field
)

// Pool implements core.Upstream with a pool of connections. It posts its events from its own goroutines only.
type Pool struct {
	opt  Options
	post func(core.Event)
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu          sync.Mutex
	peers       map[uint32]*peer
	removed     map[uint32]*peer // those of peers that are no longer in the endpoint list
	attempts    map[core.AttemptKey]*attempt
	excluded    map[uint32]struct{} // endpoints that operators have excluded
	lastProbeID uint64              // number of health checks and PINGs so far, for their IDs
	conns       int
	retiredIDs  int             // on all connections
	asyncEvents chan core.Event // events of calls by the core, which must not post themselves
}

var (
	errEndpointRemoved = errors.New("endpoint was removed from the endpoint list")
	errResponseBudget  = errors.New("no memory for a response was released in time")
	errClientCanceled  = errors.New("client canceled the request while it was being written")
	errDeadlinePassed  = fmt.Errorf("%w: deadline passed before it was sent to the endpoint", errClientCanceled)
)

// peer is one endpoint and its connections.
type peer struct {
	id           uint32
	addr         string
	removed      bool
	ready        bool          // it accepts new attempts
	startedAt    time.Duration // its last start, as clock time; 0: long ago
	conns        []*conn
	dialing      bool
	dialFailedAt float64    // time of the last failed dial
	waiting      []*attempt // for a connection
	barrier      *attempt   // the latest PING that was not sent behind a DROP; nil: none yet
}

// attempt is a GET, or a probe: a health check (LOAD) or a PING.
type attempt struct {
	core.AttemptRequest
	wireID          string // its ID on the wire
	endpoint        uint32
	probe           bool
	confirms        []core.AttemptKey // of a PING: the attempts whose cancellations its response confirms
	conn            *conn             // nil while it waits for a connection
	mayBeSent       bool              // the writer has taken it, so bytes of it may have been sent
	writtenAt       float64           // when the writer took it
	cancelRequested bool
	cancelOutcome   control.Outcome // the result of a canceled attempt
	ended           bool            // its result has been reported
	answered        bool            // it ended with a response of the endpoint
	probeCommand    []byte          // the command of a probe; a GET is encoded when it is written
}

// New returns a pool that runs until Close.
func New(opt Options, post func(core.Event)) *Pool {
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{}).DialContext
	}
	p := &Pool{
		opt: opt, post: post, peers: map[uint32]*peer{}, removed: map[uint32]*peer{}, attempts: map[core.AttemptKey]*attempt{}, excluded: map[uint32]struct{}{},
		asyncEvents: make(chan core.Event, 8192),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Add(2)
	go p.sweep()
	go func() {
		defer p.wg.Done()
		for {
			select {
			case ev := <-p.asyncEvents:
				p.post(ev)
			case <-p.ctx.Done():
				return
			}
		}
	}()
	return p
}

// Close closes every connection and waits for the pool's goroutines.
func (p *Pool) Close() {
	p.stop()
	var open []*conn
	p.mu.Lock()
	for _, q := range p.peers {
		open = append(open, q.conns...)
	}
	p.mu.Unlock()
	for _, c := range open {
		c.net.Close()
	}
	p.wg.Wait()
}

func (p *Pool) now() float64 { return p.opt.Clock.Now() }

// postAsync posts an event from a goroutine of the pool, for calls by the core, which must not post before they return.
func (p *Pool) postAsync(ev core.Event) {
	select {
	case p.asyncEvents <- ev:
	case <-p.ctx.Done():
	default: // Queue full: blocking here would deadlock if the queue's goroutine waits for the core.
		go p.post(ev)
	}
}

// SetMaxConns changes the maximum number of connections. Existing connections above it stay open until they are idle.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opt.MaxConns = max(1, maxConns)
}

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

// removeIfUnused deletes an endpoint that is no longer in the list once it has no connection and no dial in progress.
func (p *Pool) removeIfUnused(q *peer) {
	if q.removed && len(q.conns) == 0 && !q.dialing {
		delete(p.peers, q.id)
		delete(p.removed, q.id)
	}
}

// Send makes an attempt.
func (p *Pool) Send(s core.AttemptRequest) {
	a := &attempt{AttemptRequest: s, wireID: s.Txn, endpoint: s.Endpoint}
	p.mu.Lock()
	q := p.peers[s.Endpoint]
	if p.attempts[s.AttemptKey] != nil || !p.maySend(a) {
		p.mu.Unlock()
		p.postAsync(core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.NotSent})
		return
	}
	p.attempts[s.AttemptKey] = a
	ended := p.assign(q, a)
	p.mu.Unlock()
	for _, ev := range ended {
		p.postAsync(ev)
	}
}

// maySend is the last check before an attempt is written, however long it was queued: its target and fill source accept
// new work, the client has not canceled the request and has time left, and the endpoints still remember its idempotency key.
func (p *Pool) maySend(a *attempt) bool {
	acceptsWork := func(id uint32) bool {
		_, excluded := p.excluded[id]
		q := p.peers[id]
		return q != nil && q.ready && !excluded
	}
	return acceptsWork(a.endpoint) && (!a.Fill || acceptsWork(a.Source)) && (a.Canceled == nil || !a.Canceled.Load()) &&
		(a.SendDeadline <= 0 || p.now() < a.SendDeadline) && (a.Deadline <= 0 || a.Deadline-p.now() >= minTTL)
}

// CancelUnsent ends an attempt that is not sent yet, with the outcome NotSent.
func (p *Pool) CancelUnsent(k core.AttemptKey) {
	p.mu.Lock()
	var ended core.Event
	if a := p.attempts[k]; a != nil && !a.mayBeSent {
		ended = p.endCanceled(a, control.NotSent)
	}
	p.mu.Unlock()
	if ended != nil {
		p.postAsync(ended)
	}
}

// LimitCopyAge makes an attempt that is not yet sent ask for no copy older than maxAge.
func (p *Pool) LimitCopyAge(k core.AttemptKey, maxAge float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.attempts[k]; a != nil { // no effect on an attempt that is already encoded
		a.MaxAge = maxAge
	}
}

// CheckHealth asks an endpoint for its load report.
func (p *Pool) CheckHealth(endpoint uint32) {
	p.mu.Lock()
	q := p.peers[endpoint]
	if q == nil {
		p.mu.Unlock()
		p.postAsync(core.HealthCheckResult{Endpoint: endpoint, Outcome: control.ConnectFailed})
		return
	}
	p.lastProbeID++
	a := &attempt{wireID: probeID(p.lastProbeID), endpoint: endpoint, probe: true}
	a.probeCommand = appendCommand(nil, "LOAD", a.wireID)
	ended := p.assign(q, a)
	p.mu.Unlock()
	p.watchProbe(a, ended)
}

// watchProbe posts the events that resulted from assigning a probe to a connection, and starts the probe's timeout.
func (p *Pool) watchProbe(a *attempt, ended []core.Event) {
	for _, ev := range ended {
		p.postAsync(ev)
	}
	p.after(p.opt.HealthCheckTimeout, func() { p.cancelAndPost(a, control.TimedOut) })
}

// ConfirmCancel has an endpoint confirm that it reads what is written to it now: with the PING behind the attempt's DROP if
// that is in flight, else with a separate PING. Calls made before that PING is written share it.
func (p *Pool) ConfirmCancel(k core.AttemptKey, endpoint uint32) bool {
	if p.opt.DisableHealthChecks {
		return false
	}
	p.mu.Lock()
	q := p.peers[endpoint]
	if q == nil {
		p.mu.Unlock()
		p.postAsync(core.BarrierResult{Keys: []core.AttemptKey{k}, NoResponse: true})
		return true
	}
	if q.barrierInFlight(k) {
		p.mu.Unlock()
		return true
	}
	if a := q.barrier; a != nil && !a.ended && !a.mayBeSent {
		a.confirms = append(a.confirms, k)
		p.mu.Unlock()
		return true
	}
	p.lastProbeID++
	a := &attempt{wireID: probeID(p.lastProbeID), endpoint: endpoint, probe: true, confirms: []core.AttemptKey{k}}
	a.probeCommand = appendCommand(nil, "PING", a.wireID)
	q.barrier = a
	ended := p.assign(q, a)
	p.mu.Unlock()
	p.watchProbe(a, ended)
	return true
}

// barrierInFlight reports whether the PING behind an attempt's DROP is in flight.
func (q *peer) barrierInFlight(k core.AttemptKey) bool {
	for _, c := range q.conns {
		for _, keys := range c.barriers {
			if slices.Contains(keys, k) {
				return true
			}
		}
	}
	return false
}

func (p *Pool) after(ms float64, f func()) {
	time.AfterFunc(clock.Duration(ms), func() {
		if p.ctx.Err() == nil {
			f()
		}
	})
}

// Cancel cancels an attempt, which ends with the given outcome if its endpoint may have received it.
func (p *Pool) Cancel(k core.AttemptKey, outcome control.Outcome) {
	p.mu.Lock()
	a := p.attempts[k]
	p.mu.Unlock()
	if a != nil {
		if ev := p.cancelAttempt(a, outcome); ev != nil {
			p.postAsync(ev)
		}
	}
}

func (p *Pool) cancelAndPost(a *attempt, outcome control.Outcome) {
	if ev := p.cancelAttempt(a, outcome); ev != nil {
		p.post(ev)
	}
}

// cancelAttempt cancels an attempt. One that is not yet sent ends immediately, and certainly has not run. For any other a DROP
// is queued, and the attempt ends once that is written.
func (p *Pool) cancelAttempt(a *attempt, outcome control.Outcome) core.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endCanceled(a, outcome)
}

// endCanceled is cancelAttempt for callers that hold the lock.
func (p *Pool) endCanceled(a *attempt, outcome control.Outcome) core.Event {
	if a.ended || a.cancelRequested {
		return nil
	}
	switch {
	case a.conn == nil: // waiting for a connection
		if q := p.peers[a.endpoint]; q != nil {
			for i, w := range q.waiting {
				if w == a {
					q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
					break
				}
			}
		}
		if a.probe {
			return p.endAttempt(a, control.ConnectFailed)
		}
		return p.endAttempt(a, control.NotSent)
	case !a.mayBeSent:
		a.conn.removeQueued(a)
		if a.probe {
			return p.endAttempt(a, outcome)
		}
		return p.endAttempt(a, control.NotSent)
	case a.probe || p.opt.DisableCancel:
		if a.conn.markIfUnresponsive(a); !a.probe { // its response may still arrive
			a.conn.retireID(a.wireID)
		}
		return p.endAttempt(a, outcome)
	}
	a.cancelRequested, a.cancelOutcome = true, outcome
	a.conn.markIfUnresponsive(a)
	command := appendCommand(nil, "DROP", a.wireID)
	a.conn.enqueue(chunk{attempt: a, bytes: command, queuedSize: len(command), isDrop: true})
	return nil
}

// endAttempt ends an attempt and returns its event, which the caller posts after releasing the lock. It returns nil if the
// attempt has already ended.
func (p *Pool) endAttempt(a *attempt, outcome control.Outcome) core.Event {
	if a.ended {
		return nil
	}
	a.ended = true
	a.probeCommand = nil
	if c := a.conn; c != nil {
		if c.open[a.wireID] == a {
			delete(c.open, a.wireID)
		}
		c.lastUse = p.now()
		c.closeIfDone()
	}
	if a.confirms != nil {
		return core.BarrierResult{Keys: a.confirms, NoResponse: outcome != control.OK}
	}
	if a.probe {
		return core.HealthCheckResult{Endpoint: a.endpoint, Outcome: outcome}
	}
	delete(p.attempts, a.AttemptKey)
	return core.AttemptResult{AttemptKey: a.AttemptKey, Outcome: outcome, Unconfirmed: a.mayBeSent && !a.answered}
}

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
		if !c.draining && !c.broken && !c.idleExpired() && len(c.open) < streams && c.queuedBytes < maxQueuedBytes && !c.idInUse(wireID) &&
			(best == nil || better(c, best)) {
			best = c
		}
	}
	return best
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
	var ended []core.Event
	p.mu.Lock()
	waiting := []*attempt{dedicated}
	if dedicated == nil {
		q.dialing = false
		waiting, q.waiting = q.waiting, nil
	}
	if err == nil && p.ctx.Err() != nil {
		nc.Close()
		err = p.ctx.Err()
	}
	if err == nil && q.removed { // otherwise waiting attempts would dial a removed endpoint again and again
		nc.Close()
		err = errEndpointRemoved
	}
	if err != nil {
		p.conns--
		if dedicated == nil {
			q.dialFailedAt = p.now()
		}
		for _, a := range waiting {
			if ev := p.endAttempt(a, dialOutcome(err)); ev != nil {
				ended = append(ended, ev)
			}
		}
	} else {
		c := newConn(p, q, nc)
		c.draining = dedicated != nil || q.addr != addr // a connection of its own carries no other attempt
		q.conns = append(q.conns, c)
		p.wg.Add(2)
		go c.readLoop()
		go c.writeLoop(c.wake)
		for _, a := range waiting {
			if a.ended {
				continue
			}
			if dedicated == nil || q.addr != addr {
				ended = append(ended, p.assign(q, a)...)
				continue
			}
			c.add(a)
		}
		c.closeIfDone()
	}
	p.mu.Unlock()
	if err != nil {
		p.opt.Log.Debug().Err(err).Str("addr", addr).Int("waiting", len(waiting)).Msg("dial failed")
	}
	for _, ev := range ended {
		p.post(ev)
	}
}

// dialOutcome returns the outcome of a failed dial. A failure local to this host is not counted against the endpoint.
func dialOutcome(err error) control.Outcome {
	if neterr.IsLocal(err) {
		return control.LocalFailure
	}
	return control.ConnectFailed
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
		now := p.now()
		var ended []core.Event
		p.mu.Lock()
		for _, q := range p.peers {
			for _, c := range q.conns {
				c.forgetExpiredIDs(now)
				// A connection with canceled attempts and no response since may lead to a machine that has failed without
				// closing it. New attempts then dial a new connection: a failed dial proves that they have not run.
				if c.unresponsiveSince > 0 && now-c.unresponsiveSince > unresponsiveTTL {
					c.drain()
				}
				if c.idleExpired() {
					c.drain()
				}
				if c.draining && now-c.lastUse > barrierTimeout { // no response: the canceled attempts stay unconfirmed
					ended = append(ended, c.failBarriers()...)
				}
				c.closeIfDone()
			}
			p.removeIfUnused(q)
		}
		p.mu.Unlock()
		for _, ev := range ended {
			p.post(ev)
		}
	}
}
