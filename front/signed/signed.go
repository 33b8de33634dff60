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
	Fresh    float64 // ms that a copy stays fresh; 0: until it is purged
	Write    bool    // accepts POST only, and requires a single-use token
}

// Options configure a frontend.
type Options struct {
	Post       func(core.Event)
	Clock      *clock.Clock
	Log        zerolog.Logger
	Classes    []Class
	Ring       *ring.Ring
	Claims     Claims
	State      SharedState // for the operator's calls; nil: those that need it are rejected
	Leeway     float64     // tolerated clock skew in either direction, in ms
	Scheme     string      // of the URIs that clients see; "": http
	Operator   string      // secret of the operator's calls; "": the calls are disabled
	TokenMost  float64     // maximum lifetime of an issued token, in s; 0: one day
	MaxConns   int         // 0: 200
	CORS       CORS
	Limits     limits.Options
	Guard      limits.GuardOptions // the zero value: limits.DefaultGuard
	RetryAfter float64             // retry delay, in ms, for requests that a drain rejects; 0: the minimum of 1 s
	MaxBytes   int64               // limit of buffered responses, in bytes; 0: 24 MB
	ClaimMost  float64             // timeout of a claim, in ms; 0: 1000
	Tap        func(net.Conn) net.Conn
}

const (
	bodyMost     = 48000            // bytes of one request's body
	wholeMost    = 30000.0          // ms from a request's first byte until it must be complete
	stallMost    = 5000.0           // ms without a byte of an incomplete request
	lingerMost   = 60 * time.Second // for a client to close the connection after the last response
	firstMost    = 12000.0          // ms until the first byte of a new connection
	idleMost     = 60000.0          // ms between two requests
	writeLimit   = 5 * time.Second
	hungUpLook   = 20 * time.Millisecond // for disconnects of clients whose requests are not being read
	pipelineMost = 4                     // requests of a connection queued behind the one that is being answered
	intakeMost   = 8 << 20               // bytes of the bodies of unanswered requests, on all connections
	claimMargin  = 60000                 // ms that a claim is kept beyond the token's expiry and leeway
	settleMost   = time.Minute           // for recording the outcome of a claim; after it the claim stays as it is
	logsMost     = 10                    // of each kind that clients can cause
	releases     = 256                   // outcomes that are being recorded at the same time
)

// Front is the frontend of one listener.
type Front struct {
	opt     Options
	server  front.Server
	budget  front.Budget
	intake  front.Budget
	classes map[string]Class
	ring    atomic.Pointer[ring.Ring]
	policy  atomic.Pointer[Policy]
	open    atomic.Int64
	box     front.Mailbox[core.Event] // events for the core
	release chan struct{}
	dates   atomic.Pointer[dateText]
	guard   *limits.Guard
	limits  *limits.Limits

	sampling sync.Mutex
	sampler  *limits.Sampler
}

// New returns a frontend.
func New(opt Options) *Front {
	if opt.MaxConns <= 0 {
		opt.MaxConns = 200
	}
	if opt.MaxBytes <= 0 {
		opt.MaxBytes = 24 << 20
	}
	if opt.ClaimMost <= 0 {
		opt.ClaimMost = 1000
	}
	if opt.Scheme == "" {
		opt.Scheme = "http"
	}
	if opt.TokenMost <= 0 {
		opt.TokenMost = DefaultTokenSeconds
	}
	f := &Front{
		opt: opt,
		server: front.Server{
			Max: opt.MaxConns, FirstByteTimeout: firstMost, IdleTimeout: idleMost, ReadTimeout: stallMost, RequestTimeout: wholeMost,
			Clock: opt.Clock, Log: opt.Log, Tap: opt.Tap,
		},
		budget: front.Budget{Most: opt.MaxBytes}, intake: front.Budget{Most: intakeMost}, classes: map[string]Class{}, release: make(chan struct{}, releases),
		guard: limits.NewGuard(guardOf(opt.Guard)), limits: limits.New(opt.Limits), sampler: limits.NewSampler(limits.Rate{PerSecond: logsMost, Burst: logsMost}),
	}
	f.box.Post = func(ev core.Event) { f.opt.Post(ev) }
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
	}
	f.ring.Store(opt.Ring)
	f.policy.Store(&Policy{LeewayMs: opt.Leeway, TokenSeconds: opt.TokenMost})
	return f
}

// SetRing replaces the keys. Requests that are complete from now on are validated with them.
func (f *Front) SetRing(r *ring.Ring) { f.ring.Store(r) }

