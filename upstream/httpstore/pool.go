package httpstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// connPool keeps the connections to one endpoint. It takes the place of the pool of http.Transport, which sends a request a second
// time by itself if a connection that was used before ends under it: here a request is sent on the connection that it acquires
// and on no other.
type connPool struct {
	transport       *http.Transport // opens the connections, and keeps none itself
	ctx             context.Context // canceled when the upstream is closed
	scheme, address string
	maxConns        int           // that are open or being opened
	maxIdle         int           // that are kept open without a request
	idleTimeout     time.Duration // after which those are closed
	dials           sync.WaitGroup

	mu      sync.Mutex
	conns   int         // connections that are open or being opened
	idle    []*idleConn // the one used last comes last; none while a request waits
	waiting []*waiter   // in order of arrival
}

// idleConn is a connection without a request.
type idleConn struct {
	conn    *http.ClientConn
	timeout *time.Timer
}

// waiter is a request that waits for a connection: for the one that is opened on its behalf, or another one that is released
// earlier.
type waiter struct {
	result chan acquired // has room for one
	dial   *dial         // nil: no connection is opened on its behalf
}

// dial is a connection that is being opened.
type dial struct {
	waiter *waiter // on whose behalf; it may have got another connection meanwhile
	cancel context.CancelFunc
}

// acquired is what a waiter gets: a reserved connection, or why none could be opened.
type acquired struct {
	conn *http.ClientConn
	err  error
}

var (
	errConnLimit    = errors.New("httpstore: canceled while all connections to the endpoint were in use")
	errDialCanceled = errors.New("httpstore: canceled before a connection to the endpoint was open")
)

// newConnPool returns a pool of connections to the host of an endpoint's base URL.
func newConnPool(ctx context.Context, transport *http.Transport, base *url.URL, maxConns, maxIdle int, idleTimeout time.Duration) *connPool {
	return &connPool{
		transport:   transport,
		ctx:         ctx,
		scheme:      base.Scheme,
		address:     net.JoinHostPort(base.Hostname(), base.Port()), // without a port, the transport adds that of the scheme
		maxConns:    maxConns,
		maxIdle:     maxIdle,
		idleTimeout: idleTimeout,
	}
}

// acquire returns a connection for one request, which the caller must release: an idle one, a new one, or if there are maxConns
// the next one that is released. The error is errConnLimit or errDialCanceled if ctx ends before there is one, or else that of
// the dial.
func (p *connPool) acquire(ctx context.Context) (*http.ClientConn, error) {
	if ctx.Err() != nil {
		return nil, errDialCanceled
	}
	p.mu.Lock()
	if conn := p.takeIdle(); conn != nil {
		p.mu.Unlock()
		return conn, nil
	}
	w := &waiter{result: make(chan acquired, 1)}
	p.waiting = append(p.waiting, w)
	p.dialForWaiters()
	p.mu.Unlock()
	select {
	case got := <-w.result:
		return got.conn, got.err
	case <-ctx.Done():
		return nil, p.stopWaiting(w)
	}
}

// takeIdle removes and returns the idle connection that was used last, or returns nil if there is none. Connections that the
// endpoint has closed meanwhile are dropped.
func (p *connPool) takeIdle() *http.ClientConn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		taken := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		taken.timeout.Stop()
		if taken.conn.Reserve() == nil {
			return taken.conn
		}
		p.conns--
	}
	return nil
}

// dialForWaiters opens a connection for each waiter that has none being opened, as far as maxConns allows.
func (p *connPool) dialForWaiters() {
	for _, w := range p.waiting {
		if p.conns >= p.maxConns {
			return
		}
		if w.dial != nil {
			continue
		}
		p.conns++
		ctx, cancel := context.WithCancel(p.ctx)
		opening := &dial{waiter: w, cancel: cancel}
		w.dial = opening
		p.dials.Go(func() { p.open(ctx, opening) })
	}
}

// open opens a connection.
func (p *connPool) open(ctx context.Context, d *dial) {
	defer d.cancel()
	conn, err := p.transport.NewClientConn(ctx, p.scheme, p.address)
	if err == nil {
		err = conn.Reserve()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.assignToFirst(d)
		p.handOver(conn)
		return
	}
	p.conns--
	if i := slices.Index(p.waiting, d.waiter); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		d.waiter.result <- acquired{err: err}
	}
	p.dialForWaiters()
}

// assignToFirst prepares that the connection of a dial goes to the request that waits longest. If the dial was made on behalf of
// another request, the two exchange their dials, so that the other one does not wait for a dial that has ended.
func (p *connPool) assignToFirst(d *dial) {
	other := d.waiter
	if !slices.Contains(p.waiting, other) {
		return
	}
	first := p.waiting[0]
	first.dial, other.dial = d, first.dial
	d.waiter = first
	if other.dial != nil {
		other.dial.waiter = other
	}
}

// stopWaiting removes a canceled request from the waiters, and returns the error to report. A connection that it was handed in the
// meantime is passed on.
func (p *connPool) stopWaiting(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else if got := <-w.result; got.conn != nil {
		p.handOver(got.conn)
	}
	if w.dial == nil {
		return errConnLimit
	}
	w.dial.cancel()
	return errDialCanceled
}

// release returns a connection whose request has ended or was not sent. It is kept open if it can take another request, and
// closed otherwise.
func (p *connPool) release(conn *http.ClientConn) {
	conn.Release() // of a request that was not sent
	usable := conn.Reserve() == nil
	if !usable {
		conn.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if usable {
		p.handOver(conn)
		return
	}
	p.conns--
	p.dialForWaiters()
}

// handOver passes a reserved connection to the request that waits longest. Without such a request it becomes idle.
func (p *connPool) handOver(conn *http.ClientConn) {
	if len(p.waiting) > 0 {
		p.waiting[0].result <- acquired{conn: conn}
		p.waiting = slices.Delete(p.waiting, 0, 1)
		return
	}
	if len(p.idle) >= p.maxIdle {
		p.conns--
		conn.Close()
		return
	}
	conn.Release()
	kept := &idleConn{conn: conn}
	kept.timeout = time.AfterFunc(p.idleTimeout, func() { p.expire(kept) })
	p.idle = append(p.idle, kept)
}

// expire closes a connection that has been idle for too long, unless it was taken meanwhile.
func (p *connPool) expire(expired *idleConn) {
	p.mu.Lock()
	i := slices.Index(p.idle, expired)
	if i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.conns--
	}
	p.mu.Unlock()
	if i >= 0 {
		expired.conn.Close()
	}
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	closing := p.idle
	p.conns -= len(closing)
	p.idle = nil
	p.mu.Unlock()
	for _, kept := range closing {
		kept.timeout.Stop()
		kept.conn.Close()
	}
}

// close waits until the canceled dials have ended, and closes all connections. The requests must have ended before.
func (p *connPool) close() {
	p.dials.Wait()
	p.closeIdle()
}
