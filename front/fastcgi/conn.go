package fastcgi

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
)

const (
	readBufferSize = 4 << 10 // bytes

	maxSubmitDelay = 10.0 // ms for which a complete request is held back until the bytes received after it are read

	// maxPendingResponses is the number of unwritten responses above which no further request is read: a client that sends
	// requests faster than it reads the responses is slowed down to its own pace.
	maxPendingResponses = 2 * maxConnRequests

	disconnectPollInterval = 20 * time.Millisecond // at which to check whether a client has disconnected that is not being read
)

func (f *Frontend) handle(nc net.Conn, serverConn *front.Conn) { f.serve(nc, serverConn, nil) }

// serve serves a connection. state is that of a connection that was handed over, else nil.
func (f *Frontend) serve(nc net.Conn, serverConn *front.Conn, state *handoverState) {
	c := &conn{
		frontend: f, net: nc, serverConn: serverConn, open: map[uint16]*request{}, wake: make(chan struct{}, 1), written: make(chan struct{}, 1),
		ended: make(chan struct{}),
	}
	serverConn.OnShedPartial(c.rejectPartial) // before the first Update
	serverConn.CloseWhenIdle()
	serverConn.OnHandOver(c.interruptReader)
	in := serverConn.CountReads(nc)
	var g errgroup.Group
	if state != nil {
		c.oldProcess, c.relayed, c.hadRequest = state.oldProcess, state.relayed, true
		f.open.Add(int64(len(c.relayed)))
		in = io.MultiReader(state.unprocessedReader(), in)
		c.mu.Lock()
		c.updateServer()
		c.mu.Unlock()
		g.Go(func() error { c.relayResponses(); return nil })
	}
	g.Go(func() error { c.write(); return nil })
	c.read(&submittingReader{c: c, in: in})
	g.Wait()
}

type conn struct {
	frontend   *Frontend
	net        net.Conn // the client; after a handover, the process that took the connection over
	serverConn *front.Conn
	ended      chan struct{} // closed when the reader ends

	mu              sync.Mutex
	open            map[uint16]*request
	lastTag         uint64 // number of tags assigned, the upper bits of the last one
	out             writeQueue
	unsubmitted     []*request    // complete, in order of arrival; not yet put into the queue to the core
	hadRequest      bool          // a complete request was received
	closeAfterWrite bool          // close the connection once all responses are written
	closed          bool          // the connection is closed
	writing         bool          // a write is in progress
	writesPaused    bool          // the writer starts no write, as the connection is being handed over
	wake            chan struct{} // wakes the writer
	written         chan struct{} // wakes a reader that waits for the writer

	oldProcess net.Conn        // the process that handed the connection over; it still answers the requests in relayed
	relayed    map[uint16]bool // by request id; true: part of the response was sent
}

// read is the reader goroutine.
func (c *conn) read(in io.Reader) {
	defer close(c.ended)
	buffered := bufio.NewReaderSize(in, readBufferSize)
	r := &recordReader{r: buffered}
	for {
		part, err := r.next()
		if err == nil {
			err = c.handlePart(part)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // read deadlines are only set to interrupt the reader
			c.submitRequests(0)
			next, handedOver := c.handOver(r, buffered)
			if handedOver {
				buffered = bufio.NewReaderSize(next, readBufferSize) // the new process continues the partial record
				r = &recordReader{r: buffered}
			} else if buffered.Buffered() == 0 && c.shouldClose(r.atBoundary()) {
				open := c.shutdown() // at once, as bytes that arrive from now on are lost
				c.logClose(c.serverConn.CloseCause(), nil, open)
				return
			}
			continue
		}
		if err != nil {
			open := c.shutdown()
			c.logReadError(err, open)
			return
		}
	}
}

// logReadError logs why the reader has ended, with the number of requests that were open.
func (c *conn) logReadError(err error, open int) {
	if !errors.Is(err, errRecord) {
		c.logClose("client", err, open)
		return
	}
	f := c.frontend
	f.logSampled(f.opt.Log.Warn(), "malformed FastCGI record; closing connection", func(e *zerolog.Event) {
		e.Err(err).Stringer("from", c.serverConn.RemoteAddr()).Int("open", open)
	})
}

// logClose logs the end of the connection at level debug, with the number of requests that were open.
func (c *conn) logClose(cause string, err error, open int) {
	if e := c.frontend.opt.Log.Debug(); e.Enabled() {
		e.Err(err).Str("cause", cause).Stringer("from", c.serverConn.RemoteAddr()).Int("open", open).Msg("connection closed")
	}
}

// openRequests returns the number of requests on the connection that are not answered.
func (c *conn) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) + len(c.relayed)
}

