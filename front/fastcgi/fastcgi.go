// Package fastcgi is the platform's frontend: FastCGI 1.0 in the Responder role, with multiplexed requests on a connection and
// responses in any order.
package fastcgi

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
)

// Options configures a frontend.
type Options struct {
	Post             func(core.Event) // passes an event to the core
	Clock            *clock.Clock
	Log              zerolog.Logger
	MaxConns         int                          // simultaneous connections; 0: 300
	MaxResponseBytes int64                        // bytes of responses queued for writing, over all connections; 0: 48 MB
	RetryAfter       float64                      // ms; X-Throttle-Ms of rejections in a drain and of overload responses; 0: no header
	MaxRequestBytes  int64                        // bytes of parameters and bodies of open requests, over all connections; 0: 16 MB
	Tap              func(conn net.Conn) net.Conn // wraps each connection, for recording; nil: none
}

const (
	writeTimeout     = 3 * time.Second // for each chunk; after that the connection is closed
	writeChunk       = 64 << 10        // bytes; each chunk has its own timeout, as a client may read slowly
	firstByteTimeout = 2500.0          // ms within which a new connection must send its first byte
	readTimeout      = 2000.0          // ms without a new byte after which a partial request times out
	requestTimeout   = 8000.0          // ms within which any request must be complete, even if its bytes keep arriving
	idleTimeout      = 4500.0          // ms; clients close idle connections after 4 s

	smallResponse      = 1 << 10             // bytes; up to this size a response is queued even if the response budget is exhausted
	maxUnreadResponses = 4 * maxConnRequests // responses that one client may leave unread while the response budget is exhausted

	maxSubmitDelay = 10.0 // ms for which a complete request is held back until the bytes received after it are read
)

// Frontend accepts FastCGI connections at one listener.
type Frontend struct {
	opt            Options
	server         front.Server
	responseBudget front.Budget                 // for responses queued for writing
	requestBudget  front.Budget                 // for parameters and bodies of open requests
	events         front.EventQueue[core.Event] // to the core
	successor      atomic.Pointer[func() (*net.UnixConn, error)]
	open           atomic.Int64 // unanswered requests plus unwritten responses
}

// New returns a frontend that passes its requests to opt.Post.
func New(opt Options) *Frontend {
	if opt.MaxConns <= 0 {
		opt.MaxConns = 300
	}
	if opt.MaxResponseBytes <= 0 {
		opt.MaxResponseBytes = 48 << 20
	}
	if opt.MaxRequestBytes <= 0 {
		opt.MaxRequestBytes = 16 << 20
	}
	return &Frontend{
		opt: opt,
		server: front.Server{
			Max: opt.MaxConns, FirstByteTimeout: firstByteTimeout, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, RequestTimeout: requestTimeout,
			Clock: opt.Clock, Log: opt.Log, Tap: opt.Tap,
		},
		responseBudget: front.Budget{Limit: opt.MaxResponseBytes}, requestBudget: front.Budget{Limit: opt.MaxRequestBytes},
		events: front.EventQueue[core.Event]{Post: opt.Post},
	}
}

// Serve accepts connections until the listener is closed or ctx is done, and returns once all its connections have ended.
// When ctx is done, they are closed at once.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	return f.server.Serve(ctx, l, f.handle)
}

// Handle serves one connection until it ends.
func (f *Frontend) Handle(nc net.Conn) { f.server.Handle(nc, f.handle) }

// OpenRequests returns the number of requests that are not answered or whose response is not yet written.
func (f *Frontend) OpenRequests() int { return int(f.open.Load()) }

// Drain starts a drain, in which the frontend closes its connections, or with on false ends it.
func (f *Frontend) Drain(on bool) { f.server.Drain(on) }

// Stop closes each connection once the requests that were read from it are answered, and rejects new requests.
func (f *Frontend) Stop() { f.server.Stop() }

// HandOver hands the connections over to the process that successor dials. A connection whose handover fails is closed once
// no request is open on it, and so are all of them if successor is nil.
func (f *Frontend) HandOver(successor func() (*net.UnixConn, error)) {
	if successor != nil {
		f.successor.Store(&successor)
	}
	f.server.Retire(successor != nil)
}

