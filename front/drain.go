package front

const (
	// Times of a drain, in ms from its start. The platform's proxy checks the gateway's health ten times a second, sends no
	// new requests from 0.2 s after a negative response, and requires every connection to be closed by 4 s.
	drainCloseIdleAfter     = 500.0  // from then on idle connections are closed
	drainRejectAfter        = 1200.0 // from then on new requests are rejected, so that each connection becomes idle
	drainRejectPartialAfter = 2500.0 // from then on partial requests are rejected
	drainNewConnGrace       = 200.0  // ms after its accept for which a new connection is not closed

	// Times of a process that is replaced by another one, in ms from its signal. It is killed 0.7 s after the longest deadline
	// that a request can have.
	retireRejectAfter        = 600.0  // from then on new requests are rejected, so that busy connections become idle
	retireRejectPartialAfter = 1500.0 // from then on partial requests are rejected
)

// closableInDrain reports whether the connection can be closed in a drain: the platform has had time to notice the drain, no
// request is open, and there are no unread bytes, as a request that crosses the close is lost to its client. If another
// process accepts the new connections, there is no need to wait for the platform. A new connection has drainNewConnGrace to
// send a request.
func (s *Conn) closableInDrain(now float64) bool {
	due := s.acceptedAt
	if !s.hadRequest {
		due += drainNewConnGrace
	}
	if !s.server.retiring {
		due = max(due, s.server.drainStartedAt+drainCloseIdleAfter)
	}
	if s.server.stopping {
		due = now
	}
	return s.openRequests == 0 && s.requestDeadline == 0 && !s.handingOver && now >= due && !hasUnread(s.conn)
}

// closesIdleConns reports whether connections are closed as soon as they are idle. The caller holds the lock, here and below.
func (s *Server) closesIdleConns() bool { return s.draining || s.retiring || s.stopping }

// shedsPartial reports whether partial requests are rejected at this time.
func (s *Server) shedsPartial(now float64) bool {
	return s.stopping || s.draining && now >= s.drainStartedAt+drainRejectPartialAfter || s.retiring && now >= s.retireStartedAt+retireRejectPartialAfter
}

// Stop is called before the end of Serve's context: each connection is closed by its reader once the requests that were read
// from it are answered, and new requests are rejected.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.Sweep()
}

// Drain starts a drain, in which the server closes its connections, or with on false ends it.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.draining {
		s.drainStartedAt = s.Clock.Now()
	}
	s.draining = on
}

// Retire closes the server's connections because another process accepts the new ones. With handOver, connections are handed
// over to that process if their frontend supports it. All others are closed as soon as they are idle.
func (s *Server) Retire(handOver bool) {
	var handovers []func()
	s.mu.Lock()
	s.retiring, s.retireStartedAt, s.handOverConns = true, s.Clock.Now(), handOver
	for x := range s.conns {
		if x.handOver != nil && handOver {
			x.handingOver = true
			handovers = append(handovers, x.handOver)
		}
	}
	s.mu.Unlock()
	for _, f := range handovers {
		f()
	}
	s.Sweep()
}

// Draining reports whether a drain was started, and whether new requests are rejected at this time.
func (s *Server) Draining() (draining, reject bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	reject = s.stopping || s.draining && now >= s.drainStartedAt+drainRejectAfter || s.retiring && now >= s.retireStartedAt+retireRejectAfter
	return s.draining, reject
}
