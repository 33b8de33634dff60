// Package front has what the fronts share: accepting, the places for connections and the bound on
// what waits to be written.
package front

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/clock"
)

// Server accepts connections, no more than Max at once, and keeps track of them. Where all places are taken
// a new connection gets the place of one with no request open, so that idle clients and strangers crowd out
// nobody.
type Server struct {
	Max       int
	FirstMost float64 // ms that a new connection may say nothing; 0: no limit
	IdleMost  float64 // ms that a connection may stay without a request after its first; 0: no limit
	StallMost float64 // ms that a request under way may bring no byte; 0: no limit
	WholeMost float64 // ms until a connection's first request must be whole, whatever it brings; 0: no limit
	Clock     *clock.Clock
	Log       zerolog.Logger
	Tap       func(net.Conn) net.Conn // wraps each connection, for recording; nil: none

	mu       sync.Mutex
	seats    map[*Seat]struct{}
	full     bool // told already
	draining bool
	drained  float64 // when the drain was asked for
	leaving  bool    // another process takes what is new
	left     float64 // since when
	heirs    bool    // connections are handed to it
	max      int     // in place of Max, where set later
	closing  int     // connections whose readers are about to close them
	waiters  []*waiter
}

const (
	pauseFirst = 5 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
	sweepEvery = 100 * time.Millisecond
	fewSilent  = 4     // silent connections may hold one place in so many before they go first
	silentMost = 50.0  // ms that a new connection has in any case
	stalled    = 300.0 // ms without a byte after which half a request keeps no place from others

	// Of a drain, in ms from its call. The platform's front asks ten times a second and sends nothing new 0.2 s
	// after a no, and wants every connection gone by 4 s.
	drainNotice = 500.0  // then connections close once they are quiet
	drainRefuse = 1200.0 // then what is asked for is refused, so that each one becomes quiet
	drainHalf   = 2500.0 // then what is not whole is refused too
	drainIdle   = 200.0  // ms that a new connection has to ask after that

	// Of a process that another one replaces, in ms from its signal. It is killed the longest deadline and 0.7 s later.
	leaveRefuse = 600.0  // a connection still never quiet has its new requests refused
	leaveHalf   = 1500.0 // and what is not whole
)

// Seat is a connection's place. Its front keeps it up to date.
type Seat struct {
	server *Server
	conn   net.Conn
	asked  bool // a whole request came on it
	open   int  // whole requests that are not yet answered, and answers not yet written
	came   float64
	since  float64       // when the last of them ended, or the connection came
	until  float64       // when a request that has begun must be whole at the latest; 0: none is under way
	moved  atomic.Uint64 // the bits of the time when bytes last came; 0: none did
	hushes bool          // its reads are interrupted, and its front closes it
	rested bool          // it has been idle for too long, or its place is wanted
	stuck  bool          // its reader has not closed it in time for that
	pass   func()        // has the front hand the connection to another process
	passes bool          // which is under way
	yield  func()        // has the front refuse what has begun and is not whole; nil: the connection is closed

	closeAskedAt float64 // when its reader was asked to close it, as it rested
}

// Yields names what a drain calls to have the connection's half requests refused. It is called once at most
// at a time, without the server's lock.
func (s *Seat) Yields(f func()) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.yield = f
}

// Passes names what has the connection handed to another process, once the server leaves. Until Passed is called it is
// not closed for being quiet.
func (s *Seat) Passes(f func()) {
	s.server.mu.Lock()
	s.pass = f
	now := s.server.heirs
	s.passes = now
	s.server.mu.Unlock()
	if now {
		f()
	}
}

// From is the client's address.
func (s *Seat) From() net.Addr {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.conn.RemoteAddr()
}

// Passed tells that a connection was handed over and nc has taken its place here, or with nil that it stays.
func (s *Seat) Passed(nc net.Conn) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.passes = false; nc != nil {
		s.conn = nc
	}
}

// moves reads from r in a connection's place.
type moves struct {
	seat *Seat
	r    io.Reader
}

func (m moves) Read(b []byte) (int, error) {
	n, err := m.r.Read(b)
	if n > 0 {
		m.seat.moved.Store(math.Float64bits(m.seat.server.Clock.Now()))
	}
	return n, err
}

