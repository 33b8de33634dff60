package fakestore

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// server accepts connections on its listeners and tracks them until it is closed.
type server struct {
	listeners []net.Listener
	wg        sync.WaitGroup

	connsMu sync.Mutex
	conns   map[net.Conn]struct{}
	closed  bool
}

// listen opens a listener and calls serve for each of its connections, in a separate goroutine.
func (s *server) listen(addr string, serve func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.listeners = append(s.listeners, l)
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.track(c)
			s.wg.Go(func() { defer s.closeAndUntrack(c); serve(c) })
		}
	})
	return l, nil
}

func (s *server) track(c net.Conn) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	if s.closed { // accepted while the server was closing
		c.Close()
	}
}

func (s *server) closeAndUntrack(c net.Conn) {
	c.Close()
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	delete(s.conns, c)
}

// ResetConnections resets all open connections, as happens when a process dies.
func (s *server) ResetConnections() {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

// ConnectionCloser returns a function that closes the connections open at the time of this call, as a server closes idle ones,
// or resets them if resets is set. Connections opened after this call are not affected.
func (s *server) ConnectionCloser(resets bool) func() {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	conns := slices.Collect(maps.Keys(s.conns))
	return func() {
		for _, c := range conns {
			if resets {
				resetConn(c)
			} else {
				c.Close()
			}
		}
	}
}

// resetConn closes a connection with a TCP reset (RST) instead of a FIN.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Close closes the listeners, resets the connections and waits for their goroutines to end.
func (s *server) Close() {
	s.connsMu.Lock()
	s.closed = true
	s.connsMu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
	s.ResetConnections()
	s.wg.Wait()
}