// Serve accepts connections until the listener closes or ctx ends, and returns once all connections have ended.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return f.server.Serve(ctx, l, f.handle)
}

// Handle serves one connection until it ends.
func (f *Front) Handle(nc net.Conn) { f.server.Handle(nc, f.handle) }

// Open returns the number of requests whose response is not yet written, plus the number of claim outcomes that are not yet
// recorded.
func (f *Front) Open() int { return int(f.open.Load()) + len(f.release) }

// Drain starts draining the frontend's connections, or with on false stops draining them.
func (f *Front) Drain(on bool) { f.server.Drain(on) }

// Stop closes each connection once the requests read on it have been answered. Whatever arrives afterwards is rejected.
func (f *Front) Stop() { f.server.Stop() }

// HandOver closes each connection once no request is open on it, which is possible between any two requests here. Another
// process accepts the new connections.
func (f *Front) HandOver(func() (*net.UnixConn, error)) { f.server.Leave(false) }

// Conns counts the connections.
func (f *Front) Conns() int { return f.server.Conns() }

// SetProcessShare limits the frontend to conns connections and to its share of the memory, which is divided by the number of
// processes.
func (f *Front) SetProcessShare(processes, conns int) {
	f.server.Limit(conns)
	f.budget.Limit(f.opt.MaxBytes / int64(processes))
	f.intake.Limit(intakeMost / int64(processes))
}

// slot is one request's position in the order of responses.
type slot struct {
	tag    uint64
	msg    http1.Message
	came   float64 // when its last byte arrived, in clock ms
	class  Class
	until  float64      // expiry of its grant, in Unix seconds
	endsAt float64      // the same in clock ms, computed when the request was validated
	use    string       // claim name of its grant; "": the grant has no ID
	vary   string       // name of the header that carried its token
	renews *token.Grant // nil: its token is not renewable
	who    *limits.Who  // names under which it is counted in the limits; nil: it is not
	owner  string       // owner of its claim; "": it is not claimed
	held   int          // bytes of its body that are booked in the frontend's budget
	asked  bool         // it was submitted to the core
	over   *atomic.Bool // true once its client has disconnected
	done   bool
	ready  chan struct{} // closed once done
	answer []byte        // valid once done; nil: the client has disconnected
}

type conn struct {
	front *Front
	net   net.Conn
	place *front.Conn
	queue chan *slot
	ended chan struct{} // closed when the writer returns

	from   netip.Addr // address of the client
	source string     // key under which its failures are counted

	lingering bool         // used by the reader only: no further request is read
	unwritten atomic.Int64 // complete or malformed requests whose response is not yet written

	mu   sync.Mutex
	left bool             // the client no longer reads
	half float64          // when the incomplete request must be complete; 0: there is none
	open map[uint64]*slot // by tag
	tags uint64           // the last one
}

func (f *Front) handle(nc net.Conn, place *front.Conn) {
	c := &conn{
		front: f, net: nc, place: place, queue: make(chan *slot, pipelineMost), ended: make(chan struct{}), open: map[uint64]*slot{},
	}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.from = a.AddrPort().Addr().Unmap()
	}
	c.source = source(c.from)
	place.CloseWhenIdle()
	var g errgroup.Group
	g.Go(func() error { c.write(); return nil })
	c.read()
	g.Wait()
}

// read reads requests and handles them, until the connection ends. It runs in the reader goroutine.
func (c *conn) read() {
	defer close(c.queue)
	r := bufio.NewReaderSize(interruptible{c, c.place.CountReads(c.net)}, 4<<10)
	for {
		if _, err := r.Peek(1); err != nil {
			c.gone(err)
			return
		}
		c.begin(c.front.opt.Clock.Now() + wholeMost)
		m, err := http1.Read(r, bodyMost, c.goOn)
		c.unwritten.Add(1) // before the report below: an unanswered request keeps the connection open
		c.begin(0)
		s := &slot{msg: m, came: c.place.Arrived(), ready: make(chan struct{})}
		if b, ok := http1.IsBad(err); ok {
			c.front.guard.Failed(c.source, c.front.opt.Clock.Now())
			c.front.sampled(c.front.opt.Log.Warn(), "request can't be read", func(e *zerolog.Event) {
				e.Int("status", b.Status).Str("what", b.Text).Str("from", c.source)
			})
			s.msg.Close = true
			c.front.open.Add(1)
			s.finish(c.front.errorAnswer(s, b.Status, "malformed", b.Text, ""))
			c.push(s)
			c.drain(r)
			return
		}
		if err != nil {
			c.gone(err)
			return
		}
		c.front.open.Add(1)
		if !c.push(s) {
			c.gone(nil)
			return
		}
		c.take(s)
		if s.msg.Close {
			c.drain(r)
			return
		}
		if !c.slow() {
			c.gone(nil)
			return
		}
	}
}

