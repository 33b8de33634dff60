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
	Post       func(core.Event) // passes an event to the core
	Clock      *clock.Clock
	Log        zerolog.Logger
	MaxConns   int                          // simultaneous connections; 0: 300
	MaxBytes   int64                        // bytes of responses queued for writing, over all connections; 0: 48 MB
	RetryAfter float64                      // X-Throttle-Ms of responses that a drain or overload rejects; 0: no header
	MaxTaken   int64                        // bytes of parameters and bodies of open requests, over all connections; 0: 16 MB
	Tap        func(conn net.Conn) net.Conn // wraps each connection, for recording; nil: none
}

const (
	writeLimit = 3 * time.Second // for each chunk; after that the connection is closed
	writePiece = 64 << 10        // bytes; each chunk has its own timeout, as a client may read slowly
	firstMost  = 2500.0          // ms within which a new connection must send its first byte
	stallMost  = 2000.0          // ms without a new byte after which a partial request times out
	wholeMost  = 8000.0          // ms within which any request must be complete, even if its bytes keep arriving
	idleMost   = 4500.0          // ms; clients close idle connections after 4 s

	smallAnswer = 1 << 10            // bytes; up to this size a response is queued even if the response budget is exhausted
	unreadMost  = 4 * requestsAtOnce // responses that one client may leave unread while the response budget is exhausted

	maxReadAhead = 10.0 // ms for which a complete request is held back until the bytes received after it are read
)

// Front accepts FastCGI connections at one listener.
type Front struct {
	opt       Options
	server    front.Server
	budget    front.Budget              // for responses queued for writing
	intake    front.Budget              // for parameters and bodies of open requests
	box       front.Mailbox[core.Event] // to the core
	successor atomic.Pointer[func() (*net.UnixConn, error)]
	open      atomic.Int64 // unanswered requests plus unwritten responses
}

// New returns a frontend that passes its requests to opt.Post.
func New(opt Options) *Front {
	if opt.MaxConns <= 0 {
		opt.MaxConns = 300
	}
	if opt.MaxBytes <= 0 {
		opt.MaxBytes = 48 << 20
	}
	if opt.MaxTaken <= 0 {
		opt.MaxTaken = 16 << 20
	}
	return &Front{
		opt: opt,
		server: front.Server{
			Max: opt.MaxConns, FirstByteTimeout: firstMost, IdleTimeout: idleMost, ReadTimeout: stallMost, RequestTimeout: wholeMost,
			Clock: opt.Clock, Log: opt.Log, Tap: opt.Tap,
		},
		budget: front.Budget{Most: opt.MaxBytes}, intake: front.Budget{Most: opt.MaxTaken},
		box: front.Mailbox[core.Event]{Post: opt.Post},
	}
}

// Serve accepts connections until the listener is closed or ctx is done, and returns once all its connections have ended.
// When ctx is done, they are closed at once.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return f.server.Serve(ctx, l, f.handle)
}

// Handle serves one connection until it ends.
func (f *Front) Handle(nc net.Conn) { f.server.Handle(nc, f.handle) }

// Open returns the number of requests that are not answered or whose response is not yet written.
func (f *Front) Open() int { return int(f.open.Load()) }

// Drain starts a drain, in which the frontend closes its connections, or with on false ends it.
func (f *Front) Drain(on bool) { f.server.Drain(on) }

// Stop closes each connection once the requests that were read from it are answered, and rejects new requests.
func (f *Front) Stop() { f.server.Stop() }

// HandOver hands the connections over to the process that successor dials. A connection whose handover fails is closed once
// no request is open on it, and so are all of them if successor is nil.
func (f *Front) HandOver(successor func() (*net.UnixConn, error)) {
	if successor != nil {
		f.successor.Store(&successor)
	}
	f.server.Leave(successor != nil)
}

// Conns returns the number of open connections.
func (f *Front) Conns() int { return f.server.Conns() }

// SetProcessShare divides the limits on buffered bytes by the number of processes that share the memory, and sets the
// connection limit.
func (f *Front) SetProcessShare(processes, conns int) {
	f.server.Limit(conns)
	f.budget.Limit(f.opt.MaxBytes / int64(processes))
	f.intake.Limit(f.opt.MaxTaken / int64(processes))
}

