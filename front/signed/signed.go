// Package signed is the frontend for riders' phones: HTTP/1.1 with signed URLs and tokens. A request is validated once,
// after its last byte has been read. A valid request is then handled as on any frontend.
package signed

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/internal/http1"
	"turnfork.dev/turnfork/limits"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// Claims stores the claims of single-use tokens and the revocations.
type Claims interface {
	// Step applies a step to the claim of a name. ok reports whether the step was granted, and r is the claim's record
	// afterwards. After an error it is unknown whether the step was applied, unless the error is claims.ErrNotProposed.
	Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error)
	// Revoke revokes the token of a name until a time in Unix milliseconds.
	Revoke(ctx context.Context, name string, until float64) error
	// Revoked reports whether the token of a name is revoked.
	Revoked(name string) bool
	// Put replaces the value of a name in the operator's configuration.
	Put(ctx context.Context, name string, value any) error
}

// DefaultTokenSeconds is the maximum lifetime of an issued token, in seconds, where the operator sets none.
const DefaultTokenSeconds = 24 * 3600

// Class holds the properties of a class that the frontend needs.
type Class struct {
	Name     string
	Deadline float64 // ms
	FreshMs  float64 // ms that a copy stays fresh; 0: until it is purged
	Write    bool    // accepts POST only, and requires a single-use token
}

// Options configure a frontend.
type Options struct {
	Post             func(core.Event)
	Clock            *clock.Clock
	Log              zerolog.Logger
	Classes          []Class
	Ring             *ring.Ring
	Claims           Claims
	State            SharedState // for the operator's calls; nil: those that need it are rejected
	MaxClockSkew     float64     // tolerated clock skew in either direction, in ms
	Scheme           string      // of the URIs that clients see; "": http
	OperatorSecret   string      // secret of the operator's calls; "": the calls are disabled
	MaxTokenSeconds  float64     // maximum lifetime of an issued token, in s; 0: one day
	MaxConns         int         // 0: 200
	CORS             CORS
	Limits           limits.Options
	Guard            limits.GuardOptions // the zero value: limits.DefaultGuard
	RetryAfter       float64             // retry delay, in ms, for requests that a drain rejects; 0: the minimum of 1 s
	MaxResponseBytes int64               // limit of buffered responses, in bytes; 0: 24 MB
	ClaimTimeout     float64             // timeout of a claim, in ms; 0: 1000
	Tap              func(net.Conn) net.Conn
}

const (
	maxBodyBytes           = 48000            // bytes of one request's body
	requestTimeout         = 30000.0          // ms from a request's first byte until it must be complete
	readTimeout            = 5000.0           // ms without a byte of an incomplete request
	lingerTimeout          = 60 * time.Second // for a client to close the connection after the last response
	firstByteTimeout       = 12000.0          // ms until the first byte of a new connection
	idleTimeout            = 60000.0          // ms between two requests
	writeTimeout           = 5 * time.Second
	disconnectPollInterval = 20 * time.Millisecond // at which to check whether a client has disconnected whose requests are not being read
	maxPipelined           = 4                     // requests of a connection queued behind the one that is being answered
	maxTotalBodyBytes      = 8 << 20               // bytes of the bodies of unanswered requests, on all connections
	claimMargin            = 60000                 // ms that a claim is kept beyond the end of the token's single use and leeway
	outcomeTimeout         = time.Minute           // for recording the outcome of a claim; after it the claim stays as it is
	maxLogsPerSecond       = 10                    // of each kind that clients can cause
	maxPendingOutcomes     = 256                   // outcomes that are being recorded at the same time
)

// Frontend is the frontend of one listener.
type Frontend struct {
	opt            Options
	server         front.Server
	responseBudget front.Budget
	bodyBudget     front.Budget
	classes        map[string]Class
	ring           atomic.Pointer[ring.Ring]
	policy         atomic.Pointer[Policy]
	open           atomic.Int64
	events         front.EventQueue[core.Event] // events for the core
	outcomeSlots   chan struct{}
	cachedDate     atomic.Pointer[dateLine]
	guard          *limits.Guard
	limits         *limits.Limits

	samplerMu sync.Mutex
	sampler   *limits.Sampler
}