// setRequestDeadline reports to the server that an incomplete request must be complete by a time, or with 0 that there is none.
func (c *conn) begin(until float64) {
	c.mu.Lock()
	c.half = until
	c.mu.Unlock()
	c.report(false)
}

// interruptibleReader repeats a read that the server has interrupted, unless the connection is to be closed. By then the
// server knows what was read: a complete request is open, and an incomplete one was reported with its deadline.
type interruptible struct {
	conn *conn
	in   io.Reader
}

func (r interruptible) Read(b []byte) (int, error) {
	for {
		n, err := r.in.Read(b)
		if n > 0 || r.conn.lingering || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.conn.net.SetReadDeadline(time.Time{}) // before ShouldClose, so that no later interruption is lost
		if r.conn.place.ShouldClose() {
			return n, err
		}
	}
}

// report tells the server which requests are open on the connection.
func (c *conn) report(asked bool) {
	c.mu.Lock() // reader and writer both report
	defer c.mu.Unlock()
	c.place.Update(int(c.unwritten.Load()), asked, c.half)
}

// sendContinue has a client send the body that it holds back. While earlier responses are pending it sends nothing, as the
// bytes could end up within them; such a client sends the body without it after a time-out.
func (c *conn) goOn() {
	if c.unwritten.Load() == 0 {
		c.net.SetWriteDeadline(time.Now().Add(writeLimit))
		c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// linger waits for the client to close the connection after the last response, and discards what it still sends. If the
// client closes the connection before that response, its requests are canceled.
func (c *conn) drain(r *bufio.Reader) {
	c.lingering = true
	c.net.SetReadDeadline(time.Now().Add(lingerMost))
	if _, err := io.Copy(io.Discard, r); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone(err)
	}
}

// disconnect closes the connection and cancels its open requests: the client no longer reads.
func (c *conn) gone(err error) {
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.front.opt.Log.Debug().Err(err).Msg("connection ended")
	}
	c.net.Close()
	c.mu.Lock()
	c.left = true
	var left []uint64
	for tag, s := range c.open {
		s.finish(nil)
		s.over.Store(true)
		if s.asked {
			left = append(left, tag)
		}
		if s.owner == "" { // a claimed one may have run: its outcome is awaited and recorded, as a replay is told of it
			delete(c.open, tag)
		}
	}
	c.mu.Unlock()
	for _, tag := range left {
		c.front.box.Put(core.CancelRequest{Frontend: c, RequestTag: tag})
	}
}

// enqueue appends a request to the order of responses, and reports false if the client has disconnected. It guards against
// a client that pipelines requests and disconnects: its close follows requests that are not read while responses are pending.
func (c *conn) push(s *slot) bool {
	look := time.NewTicker(hungUpLook)
	defer look.Stop()
	for {
		select {
		case c.queue <- s:
			return true
		case <-look.C:
			if !front.HungUp(c.net) {
				continue
			}
		case <-c.ended:
		}
		c.front.open.Add(-1)
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
		close(c.ended)
		for s := range c.queue { // the reader cancels open requests, which completes these slots too
			<-s.ready
			c.front.out(s)
			c.front.intake.Give(s.held)
			c.front.open.Add(-1)
		}
	}()
	for s := range c.queue {
		<-s.ready
		c.front.intake.Give(s.held)
		c.front.out(s)
		if s.answer != nil && !c.front.budget.Take(len(s.answer)) {
			// Guards against a client that loses its response and its connection because others leave too much unread. A
			// connection has only one such error response at a time.
			c.front.opt.Log.Warn().Msg("response buffer limit reached: response replaced by an error")
			s.answer = c.front.errorAnswer(s, 502, "crowded", "too much waits to be written", "Retry-After: 1\r\n")
			c.front.budget.TakeAnyway(len(s.answer))
		}
		held := len(s.answer)
		c.net.SetWriteDeadline(time.Now().Add(writeLimit))
		_, err := c.net.Write(s.answer)
		c.front.budget.Give(held)
		c.front.open.Add(-1)
		c.unwritten.Add(-1)
		c.report(true)
		if err != nil || s.msg.Close || s.answer == nil {
			return
		}
	}
}

