package replica

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"
)

const (
	// maxIdleConns bounds the connections to the leader that a member or a subscriber keeps open between proposals.
	maxIdleConns = 4
	// idleConnTTL is how long an idle connection is kept. It is well below the idle timeout of the leader.
	idleConnTTL = 5 * time.Second
	// reusedConnTimeout limits the wait for a response over a reused connection, which may be broken without having been
	// closed: a new connection is tried afterwards.
	reusedConnTimeout = 500 * time.Millisecond
)

// leaderConns forwards proposals to the leader, and pools the connections: a handshake costs ten times what agreement on a
// command does.
//
// Only idempotent proposals are sent over a pooled connection. The other end may have closed it meanwhile, and the outcome of a
// proposal without a response is unknown.
type leaderConns struct {
	dialer dialer

	mu     sync.Mutex
	addr   string     // of the member that the idle connections lead to
	idle   []idleConn // ordered by since
	expiry *time.Timer
	closed bool
}

// idleConn is a pooled connection.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// forward has the member at an address execute a proposal.
func (l *leaderConns) forward(ctx context.Context, addr string, p proposal) (result, error) {
	if p.idempotent {
		if conn := l.takeIdle(addr); conn != nil {
			if response, err := l.exchange(ctx, addr, conn, p, reusedConnTimeout); err == nil {
				return response.unpack()
			}
			if ctx.Err() != nil {
				return result{}, &outcomeUnknownError{ctx.Err()}
			}
		}
	}
	conn, err := l.dialer.dial(ctx, addr, p.kind)
	if err != nil {
		return result{}, err
	}
	response, err := l.exchange(ctx, addr, conn, p, forwardResponseTimeout)
	if err != nil {
		return result{}, &outcomeUnknownError{err}
	}
	return response.unpack()
}

// exchange sends a proposal over a connection and reads the response. The connection is pooled afterwards, or closed on an error.
func (l *leaderConns) exchange(
	ctx context.Context, addr string, conn net.Conn, p proposal, timeout time.Duration,
) (response forwardResponse, err error) {
	stop := context.AfterFunc(ctx, func() { closeNow(conn) })
	defer func() {
		if !stop() || err != nil || p.kind != connForward {
			closeNow(conn)
			return
		}
		l.putIdle(addr, conn)
	}()
	conn.SetDeadline(time.Now().Add(timeout))
	if err := writeBlock(conn, p.body); err != nil {
		return response, err
	}
	block, err := readBlock(conn, maxForwardResponseSize)
	if err != nil {
		return response, err
	}
	return response, json.Unmarshal(block, &response)
}

// takeIdle removes and returns the most recently used idle connection to an address; nil if there is none.
func (l *leaderConns) takeIdle(addr string) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeExpired()
	if l.addr != addr || len(l.idle) == 0 {
		return nil
	}
	last := len(l.idle) - 1
	conn := l.idle[last].conn
	l.idle = l.idle[:last]
	return conn
}

// putIdle pools a connection. Pooled connections to another address are closed: it is no longer the leader's.
func (l *leaderConns) putIdle(addr string, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr != addr {
		l.closeOldest(len(l.idle))
		l.addr = addr
	}
	if l.closed || len(l.idle) >= maxIdleConns {
		closeNow(conn)
		return
	}
	l.idle = append(l.idle, idleConn{conn: conn, since: time.Now()})
	l.armExpiry()
}

// closeExpired closes the connections that have been idle for idleConnTTL; l.mu is held.
func (l *leaderConns) closeExpired() {
	expired := 0
	for expired < len(l.idle) && time.Since(l.idle[expired].since) >= idleConnTTL {
		expired++
	}
	l.closeOldest(expired)
}

// closeOldest closes the n connections that have been idle for the longest time; l.mu is held.
func (l *leaderConns) closeOldest(n int) {
	for _, idle := range l.idle[:n] {
		closeNow(idle.conn)
	}
	l.idle = append(l.idle[:0], l.idle[n:]...)
}

// armExpiry sets a timer that closes expired connections when no further proposal does; l.mu is held.
func (l *leaderConns) armExpiry() {
	if l.expiry != nil {
		return
	}
	l.expiry = time.AfterFunc(time.Until(l.idle[0].since.Add(idleConnTTL)), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.expiry = nil
		l.closeExpired()
		if len(l.idle) > 0 {
			l.armExpiry()
		}
	})
}

// close closes the idle connections and stops pooling.
func (l *leaderConns) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeOldest(len(l.idle))
	if l.expiry != nil {
		l.expiry.Stop()
		l.expiry = nil
	}
}