// New returns a frontend.
func New(opt Options) *Frontend {
	if opt.MaxConns <= 0 {
		opt.MaxConns = 200
	}
	if opt.MaxResponseBytes <= 0 {
		opt.MaxResponseBytes = 24 << 20
	}
	if opt.ClaimTimeout <= 0 {
		opt.ClaimTimeout = 1000
	}
	if opt.Scheme == "" {
		opt.Scheme = "http"
	}
	if opt.MaxTokenSeconds <= 0 {
		opt.MaxTokenSeconds = DefaultTokenSeconds
	}
	f := &Frontend{
		opt: opt,
		server: front.Server{
			Max: opt.MaxConns, FirstByteTimeout: firstByteTimeout, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, RequestTimeout: requestTimeout,
			Clock: opt.Clock, Log: opt.Log, Tap: opt.Tap,
		},
		responseBudget: front.Budget{Limit: opt.MaxResponseBytes}, bodyBudget: front.Budget{Limit: maxTotalBodyBytes},
		classes: map[string]Class{}, outcomeSlots: make(chan struct{}, maxPendingOutcomes),
		guard: limits.NewGuard(guardOptions(opt.Guard)), limits: limits.New(opt.Limits),
		sampler: limits.NewSampler(limits.Rate{PerSecond: maxLogsPerSecond, Burst: maxLogsPerSecond}),
	}
	f.events.Post = func(ev core.Event) { f.opt.Post(ev) }
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
	}
	f.ring.Store(opt.Ring)
	f.policy.Store(&Policy{LeewayMs: opt.MaxClockSkew, TokenSeconds: opt.MaxTokenSeconds})
	return f
}

// SetRing replaces the keys. Requests that are complete from now on are validated with them.
func (f *Frontend) SetRing(r *ring.Ring) { f.ring.Store(r) }

// Serve accepts connections until the listener closes or ctx ends, and returns once all connections have ended.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	return f.server.Serve(ctx, l, f.handle)
}

// Handle serves one connection until it ends.
func (f *Frontend) Handle(nc net.Conn) { f.server.Handle(nc, f.handle) }

// OpenRequests returns the number of requests whose response is not yet written, plus the number of claim outcomes that are not yet
// recorded.
func (f *Frontend) OpenRequests() int { return int(f.open.Load()) + len(f.outcomeSlots) }

// Drain starts draining the frontend's connections, or with on false stops draining them.
func (f *Frontend) Drain(on bool) { f.server.Drain(on) }

// Stop closes each connection once the requests read on it have been answered. Whatever arrives afterwards is rejected.
func (f *Frontend) Stop() { f.server.Stop() }

// HandOver closes each connection once no request is open on it, which is possible between any two requests here. Another
// process accepts the new connections.
func (f *Frontend) HandOver(func() (*net.UnixConn, error)) { f.server.Retire(false) }

// Conns counts the connections.
func (f *Frontend) Conns() int { return f.server.Conns() }

// SetProcessShare limits the frontend to conns connections and to its share of the memory, which is divided by the number of
// processes.
func (f *Frontend) SetProcessShare(processes, conns int) {
	f.server.SetMaxConns(conns)
	f.responseBudget.SetLimit(f.opt.MaxResponseBytes / int64(processes))
	f.bodyBudget.SetLimit(maxTotalBodyBytes / int64(processes))
}

// slot is one request's position in the order of responses.
type slot struct {
	tag            uint64
	msg            http1.Message
	receivedAt     float64 // when its last byte arrived, in clock ms
	class          Class
	claimUntil     float64         // Unix ms until which the claim of its grant must be kept
	grantExpiresAt float64         // expiry of its grant, in clock ms; computed when the request was validated
	claimName      string          // claim name of its grant; "": the grant permits no single use
	tokenHeader    string          // name of the header that carried its token
	renewable      *token.Grant    // nil: its token is not renewable
	limitSubject   *limits.Subject // names under which it is counted in the limits; nil: it is not
	owner          string          // owner of its claim; "": it is not claimed
	bookedBytes    int             // bytes of its body that are booked in the frontend's budget
	submitted      bool            // it was submitted to the core
	canceled       *atomic.Bool    // true once its client has disconnected
	done           bool
	ready          chan struct{} // closed once done
	answer         []byte        // valid once done; nil: the client has disconnected
}