// handleRequest validates a request, and submits it to the core or answers it at once.
func (c *conn) take(s *slot) {
	f, m := c.front, &s.msg
	if strings.HasPrefix(m.Path, "/-/") || m.Path == "/healthz" {
		c.reply(s, f.dated(f.manage(m)))
		return
	}
	object, ok := objectPath(m.Path)
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
			c.reply(s, f.options(s, class))
		} else {
			c.fail(s, 404, "unknown_class", "no such class", "")
		}
		return
	}
	now, judgedAt := f.opt.Clock.Unix(), f.opt.Clock.Now()
	// Guards against clients that guess tokens: a source with too many failures is rejected before its signatures are verified.
	if ok, wait := f.guard.Check(c.source, f.opt.Clock.Now()); !ok {
		c.fail(s, 429, "too_many_failures", "too many tokens from this address were not accepted", throttle(wait))
		return
	}
	grant, rest, err := f.ring.Load().Verify(token.Request{
		Scheme: f.opt.Scheme, Host: m.Host, Path: m.Path, RawQuery: m.Query, Method: m.Method, Addr: c.from,
		Cookie: m.Cookie, Header: func(name string) string { return m.Header[strings.ToLower(name)] },
	}, now/1000, f.policy.Load().LeewayMs/1000)
	if err != nil {
		c.reject(s, err)
		return
	}
	if grant.ID != "" && f.opt.Claims.Revoked(grant.Use()) {
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
	ask, err := object.ask(rest, m)
	if err != nil {
		c.fail(s, 400, "malformed", err.Error(), "")
		return
	}
	if _, refuse := f.server.Draining(); refuse {
		c.fail(s, 503, "draining", "this gateway is being emptied", throttle(f.opt.RetryAfter))
		return
	}
	ask.Frontend, ask.ReceivedAt, ask.Remaining, ask.Body = c, s.came, timeLeft(ask.Remaining, class), m.Body
	if f.opt.Clock.Now() >= ask.ReceivedAt+ask.Remaining {
		c.fail(s, 504, "deadline", "no answer in time; trying again is harmless", throttle(0))
		return
	}
	if !c.within(s, &grant) {
		return
	}
	if !f.intake.Take(len(m.Body)) {
		c.fail(s, 503, "crowded", "too many bytes of requests in hand", "Retry-After: 1\r\n")
		return
	}
	s.held = len(m.Body)
	s.class, s.until, s.vary = class, grant.Until, grant.Vary
	s.endsAt = judgedAt + grant.Until*1000 - now
	if grant.ID != "" {
		s.use = grant.Use()
	}
	if grant.Renewal.Seconds > 0 {
		kept := grant
		s.renews = &kept
	}
	// The token was validated above, once; this only prevents attempts that start after its expiry. The time left is a
	// duration, so a step of the wall clock meanwhile neither shortens nor extends it.
	ask.AuthorizedUntil = s.endsAt + f.policy.Load().LeewayMs
	c.mu.Lock()
	c.tags++
	s.tag, s.over = c.tags, new(atomic.Bool)
	ask.RequestTag, ask.Canceled = s.tag, s.over
	c.open[s.tag] = s
	c.mu.Unlock()
	if !class.Write && grant.Uses != 1 {
		c.hand(s, ask)
		return
	}
	// The claim is made in another goroutine, so that the reader can detect a client that disconnects meanwhile.
	ask.ReportAfterCancel = true
	f.open.Add(1) // a shutdown also waits for the claim
	go func() {
		defer f.open.Add(-1)
		if c.claim(s, ask.ReceivedAt+ask.Remaining-f.opt.Clock.Now()) {
			c.hand(s, ask)
			return
		}
		c.mu.Lock()
		delete(c.open, s.tag)
		c.mu.Unlock()
	}()
}

// timeLeft returns for how many ms from its request's last byte a client waits: as long as it requested, at most the class's
// deadline.
func timeLeft(told float64, class Class) float64 {
	if told <= 0 {
		return class.Deadline
	}
	return min(class.Deadline, told)
}

// submit passes a request to the core. If the client has disconnected meanwhile, even if its close follows bytes that are not
// read yet, the request's claim is released instead.
func (c *conn) hand(s *slot, ask core.Request) {
	gone := front.HungUp(c.net)
	c.mu.Lock()
	s.asked = !c.left && !gone
	if !s.asked {
		delete(c.open, s.tag)
		s.finish(nil)
	}
	owner, asked := s.owner, s.asked
	c.mu.Unlock()
	if asked {
		c.front.box.Put(ask)
	} else if owner != "" {
		c.front.settle(s.use, claims.Step{Op: claims.Release, Owner: owner})
	}
}

