package discovery

import (
	"cmp"
	"context"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	attemptDelay   = 1 * time.Second // if a dial takes longer, a further attempt is started in parallel
	maxConnections = 4               // maximum number of parallel attempts; a further one cancels the oldest
)

// watchConn is a connection on which the server has begun to send. The idle time-out applies between reads, not to a complete
// frame: a frame may arrive slowly and in pieces of any size.
type watchConn struct {
	net.Conn
	idleTimeout time.Duration // time-out of each read
	unread      []byte        // the first byte, until it is read
}

// Read reads the available bytes. It fails with a time-out if none arrives within idleTimeout.
func (c *watchConn) Read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	c.SetReadDeadline(time.Now().Add(c.idleTimeout))
	return c.Conn.Read(b)
}

// connectAttempt is an attempt in progress.
type connectAttempt struct {
	number int
	cancel context.CancelFunc
}

// connectResult is how an attempt ended.
type connectResult struct {
	number int
	conn   *watchConn
	err    error
}

// connector runs staggered connection attempts (as in RFC 8305, but to one address) until the server sends a first byte on one
// of them. A late attempt may still succeed, because an overloaded server takes long to accept a connection or to send its
// first byte; or it may never succeed, because the server has gone away. So it is not canceled, and a further attempt is started
// in parallel.
type connector struct {
	watcher  *Watcher
	addr     string
	attempts []connectAttempt // in progress, oldest first
	newest   int              // the number of the newest attempt
	late     chan int         // receives the number of an attempt whose dial or first byte is late
	results  chan connectResult
	wg       sync.WaitGroup
}

// connect returns the first connection on which the server sends a byte. It fails once no attempt is in progress any more.
func (w *Watcher) connect(ctx context.Context, addr string) (*watchConn, error) {
	c := &connector{watcher: w, addr: addr, late: make(chan int), results: make(chan connectResult)}
	defer c.wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.startAttempt(ctx)
	var redial <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case number := <-c.late:
			if c.isNewest(number) {
				c.startAttempt(ctx)
			}
		case <-redial:
			redial = nil
			c.startAttempt(ctx)
		case result := <-c.results:
			if result.err == nil {
				return result.conn, nil
			}
			newest := c.isNewest(result.number)
			c.removeAttempt(result.number)
			if len(c.attempts) == 0 {
				return nil, result.err
			}
			if newest {
				redial = time.After(maxBackoff)
			}
		}
	}
}

// isNewest reports whether an attempt is in progress and none was started after it.
func (c *connector) isNewest(number int) bool {
	inProgress := slices.ContainsFunc(c.attempts, func(a connectAttempt) bool { return a.number == number })
	return inProgress && number == c.newest
}

// removeAttempt removes an attempt that has ended.
func (c *connector) removeAttempt(number int) {
	c.attempts = slices.DeleteFunc(c.attempts, func(a connectAttempt) bool { return a.number == number })
}

// startAttempt starts an attempt, and cancels the oldest one if maxConnections are in progress.
func (c *connector) startAttempt(ctx context.Context) {
	if len(c.attempts) >= maxConnections {
		c.attempts[0].cancel()
		c.attempts = slices.Delete(c.attempts, 0, 1)
	}
	ctx, cancel := context.WithCancel(ctx)
	c.newest++
	number, seq := c.newest, c.watcher.Seq
	c.attempts = append(c.attempts, connectAttempt{number, cancel})
	c.wg.Go(func() {
		defer cancel()
		conn, err := c.connectOnce(ctx, number, seq)
		select {
		case c.results <- connectResult{number, conn, err}:
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
		}
	})
}

// connectOnce dials, requests the events after seq, and waits for the first byte. It reports each step that is late.
func (c *connector) connectOnce(ctx context.Context, number int, seq uint64) (*watchConn, error) {
	reportLate := func() {
		select {
		case c.late <- number:
		case <-ctx.Done():
		}
	}
	conn, err := c.dial(ctx, reportLate)
	if err != nil {
		return nil, err
	}
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	idleTimeout := cmp.Or(c.watcher.IdleTimeout, defaultIdleTimeout)
	firstByteTimer := time.AfterFunc(idleTimeout, reportLate)
	defer firstByteTimer.Stop()
	firstByte, err := subscribe(conn, seq)
	if !stopClosing() {
		return nil, ctx.Err() // the connection is closed, or about to be
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &watchConn{Conn: conn, idleTimeout: idleTimeout, unread: firstByte}, nil
}

// dial opens a connection, and calls reportLate if that takes longer than attemptDelay.
func (c *connector) dial(ctx context.Context, reportLate func()) (net.Conn, error) {
	dial := c.watcher.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialTimer := time.AfterFunc(attemptDelay, reportLate)
	defer dialTimer.Stop()
	return dial(ctx, "tcp", c.addr)
}

// subscribe requests the events after seq, and returns the first byte that the server sends.
func subscribe(conn net.Conn, seq uint64) ([]byte, error) {
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, seq)); err != nil {
		return nil, err
	}
	firstByte := make([]byte, 1)
	_, err := conn.Read(firstByte)
	return firstByte, err
}
