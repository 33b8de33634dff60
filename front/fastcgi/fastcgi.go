// Package fastcgi is the platform's frontend: FastCGI 1.0 in the Responder role, with multiplexed requests on a connection and
// responses in any order.
package fastcgi

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/limits"
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
	firstByteTimeout = 2500.0 // ms within which a new connection must send its first byte
	readTimeout      = 2000.0 // ms without a new byte after which a partial request times out
	requestTimeout   = 8000.0 // ms within which any request must be complete, even if its bytes keep arriving
	idleTimeout      = 4500.0 // ms; clients close idle connections after 4 s
)

// Frontend accepts FastCGI connections at one listener.
type Frontend struct {
	opt            Options
	server         front.Server
	responseBudget *limits.ByteBudget           // for responses queued for writing
	requestBudget  *limits.ByteBudget           // for parameters and bodies of open requests
	events         front.EventQueue[core.Event] // to the core
	logSampler     *front.LogSampler
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
		responseBudget: limits.NewByteBudget(opt.MaxResponseBytes), requestBudget: limits.NewByteBudget(opt.MaxRequestBytes),
		events:     front.EventQueue[core.Event]{Post: opt.Post},
		logSampler: front.NewLogSampler(opt.Clock),
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

// BufferedBytes returns the bytes of open requests and of responses that wait to be written.
func (f *Frontend) BufferedBytes() (requests, responses int64) {
	return f.requestBudget.Reserved(), f.responseBudget.Reserved()
}

// SetProcessShare divides the limits on buffered bytes by the number of processes that share the memory, and sets the
// connection limit.
func (f *Frontend) SetProcessShare(processes, conns int) {
	f.server.SetMaxConns(conns)
	f.responseBudget.SetLimit(f.opt.MaxResponseBytes / int64(processes))
	f.requestBudget.SetLimit(f.opt.MaxRequestBytes / int64(processes))
}

// logSampled writes a log line that clients can cause, within the limit on lines of each kind.
func (f *Frontend) logSampled(e *zerolog.Event, kind string, addFields func(*zerolog.Event)) {
	if f.logSampler.Take(e, kind) {
		addFields(e)
		e.Msg(kind)
	}
}