type conn struct {
	frontend   *Frontend
	net        net.Conn
	serverConn *front.Conn
	queue      chan *slot
	writerDone chan struct{} // closed when the writer returns

	clientAddr netip.Addr // address of the client
	source     string     // key under which its failures are counted

	lingering  bool         // no further request is read; used by the reader only
	unanswered atomic.Int64 // complete or malformed requests whose response is not yet written

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
		m, err := http1.Read(r, maxBodyBytes, c.sendContinue)
		c.unanswered.Add(1) // before the report by setRequestDeadline: an unanswered request keeps the connection open
		c.setRequestDeadline(0)
		s := &slot{msg: m, receivedAt: c.serverConn.ArrivedAt(), ready: make(chan struct{})}
		if b, ok := http1.AsBadMessage(err); ok {
			c.frontend.guard.Failed(c.source, c.frontend.opt.Clock.Now())
			c.frontend.logSampled(c.frontend.opt.Log.Warn(), "request can't be read", func(e *zerolog.Event) {
				e.Int("status", b.Status).Str("what", b.Detail).Str("from", c.source)
			})
			s.msg.Close = true
			c.frontend.open.Add(1)
			s.finish(c.frontend.errorResponse(s, b.Status, "malformed", b.Detail, ""))
			c.enqueue(s)
			c.linger(r)
			return
		}
		if err != nil {
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
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.frontend.opt.Log.Debug().Err(err).Msg("connection ended")
	}
	c.net.Close()
	c.mu.Lock()
	c.disconnected = true
	var submitted []uint64
	for tag, s := range c.open {
		s.finish(nil)
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
		c.frontend.open.Add(-1)
		return false
	}
}

// finish sets the response of a slot, unless it has one.
func (s *slot) finish(b []byte) {
	if !s.done {
		s.done = true
		s.answer = b
		close(s.ready)
	}
}

// reply answers a request without the core.
func (c *conn) reply(s *slot, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.finish(b)
}

// write writes the responses in the order of the requests. It runs in the writer goroutine.
func (c *conn) write() {
	defer c.net.Close()
	defer func() {
		close(c.writerDone)
		for s := range c.queue { // the reader cancels open requests, which completes these slots too
			<-s.ready
			c.frontend.releaseLimits(s)
			c.frontend.bodyBudget.Release(s.bookedBytes)
			c.frontend.open.Add(-1)
		}
	}()
	for s := range c.queue {
		<-s.ready
		c.frontend.bodyBudget.Release(s.bookedBytes)
		c.frontend.releaseLimits(s)
		if s.answer != nil && !c.frontend.responseBudget.TryReserve(len(s.answer)) {
			// A client must not lose its connection because others leave too much unread, so it gets a small error response
			// beyond the budget. Each connection has only one such response at a time.
			c.frontend.opt.Log.Warn().Msg("response budget exhausted; responding 502 instead")
			s.answer = c.frontend.errorResponse(s, 502, "crowded", "too much waits to be written", "Retry-After: 1\r\n")
			c.frontend.responseBudget.Reserve(len(s.answer))
		}
		booked := len(s.answer)
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.net.Write(s.answer)
		c.frontend.responseBudget.Release(booked)
		c.frontend.open.Add(-1)
		c.unanswered.Add(-1)
		c.report(true)
		if err != nil || s.msg.Close || s.answer == nil {
			return
		}
	}
}