// shouldClose reports whether the reader must close the connection. atBoundary is false if it holds part of a record.
func (c *conn) shouldClose(atBoundary bool) bool {
	if atBoundary {
		return c.serverConn.ShouldClose()
	}
	return c.serverConn.ShouldClosePartial()
}

// shutdown closes the connection and cancels its open requests, whose number it returns.
func (c *conn) shutdown() (open int) {
	f := c.frontend
	c.mu.Lock()
	c.closed = true
	c.net.Close()
	if c.oldProcess != nil {
		c.oldProcess.Close()
	}
	open = len(c.open) + len(c.relayed)
	f.open.Add(-int64(len(c.relayed)))
	c.relayed = nil
	for _, q := range c.open {
		f.requestBudget.Release(q.reserved)
		c.cancel(q)
	}
	discarded := c.out.take()
	f.open.Add(-int64(len(c.open) + discarded.responses))
	f.responseBudget.Release(discarded.reserved)
	c.open = map[uint16]*request{}
	c.unsubmitted = nil
	c.mu.Unlock()
	return open
}

// cancel marks a request as canceled by its client. From then on it is not sent to an endpoint, wherever it is queued.
func (c *conn) cancel(q *request) {
	if !q.complete || q.canceled.Swap(true) {
		return
	}
	q.coreRequest = core.Request{} // its body is not counted in the budget any more
	if q.queued != nil && !c.frontend.events.Remove(q.queued) {
		c.frontend.events.Push(core.CancelRequest{Frontend: c, RequestTag: q.tag})
	}
}

// cancelAll cancels the open requests, as their client has disconnected.
func (c *conn) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.open {
		c.cancel(q)
	}
	c.unsubmitted = nil
}

// updateServer updates the server's state of the connection. A response that is not yet written counts as an open request,
// so that the connection does not count as idle and get closed before it is written.
func (c *conn) updateServer() {
	deadline, partial := 0.0, 0
	for _, q := range c.open {
		if q.complete {
			continue
		}
		partial++
		if deadline == 0 || q.startedAt+requestTimeout < deadline {
			deadline = q.startedAt + requestTimeout
		}
	}
	c.serverConn.Update(len(c.open)-partial+len(c.relayed)+c.out.pendingResponses(), c.hadRequest, deadline)
}

// submittingReader passes complete requests to the core before each read that may block.
type submittingReader struct {
	c       *conn
	in      io.Reader
	hasMore bool // the last read filled the buffer, so there may be more unread bytes
}

// Read passes the complete requests to the core, then reads. It returns io.EOF once the client has disconnected, even if there
// are unread bytes before that: nobody receives the responses to what they hold.
func (r *submittingReader) Read(b []byte) (int, error) {
	c := r.c
	disconnected := c.submitRequests(maxSubmitDelay) || r.hasMore && c.disconnected() || !c.awaitWriter()
	if disconnected {
		c.cancelAll()
		return 0, io.EOF
	}
	n, err := r.in.Read(b)
	r.hasMore = n == len(b)
	return n, err
}

// disconnected reports whether the client has disconnected while requests are open.
func (c *conn) disconnected() bool { return c.openRequests() > 0 && front.PeerClosed(c.client()) }

// client returns the connection that requests are read from.
func (c *conn) client() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.net
}

// awaitWriter waits while the client leaves too many responses unread. It returns false once the client has disconnected.
func (c *conn) awaitWriter() (connected bool) {
	if !c.writerBehind() {
		return true
	}
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for c.writerBehind() {
		select {
		case <-c.written:
		case <-poll.C:
			if front.PeerClosed(c.client()) {
				return false
			}
		}
	}
	return true
}

// writerBehind reports whether too many responses wait to be written.
func (c *conn) writerBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.out.pendingResponses() > maxPendingResponses
}

// submitRequests passes the complete requests to the core once the bytes received after them are read, or after maxDelay ms.
// Such bytes may cancel the request, or the client may have disconnected, which submitRequests then reports; either may have
// been unread here for as long as the request was, and the request would be sent to an endpoint in vain.
func (c *conn) submitRequests(maxDelay float64) (disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsubmitted) == 0 {
		return false
	}
	readable, peerClosed := front.PollConn(c.net)
	if peerClosed {
		return true
	}
	if readable && c.frontend.opt.Clock.Now() < c.unsubmitted[0].completedAt+maxDelay {
		c.dropCanceled()
		return false
	}
	for _, q := range c.unsubmitted {
		if !q.canceled.Load() {
			q.queued = c.frontend.events.Push(q.coreRequest)
		}
		q.coreRequest = core.Request{}
	}
	c.unsubmitted = nil
	return false
}

// dropCanceled removes the canceled requests from those for the core.
func (c *conn) dropCanceled() {
	c.unsubmitted = slices.DeleteFunc(c.unsubmitted, func(q *request) bool { return q.canceled.Load() })
}
