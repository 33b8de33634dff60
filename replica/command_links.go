package replica

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// maxIdleLinks bounds the links that a member or a subscriber keeps open between commands.
	maxIdleLinks = 4
	// idleLinkTTL is how long one is kept without a command. It is well below the time after which the leader closes it.
	idleLinkTTL = 5 * time.Second
	// keptAnswerTimeout is how long an answer may take over a link that was kept. Its way may have been lost without notice, so
	// a fresh link is tried then.
	keptAnswerTimeout = 500 * time.Millisecond
)

// commandLinks carries proposals to the leader, and keeps links for the next ones: a link's handshake costs ten times what
// agreeing on a command does.
//
// Only what may be made again goes over a link that was kept: the other end may have closed it meanwhile, and a proposal whose
// answer does not come has an unknown fate.
type commandLinks struct {
	dialer dialer

	mu     sync.Mutex
	addr   string     // of the member that the idle links lead to
	idle   []idleLink // by the time at which they became idle
	expiry *time.Timer
	closed bool
}

// idleLink is a link without a command.
type idleLink struct {
	conn  net.Conn
	since time.Time
}

// forward has the member at an address carry a proposal out. Sure tells that after an error it was not made.
func (l *commandLinks) forward(ctx context.Context, addr string, p proposal) (res result, sure bool, err error) {
	if p.repeatable {
		if conn := l.take(addr); conn != nil {
			if answer, err := l.exchange(ctx, addr, conn, p, keptAnswerTimeout); err == nil {
				return answer.outcome()
			}
			if ctx.Err() != nil {
				return res, false, ctx.Err()
			}
		}
	}
	conn, err := l.dialer.dial(ctx, addr, p.kind)
	if err != nil {
		return res, true, err
	}
	answer, err := l.exchange(ctx, addr, conn, p, answerTimeout)
	if err != nil {
		return res, false, err
	}
	return answer.outcome()
}

// exchange sends a proposal over a link and reads what came of it. The link is kept, or closed after an error.
func (l *commandLinks) exchange(
	ctx context.Context, addr string, conn net.Conn, p proposal, timeout time.Duration,
) (answer forwarded, err error) {
	stop := context.AfterFunc(ctx, func() { closeNow(conn) })
	defer func() {
		if !stop() || err != nil || p.kind != linkForward {
			closeNow(conn)
			return
		}
		l.put(addr, conn)
	}()
	conn.SetDeadline(time.Now().Add(timeout))
	if err := writeBlock(conn, p.body); err != nil {
		return answer, err
	}
	block, err := readBlock(conn, maxForwarded)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(block, &answer)
}

// outcome is what an answer says.
func (a forwarded) outcome() (res result, sure bool, err error) {
	switch {
	case a.Err == notLeader && a.Sure:
		return res, true, &notLeaderError{leader: a.Leader}
	case a.Err != "":
		return res, a.Sure, errors.New(a.Err)
	}
	return a.Result, true, nil
}

// take gives an idle link to an address, the one that was used last; nil: there is none.
func (l *commandLinks) take(addr string) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	if l.addr != addr || len(l.idle) == 0 {
		return nil
	}
	last := len(l.idle) - 1
	conn := l.idle[last].conn
	l.idle = l.idle[:last]
	return conn
}

// put keeps a link for the next command. Links to another address are closed: it no longer leads.
func (l *commandLinks) put(addr string, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr != addr {
		l.drop(len(l.idle))
		l.addr = addr
	}
	if l.closed || len(l.idle) >= maxIdleLinks {
		closeNow(conn)
		return
	}
	l.idle = append(l.idle, idleLink{conn: conn, since: time.Now()})
	l.armExpiry()
}

// dropExpired closes the links that have been idle for long; mu is held.
func (l *commandLinks) dropExpired() {
	expired := 0
	for expired < len(l.idle) && time.Since(l.idle[expired].since) >= idleLinkTTL {
		expired++
	}
	l.drop(expired)
}

// drop closes the first n idle links; mu is held.
func (l *commandLinks) drop(n int) {
	for _, link := range l.idle[:n] {
		closeNow(link.conn)
	}
	l.idle = append(l.idle[:0], l.idle[n:]...)
}

// armExpiry has expired links closed also where no command comes any more; mu is held.
func (l *commandLinks) armExpiry() {
	if l.expiry != nil {
		return
	}
	l.expiry = time.AfterFunc(time.Until(l.idle[0].since.Add(idleLinkTTL)), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.expiry = nil
		l.dropExpired()
		if len(l.idle) > 0 {
			l.armExpiry()
		}
	})
}

// close closes the idle links, and has no further ones kept.
func (l *commandLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.drop(len(l.idle))
	if l.expiry != nil {
		l.expiry.Stop()
		l.expiry = nil
	}
}