// handleRequest validates a request, and submits it to the core or answers it at once.
func (c *conn) handleRequest(s *slot) {
	f, m := c.frontend, &s.msg
	if strings.HasPrefix(m.Path, "/-/") || m.Path == "/healthz" {
		c.reply(s, f.withDate(f.handleManagement(m)))
		return
	}
	object, ok := parseObjectPath(m.Path)
	if !ok {
		if !token.Canonical(m.Path) {
			c.fail(s, 400, "malformed", "the path is not in canonical form", "")
		} else {
			c.fail(s, 404, "not_found", "no such path", "")
		}
		return
	}
	if m.Method == "OPTIONS" {
		if class, ok := f.classes[object.class]; ok {
			c.reply(s, f.optionsResponse(s, class))
		} else {
			c.fail(s, 404, "unknown_class", "no such class", "")
		}
		return
	}
	now, judgedAt := f.opt.Clock.Unix(), f.opt.Clock.Now()
	// Guards against clients that guess tokens: a source with too many failures is rejected before its signatures are verified.
	if ok, wait := f.guard.Check(c.source, f.opt.Clock.Now()); !ok {
		c.fail(s, 429, "too_many_failures", "too many tokens from this address were not accepted", retryHeaders(wait))
		return
	}
	grant, query, err := f.ring.Load().Verify(token.Request{
		Scheme: f.opt.Scheme, Host: m.Host, Path: m.Path, RawQuery: m.Query, Method: m.Method, Addr: c.clientAddr,
		Cookie: m.Cookie, Header: func(name string) string { return m.Header[strings.ToLower(name)] },
	}, now/1000, f.policy.Load().LeewayMs/1000)
	if err != nil {
		c.reject(s, err)
		return
	}
	if f.opt.Claims.Revoked(grant.UseKey()) {
		f.logSampled(f.opt.Log.Info(), "revoked token rejected", func(e *zerolog.Event) {
			e.Str("claim", grant.UseKey()).Str("path", m.Path).Str("from", c.source)
		})
		c.fail(s, 403, "revoked", "the token was revoked", "")
		return
	}
	class, ok := f.classes[object.class]
	if !ok {
		c.fail(s, 404, "unknown_class", "no such class", "")
		return
	}
	method, allow := "GET", "GET, HEAD, OPTIONS"
	if class.Write {
		method, allow = "POST", "POST, OPTIONS"
	}
	if m.Method != method && !(m.Method == "HEAD" && !class.Write) {
		c.fail(s, 405, "method", "this class takes "+method, "Allow: "+allow+"\r\n")
		return
	}
	needsClaim := class.Write || grant.MaxUses == 1
	if leeway := f.policy.Load().LeewayMs; needsClaim && now > grant.SingleUseEnd()*1000+leeway {
		c.fail(s, 403, "expired", "the token has been renewed for too long to be used once; a new one is needed", "")
		return
	}
	request, err := object.request(query, m)
	if err != nil {
		c.fail(s, 400, "malformed", err.Error(), "")
		return
	}
	if _, rejecting := f.server.Draining(); rejecting {
		c.fail(s, 503, "draining", "this gateway is being emptied", retryHeaders(f.opt.RetryAfter))
		return
	}
	request.Frontend, request.ReceivedAt, request.Remaining, request.Body = c, s.receivedAt, timeLeft(request.Remaining, class), m.Body
	if f.opt.Clock.Now() >= request.ReceivedAt+request.Remaining {
		c.fail(s, 504, "deadline", "no answer in time; trying again is harmless", retryHeaders(0))
		return
	}
	if !c.enterLimits(s, &grant) {
		return
	}
	if !f.bodyBudget.TryReserve(len(m.Body)) {
		c.fail(s, 503, "crowded", "too many bytes of requests in hand", "Retry-After: 1\r\n")
		return
	}
	s.bookedBytes = len(m.Body)
	s.class, s.tokenHeader = class, grant.VaryHeader
	s.claimUntil = grant.SingleUseEnd()*1000 + 2*f.policy.Load().LeewayMs + claimMargin
	s.grantExpiresAt = judgedAt + grant.Expires*1000 - now
	if !grant.NoSingleUse {
		s.claimName = grant.UseKey()
	}
	if grant.Renewal.Seconds > 0 {
		renewable := grant
		s.renewable = &renewable
	}
	// The token was validated above, once; this only prevents attempts that start after its expiry. The time left is a
	// duration, so a step of the wall clock meanwhile neither shortens nor extends it.
	request.AuthorizedUntil = s.grantExpiresAt + f.policy.Load().LeewayMs
	c.mu.Lock()
	c.lastTag++
	s.tag, s.canceled = c.lastTag, new(atomic.Bool)
	request.RequestTag, request.Canceled = s.tag, s.canceled
	c.open[s.tag] = s
	c.mu.Unlock()
	if !needsClaim {
		c.submit(s, request)
		return
	}
	// The claim is made in another goroutine, so that the reader can detect a client that disconnects meanwhile.
	request.ReportAfterCancel = true
	f.open.Add(1) // a shutdown also waits for the claim
	go func() {
		defer f.open.Add(-1)
		if c.claim(s, request.ReceivedAt+request.Remaining-f.opt.Clock.Now()) {
			c.submit(s, request)
			return
		}
		c.mu.Lock()
		delete(c.open, s.tag)
		c.mu.Unlock()
	}()
}