func (f *Front) handle(nc net.Conn, serverConn *front.Conn) { f.serve(nc, serverConn, nil) }

// serve serves a connection. state is that of a connection that was handed over, else nil.
func (f *Front) serve(nc net.Conn, serverConn *front.Conn, state *estate) {
	c := &conn{
		front: f, net: nc, place: serverConn, open: map[uint16]*request{}, wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	serverConn.OnShedPartial(c.yield) // before the first Update
	serverConn.CloseWhenIdle()
	serverConn.OnHandOver(c.interrupt)
	in := serverConn.CountReads(nc)
	var g errgroup.Group
	if state != nil {
		c.elder, c.theirs, c.asked = state.elder, state.theirs, true
		f.open.Add(int64(len(c.theirs)))
		in = io.MultiReader(bytes.NewReader(state.begun), in)
		c.mu.Lock()
		c.report()
		c.mu.Unlock()
		g.Go(func() error { c.relay(); return nil })
	}
	g.Go(func() error { c.write(); return nil })
	c.read(readAhead{c, in})
	g.Wait()
}

// request is an open request: it is being received or waits for its response.
type request struct {
	params []byte
	body   []byte
	ready  bool          // the parameters are complete
	asked  bool          // the request is complete and not answered by the frontend itself
	over   *atomic.Bool  // set if asked; true once the client has canceled the request
	way    *list.Element // its element in the queue to the core; nil: not put there yet
	ask    core.Request  // until it is put into that queue
	keep   bool          // FCGI_KEEP_CONN
	held   int           // bytes reserved in the frontend's request budget
	tag    uint64
	begun  float64 // time of BEGIN_REQUEST
	taken  float64 // when it was read completely
}

type conn struct {
	front *Front
	net   net.Conn // the client; after a handover, the process that took the connection over
	place *front.Conn
	ended chan struct{} // closed when the reader ends

	mu      sync.Mutex
	open    map[uint16]*request
	tags    uint64 // number of tags assigned
	out     [][]byte
	pending int        // responses queued and not yet written
	whole   []*request // complete, in order of arrival; not yet put into the queue to the core
	asked   bool       // a complete request was received
	closing bool       // close the connection once all responses are written
	dead    bool       // the connection is closed
	writing bool       // a write is in progress
	held    bool       // the writer starts no write, as the connection is being handed over
	wake    chan struct{}

	elder  net.Conn        // the process that handed the connection over and still answers the requests in theirs
	theirs map[uint16]bool // by request id; true: part of the response was sent
}

// read is the reader goroutine.
func (c *conn) read(in io.Reader) {
	defer c.end()
	buffered := bufio.NewReaderSize(in, 4<<10)
	r := &records{r: buffered}
	for {
		rec, err := r.next()
		if err == nil {
			err = c.take(rec)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // read deadlines are only set to interrupt the reader
			c.handOn(0)
			next, handedOver := c.pass(r, buffered)
			if handedOver {
				buffered = bufio.NewReaderSize(next, 4<<10) // the new process continues the partial record
				r = &records{r: buffered}
			} else if buffered.Buffered() == 0 && c.shouldClose(r.idle()) {
				return
			}
			continue
		}
		if err != nil {
			if errors.Is(err, errRecord) {
				c.front.opt.Log.Warn().Err(err).Stringer("from", c.place.RemoteAddr()).Msg("malformed FastCGI record; closing connection")
			} else if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				c.front.opt.Log.Debug().Err(err).Msg("connection ended")
			}
			return
		}
	}
}

// shouldClose reports whether the reader must close the connection. atBoundary is false if it holds part of a record.
func (c *conn) shouldClose(atBoundary bool) bool {
	if atBoundary {
		return c.place.ShouldClose()
	}
	return c.place.ShouldClosePartial()
}

// end closes the connection and cancels its open requests.
func (c *conn) end() {
	f := c.front
	c.mu.Lock()
	c.dead = true
	c.net.Close()
	if c.elder != nil {
		c.elder.Close()
	}
	f.open.Add(-int64(len(c.theirs)))
	c.theirs = nil
	for _, q := range c.open {
		f.intake.Give(q.held)
		c.withdraw(q)
	}
	f.open.Add(-int64(len(c.open) + len(c.out)))
	c.open = map[uint16]*request{}
	for _, b := range c.out {
		f.budget.Give(len(b))
	}
	c.out = nil
	c.mu.Unlock()
	close(c.ended)
}

