package front

import (
	"io"
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"time"
)

// Conn is the server's state of a connection. The frontend that serves the connection updates it.
type Conn struct {
	server          *Server
	conn            net.Conn
	hadRequest      bool // a complete request was received
	openRequests    int  // unanswered complete requests plus unwritten responses
	acceptedAt      float64
	idleSince       float64       // when openRequests last fell to 0, or the time of the accept
	requestDeadline float64       // by when a partial request must be complete; 0: there is none
	lastReadAt      atomic.Uint64 // math.Float64bits of the time of the last read that returned bytes; 0: none did
	reads           atomic.Uint64 // number of reads that returned bytes
	closeDeferred   bool          // it timed out with unread bytes, and its reader may read once more before it closes it
	readsAtDeferral uint64        // value of reads at that time
	closeWhenIdle   bool          // the server interrupts its reads, and its reader closes it
	closing         bool          // its reader was asked to close it, as it was idle for too long or its slot is needed
	stuck           bool          // its reader has not closed it within evictionTimeout
	handOver        func()        // makes the frontend hand the connection over to another process
	handingOver     bool          // a handover has been requested and is not finished
	shedPartial     func()        // makes the frontend reject the partial requests; nil: the connection is closed instead

	closeRequestedAt time.Time // when its reader was asked to close it

	arrivals arrivals // for the reader's goroutine only
}

// OnShedPartial sets the function that rejects the connection's partial requests, in a drain or after a timeout. It is called
// without the server's lock.
func (s *Conn) OnShedPartial(f func()) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.shedPartial = f
}

// OnHandOver sets the function that starts the connection's handover to another process. Retire calls it, or OnHandOver itself
// if Retire was called before. From then until HandedOver is called, a drain does not close the connection.
func (s *Conn) OnHandOver(f func()) {
	s.server.mu.Lock()
	s.handOver = f
	now := s.server.handOverConns
	s.handingOver = now
	s.server.mu.Unlock()
	if now {
		f()
	}
}

// RemoteAddr returns the client's address.
func (s *Conn) RemoteAddr() net.Addr {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.conn.RemoteAddr()
}

// HandedOver reports the end of a handover: nc replaces the connection here, or with nil the handover failed and the
// connection stays.
func (s *Conn) HandedOver(nc net.Conn) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.handingOver = false; nc != nil {
		s.conn = nc
	}
}

// countedReader records the reads of a connection.
type countedReader struct {
	conn *Conn
	r    io.Reader
}

// Read counts the read and records its time if it returned any bytes. After a full buffer it yields the processor: a client that
// sends without a pause must not keep it from the others' requests.
func (m countedReader) Read(b []byte) (int, error) {
	n, err := m.r.Read(b)
	if n == len(b) {
		runtime.Gosched()
	}
	if n > 0 {
		m.conn.reads.Add(1)
		m.conn.lastReadAt.Store(math.Float64bits(m.conn.server.Clock.Now()))
	}
	return n, err
}

// CountReads wraps r so that each read that returns bytes counts as progress on the connection. A slow client thus does not
// exceed ReadTimeout; one that sends nothing does.
func (s *Conn) CountReads(r io.Reader) io.Reader { return countedReader{s, s.arrivals.timed(r)} }

// lastActivity returns when bytes were last read, or the time of the accept if none were.
func (s *Conn) lastActivity() float64 {
	if at := math.Float64frombits(s.lastReadAt.Load()); at > 0 {
		return at
	}
	return s.acceptedAt
}

// Update sets the number of complete requests that are open on the connection, whether it has received one so far, and the
// time by which a partial request must be complete (0: there is none).
func (s *Conn) Update(open int, hadRequest bool, deadline float64) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	becameIdle := open == 0 && (s.openRequests > 0 || hadRequest && !s.hadRequest)
	if becameIdle {
		s.idleSince = s.server.Clock.Now()
	}
	s.openRequests, s.hadRequest, s.requestDeadline = open, s.hadRequest || hadRequest, deadline
	if open > 0 {
		s.closeDeferred = false
	}
	now := s.server.Clock.Now()
	if s.closing && (open > 0 || deadline > 0 && !s.requestStalled(now)) {
		s.server.cancelClose(s)
		s.server.evictIfNeeded(0)
	}
	if s.server.closesIdleConns() && s.closableInDrain(now) {
		s.server.interruptRead(s)
	}
	if becameIdle && len(s.server.waiters) > 0 { // this connection may be evicted for one of them
		s.server.evictIfNeeded(0)
	}
}

