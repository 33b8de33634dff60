// Package signed is the frontend for riders' phones: HTTP/1.1 with signed URLs and tokens. A request is validated once,
// after its last byte has been read. A valid request is then handled as on any frontend.
package signed

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/limits"
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
	// Merge sets the members of a value, an object, that changes names, and keeps the others as they were agreed on. Where
	// there is no value yet, it starts from initial.
	Merge(ctx context.Context, name string, changes, initial any) error
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
	MaxRequestBytes  int64               // limit of the heads and bodies of unanswered requests, in bytes; 0: 8 MB
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
	smallRequest           = 4 << 10               // bytes; up to this size a request may use the whole of the request budget
	largeRequestShare      = 0.75                  // of the request budget, for the larger ones: they must not keep out the small ones
	smallResponse          = 1 << 10               // bytes; up to this size a response is kept even if the response budget is exhausted
)

// Frontend is the frontend of one listener.
type Frontend struct {
	opt            Options
	server         front.Server
	responseBudget *limits.ByteBudget
	requestBudget  *limits.ByteBudget
	classes        map[string]Class
	ring           atomic.Pointer[ring.Ring]
	policy         atomic.Pointer[Policy]
	open           atomic.Int64
	events         front.EventQueue[core.Event] // events for the core
	outcomeSlots   chan struct{}
	cachedDate     atomic.Pointer[dateLine]
	guard          *limits.Guard
	limits         *limits.Limits
	logSampler     *front.LogSampler
}

// New returns a frontend.
func New(opt Options) *Frontend {
	if opt.MaxConns <= 0 {
		opt.MaxConns = 200
	}
	if opt.MaxResponseBytes <= 0 {
		opt.MaxResponseBytes = 24 << 20
	}
	if opt.MaxRequestBytes <= 0 {
		opt.MaxRequestBytes = 8 << 20
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
		responseBudget: limits.NewByteBudget(opt.MaxResponseBytes), requestBudget: limits.NewByteBudget(opt.MaxRequestBytes),
		classes: map[string]Class{}, outcomeSlots: make(chan struct{}, maxPendingOutcomes),
		guard: limits.NewGuard(guardOptions(opt.Guard)), limits: limits.New(opt.Limits),
		logSampler: front.NewLogSampler(opt.Clock),
	}
	f.events.Post = func(ev core.Event) { f.opt.Post(ev) }
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
	}
	f.ring.Store(opt.Ring)
	configured := f.configuredPolicy()
	f.policy.Store(&configured)
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

// BufferedBytes returns the bytes of open requests and of responses that wait to be written.
func (f *Frontend) BufferedBytes() (requests, responses int64) {
	return f.requestBudget.Reserved(), f.responseBudget.Reserved()
}

// SetProcessShare limits the frontend to conns connections and to its share of the memory, which is divided by the number of
// processes.
func (f *Frontend) SetProcessShare(processes, conns int) {
	f.server.SetMaxConns(conns)
	f.responseBudget.SetLimit(f.opt.MaxResponseBytes / int64(processes))
	f.requestBudget.SetLimit(f.opt.MaxRequestBytes / int64(processes))
}