// timeLeft returns for how many ms from its request's last byte a client waits: as long as it requested, at most the class's
// deadline.
func timeLeft(requested float64, class Class) float64 {
	if requested <= 0 {
		return class.Deadline
	}
	return min(class.Deadline, requested)
}

// submit passes a request to the core. If the client has disconnected meanwhile, even if its close follows bytes that are not
// read yet, the request's claim is released instead.
func (c *conn) submit(s *slot, request core.Request) {
	disconnected := front.PeerClosed(c.net)
	c.mu.Lock()
	s.submitted = !c.disconnected && !disconnected
	if !s.submitted {
		delete(c.open, s.tag)
		s.finish(nil)
	}
	owner, submitted := s.owner, s.submitted
	c.mu.Unlock()
	if submitted {
		c.frontend.events.Push(request)
	} else if owner != "" {
		c.frontend.recordOutcome(s.claimName, claims.Step{Op: claims.Release, Owner: owner})
	}
}

// claim marks a request's token as used, before the request is sent. If the replicated store gives no result, the request is
// not sent: the token may be claimed by another, so the client has to retry.
func (c *conn) claim(s *slot, remaining float64) bool {
	f := c.frontend
	if s.claimName == "" {
		c.fail(s, 403, "bad_claim", "this class needs a token of a single use, with a jti", "")
		return false
	}
	c.mu.Lock()
	s.owner = rand.Text()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(min(remaining, f.opt.ClaimTimeout)))
	defer cancel()
	for _, step := range []claims.Step{{Op: claims.Hold, Owner: s.owner, Until: s.claimUntil}, {Op: claims.Send, Owner: s.owner}} {
		r, ok, err := f.opt.Claims.Step(ctx, s.claimName, step)
		if err != nil {
			f.opt.Log.Warn().Err(err).Str("step", string(step.Op)).Msg("single-use token could not be claimed")
			if !errors.Is(err, claims.ErrNotProposed) {
				f.recordOutcome(s.claimName, claims.Step{Op: claims.Release, Owner: s.owner}) // nothing was sent, whether or not the step was applied
			}
			c.fail(s, 503, "no_quorum", "the token can't be checked at present", "Retry-After: 1\r\n")
			return false
		}
		if !ok {
			f.logSampled(f.opt.Log.Info(), "single-use token rejected", func(e *zerolog.Event) {
				e.Str("claim", s.claimName).Str("stage", claimHeader(r)).Str("path", s.msg.Path)
			})
		}
		if !ok && r.Pending(f.opt.Clock.Unix(), s.class.Deadline) {
			c.fail(s, 503, "claim_pending", "the token is in use; ask again for what became of it", "Retry-After: 1\r\nX-Claim: sent\r\n")
			return false
		}
		if !ok {
			c.fail(s, 403, "replayed", replayDetail(r), "X-Claim: "+claimHeader(r)+"\r\n")
			return false
		}
	}
	f.logSampled(f.opt.Log.Info(), "single-use token claimed", func(e *zerolog.Event) {
		e.Str("claim", s.claimName).Str("path", s.msg.Path)
	})
	return true
}

