// Package resp is the upstream that sends attempts to endpoints (caches, parents and the origin) as RESP arrays. Many
// attempts share a connection; their IDs match responses to attempts.
package resp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/limits"
)

// Options set the limits of an upstream.
type Options struct {
	DialTimeout         float64            // ms
	IdleClose           float64            // ms after which endpoints close idle connections; the pool closes them somewhat earlier
	HealthCheckTimeout  float64            // ms, of health checks and PINGs
	MaxAttemptsPerConn  int                // maximum number of attempts in flight on one connection
	MaxConns            int                // to all endpoints together
	MaxRequestDuration  float64            // ms, the maximum duration of a request
	DisableHealthChecks bool               // health checks are disabled, and with them PINGs: only time resolves an unconfirmed cancellation
	DisableCancel       bool               // cancellation is disabled: no DROP is sent, and a canceled attempt runs to its end at the endpoint
	ResponseBudget      *limits.ByteBudget // for the bodies of responses until the core has handed them on; nil: no limit
	Clock               *clock.Clock
	Log                 zerolog.Logger
	Dial                func(ctx context.Context, network, addr string) (net.Conn, error) // nil: net.Dialer
}

const (
	idleCloseFraction   = 0.8             // of IdleClose, so that this side closes first and no request is sent into the endpoint's close
	writeTimeout        = 2 * time.Second // a connection whose endpoint reads nothing for this duration is closed
	maxQueuedBytes      = 2 << 20         // bytes buffered for one connection's writer
	unresponsiveAfter   = 500.0           // ms without a response since an attempt was written: its cancellation then marks the connection unresponsive
	unresponsiveTTL     = 1000.0          // ms for which an unresponsive connection still takes new attempts
	sweepInterval       = 250 * time.Millisecond
	barrierTimeout      = 2000.0 // ms since its last use for which a draining connection waits for the responses to barrier PINGs
	maxConnsPerPeer     = 8
	reservedConns       = 8                      // reserved for endpoints without a connection
	redialDelay         = 1000.0                 // ms after a failed dial until an additional connection is dialed again
	dialThreshold       = 2                      // attempts in flight on each connection before an additional one is dialed
	responseReadTimeout = 500 * time.Millisecond // maximum time between two reads of one response
	responseTimeout     = 2 * time.Second        // from a response's first byte to its last
	readBufferSize      = 4 << 10
	maxAsyncEvents      = 8192 // events queued for the goroutine that posts them
	minTTL              = 1.0  // ms that the client must have left for its request to be sent: the least value of the ttl field
)

// Pool implements core.Upstream with a pool of connections. It posts its events from its own goroutines only.
type Pool struct {
	opt  Options
	post func(core.Event)
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu          sync.Mutex
	peers       map[uint32]*peer
	removed     map[uint32]*peer // those of peers that are no longer in the endpoint list
	attempts    map[core.AttemptKey]*attempt
	excluded    map[uint32]struct{} // endpoints that operators have excluded
	lastProbeID uint64              // number of health checks and PINGs so far, for their IDs
	conns       int
	retiredIDs  int             // on all connections
	asyncEvents chan core.Event // events of calls by the core, which must not post themselves
}

var (
	errEndpointRemoved = errors.New("endpoint was removed from the endpoint list")
	errResponseBudget  = errors.New("no memory for a response was released in time")
	errClientCanceled  = errors.New("client canceled the request while it was being written")
	errDeadlinePassed  = fmt.Errorf("%w: deadline passed before it was sent to the endpoint", errClientCanceled)
)

// peer is one endpoint and its connections.
type peer struct {
	id           uint32
	addr         string
	removed      bool
	ready        bool          // it accepts new attempts
	startedAt    time.Duration // its last start, as clock time; 0: long ago
	conns        []*conn
	dialing      bool
	dialFailedAt float64    // time of the last failed dial
	waiting      []*attempt // for a connection
	barrier      *attempt   // the latest PING that was not sent behind a DROP; nil: none yet
}

// New returns a pool that runs until Close.
func New(opt Options, post func(core.Event)) *Pool {
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{}).DialContext
	}
	p := &Pool{
		opt: opt, post: post, asyncEvents: make(chan core.Event, maxAsyncEvents),
		peers: map[uint32]*peer{}, removed: map[uint32]*peer{}, excluded: map[uint32]struct{}{},
		attempts: map[core.AttemptKey]*attempt{},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Add(2)
	go p.sweep()
	go p.postQueued()
	return p
}

// postQueued posts the events of calls by the core until the pool is closed.
func (p *Pool) postQueued() {
	defer p.wg.Done()
	for {
		select {
		case ev := <-p.asyncEvents:
			p.post(ev)
		case <-p.ctx.Done():
			return
		}
	}
}

// Close closes every connection and waits for the pool's goroutines.
func (p *Pool) Close() {
	p.stop()
	var open []*conn
	p.mu.Lock()
	for _, q := range p.peers {
		open = append(open, q.conns...)
	}
	p.mu.Unlock()
	for _, c := range open {
		c.net.Close()
	}
	p.wg.Wait()
}

func (p *Pool) now() float64 { return p.opt.Clock.Now() }

// postAsync posts an event from a goroutine of the pool, for calls by the core, which must not post before they return.
func (p *Pool) postAsync(ev core.Event) {
	select {
	case p.asyncEvents <- ev:
	case <-p.ctx.Done():
	default: // Queue full: blocking here would deadlock if the queue's goroutine waits for the core.
		go p.post(ev)
	}
}

func (p *Pool) after(ms float64, f func()) {
	time.AfterFunc(clock.Duration(ms), func() {
		if p.ctx.Err() == nil {
			f()
		}
	})
}

// SetMaxConns changes the maximum number of connections. Existing connections above it stay open until they are idle.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opt.MaxConns = max(1, maxConns)
}