// withdraw marks a request as canceled by its client. From then on it is not sent to an endpoint, wherever it is queued.
func (c *conn) withdraw(q *request) {
	if !q.asked {
		return
	}
	q.over.Store(true)
	if q.way != nil && !c.front.box.Take(q.way) {
		c.front.box.Put(core.CancelRequest{Frontend: c, RequestTag: q.tag})
	}
}

// take handles one record.
func (c *conn) take(rec record) error {
	if rec.id == 0 {
		return c.manage(rec)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.report()
	q := c.open[rec.id]
	switch rec.kind {
	case typeBegin:
		if len(rec.data) < 8 {
			return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errRecord, len(rec.data))
		}
		_, atOldProcess := c.theirs[rec.id]
		role, keep := uint16(rec.data[0])<<8|uint16(rec.data[1]), rec.data[2]&flagKeepConn != 0
		switch {
		case q != nil || atOldProcess:
			return fmt.Errorf("%w: second BEGIN_REQUEST for open request %d", errRecord, rec.id)
		case role != roleResponder:
			c.send(appendEnd(nil, rec.id, 0, protoRole))
		case len(c.open)+len(c.theirs) >= requestsAtOnce:
			c.send(appendEnd(nil, rec.id, 0, protoOverload))
		default:
			c.tags++
			c.open[rec.id] = &request{keep: keep, tag: c.tags<<16 | uint64(rec.id), begun: c.front.opt.Clock.Now()}
			c.front.open.Add(1)
		}
	case typeAbort:
		if _, atOldProcess := c.theirs[rec.id]; atOldProcess {
			c.elder.SetWriteDeadline(time.Now().Add(abortMost))
			c.elder.Write(appendRecord(nil, typeAbort, rec.id, nil))
		}
		if q != nil {
			c.forget(rec.id)
			c.withdraw(q)
			c.send(appendEnd(nil, rec.id, 1, protoComplete))
		}
	case typeParams:
		switch {
		case q == nil || q.ready: // the request has ended or was rejected
		case len(rec.data) == 0:
			q.ready = true
		case len(q.params)+len(rec.data) > paramsMost:
			return fmt.Errorf("%w: parameters of more than %d bytes", errRecord, paramsMost)
		case !c.hold(rec.id, q, len(rec.data)):
		default:
			q.params = append(q.params, rec.data...)
		}
	case typeStdin:
		switch {
		case q == nil || q.asked:
		case len(rec.data) == 0:
			if !q.ready {
				return fmt.Errorf("%w: end of STDIN before the end of PARAMS", errRecord)
			}
			return c.ask(rec.id, q)
		case len(q.body)+len(rec.data) > bodyMost:
			return fmt.Errorf("%w: a body of more than %d bytes", errRecord, bodyMost)
		case !c.hold(rec.id, q, len(rec.data)):
		default:
			q.body = append(q.body, rec.data...)
		}
	case typeData:
	default:
		return fmt.Errorf("%w: unexpected type %d", errRecord, rec.kind)
	}
	return nil
}

// report updates the server's state of the connection. A response that is not yet written counts as an open request, so that
// the connection does not count as idle and get closed before it is written.
func (c *conn) report() {
	deadline, partial := 0.0, 0
	for _, q := range c.open {
		if q.asked {
			continue
		}
		partial++
		if deadline == 0 || q.begun+wholeMost < deadline {
			deadline = q.begun + wholeMost
		}
	}
	c.place.Update(len(c.open)-partial+len(c.theirs)+c.pending, c.asked, deadline)
}