// Moves has what is read from r count as progress on the connection: limits of time are for those who bring nothing,
// not for those who bring little.
func (s *Seat) Moves(r io.Reader) io.Reader { return moves{s, r} }

// last is when bytes last came, or the connection.
func (s *Seat) last() float64 {
	if at := math.Float64frombits(s.moved.Load()); at > 0 {
		return at
	}
	return s.came
}

// Update tells how many whole requests are open on the connection, whether one has come on it yet, and until when the
// one under way has to be whole at the latest (0: none is).
func (s *Seat) Update(open int, asked bool, until float64) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if open == 0 && (s.open > 0 || asked && !s.asked) {
		s.since = s.server.Clock.Now()
	}
	s.open, s.asked, s.until = open, s.asked || asked, until
	if s.rested && (open > 0 || until > 0) {
		s.server.keep(s)
		s.server.makeRoom(0)
	}
	if (s.server.draining || s.server.leaving) && s.quiet(s.server.Clock.Now()) {
		s.server.hush(s)
	}
}

// Hushes has a quiet connection not closed but its reads interrupted: the front then closes it, unless it has bytes
// of a request in hand, which only its reader knows.
func (s *Seat) Hushes() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.hushes = true
}

// Quiet tells whether a drain wants the connection closed now, or it has rested for too long.
func (s *Seat) Quiet() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.due(s.server.Clock.Now())
}

// due is Quiet; the server's lock is held.
func (s *Seat) due(now float64) bool {
	return s.rested && !unread(s.conn) || (s.server.draining || s.server.leaving) && s.quiet(now)
}

// hush closes a connection that is quiet, or has its front do so. Guards against a request that crosses the close: what
// the reader has in hand by then would be sent on, and its client hears nothing but the end of the connection.
func (s *Server) hush(x *Seat) {
	if x.hushes {
		x.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	s.leave(x)
	x.conn.Close()
}

// quiet tells whether a connection can be closed in a drain: the platform has had time to notice, nothing is open
// and nothing waits to be read, as what crosses the close is lost to its client. One that another process can take
// over is closed as soon as that; a new one has a moment to ask.
func (s *Seat) quiet(now float64) bool {
	due := s.came
	if !s.asked {
		due += drainIdle
	}
	if !s.server.leaving {
		due = max(due, s.server.drained+drainNotice)
	}
	return s.open == 0 && s.until == 0 && !s.passes && now >= due && !unread(s.conn)
}

// Drain begins to empty the server of connections, or with on false ends that.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.draining {
		s.drained = s.Clock.Now()
	}
	s.draining = on
}

// Leave empties the server for good, as another process takes what is new: connections are handed to it where heirs
// says so and the front can, the others are closed as soon as they are quiet.
func (s *Server) Leave(heirs bool) {
	var pass []func()
	s.mu.Lock()
	s.leaving, s.left, s.heirs = true, s.Clock.Now(), heirs
	for x := range s.seats {
		if x.pass != nil && heirs {
			x.passes = true
			pass = append(pass, x.pass)
		}
	}
	s.mu.Unlock()
	for _, f := range pass {
		f()
	}
	s.Sweep()
}

// Limit sets the number of places anew. Connections beyond it stay until they end.
func (s *Server) Limit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.max = max(1, most)
}

// Conns counts the connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seats)
}

// most is the number of places.
func (s *Server) most() int {
	if s.max > 0 {
		return s.max
	}
	return s.Max
}

// Draining tells whether the server is being emptied, and whether new requests are refused by now.
func (s *Server) Draining() (draining, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	return s.draining, s.draining && now >= s.drained+drainRefuse || s.leaving && now >= s.left+leaveRefuse
}

