package signed

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/internal/http1"
	"turnfork.dev/turnfork/limits"
	"turnfork.dev/turnfork/token"
)

// slot is one request's position in the order of responses.
type slot struct {
	tag              uint64
	msg              http1.Message
	receivedAt       float64 // when its last byte arrived, in clock ms
	class            Class
	claimUntil       float64         // Unix ms until which the claim of its grant must be kept
	grantExpiresAt   float64         // expiry of its grant, in clock ms; computed when the request was validated
	claimName        string          // claim name of its grant; "": the grant permits no single use
	earlierClaimName string          // claim name of its grant in versions that did not encode ids; "": the same
	tokenHeader      string          // name of the header that carried its token
	renewable        *token.Grant    // nil: its token is not renewable
	limitSubject     *limits.Subject // names under which it is counted in the limits; nil: it is not
	owner            string          // owner of its claim; "": it is not claimed
	reservedBytes    int             // bytes of the request that are reserved in the frontend's request budget
	submitted        bool            // it was submitted to the core
	canceled         *atomic.Bool    // true once its client has disconnected
	done             bool
	ready            chan struct{} // closed once done
	answer           []byte        // valid once done; nil: the client has disconnected
	answerReserved   int           // bytes of the answer that are reserved in the frontend's response budget
}

type conn struct {
	frontend   *Frontend
	net        net.Conn
	serverConn *front.Conn
	queue      chan *slot
	writerDone chan struct{} // closed when the writer returns

	clientAddr netip.Addr // address of the client
	source     string     // key under which its failures are counted

	lingering      bool         // no further request is read; used by the reader only
	closedByServer bool         // the server has the connection closed; used by the reader only
	unanswered     atomic.Int64 // complete or malformed requests whose response is not yet written

	mu              sync.Mutex
	disconnected    bool             // the client no longer reads
	requestDeadline float64          // when the incomplete request must be complete; 0: there is none
	open            map[uint64]*slot // by tag
	lastTag         uint64           // the last tag that was assigned
}

func (f *Frontend) handle(nc net.Conn, serverConn *front.Conn) {
	c := &conn{
		frontend: f, net: nc, serverConn: serverConn,
		queue: make(chan *slot, maxPipelined), writerDone: make(chan struct{}), open: map[uint64]*slot{},
	}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.clientAddr = a.AddrPort().Addr().Unmap()
	}
	c.source = sourceOf(c.clientAddr)
	serverConn.CloseWhenIdle()
	var g errgroup.Group
	g.Go(func() error { c.write(); return nil })
	c.read()
	g.Wait()
}

// read reads requests and handles them, until the connection ends. It runs in the reader goroutine.
func (c *conn) read() {
	defer close(c.queue)
	r := bufio.NewReaderSize(interruptibleReader{c, c.serverConn.CountReads(c.net)}, 4<<10)
	for {
		if _, err := r.Peek(1); err != nil {
			c.disconnect(err)
			return
		}
		c.setRequestDeadline(c.frontend.opt.Clock.Now() + requestTimeout)
		s := &slot{ready: make(chan struct{})}
		var err error
		s.msg, err = http1.Read(r, http1.Options{
			MaxBodyBytes: maxBodyBytes, SendContinue: c.sendContinue, Reserve: func(n int) bool { return c.frontend.reserveRequest(s, n) },
		})
		c.unanswered.Add(1) // before the report by setRequestDeadline: an unanswered request keeps the connection open
		c.setRequestDeadline(0)
		s.receivedAt = c.serverConn.ArrivedAt()
		if b, ok := http1.AsBadMessage(err); ok {
			c.frontend.open.Add(1)
			c.rejectUnread(s, b)
			c.enqueue(s)
			c.linger(r)
			return
		}
		if err != nil {
			c.frontend.requestBudget.Release(s.reservedBytes)
			c.disconnect(err)
			return
		}
		c.frontend.open.Add(1)
		if !c.enqueue(s) {
			c.disconnect(nil)
			return
		}
		c.handleRequest(s)
		if s.msg.Close {
			c.linger(r)
			return
		}
		if !c.pauseReading() {
			c.disconnect(nil)
			return
		}
	}
}

// rejectUnread answers a request that can't be read, after which the connection is closed.
func (c *conn) rejectUnread(s *slot, b *http1.BadMessage) {
	f := c.frontend
	s.msg.Close = true
	if b.Status == http.StatusServiceUnavailable {
		c.finish(s, f.errorResponse(s, b.Status, "crowded", b.Detail, "Retry-After: 1\r\n"))
		return
	}
	f.guard.Failed(c.source, f.opt.Clock.Now())
	f.logSampled(f.opt.Log.Warn(), "request can't be read", func(e *zerolog.Event) {
		e.Int("status", b.Status).Str("what", b.Detail).Str("from", c.source)
	})
	c.finish(s, f.errorResponse(s, b.Status, "malformed", b.Detail, ""))
}