// CloseWhenIdle makes the server interrupt the connection's reads instead of closing it. Its reader then closes it, unless it
// holds part of a request, which only the reader knows.
func (s *Conn) CloseWhenIdle() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.closeWhenIdle = true
}

// ShouldClose reports whether a reader whose read was interrupted must close the connection: because of a drain, a timeout or
// an eviction. The reader must not hold part of a request that it has not reported by Update.
func (s *Conn) ShouldClose() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	now := s.server.Clock.Now()
	return s.mustClose(now) || s.shouldClose(now)
}

// ShouldClosePartial is ShouldClose for a reader that holds part of a request that it has not reported by Update. Such a
// connection is closed only if it has timed out, or if it is to be evicted and has never sent a complete request.
func (s *Conn) ShouldClosePartial() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	now := s.server.Clock.Now()
	return s.mustClose(now) || !s.hadRequest && s.closing && s.shouldClose(now)
}

// shouldClose reports whether the connection is to be closed by an eviction or a drain: it is idle, or its partial request has
// stalled, and it has no unread bytes. The caller holds the server's lock, here and below.
func (s *Conn) shouldClose(now float64) bool {
	evicted := s.closing && s.openRequests == 0 && (!s.hasPartialRequest() || s.requestStalled(now))
	return evicted && !hasUnread(s.conn) || s.server.closesIdleConns() && s.closableInDrain(now)
}

// mustClose reports whether the reader must close the connection because of a timeout. If there are unread bytes, such as a
// request that arrived at the last moment, the reader may read once more before that.
func (s *Conn) mustClose(now float64) bool {
	if s.openRequests > 0 || !s.timedOut(now) {
		return false
	}
	if !hasUnread(s.conn) || s.closeDeferred && s.reads.Load() != s.readsAtDeferral {
		return true
	}
	s.closeDeferred, s.readsAtDeferral = true, s.reads.Load()
	return false
}

// hasPartialRequest reports whether part of a request was received.
func (s *Conn) hasPartialRequest() bool {
	return s.requestDeadline > 0 || !s.hadRequest && s.lastReadAt.Load() > 0
}

// requestStalled reports whether a partial request has stalled, so that its connection may be evicted.
func (s *Conn) requestStalled(now float64) bool { return now-s.lastActivity() >= partialGrace }

// timedOut reports whether the connection has exceeded one of its timeouts, or holds a partial request late in a drain.
func (s *Conn) timedOut(now float64) bool {
	server := s.server
	if s.requestDeadline > 0 && (now > s.requestDeadline || server.ReadTimeout > 0 && now > s.lastActivity()+server.ReadTimeout) {
		return true
	}
	if s.requestDeadline > 0 && s.shedPartial == nil && server.shedsPartial(now) {
		return true
	}
	switch {
	case s.hadRequest && (s.openRequests > 0 || s.requestDeadline > 0):
		return false
	case !s.hadRequest && s.lastReadAt.Load() > 0: // bytes were read, but no request has been reported yet
		return server.ReadTimeout > 0 && now > s.lastActivity()+server.ReadTimeout ||
			server.RequestTimeout > 0 && now > s.acceptedAt+server.RequestTimeout
	case !s.hadRequest:
		return server.FirstByteTimeout > 0 && now > s.acceptedAt+server.FirstByteTimeout
	}
	// The reader does not close the connection while it holds a few bytes. If these never become a request, the connection
	// times out here.
	return s.closing && server.ReadTimeout > 0 && now > s.idleSince+server.IdleTimeout+server.ReadTimeout &&
		now > s.lastActivity()+server.ReadTimeout
}

// interruptRead interrupts the reads of a connection, so that its reader closes it unless it has read a request in the
// meantime. A close from here would leave that request unanswered. Without CloseWhenIdle the connection is closed at once.
func (s *Server) interruptRead(x *Conn) {
	if x.closeWhenIdle {
		x.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	s.remove(x)
	x.conn.Close()
}