// Conns returns the number of open connections.
func (f *Frontend) Conns() int { return f.server.Conns() }

// SetProcessShare divides the limits on buffered bytes by the number of processes that share the memory, and sets the
// connection limit.
func (f *Frontend) SetProcessShare(processes, conns int) {
	f.server.SetMaxConns(conns)
	f.responseBudget.SetLimit(f.opt.MaxResponseBytes / int64(processes))
	f.requestBudget.SetLimit(f.opt.MaxRequestBytes / int64(processes))
}

func (f *Frontend) handle(nc net.Conn, serverConn *front.Conn) { f.serve(nc, serverConn, nil) }

// serve serves a connection. state is that of a connection that was handed over, else nil.
func (f *Frontend) serve(nc net.Conn, serverConn *front.Conn, state *handoverState) {
	c := &conn{
		frontend: f, net: nc, serverConn: serverConn, open: map[uint16]*request{}, wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	serverConn.OnShedPartial(c.rejectPartial) // before the first Update
	serverConn.CloseWhenIdle()
	serverConn.OnHandOver(c.interruptReader)
	in := serverConn.CountReads(nc)
	var g errgroup.Group
	if state != nil {
		c.oldProcess, c.relayed, c.hadRequest = state.oldProcess, state.relayed, true
		f.open.Add(int64(len(c.relayed)))
		in = io.MultiReader(bytes.NewReader(state.unprocessed), in)
		c.mu.Lock()
		c.updateServer()
		c.mu.Unlock()
		g.Go(func() error { c.relayResponses(); return nil })
	}
	g.Go(func() error { c.write(); return nil })
	c.read(submittingReader{c, in})
	g.Wait()
}

// request is an open request: it is being received or waits for its response.
type request struct {
	params      []byte
	body        []byte
	paramsDone  bool          // the parameters are complete
	complete    bool          // the request is complete and not answered by the frontend itself
	canceled    *atomic.Bool  // set if complete; true once the client has canceled the request
	queued      *list.Element // its element in the queue to the core; nil: not put there yet
	coreRequest core.Request  // until it is put into that queue
	keepConn    bool          // FCGI_KEEP_CONN
	reserved    int           // bytes reserved in the frontend's request budget
	tag         uint64
	startedAt   float64 // time of BEGIN_REQUEST
	completedAt float64 // when it was read completely
}

type conn struct {
	frontend   *Frontend
	net        net.Conn // the client; after a handover, the process that took the connection over
	serverConn *front.Conn
	ended      chan struct{} // closed when the reader ends

	mu               sync.Mutex
	open             map[uint16]*request
	lastTag          uint64 // number of tags assigned, the upper bits of the last one
	out              [][]byte
	pendingResponses int        // responses queued and not yet written
	unsubmitted      []*request // complete, in order of arrival; not yet put into the queue to the core
	hadRequest       bool       // a complete request was received
	closeAfterWrite  bool       // close the connection once all responses are written
	closed           bool       // the connection is closed
	writing          bool       // a write is in progress
	writesPaused     bool       // the writer starts no write, as the connection is being handed over
	wake             chan struct{}

	oldProcess net.Conn        // the process that handed the connection over; it still answers the requests in relayed
	relayed    map[uint16]bool // by request id; true: part of the response was sent
}

// read is the reader goroutine.
func (c *conn) read(in io.Reader) {
	defer c.shutdown()
	buffered := bufio.NewReaderSize(in, 4<<10)
	r := &recordReader{r: buffered}
	for {
		rec, err := r.next()
		if err == nil {
			err = c.handleRecord(rec)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // read deadlines are only set to interrupt the reader
			c.submitRequests(0)
			next, handedOver := c.handOver(r, buffered)
			if handedOver {
				buffered = bufio.NewReaderSize(next, 4<<10) // the new process continues the partial record
				r = &recordReader{r: buffered}
			} else if buffered.Buffered() == 0 && c.shouldClose(r.atBoundary()) {
				return
			}
			continue
		}
		if err != nil {
			if errors.Is(err, errRecord) {
				c.frontend.opt.Log.Warn().Err(err).Stringer("from", c.serverConn.RemoteAddr()).Msg("malformed FastCGI record; closing connection")
			} else if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				c.frontend.opt.Log.Debug().Err(err).Msg("connection ended")
			}
			return
		}
	}
}