// setRequestDeadline reports to the server that an incomplete request must be complete by a time, or with 0 that there is none.
func (c *conn) setRequestDeadline(until float64) {
	c.mu.Lock()
	c.requestDeadline = until
	c.mu.Unlock()
	c.report(false)
}

// interruptibleReader repeats a read that the server has interrupted, unless the connection is to be closed. By then the
// server knows what was read: a complete request is open, and an incomplete one was reported with its deadline.
type interruptibleReader struct {
	conn *conn
	in   io.Reader
}

func (r interruptibleReader) Read(b []byte) (int, error) {
	for {
		n, err := r.in.Read(b)
		if n > 0 || r.conn.lingering || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.conn.net.SetReadDeadline(time.Time{}) // before ShouldClose, so that no later interruption is lost
		if r.conn.serverConn.ShouldClose() {
			r.conn.closedByServer = true
			return n, err
		}
	}
}

// report reports the connection's open requests and the deadline of the incomplete one to the server.
func (c *conn) report(hadRequest bool) {
	c.mu.Lock() // reader and writer both report
	defer c.mu.Unlock()
	c.serverConn.Update(int(c.unanswered.Load()), hadRequest, c.requestDeadline)
}

// sendContinue has a client send the body that it holds back. While earlier responses are pending it sends nothing, as the
// bytes could end up within them; such a client sends the body without it after a time-out.
func (c *conn) sendContinue() {
	if c.unanswered.Load() == 0 {
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// linger waits for the client to close the connection after the last response, and discards what it still sends. If the
// client closes the connection before that response, its requests are canceled.
func (c *conn) linger(r *bufio.Reader) {
	c.lingering = true
	c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.Copy(io.Discard, r); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.disconnect(err)
	}
}

// disconnect closes a connection whose client no longer reads, and cancels its open requests.
func (c *conn) disconnect(err error) {
	c.net.Close()
	c.mu.Lock()
	c.disconnected = true
	var submitted []uint64
	for tag, s := range c.open {
		c.finish(s, nil)
		s.canceled.Store(true)
		if s.submitted {
			submitted = append(submitted, tag)
		}
		if s.owner == "" { // a claimed one may have run: its outcome is awaited and recorded, so that replays learn it
			delete(c.open, tag)
		}
	}
	c.mu.Unlock()
	for _, tag := range submitted {
		c.frontend.events.Push(core.CancelRequest{Frontend: c, RequestTag: tag})
	}
	c.logClose(err)
}

// logClose logs the end of the connection at level debug.
func (c *conn) logClose(err error) {
	e := c.frontend.opt.Log.Debug()
	if !e.Enabled() {
		return
	}
	cause := "client"
	if c.closedByServer {
		cause = c.serverConn.CloseCause()
	}
	e.Err(err).Str("cause", cause).Stringer("from", c.net.RemoteAddr()).Int64("open", c.unanswered.Load()).Msg("connection closed")
}

// enqueue appends a request to the order of responses, and reports false if the client has disconnected. It guards against
// a client that pipelines requests and disconnects: its close follows requests that are not read while responses are pending.
func (c *conn) enqueue(s *slot) bool {
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for {
		select {
		case c.queue <- s:
			return true
		case <-poll.C:
			if !front.PeerClosed(c.net) {
				continue
			}
		case <-c.writerDone:
		}
		c.frontend.release(s)
		return false
	}
}

// finish sets the response of a slot, unless it has one, and reserves its bytes in the response budget. nil: it gets none, as the
// client has disconnected.
func (c *conn) finish(s *slot, b []byte) {
	if s.done {
		return
	}
	if b != nil {
		b = c.frontend.reserveResponse(s, b)
	}
	s.done = true
	s.answer = b
	close(s.ready)
}

// reply answers a request without the core.
func (c *conn) reply(s *slot, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish(s, b)
}

// release releases what a slot holds, once its response is written or dropped.
func (f *Frontend) release(s *slot) {
	f.releaseLimits(s)
	f.requestBudget.Release(s.reservedBytes)
	f.responseBudget.Release(s.answerReserved)
	s.reservedBytes, s.answerReserved = 0, 0
	f.open.Add(-1)
}

// write writes the responses in the order of the requests. It runs in the writer goroutine.
func (c *conn) write() {
	defer c.net.Close()
	defer func() {
		close(c.writerDone)
		for s := range c.queue { // the reader cancels open requests, which completes these slots too
			<-s.ready
			c.frontend.release(s)
		}
	}()
	for s := range c.queue {
		<-s.ready
		c.frontend.releaseLimits(s)
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.net.Write(s.answer)
		last := err != nil || s.msg.Close || s.answer == nil
		c.frontend.release(s)
		c.unanswered.Add(-1)
		c.report(true)
		if last {
			return
		}
	}
}
