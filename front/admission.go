package front

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"
)

// Admission: an accepted connection has a place at once where one is free. Some are kept free ahead of need, by closing
// idle connections in batches, as a reader needs a moment to confirm that it has nothing in hand. Where that is outrun, a
// few connections wait for places, each with a limit of its own, in the order in which they came; those behind them stay in
// the machine's queue. Nothing polls: a place that becomes free goes to the first who waits.

const (
	reservedShare    = 16                     // one place in so many is kept free, and as many connections may wait
	admissionTimeout = 500 * time.Millisecond // a connection waits so long for a place
	evictionTimeout  = 100.0                  // ms for a reader to close its connection until another one is closed, too
)

// waiter is an accepted connection without a place.
type waiter struct {
	conn     net.Conn
	admitted chan *Seat // has room for one
}

// maxWaiting is how many accepted connections may wait for a place; they hold descriptors, too.
func (s *Server) maxWaiting() int { return s.most()/reservedShare + 1 }

// capacity is the number of places: what the waiting connections may hold is left out.
func (s *Server) capacity() int { return s.most() + 1 - s.maxWaiting() }

// reserve is the number of places kept free ahead of need.
func (s *Server) reserve() int { return s.most() / reservedShare }

// place gives a connection a place, or nil where none is free now.
func (s *Server) place(nc net.Conn) *Seat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit(nc)
}

// placeOrWait gives a connection a place, or has it wait for one.
func (s *Server) placeOrWait(nc net.Conn) (*Seat, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seat := s.admit(nc); seat != nil {
		return seat, nil
	}
	w := &waiter{conn: nc, admitted: make(chan *Seat, 1)}
	s.waiters = append(s.waiters, w)
	return nil, w
}

// await gives the place for which a connection waits, or nil once its time is up or ctx has ended: it is closed then.
func (s *Server) await(ctx context.Context, w *waiter) *Seat {
	timeout := time.NewTimer(admissionTimeout)
	defer timeout.Stop()
	select {
	case seat := <-w.admitted:
		return seat
	case <-timeout.C:
	case <-ctx.Done():
	}
	if s.withdraw(w) {
		w.conn.Close()
		return nil
	}
	return <-w.admitted
}

// withdraw takes a connection out of the queue, and tells whether it was still there.
func (s *Server) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiters, w)
	if i < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return true
}

// admit gives a connection a place that is free, unless others wait for it. The lock is held, here and below.
func (s *Server) admit(nc net.Conn) *Seat {
	s.makeRoom(1)
	if len(s.waiters) > 0 || len(s.seats) >= s.capacity() {
		return nil
	}
	return s.add(nc)
}

func (s *Server) add(nc net.Conn) *Seat {
	if s.Tap != nil {
		nc = s.Tap(nc)
	}
	now := s.Clock.Now()
	seat := &Seat{server: s, conn: nc, came: now, since: now}
	if s.seats == nil {
		s.seats = map[*Seat]struct{}{}
	}
	s.seats[seat] = struct{}{}
	return seat
}

// admitWaiting gives free places to those who wait.
func (s *Server) admitWaiting() {
	for len(s.waiters) > 0 && len(s.seats) < s.capacity() {
		w := s.waiters[0]
		s.waiters = slices.Delete(s.waiters, 0, 1)
		w.admitted <- s.add(w.conn)
	}
}

// makeRoom has idle connections closed where too few places are free, or about to be, for those who wait, for so many that
// arrive now and for the reserve. It does so in batches, so that not every arrival looks through all connections.
func (s *Server) makeRoom(arriving int) {
	wanted := len(s.waiters) + arriving
	free := s.capacity() - len(s.seats) + s.closing
	if free >= wanted+s.reserve()/2 {
		return
	}
	if !s.full && free < wanted {
		s.full = true
		s.Log.Warn().Int("connections", len(s.seats)).Msg("all places taken: idle connections are closed for new ones")
	}
	for _, x := range s.evictionCandidates(wanted + s.reserve() - free) {
		s.evict(x)
	}
}

// evict closes a connection for a new one, by way of its reader where that may have a request in hand.
func (s *Server) evict(x *Seat) {
	if !x.asked || x.until > 0 || !x.hushes {
		s.leave(x)
		x.conn.Close()
		return
	}
	s.requestClose(x)
	if x.due(s.Clock.Now()) {
		s.hush(x)
	}
}

// requestClose marks a connection for its reader to close, once it has nothing in hand.
func (s *Server) requestClose(x *Seat) {
	x.rested, x.stuck, x.closeAskedAt = true, false, s.Clock.Now()
	s.closing++
}

// keep takes such a mark back: a request came.
func (s *Server) keep(x *Seat) {
	if !x.rested {
		return
	}
	if !x.stuck {
		s.closing--
	}
	x.rested, x.stuck = false, false
}

// closeOverdue tells no longer to count on a reader that has not closed its connection in time.
func (s *Server) closeOverdue(x *Seat, now float64) {
	if x.rested && !x.stuck && now > x.closeAskedAt+evictionTimeout {
		x.stuck = true
		s.closing--
	}
}

// leave takes a connection's place back, and gives it to another one.
func (s *Server) leave(x *Seat) {
	if _, placed := s.seats[x]; !placed {
		return
	}
	s.keep(x)
	delete(s.seats, x)
	s.admitWaiting()
}

// evictable is a connection that may be closed for a new one.
type evictable struct {
	seat  *Seat
	since float64 // when it last did something
}

// evictionCandidates gives up to count connections to close for new ones: of those that never brought a whole request the
// ones that have been silent for longest, where such hold many places, else the ones that have been idle for longest. Half a
// request keeps its place only while it goes on.
func (s *Server) evictionCandidates(count int) []*Seat {
	now := s.Clock.Now()
	var silent, idle []evictable
	silents := 0
	for x := range s.seats {
		from, least := x.since, 0.0
		switch half := x.until > 0 || !x.asked && x.moved.Load() > 0; {
		case x.open > 0 || x.rested: // that one is closing already, or has bytes in hand
			continue
		case half:
			from, least = x.last(), stalled
		case !x.asked:
			least = silentMost
		}
		if x.asked && x.until == 0 {
			idle = append(idle, evictable{x, from})
			continue
		}
		if silents++; now-from >= least {
			silent = append(silent, evictable{x, from})
		}
	}
	oldestFirst := func(a, b evictable) int { return cmp.Compare(a.since, b.since) }
	slices.SortFunc(silent, oldestFirst)
	slices.SortFunc(idle, oldestFirst)
	var chosen []*Seat
	for len(chosen) < count && len(silent)+len(idle) > 0 {
		crowd := fewSilent*silents > s.most()
		if len(silent) > 0 && (crowd || len(idle) == 0 || silent[0].since <= idle[0].since) {
			chosen, silent = append(chosen, silent[0].seat), silent[1:]
			silents--
		} else {
			chosen, idle = append(chosen, idle[0].seat), idle[1:]
		}
	}
	return chosen
}
