package front

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"
)

// Admission: an accepted connection gets a slot at once if one is free. A reserve of free slots is maintained by closing
// idle connections in batches, because a reader needs a moment to confirm that it holds no part of a request. If connections
// arrive faster than slots become free, up to maxWaiting of them wait in order of arrival, each with its own timeout; further
// ones stay in the kernel's accept queue. There is no polling: a freed slot is assigned to the first waiting connection.

const (
	reserveDivisor   = 16                     // 1/reserveDivisor of the slots are kept free; as many connections may wait
	admissionTimeout = 500 * time.Millisecond // maximum wait of a connection for a slot
	silentDivisor    = 4                      // above 1/silentDivisor of the slots, connections without a complete request are evicted first
	silentGrace      = 50.0                   // ms for which a new connection is not evicted
	partialGrace     = 300.0                  // ms without a new byte after which a connection with a partial request may be evicted
	evictionTimeout  = 20 * time.Millisecond  // if a reader has not closed its connection by then, others are evicted instead
)

// waiter is an accepted connection that waits for a slot.
type waiter struct {
	conn       net.Conn
	acceptedAt float64    // time of the accept
	admitted   chan *Conn // buffered, for one element
}

// maxWaiting returns how many accepted connections may wait for a slot.
func (s *Server) maxWaiting() int { return s.limit()/reserveDivisor + 1 }

// capacity returns the number of slots. It is lower than the limit, as the waiting connections hold descriptors, too.
func (s *Server) capacity() int { return s.limit() + 1 - s.maxWaiting() }

// reserve returns the number of slots that are kept free for new connections.
func (s *Server) reserve() int { return s.limit() / reserveDivisor }

// tryAdmit assigns a slot to a connection. It returns nil if none is free.
func (s *Server) tryAdmit(nc net.Conn) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit(nc)
}

// admitOrWait assigns a slot to a connection or appends it to the waiting ones.
func (s *Server) admitOrWait(nc net.Conn) (*Conn, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn := s.admit(nc); conn != nil {
		return conn, nil
	}
	w := &waiter{conn: nc, acceptedAt: s.Clock.Now(), admitted: make(chan *Conn, 1)}
	s.waiters = append(s.waiters, w)
	return nil, w
}

// waitForSlot waits until a connection has a slot. After admissionTimeout, or when ctx is done, it closes the connection and
// returns nil.
func (s *Server) waitForSlot(ctx context.Context, w *waiter) *Conn {
	timeout := time.NewTimer(admissionTimeout)
	defer timeout.Stop()
	select {
	case conn := <-w.admitted:
		return conn
	case <-timeout.C:
	case <-ctx.Done():
	}
	if s.removeWaiter(w) {
		w.conn.Close()
		return nil
	}
	return <-w.admitted
}

// removeWaiter removes a connection from the waiting ones and reports whether it was still among them.
func (s *Server) removeWaiter(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiters, w)
	if i < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return true
}

// admit assigns a free slot to a connection, unless others wait for one. The caller holds mu, here and below.
func (s *Server) admit(nc net.Conn) *Conn {
	s.evictIfNeeded(1)
	if len(s.waiters) > 0 || len(s.conns) >= s.capacity() {
		return nil
	}
	return s.add(nc)
}

func (s *Server) add(nc net.Conn) *Conn {
	if s.Tap != nil {
		nc = s.Tap(nc)
	}
	now := s.Clock.Now()
	conn := &Conn{server: s, conn: nc, acceptedAt: now, idleSince: now}
	conn.arrivals = arrivals{conn: nc, clock: s.Clock, stalls: &s.stalls}
	conn.arrivals.setAcceptedAt(now)
	if s.conns == nil {
		s.conns = map[*Conn]struct{}{}
	}
	s.conns[conn] = struct{}{}
	return conn
}

// admitWaiting assigns free slots to the connections that wait.
func (s *Server) admitWaiting() {
	for len(s.waiters) > 0 && len(s.conns) < s.capacity() {
		w := s.waiters[0]
		s.waiters = slices.Delete(s.waiters, 0, 1)
		conn := s.add(w.conn)
		conn.arrivals.setAcceptedAt(w.acceptedAt)
		w.admitted <- conn
	}
}