// shouldClose reports whether the reader must close the connection. atBoundary is false if it holds part of a record.
func (c *conn) shouldClose(atBoundary bool) bool {
	if atBoundary {
		return c.serverConn.ShouldClose()
	}
	return c.serverConn.ShouldClosePartial()
}

// shutdown closes the connection and cancels its open requests.
func (c *conn) shutdown() {
	f := c.frontend
	c.mu.Lock()
	c.closed = true
	c.net.Close()
	if c.oldProcess != nil {
		c.oldProcess.Close()
	}
	f.open.Add(-int64(len(c.relayed)))
	c.relayed = nil
	for _, q := range c.open {
		f.requestBudget.Release(q.reserved)
		c.cancel(q)
	}
	f.open.Add(-int64(len(c.open) + len(c.out)))
	c.open = map[uint16]*request{}
	for _, b := range c.out {
		f.responseBudget.Release(len(b))
	}
	c.out = nil
	c.mu.Unlock()
	close(c.ended)
}

// cancel marks a request as canceled by its client. From then on it is not sent to an endpoint, wherever it is queued.
func (c *conn) cancel(q *request) {
	if !q.complete {
		return
	}
	q.canceled.Store(true)
	if q.queued != nil && !c.frontend.events.Remove(q.queued) {
		c.frontend.events.Push(core.CancelRequest{Frontend: c, RequestTag: q.tag})
	}
}

// handleRecord handles one record.
func (c *conn) handleRecord(rec record) error {
	if rec.id == 0 {
		return c.handleManagement(rec)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateServer()
	q := c.open[rec.id]
	switch rec.kind {
	case typeBegin:
		if len(rec.data) < 8 {
			return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errRecord, len(rec.data))
		}
		_, atOldProcess := c.relayed[rec.id]
		role, keep := uint16(rec.data[0])<<8|uint16(rec.data[1]), rec.data[2]&flagKeepConn != 0
		switch {
		case q != nil || atOldProcess:
			return fmt.Errorf("%w: second BEGIN_REQUEST for open request %d", errRecord, rec.id)
		case role != roleResponder:
			c.send(appendEnd(nil, rec.id, 0, protoRole))
		case len(c.open)+len(c.relayed) >= maxConnRequests:
			c.send(appendEnd(nil, rec.id, 0, protoOverload))
		default:
			c.lastTag++
			c.open[rec.id] = &request{keepConn: keep, tag: c.lastTag<<16 | uint64(rec.id), startedAt: c.frontend.opt.Clock.Now()}
			c.frontend.open.Add(1)
		}
	case typeAbort:
		if _, atOldProcess := c.relayed[rec.id]; atOldProcess {
			c.oldProcess.SetWriteDeadline(time.Now().Add(abortWriteTimeout))
			c.oldProcess.Write(appendRecord(nil, typeAbort, rec.id, nil))
		}
		if q != nil {
			c.removeRequest(rec.id)
			c.cancel(q)
			c.send(appendEnd(nil, rec.id, 1, protoComplete))
		}
	case typeParams:
		switch {
		case q == nil || q.paramsDone: // the request has ended or was rejected
		case len(rec.data) == 0:
			q.paramsDone = true
		case len(q.params)+len(rec.data) > maxParams:
			return fmt.Errorf("%w: parameters of more than %d bytes", errRecord, maxParams)
		case !c.reserve(rec.id, q, len(rec.data)):
		default:
			q.params = append(q.params, rec.data...)
		}
	case typeStdin:
		switch {
		case q == nil || q.complete:
		case len(rec.data) == 0:
			if !q.paramsDone {
				return fmt.Errorf("%w: end of STDIN before the end of PARAMS", errRecord)
			}
			return c.handleRequest(rec.id, q)
		case len(q.body)+len(rec.data) > maxBody:
			return fmt.Errorf("%w: a body of more than %d bytes", errRecord, maxBody)
		case !c.reserve(rec.id, q, len(rec.data)):
		default:
			q.body = append(q.body, rec.data...)
		}
	case typeData:
	default:
		return fmt.Errorf("%w: unexpected type %d", errRecord, rec.kind)
	}
	return nil
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
	c.serverConn.Update(len(c.open)-partial+len(c.relayed)+c.pendingResponses, c.hadRequest, deadline)
}

