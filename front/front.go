// Package front has the code that the frontends share: accepting connections, the connection limit and the limits on
// buffered bytes.
package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/clock"
)

// Server accepts up to Max simultaneous connections and tracks them. At the limit it closes a connection without an open
// request for each new one, so that idle and misbehaving clients cannot lock others out.
type Server struct {
	Max              int
	FirstByteTimeout float64 // ms within which a new connection must send its first byte; 0: no limit
	IdleTimeout      float64 // ms that a connection may stay open without a request after its first; 0: no limit
	ReadTimeout      float64 // ms without a new byte after which a partial request times out; 0: no limit
	RequestTimeout   float64 // ms within which a connection's first request must be complete; 0: no limit
	Clock            *clock.Clock
	Log              zerolog.Logger
	Tap              func(net.Conn) net.Conn // wraps each connection, for recording; nil: none

	mu                  sync.Mutex
	conns               map[*Conn]struct{}
	limitLogged         bool // the warning that the limit is reached has been logged
	draining            bool
	drainStartedAt      float64
	retiring            bool // another process accepts the new connections
	retireStartedAt     float64
	handOverConns       bool // open connections are handed over to that process
	stopping            bool // the process is about to end
	maxOverride         int  // replaces Max if > 0
	closingCount        int  // connections whose readers were asked to close them less than evictionTimeout ago
	stuckCount          int  // connections whose readers have not closed them within evictionTimeout
	closeCheckScheduled bool // checkPendingCloses is scheduled
	waiters             []*waiter
	stalls              stalls
}

const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 500 * time.Millisecond
	sweepInterval    = 100 * time.Millisecond
)

// SetMaxConns changes the maximum number of connections. Open connections in excess of it are not closed.
func (s *Server) SetMaxConns(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOverride = max(1, maxConns)
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// limit returns the maximum number of connections. The caller holds mu.
func (s *Server) limit() int {
	if s.maxOverride > 0 {
		return s.maxOverride
	}
	return s.Max
}

// Serve accepts connections until the listener is closed or ctx is done, and returns once every connection has ended.
// When ctx is done, all connections are closed at once, even with requests open; call Stop before that. A connection belongs
// to handle until handle returns.
func (s *Server) Serve(ctx context.Context, l net.Listener, handle func(net.Conn, *Conn)) error {
	// CloseAll also closes connections that came from Handle or Adopt. It therefore runs only when ctx is done, not when
	// Serve returns because the listener was closed.
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.CloseAll()
	})
	var g errgroup.Group
	defer stop()
	stopSweep := make(chan struct{})
	defer close(stopSweep)
	go func() {
		t := time.NewTicker(sweepInterval)
		defer t.Stop()
		for {
			select {
			case <-stopSweep:
				return
			case <-t.C:
				s.stalls.heartbeat(s.Clock.Now())
				s.Sweep()
			}
		}
	}()
	s.mu.Lock()
	waiting := s.maxWaiting()
	s.mu.Unlock()
	unadmitted := make(chan struct{}, waiting) // a token for each accepted connection that has no slot yet
	var pause time.Duration
	for {
		select {
		case unadmitted <- struct{}{}:
		case <-ctx.Done():
			return g.Wait()
		}
		nc, err := l.Accept()
		if err != nil {
			<-unadmitted
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return g.Wait()
			}
			// Errors such as EMFILE are temporary: back off until descriptors are free again.
			s.Log.Warn().Err(err).Msg("accept failed")
			pause = min(max(2*pause, minAcceptBackoff), maxAcceptBackoff)
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			continue
		}
		pause = 0
		conn, w := s.admitOrWait(nc)
		if conn != nil {
			<-unadmitted
			g.Go(func() error { s.serveAdmitted(ctx, conn, handle); return nil })
			continue
		}
		g.Go(func() error {
			conn := s.waitForSlot(ctx, w)
			<-unadmitted
			s.serveAdmitted(ctx, conn, handle)
			return nil
		})
	}
}

// Handle serves one connection. It is closed if no slot becomes free for it within admissionTimeout.
func (s *Server) Handle(nc net.Conn, handle func(net.Conn, *Conn)) {
	ctx := context.Background()
	conn, w := s.admitOrWait(nc)
	if conn == nil {
		conn = s.waitForSlot(ctx, w)
	}
	s.serveAdmitted(ctx, conn, handle)
}

// Adopt serves a connection that another process hands over. It is admitted even beyond the connection limit, as requests
// that were read from it may be unanswered. It counts as having one open request until its frontend calls Update.
func (s *Server) Adopt(nc net.Conn, handle func(net.Conn, *Conn)) {
	s.mu.Lock()
	conn := s.add(nc)
	conn.hadRequest, conn.openRequests = true, 1
	s.evictIfNeeded(0)
	s.mu.Unlock()
	s.serve(conn, handle)
}

// serveAdmitted serves a connection that has a slot. A nil conn means that no slot became free in time.
func (s *Server) serveAdmitted(ctx context.Context, conn *Conn, handle func(net.Conn, *Conn)) {
	if conn == nil {
		s.Log.Warn().Int("connections", s.Conns()).Msg("connection limit reached and every connection has open requests; new connection closed")
		return
	}
	if ctx.Err() != nil { // it may have been admitted after CloseAll
		conn.conn.Close()
	}
	s.serve(conn, handle)
}

func (s *Server) serve(conn *Conn, handle func(net.Conn, *Conn)) {
	defer func() {
		conn.conn.Close()
		s.mu.Lock()
		s.remove(conn)
		s.mu.Unlock()
	}()
	handle(conn.conn, conn)
}

// CloseAll closes every connection, even those with open requests.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.conns {
		x.conn.Close()
	}
}