// evictIfNeeded evicts idle connections if too few slots are free, or about to be, for the waiting connections, the arriving
// ones and the reserve. It evicts in batches, so that not every new connection causes a scan of all connections.
func (s *Server) evictIfNeeded(arriving int) {
	wanted := len(s.waiters) + arriving
	free := s.capacity() - len(s.conns) + s.closingCount
	if free >= wanted+s.reserve()/2 {
		return
	}
	if !s.limitLogged && free < wanted {
		s.limitLogged = true
		s.Log.Warn().Int("connections", len(s.conns)).Msg("connection limit reached; closing idle connections to admit new ones")
	}
	// The batch grows by the number of stuck readers, so that a series of them soon ends.
	for _, x := range s.evictionCandidates(wanted + s.reserve() + s.stuckCount - free) {
		s.evict(x)
	}
}

// evict asks a connection's reader to close it. The reader keeps it open if it has read a request in the meantime.
func (s *Server) evict(x *Conn) {
	s.requestClose(x)
	if x.shouldClose(s.Clock.Now()) {
		s.interruptRead(x)
	}
}

// requestClose marks a connection to be closed by its reader as soon as that holds no part of a request.
func (s *Server) requestClose(x *Conn) {
	x.closing, x.stuck, x.closeRequestedAt = true, false, time.Now()
	s.closingCount++
	s.scheduleCloseCheck()
}

// scheduleCloseCheck schedules checkPendingCloses if readers have been asked to close connections.
func (s *Server) scheduleCloseCheck() {
	if s.closingCount > 0 && !s.closeCheckScheduled {
		s.closeCheckScheduled = true
		time.AfterFunc(evictionTimeout, s.checkPendingCloses)
	}
}

// cancelClose cancels requestClose, because a request was received or the connection has ended.
func (s *Server) cancelClose(x *Conn) {
	switch {
	case !x.closing:
		return
	case x.stuck:
		s.stuckCount--
	default:
		s.closingCount--
	}
	x.closing, x.stuck = false, false
}

// checkPendingCloses marks the connections that were not closed within evictionTimeout as stuck, evicts others in their
// stead, and schedules itself again while readers are still to close connections.
func (s *Server) checkPendingCloses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeCheckScheduled = false
	due := time.Now().Add(-evictionTimeout)
	for x := range s.conns {
		if x.closing && !x.stuck && !x.closeRequestedAt.After(due) {
			x.stuck = true
			s.stuckCount++
			s.closingCount--
		}
	}
	s.evictIfNeeded(0)
	s.scheduleCloseCheck()
}

// remove frees a connection's slot and assigns it to a waiting connection.
func (s *Server) remove(x *Conn) {
	if _, admitted := s.conns[x]; !admitted {
		return
	}
	s.cancelClose(x)
	delete(s.conns, x)
	s.admitWaiting()
}

// candidate is a connection that may be evicted.
type candidate struct {
	conn  *Conn
	since float64 // time of its last activity
}

// evictionCandidates returns up to count connections to evict. Connections that have never sent a complete request or have
// stalled in one go first, longest silent first, while they hold more than 1/silentDivisor of the slots; otherwise the
// connection with the oldest activity goes first. A connection with a partial request is a candidate only after partialGrace
// without a new byte.
func (s *Server) evictionCandidates(count int) []*Conn {
	now := s.Clock.Now()
	var silent, idle []candidate
	silentCount := 0
	for x := range s.conns {
		since, grace := x.idleSince, 0.0
		switch {
		case x.openRequests > 0 || x.closing: // if closing, its reader is about to close it or holds part of a request
			continue
		case x.hasPartialRequest():
			since, grace = x.lastActivity(), partialGrace
		case !x.hadRequest:
			grace = silentGrace
		}
		if x.hadRequest && x.requestDeadline == 0 {
			idle = append(idle, candidate{x, since})
			continue
		}
		if silentCount++; now-since >= grace {
			silent = append(silent, candidate{x, since})
		}
	}
	oldestFirst := func(a, b candidate) int { return cmp.Compare(a.since, b.since) }
	slices.SortFunc(silent, oldestFirst)
	slices.SortFunc(idle, oldestFirst)
	var chosen []*Conn
	for len(chosen) < count && len(silent)+len(idle) > 0 {
		manySilent := silentDivisor*silentCount > s.limit()
		if len(silent) > 0 && (manySilent || len(idle) == 0 || silent[0].since <= idle[0].since) {
			chosen, silent = append(chosen, silent[0].conn), silent[1:]
			silentCount--
		} else {
			chosen, idle = append(chosen, idle[0].conn), idle[1:]
		}
	}
	return chosen
}
