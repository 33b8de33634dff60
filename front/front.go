// Package front has what the fronts share: accepting, the bound on connections and the bound on
// what waits to be written.
package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Server accepts connections, no more than Max at once, and keeps track of them.
type Server struct {
	Max int
	Log zerolog.Logger
	Tap func(net.Conn) net.Conn // wraps each connection, for recording; nil: none

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

const (
	pauseFirst = 5 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
)

// Serve accepts until the listener closes or ctx ends, and returns once every connection has ended.
// The end of ctx closes them at once. Handle owns a connection until it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener, handle func(net.Conn)) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.CloseAll()
	})
	defer stop()
	var pause time.Duration
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return g.Wait()
			}
			// Guards against a full table of descriptors ending the front: it waits for room.
			s.Log.Warn().Err(err).Msg("accept failed")
			pause = min(max(2*pause, pauseFirst), pauseMost)
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			continue
		}
		pause = 0
		g.Go(func() error { s.Handle(nc, handle); return nil })
	}
}

// Handle serves one connection, unless there are too many.
func (s *Server) Handle(nc net.Conn, handle func(net.Conn)) {
	if s.Tap != nil {
		nc = s.Tap(nc)
	}
	defer nc.Close()
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	full := len(s.conns) >= s.Max
	if !full {
		s.conns[nc] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		s.Log.Warn().Int("connections", s.Max).Msg("too many connections")
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
	}()
	handle(nc)
}

// CloseAll closes every connection.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Budget bounds the bytes that wait to be written, on all connections of a front.
type Budget struct {
	Most int64
	held atomic.Int64
}

// Take books n bytes, or tells that there is no room.
func (b *Budget) Take(n int) bool {
	if b.held.Add(int64(n)) > b.Most {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// Give returns n bytes.
func (b *Budget) Give(n int) { b.held.Add(-int64(n)) }