// manage responds to a management record.
func (c *conn) manage(rec record) error {
	if rec.kind != typeGetValues {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.send(appendRecord(nil, typeUnknown, 0, []byte{rec.kind, 0, 0, 0, 0, 0, 0, 0}))
		return nil
	}
	var b []byte
	err := pairs(rec.data, func(name, _ string) {
		switch name {
		case "FCGI_MAX_CONNS":
			b = appendPair(b, name, strconv.Itoa(c.front.opt.MaxConns))
		case "FCGI_MAX_REQS":
			b = appendPair(b, name, strconv.Itoa(c.front.opt.MaxConns*requestsAtOnce))
		case "FCGI_MPXS_CONNS":
			b = appendPair(b, name, "1")
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send(appendRecord(nil, typeValues, 0, b))
	return err
}

// ask parses a complete request. It answers the request itself or adds it to those for the core. The caller holds mu.
func (c *conn) ask(id uint16, q *request) error {
	q.taken = c.front.opt.Clock.Now()
	a := core.Request{Frontend: c, RequestTag: q.tag, ReceivedAt: min(c.place.Arrived(), q.taken), Body: q.body}
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
	err := pairs(q.params, func(name, value string) {
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
			a.Name = value
		case "HTTP_X_BLOCK":
			a.Part = uint32(number(name, value, 32, 10))
		case "HTTP_X_FAMILY":
			a.Group = uint16(number(name, value, 16, 10))
		case "HTTP_X_WORKING_SET_KB":
			a.SizeKB = float(name, value)
		case "HTTP_X_CACHED":
			a.ClientETag = cleanTag(value)
		case "HTTP_X_SECOND_TRY":
			a.Retry = value == "1"
		case "HTTP_X_TXN_KEY":
			if a.IdempotencyKey = value; !isKey(value) && bad == "" {
				bad = fmt.Sprintf("%s: %.40q", name, value)
			}
		}
	})
	q.params = nil
	if err != nil {
		return err
	}
	c.asked = true
	var ok bool
	a.Class, ok = strings.CutPrefix(script, "/v1/")
	draining, reject := c.front.server.Draining()
	switch {
	case script == "/healthz" && draining:
		c.reply(id, "503 Service Unavailable", "", []byte("draining\n"))
	case script == "/healthz":
		c.reply(id, "200 OK", "", []byte("ok\n"))
	case !ok:
		c.reply(id, "404 Not Found", "", nil)
	case bad != "" || a.Txn == "" || a.Name == "" || a.Remaining <= 0:
		c.front.opt.Log.Warn().Str("field", bad).Str("txn", a.Txn).Msg("request with a missing or invalid parameter; responding 400")
		c.reply(id, "400 Bad Request", "", nil)
	case reject:
		c.reply(id, "503 Service Unavailable", throttle(c.front.opt.RetryAfter), nil)
	default:
		q.asked, q.body, q.over = true, nil, new(atomic.Bool)
		a.Canceled = q.over
		q.ask = a
		c.whole = append(c.whole, q)
	}
	return nil
}

// readAhead passes complete requests to the core before each read that may block.
type readAhead struct {
	c  *conn
	in io.Reader
}

// Read passes the complete requests to the core, then reads.
func (r readAhead) Read(b []byte) (int, error) {
	r.c.handOn(maxReadAhead)
	return r.in.Read(b)
}

// handOn passes the complete requests to the core once the bytes received after them are read, or after maxDelay ms. Such
// bytes may cancel the request, or the client may have closed the connection; either may have been unread here for as long as
// the request was, and the request would be sent to an endpoint in vain.
func (c *conn) handOn(maxDelay float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.whole) == 0 {
		return
	}
	readable, hungUp := front.Pending(c.net)
	if hungUp || readable && c.front.opt.Clock.Now() < c.whole[0].taken+maxDelay {
		return // if hungUp, the requests are canceled at the end of the connection
	}
	for _, q := range c.whole {
		if !q.over.Load() {
			q.way = c.front.box.Put(q.ask)
		}
		q.ask = core.Request{}
	}
	c.whole = nil
}

// keyMost is the maximum length of an idempotency key in bytes; that of the protocol's example is 32.
const keyMost = 128

// isKey reports whether an idempotency key can be sent to an endpoint unchanged. There it is part of a list
// name=value,name=value, so the separators are rejected, and so are all characters but visible ASCII. Keys are never altered.
func isKey(v string) bool {
	for i := range len(v) {
		if b := v[i]; b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return v != "" && len(v) <= keyMost
}

// cleanTag returns an ETag without its quotes, or "" if it is not a hexadecimal number as an endpoint requires.
func cleanTag(v string) string {
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
	defer c.report()
	head := throttle(a.RetryAfter)
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

// throttle returns the header that asks a client to send no request for a time.
func throttle(ms float64) string {
	if ms <= 0 {
		return ""
	}
	return "X-Throttle-Ms: " + strconv.FormatInt(max(1, int64(ms)), 10) + "\r\n"
}

// yield rejects the partial requests, as their connection is to be closed.
func (c *conn) yield() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.report()
	for id, q := range c.open {
		if !q.asked && !c.held {
			c.forget(id)
			c.send(appendEnd(nil, id, 0, protoOverload))
		}
	}
}

// reply queues the response to a request and removes the request.
func (c *conn) reply(id uint16, status, head string, body []byte) {
	q := c.open[id]
	c.forget(id)
	text := "Status: " + status + "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n" + head + "\r\n"
	c.closing = c.closing || q != nil && !q.keep
	if !c.trySend(appendStdout(make([]byte, 0, len(text)+len(body)+64+len(body)/8000), id, []byte(text), body)) {
		c.front.opt.Log.Warn().Msg("response budget exhausted; responding 502 instead")
		c.send(c.crowded(id))
	}
}

// crowded returns the response for a request whose actual response exceeds the response budget. The status is 502, as the
// request may have been executed.
func (c *conn) crowded(id uint16) []byte {
	text := "Status: 502 Bad Gateway\r\nContent-Length: 0\r\n" + throttle(c.front.opt.RetryAfter) + "\r\n"
	return appendStdout(nil, id, []byte(text), nil)
}

// hold reserves n bytes of a request in the request budget. If that is exhausted, the request is rejected and the rest of it
// is ignored: many clients that send large requests slowly must not exhaust the memory.
func (c *conn) hold(id uint16, q *request, n int) bool {
	if c.front.intake.Take(n) {
		q.held += n
		return true
	}
	c.front.opt.Log.Warn().Msg("request budget exhausted; request rejected")
	c.forget(id)
	c.send(appendEnd(nil, id, 0, protoOverload))
	return false
}

// forget removes a request and releases its bytes.
func (c *conn) forget(id uint16) {
	if q := c.open[id]; q != nil {
		c.front.intake.Give(q.held)
		delete(c.open, id)
		c.front.open.Add(-1)
	}
}

// send queues bytes for the writer. Small ones are queued even if the response budget is exhausted: other clients that do not
// read their responses must not cost a client its connection and its open requests. A client that itself leaves many
// responses unread is disconnected.
func (c *conn) send(b []byte) {
	if c.trySend(b) {
		return
	}
	if len(b) > smallAnswer || c.pending >= unreadMost {
		c.front.opt.Log.Warn().Msg("response budget exhausted; closing connection of slow client")
		c.dead = true
		c.net.Close()
		return
	}
	c.front.budget.TakeAnyway(len(b))
	c.queue(b)
}

// trySend queues bytes for the writer. It returns false if the response budget is exhausted.
func (c *conn) trySend(b []byte) bool {
	if c.dead {
		return true
	}
	if !c.front.budget.Take(len(b)) {
		return false
	}
	c.queue(b)
	return true
}

func (c *conn) queue(b []byte) {
	c.out = append(c.out, b)
	c.pending++
	c.front.open.Add(1)
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
		if c.held {
			c.mu.Unlock()
			continue // woken again at the end of the handover
		}
		out, last, nc := c.out, c.closing && len(c.open)+len(c.theirs) == 0, c.net
		if len(out) == 0 && !last { // woken at the end of a handover with nothing to write; report would interrupt the reader again
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
		c.front.budget.Give(n)
		c.front.open.Add(-int64(count))
		c.mu.Lock()
		c.writing = false
		c.pending -= count
		c.report()
		c.mu.Unlock()
		if err != nil || last {
			nc.Close()
			return
		}
	}
}

// writeAll writes buffers in chunks of up to writePiece bytes, each within writeLimit. Small buffers are written in one call.
func writeAll(nc net.Conn, out [][]byte) (err error) {
	var next net.Buffers
	size := 0
	flush := func() {
		if err == nil && size > 0 {
			nc.SetWriteDeadline(time.Now().Add(writeLimit))
			_, err = next.WriteTo(nc)
		}
		next, size = nil, 0
	}
	for _, b := range out {
		for len(b) > 0 {
			n := min(len(b), writePiece-size)
			next, size, b = append(next, b[:n]), size+n, b[n:]
			if size == writePiece {
				flush()
			}
		}
	}
	flush()
	return err
}