// handleManagement responds to a management record.
func (c *conn) handleManagement(rec record) error {
	if rec.kind != typeGetValues {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.send(appendRecord(nil, typeUnknown, 0, []byte{rec.kind, 0, 0, 0, 0, 0, 0, 0}))
		return nil
	}
	var b []byte
	err := parsePairs(rec.data, func(name, _ string) {
		switch name {
		case "FCGI_MAX_CONNS":
			b = appendPair(b, name, strconv.Itoa(c.frontend.opt.MaxConns))
		case "FCGI_MAX_REQS":
			b = appendPair(b, name, strconv.Itoa(c.frontend.opt.MaxConns*maxConnRequests))
		case "FCGI_MPXS_CONNS":
			b = appendPair(b, name, "1")
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send(appendRecord(nil, typeValues, 0, b))
	return err
}

// handleRequest parses a complete request. It answers the request itself or adds it to those for the core. The caller holds mu.
func (c *conn) handleRequest(id uint16, q *request) error {
	q.completedAt = c.frontend.opt.Clock.Now()
	a := core.Request{Frontend: c, RequestTag: q.tag, ReceivedAt: min(c.serverConn.ArrivedAt(), q.completedAt), Body: q.body}
	script, bad := "", ""
	number := func(name, value string, bits int, base int) uint64 {
		v, err := strconv.ParseUint(value, base, bits)
		if err != nil && bad == "" {
			bad = fmt.Sprintf("%s: %.40q", name, value)
		}
		return v
	}
	float := func(name, value string) float64 {
		v, err := strconv.ParseFloat(value, 64)
		if (err != nil || !(v >= 0 && v < 1e12)) && bad == "" {
			bad = fmt.Sprintf("%s: %.40q", name, value)
		}
		return v
	}
	err := parsePairs(q.params, func(name, value string) {
		switch name {
		case "SCRIPT_NAME":
			script = value
		case "HTTP_X_TXN":
			number(name, value, 64, 16)
			a.Txn = value
		case "HTTP_X_TTL_MS":
			a.Remaining = float(name, value)
		case "HTTP_X_ROW":
			a.Object = number(name, value, 64, 16)
			a.ObjectName = value
		case "HTTP_X_BLOCK":
			a.Part = uint32(number(name, value, 32, 10))
		case "HTTP_X_FAMILY":
			a.Group = uint16(number(name, value, 16, 10))
		case "HTTP_X_WORKING_SET_KB":
			a.SizeKB = float(name, value)
		case "HTTP_X_CACHED":
			a.ClientETag = parseETag(value)
		case "HTTP_X_SECOND_TRY":
			a.Retry = value == "1"
		case "HTTP_X_TXN_KEY":
			if a.IdempotencyKey = value; !isValidKey(value) && bad == "" {
				bad = fmt.Sprintf("%s: %.40q", name, value)
			}
		}
	})
	q.params = nil
	if err != nil {
		return err
	}
	c.hadRequest = true
	var ok bool
	a.Class, ok = strings.CutPrefix(script, "/v1/")
	draining, reject := c.frontend.server.Draining()
	switch {
	case script == "/healthz" && draining:
		c.reply(id, "503 Service Unavailable", "", []byte("draining\n"))
	case script == "/healthz":
		c.reply(id, "200 OK", "", []byte("ok\n"))
	case !ok:
		c.reply(id, "404 Not Found", "", nil)
	case bad != "" || a.Txn == "" || a.ObjectName == "" || a.Remaining <= 0:
		c.frontend.opt.Log.Warn().Str("field", bad).Str("txn", a.Txn).Msg("request with a missing or invalid parameter; responding 400")
		c.reply(id, "400 Bad Request", "", nil)
	case reject:
		c.reply(id, "503 Service Unavailable", throttleHeader(c.frontend.opt.RetryAfter), nil)
	default:
		q.complete, q.body, q.canceled = true, nil, new(atomic.Bool)
		a.Canceled = q.canceled
		q.coreRequest = a
		c.unsubmitted = append(c.unsubmitted, q)
	}
	return nil
}

// submittingReader passes complete requests to the core before each read that may block.
type submittingReader struct {
	c  *conn
	in io.Reader
}

// Read passes the complete requests to the core, then reads.
func (r submittingReader) Read(b []byte) (int, error) {
	r.c.submitRequests(maxSubmitDelay)
	return r.in.Read(b)
}

// submitRequests passes the complete requests to the core once the bytes received after them are read, or after maxDelay ms.
// Such bytes may cancel the request, or the client may have closed the connection; either may have been unread here for as
// long as the request was, and the request would be sent to an endpoint in vain.
func (c *conn) submitRequests(maxDelay float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsubmitted) == 0 {
		return
	}
	readable, peerClosed := front.PollConn(c.net)
	if peerClosed || readable && c.frontend.opt.Clock.Now() < c.unsubmitted[0].completedAt+maxDelay {
		return // if peerClosed, the requests are canceled at the end of the connection
	}
	for _, q := range c.unsubmitted {
		if !q.canceled.Load() {
			q.queued = c.frontend.events.Push(q.coreRequest)
		}
		q.coreRequest = core.Request{}
	}
	c.unsubmitted = nil
}

// maxKeyLength is the maximum length of an idempotency key in bytes; that of the protocol's example is 32.
const maxKeyLength = 128

// isValidKey reports whether an idempotency key can be sent to an endpoint unchanged. There it is part of a list
// name=value,name=value, so the separators are rejected, and so are all characters but visible ASCII. Keys are never altered.
func isValidKey(v string) bool {
	for i := range len(v) {
		if b := v[i]; b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return v != "" && len(v) <= maxKeyLength
}

// parseETag returns an ETag without its quotes, or "" if it is not a hexadecimal number as an endpoint requires.
func parseETag(v string) string {
	v = strings.Trim(strings.TrimPrefix(v, "W/"), `"`)
	if _, err := strconv.ParseUint(v, 16, 64); err != nil {
		return ""
	}
	return v
}

// Answer sends the core's final answer to a request.
func (c *conn) Answer(tag uint64, a core.Answer) {
	id := uint16(tag)
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.open[id]
	if q == nil || q.tag != tag {
		return // canceled
	}
	defer c.updateServer()
	head := throttleHeader(a.RetryAfter)
	switch a.Verdict {
	case core.Served:
		c.reply(id, "200 OK", head, a.Body)
	case core.NotModified:
		c.reply(id, "200 OK", "X-Keep: 1\r\n", nil)
	case core.Rejected:
		c.reply(id, "503 Service Unavailable", head, nil)
	default:
		status := "502 Bad Gateway"
		switch a.Reason {
		case core.DeadlineExceeded, core.AuthorizationExpired:
			status = "504 Gateway Timeout"
		case core.UnknownClass:
			status = "404 Not Found"
		case core.MissingIdempotencyKey:
			status = "400 Bad Request"
		}
		c.reply(id, status, head, nil)
	}
}

// throttleHeader returns the header that asks a client to send no request for a time.
func throttleHeader(ms float64) string {
	if ms <= 0 {
		return ""
	}
	return "X-Throttle-Ms: " + strconv.FormatInt(max(1, int64(ms)), 10) + "\r\n"
}

// rejectPartial rejects the partial requests, as their connection is to be closed.
func (c *conn) rejectPartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateServer()
	for id, q := range c.open {
		if !q.complete && !c.writesPaused {
			c.removeRequest(id)
			c.send(appendEnd(nil, id, 0, protoOverload))
		}
	}
}

// reply queues the response to a request and removes the request.
func (c *conn) reply(id uint16, status, head string, body []byte) {
	q := c.open[id]
	c.removeRequest(id)
	text := "Status: " + status + "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n" + head + "\r\n"
	c.closeAfterWrite = c.closeAfterWrite || q != nil && !q.keepConn
	if !c.trySend(appendStdout(make([]byte, 0, len(text)+len(body)+64+len(body)/8000), id, []byte(text), body)) {
		c.frontend.opt.Log.Warn().Msg("response buffer limit reached; responding 502")
		c.send(c.overBudgetResponse(id))
	}
}

// overBudgetResponse returns the response for a request whose actual response exceeds the response budget. The status is
// 502, as the request may have been executed.
func (c *conn) overBudgetResponse(id uint16) []byte {
	text := "Status: 502 Bad Gateway\r\nContent-Length: 0\r\n" + throttleHeader(c.frontend.opt.RetryAfter) + "\r\n"
	return appendStdout(nil, id, []byte(text), nil)
}

// reserve reserves n bytes of a request in the request budget. If that is exhausted, the request is rejected and the rest of it
// is ignored: many clients that send large requests slowly must not exhaust the memory.
func (c *conn) reserve(id uint16, q *request, n int) bool {
	if c.frontend.requestBudget.TryReserve(n) {
		q.reserved += n
		return true
	}
	c.frontend.opt.Log.Warn().Msg("request buffer limit reached; request rejected")
	c.removeRequest(id)
	c.send(appendEnd(nil, id, 0, protoOverload))
	return false
}

// removeRequest removes a request and releases its bytes.
func (c *conn) removeRequest(id uint16) {
	if q := c.open[id]; q != nil {
		c.frontend.requestBudget.Release(q.reserved)
		delete(c.open, id)
		c.frontend.open.Add(-1)
	}
}

// send queues bytes for the writer. Small ones are queued even if the response budget is exhausted: other clients that do not
// read their responses must not cost a client its connection and its open requests. A client that itself leaves many
// responses unread is disconnected.
func (c *conn) send(b []byte) {
	if c.trySend(b) {
		return
	}
	if len(b) > smallResponse || c.pendingResponses >= maxUnreadResponses {
		c.frontend.opt.Log.Warn().Msg("response buffer limit reached; closing connection of slow client")
		c.closed = true
		c.net.Close()
		return
	}
	c.frontend.responseBudget.Reserve(len(b))
	c.queue(b)
}

// trySend queues bytes for the writer. It returns false if the response budget is exhausted.
func (c *conn) trySend(b []byte) bool {
	if c.closed {
		return true
	}
	if !c.frontend.responseBudget.TryReserve(len(b)) {
		return false
	}
	c.queue(b)
	return true
}

func (c *conn) queue(b []byte) {
	c.out = append(c.out, b)
	c.pendingResponses++
	c.frontend.open.Add(1)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write is the writer goroutine.
func (c *conn) write() {
	for {
		select {
		case <-c.ended:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		if c.writesPaused {
			c.mu.Unlock()
			continue // woken again at the end of the handover
		}
		out, last, nc := c.out, c.closeAfterWrite && len(c.open)+len(c.relayed) == 0, c.net
		if len(out) == 0 && !last { // woken at the end of a handover with nothing to write; updateServer would interrupt the reader again
			c.mu.Unlock()
			continue
		}
		c.out, c.writing = nil, true
		c.mu.Unlock()
		n, count := 0, len(out)
		for _, b := range out {
			n += len(b)
		}
		err := writeAll(nc, out)
		c.frontend.responseBudget.Release(n)
		c.frontend.open.Add(-int64(count))
		c.mu.Lock()
		c.writing = false
		c.pendingResponses -= count
		c.updateServer()
		c.mu.Unlock()
		if err != nil || last {
			nc.Close()
			return
		}
	}
}

// writeAll writes buffers in chunks of up to writeChunk bytes, each within writeTimeout. Small buffers are written in one call.
func writeAll(nc net.Conn, out [][]byte) (err error) {
	var next net.Buffers
	size := 0
	flush := func() {
		if err == nil && size > 0 {
			nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = next.WriteTo(nc)
		}
		next, size = nil, 0
	}
	for _, b := range out {
		for len(b) > 0 {
			n := min(len(b), writeChunk-size)
			next, size, b = append(next, b[:n]), size+n, b[n:]
			if size == writeChunk {
				flush()
			}
		}
	}
	flush()
	return err
}