// claim marks a request's token as used, before the request is sent. If the replicated store gives no result, the request is
// not sent: the token may be claimed by another, so the client has to retry.
func (c *conn) claim(s *slot, left float64) bool {
	f := c.front
	if s.use == "" {
		c.fail(s, 403, "bad_claim", "this class needs a token of a single use, with a jti", "")
		return false
	}
	c.mu.Lock()
	s.owner = rand.Text()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(min(left, f.opt.ClaimMost)))
	defer cancel()
	until := s.until*1000 + 2*f.policy.Load().LeewayMs + claimMargin
	for _, step := range []claims.Step{{Op: claims.Hold, Owner: s.owner, Until: until}, {Op: claims.Send, Owner: s.owner}} {
		r, ok, err := f.opt.Claims.Step(ctx, s.use, step)
		if err != nil {
			f.opt.Log.Warn().Err(err).Str("step", string(step.Op)).Msg("single-use token could not be claimed")
			if !errors.Is(err, claims.ErrNotProposed) {
				f.settle(s.use, claims.Step{Op: claims.Release, Owner: s.owner}) // nothing was sent, whether or not the step was applied
			}
			c.fail(s, 503, "no_quorum", "the token can't be checked at present", "Retry-After: 1\r\n")
			return false
		}
		if !ok && r.Pending(f.opt.Clock.Unix(), s.class.Deadline) {
			c.fail(s, 503, "claim_pending", "the token is in use; ask again for what became of it", "Retry-After: 1\r\nX-Claim: sent\r\n")
			return false
		}
		if !ok {
			c.fail(s, 403, "replayed", replayed(r), "X-Claim: "+claimOf(r)+"\r\n")
			return false
		}
	}
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
	if s.owner != "" { // before the response, so that Open does not return 0 in between
		c.front.settle(s.use, outcome(s, a))
	}
	if !s.done {
		s.finish(c.front.word(s, a))
	}
}

// buildResponse maps a final answer to a response.
func (f *Front) word(s *slot, a core.Answer) []byte {
	head := ""
	if a.ETag != "" {
		head = "ETag: \"" + a.ETag + "\"\r\n"
	}
	if s.renews != nil && (a.Verdict == core.Served || a.Verdict == core.NotModified) {
		head += f.renewed(s)
	}
	switch a.Verdict {
	case core.Served:
		return f.served(s, a, head)
	case core.NotModified:
		return http1.Answer(304, "", head+f.common(s, a), 0, nil, s.msg.Close)
	case core.Rejected:
		head := throttle(a.RetryAfter)
		if a.Reason == core.DeadlineExceeded {
			return f.errorAnswer(s, 504, "deadline", "no answer in time; trying again is harmless", head)
		}
		return f.errorAnswer(s, 503, "refused", "not now; trying again is harmless", head)
	}
	switch a.Reason {
	case core.UnknownClass:
		return f.errorAnswer(s, 404, "unknown_class", "no such class", "")
	case core.DeadlineExceeded:
		return f.errorAnswer(s, 504, "deadline", "no answer in time", "")
	case core.AuthorizationExpired:
		return f.errorAnswer(s, 403, "expired", "the token expired before the request could be sent on", "")
	}
	return f.errorAnswer(s, 502, "upstream_failed", "the store failed", "")
}

// renewalHeader returns the header with the successor of a request's token, or "" if the token is not renewed.
func (f *Front) renewed(s *slot) string {
	next, now := &s.renews.Renewal, f.opt.Clock.Unix()/1000
	// Guards against a token that outlives its revocation, which is kept for the maximum lifetime of a token.
	if float64(next.Seconds) > f.policy.Load().TokenSeconds || !s.renews.Renews(now) {
		return ""
	}
	name, text, err := f.ring.Load().Renewed(s.renews, now)
	switch {
	case err != nil:
		return ""
	case next.Header:
		return name + ": " + text + "\r\n"
	}
	return "Set-Cookie: " + name + "=" + text + "; Path=" + cookiePath(s.msg.Path, next.Depth) +
		"; Max-Age=" + strconv.Itoa(next.Seconds) + "; HttpOnly\r\n"
}

// retryHeaders returns the headers that state after how long a client should retry, in whole seconds and in ms.
func throttle(ms float64) string {
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
func rejected(err error) (status int, code, text, head string) {
	why := token.WhyOf(err)
	code, text = string(why), strings.TrimPrefix(err.Error(), "token: ")
	switch why {
	case token.Missing:
		return 401, code, text, "WWW-Authenticate: URISigning realm=\"turnfork\"\r\n"
	case token.Malformed:
		return 400, code, text, ""
	}
	return 403, code, text, ""
}