// Serve accepts until the listener closes or ctx ends, and returns once every connection has ended.
// The end of ctx closes them at once. Handle owns a connection until it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener, handle func(net.Conn, *Seat)) error {
	// Guards against closing connections that came another way than by this listener: the end of ctx closes all,
	// the end of those accepted here nothing.
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.CloseAll()
	})
	var g errgroup.Group
	defer stop()
	swept := make(chan struct{})
	defer close(swept)
	go func() {
		t := time.NewTicker(sweepEvery)
		defer t.Stop()
		for {
			select {
			case <-swept:
				return
			case <-t.C:
				s.Sweep()
			}
		}
	}()
	unplaced := make(chan struct{}, s.maxWaiting()) // a slot for each accepted connection without a place
	var pause time.Duration
	for {
		select {
		case unplaced <- struct{}{}:
		case <-ctx.Done():
			return g.Wait()
		}
		nc, err := l.Accept()
		if err != nil {
			<-unplaced
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
		seat, w := s.placeOrWait(nc)
		if seat != nil {
			<-unplaced
			g.Go(func() error { s.serve(seat, handle); return nil })
			continue
		}
		g.Go(func() error {
			seat := s.await(ctx, w)
			<-unplaced
			s.serveAdmitted(ctx, seat, handle)
			return nil
		})
	}
}

// Handle serves one connection, unless no place becomes free for it.
func (s *Server) Handle(nc net.Conn, handle func(net.Conn, *Seat)) {
	ctx := context.Background()
	seat, w := s.placeOrWait(nc)
	if seat == nil {
		seat = s.await(ctx, w)
	}
	s.serveAdmitted(ctx, seat, handle)
}

// serveAdmitted serves a connection that waited; nil: no place became free for it in time.
func (s *Server) serveAdmitted(ctx context.Context, seat *Seat, handle func(net.Conn, *Seat)) {
	if seat == nil {
		s.Log.Warn().Int("connections", s.Conns()).Msg("too many connections, all with requests open")
		return
	}
	if ctx.Err() != nil { // its place came after all were closed
		seat.conn.Close()
	}
	s.serve(seat, handle)
}

func (s *Server) serve(seat *Seat, handle func(net.Conn, *Seat)) {
	defer func() {
		seat.conn.Close()
		s.mu.Lock()
		s.leave(seat)
		s.mu.Unlock()
	}()
	handle(seat.conn, seat)
}

// Sweep closes the connections whose time is up: no whole request came within the limit, or none for long.
func (s *Server) Sweep() {
	now := s.Clock.Now()
	var yields []func()
	defer func() {
		for _, yield := range yields {
			yield()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = s.full && len(s.seats) >= s.most()
	for x := range s.seats {
		s.closeOverdue(x, now)
		late := x.until > 0 && (now > x.until || s.StallMost > 0 && now > x.last()+s.StallMost)
		switch {
		case x.asked && (x.open > 0 || x.until > 0):
		case !x.asked && x.moved.Load() > 0: // also before it is known what has begun
			late = late || s.StallMost > 0 && now > x.last()+s.StallMost || s.WholeMost > 0 && now > x.came+s.WholeMost
		case !x.asked:
			late = late || s.FirstMost > 0 && now > x.came+s.FirstMost
		default:
			if !x.rested && s.IdleMost > 0 && now > x.since+s.IdleMost {
				s.requestClose(x)
			}
			// Guards against a few bytes that never become a request keeping the reader from closing it.
			late = late || x.rested && s.StallMost > 0 && now > x.since+s.IdleMost+s.StallMost && now > x.last()+s.StallMost
		}
		// Guards against losing what is open on a connection to half a request there: that one alone is refused.
		if late && x.open > 0 && x.yield != nil {
			late = false
			yields = append(yields, x.yield)
		}
		if !late && x.due(now) {
			s.hush(x)
		}
		if !late && x.until > 0 && x.yield != nil &&
			(s.draining && now >= s.drained+drainHalf || s.leaving && now >= s.left+leaveHalf) {
			yields = append(yields, x.yield)
		}
		if late {
			s.leave(x)
			x.conn.Close()
		}
	}
	s.makeRoom(0)
}

// CloseAll closes every connection.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.seats {
		x.conn.Close()
	}
}

// Budget bounds the bytes that wait to be written, on all connections of a front.
type Budget struct {
	Most int64
	held atomic.Int64
}

// Take books n bytes, or tells that there is no room.
func (b *Budget) Take(n int) bool {
	if b.held.Add(int64(n)) > atomic.LoadInt64(&b.Most) {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// Give returns n bytes.
func (b *Budget) Give(n int) { b.held.Add(-int64(n)) }

// Limit sets the bound anew. What is booked beyond it stays.
func (b *Budget) Limit(most int64) { atomic.StoreInt64(&b.Most, most) }