// Answer receives the core's final answer to a request.
func (c *conn) Answer(tag uint64, a core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[tag]
	if s == nil {
		return // canceled
	}
	delete(c.open, tag)
	if s.owner != "" { // before the response, so that OpenRequests does not return 0 in between
		c.frontend.recordOutcome(s.claimName, outcomeStep(s, a))
	}
	if !s.done {
		s.finish(c.frontend.buildResponse(s, a))
	}
}

// buildResponse maps a final answer to a response.
func (f *Frontend) buildResponse(s *slot, a core.Answer) []byte {
	head := ""
	if a.ETag != "" {
		head = "ETag: \"" + a.ETag + "\"\r\n"
	}
	if s.renewable != nil && (a.Verdict == core.Served || a.Verdict == core.NotModified) {
		head += f.renewalHeader(s)
	}
	switch a.Verdict {
	case core.Served:
		return f.buildRepresentation(s, a, head)
	case core.NotModified:
		return http1.EncodeResponse(304, "", head+f.commonHeaders(s, a), 0, nil, s.msg.Close)
	case core.Rejected:
		head := retryHeaders(a.RetryAfter)
		if a.Reason == core.DeadlineExceeded {
			return f.errorResponse(s, 504, "deadline", "no answer in time; trying again is harmless", head)
		}
		return f.errorResponse(s, 503, "refused", "not now; trying again is harmless", head)
	}
	switch a.Reason {
	case core.UnknownClass:
		return f.errorResponse(s, 404, "unknown_class", "no such class", "")
	case core.DeadlineExceeded:
		return f.errorResponse(s, 504, "deadline", "no answer in time", "")
	case core.AuthorizationExpired:
		return f.errorResponse(s, 403, "expired", "the token expired before the request could be sent on", "")
	}
	return f.errorResponse(s, 502, "upstream_failed", "the store failed", "")
}

// renewalHeader returns the header with the successor of a request's token, or "" if the token is not renewed.
func (f *Frontend) renewalHeader(s *slot) string {
	next, now := &s.renewable.Renewal, f.opt.Clock.Unix()/1000
	// Guards against a token that outlives its revocation, which is kept for the maximum lifetime of a token.
	if float64(next.Seconds) > f.policy.Load().TokenSeconds || !s.renewable.NeedsRenewal(now) {
		return ""
	}
	name, text, err := f.ring.Load().Renew(s.renewable, now)
	if err != nil {
		return ""
	}
	f.opt.Log.Debug().Str("claim", s.renewable.UseKey()).Int("seconds", next.Seconds).Msg("token renewed")
	if next.Header {
		return name + ": " + text + "\r\n"
	}
	return "Set-Cookie: " + name + "=" + text + "; Path=" + cookiePath(s.msg.Path, next.CookiePathDepth) +
		"; Max-Age=" + strconv.Itoa(next.Seconds) + "; HttpOnly\r\n"
}

// retryHeaders returns the headers that state after how long a client should retry, in whole seconds and in ms.
func retryHeaders(ms float64) string {
	head := "Retry-After: " + strconv.Itoa(max(1, int((ms+999)/1000))) + "\r\n"
	if ms > 0 {
		head += "X-Throttle-Ms: " + strconv.Itoa(max(1, int(ms))) + "\r\n"
	}
	return head
}

// cookiePath returns the first depth segments of a path, as the claim cdnistd defines it; with depth 0 it returns "/".
func cookiePath(path string, depth int) string {
	at := 0
	for ; depth > 0; depth-- {
		next := strings.IndexByte(path[at+1:], '/')
		if next < 0 {
			break
		}
		at += 1 + next
	}
	if at == 0 {
		return "/"
	}
	return path[:at]
}

// rejectionResponse returns the contents of the response to a rejected token.
func rejectionResponse(err error) (status int, code, text, head string) {
	reason := token.ReasonOf(err)
	code, text = string(reason), strings.TrimPrefix(err.Error(), "token: ")
	switch reason {
	case token.Missing:
		return 401, code, text, "WWW-Authenticate: URISigning realm=\"turnfork\"\r\n"
	case token.Malformed:
		return 400, code, text, ""
	}
	return 403, code, text, ""
}
