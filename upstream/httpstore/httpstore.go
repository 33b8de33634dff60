// Package httpstore is the upstream for endpoints that speak HTTP, such as object stores. Requests to an endpoint with a Signer
// are signed with AWS Signature Version 4.
package httpstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/limits"
)

// Endpoint is the address of an endpoint, and the signer of its requests.
type Endpoint struct {
	Base   string  // such as http://127.0.0.1:9000/bucket
	Signer *Signer // nil: requests are not signed
}

// Options configure an upstream.
type Options struct {
	Endpoints       map[uint32]Endpoint
	DialTimeout     float64            // ms, and as much for a TLS handshake
	IdleClose       float64            // ms
	HealthCheckPath string             // path of health checks, below Base; "": Base itself
	MaxConns        int                // to one endpoint
	ResponseBudget  *limits.ByteBudget // for the bodies of responses until the core has handed them on; nil: no limit
	Clock           *clock.Clock
	Log             zerolog.Logger
	Dial            func(ctx context.Context, network, addr string) (net.Conn, error) // nil: net.Dialer
}

const (
	maxBodyBytes           = 256 << 10
	maxResponseHeaderBytes = 16 << 10
	bodyChunkSize          = 4 << 10 // bytes of a request's body between two checks for its cancellation
	idleCloseFraction      = 0.8     // of IdleClose, so that this side closes first and no request is sent into the endpoint's close
)

// Upstream sends attempts as HTTP requests: GET for a part, POST for a write. The URL is BASE/CLASS/OBJECT/PART; the request
// ID, the maximum age and the client's ETag are headers. The deadline is not sent: the core cancels an attempt at its
// client's deadline, which closes the connection.
//
// An attempt is sent at most once. One whose connection ends is reported to the core, which decides whether the request is sent
// again, and where.
type Upstream struct {
	opt          Options
	post         func(core.Event)
	endpoints    map[uint32]*endpoint
	ctx          context.Context
	stop         context.CancelFunc
	wg           sync.WaitGroup
	healthChecks atomic.Int64 // health checks in flight

	mu   sync.Mutex
	open map[core.AttemptKey]*attempt
}

type attempt struct {
	*exchange
	cancelRequested bool
	cancelOutcome   control.Outcome // the result of a canceled attempt
}

// New returns an upstream that runs until Close.
func New(opt Options, post func(core.Event)) *Upstream {
	u := &Upstream{opt: opt, post: post, endpoints: map[uint32]*endpoint{}, open: map[core.AttemptKey]*attempt{}}
	u.ctx, u.stop = context.WithCancel(context.Background())
	transport := newTransport(opt)
	idleTimeout := clock.Duration(idleCloseFraction * opt.IdleClose)
	for id, configured := range opt.Endpoints {
		base, err := url.Parse(configured.Base)
		if err != nil {
			continue // Check rejects it
		}
		u.endpoints[id] = &endpoint{
			Endpoint:       configured,
			conns:          newConnPool(u.ctx, transport, base, opt.MaxConns, max(1, opt.MaxConns/2), idleTimeout),
			singleUseConns: newConnPool(u.ctx, transport, base, opt.MaxConns, 0, 0),
			unsent:         map[*exchange]struct{}{},
		}
	}
	return u
}

// newTransport returns the transport that opens the connections of all pools.
func newTransport(opt Options) *http.Transport {
	dial := opt.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	timeout := clock.Duration(opt.DialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return dial(ctx, network, addr)
		},
		TLSHandshakeTimeout:    timeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		Protocols:              protocols,
	}
}

// Close cancels all attempts and health checks, and waits until they have ended.
func (u *Upstream) Close() {
	u.stop()
	u.wg.Wait()
	for _, e := range u.endpoints {
		e.conns.close()
		e.singleUseConns.close()
	}
}

// Send makes an attempt.
func (u *Upstream) Send(s core.AttemptRequest) {
	target := u.endpoints[s.Endpoint]
	u.wg.Add(1)
	if target == nil {
		go func() {
			defer u.wg.Done()
			u.post(core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.NotSent})
		}()
		return
	}
	a := &attempt{exchange: u.newExchange(target, 0)}
	u.mu.Lock()
	u.open[s.AttemptKey] = a
	u.mu.Unlock()
	go func() {
		defer u.wg.Done()
		result := u.roundTrip(a.exchange, s)
		u.endExchange(a.exchange)
		u.post(u.endAttempt(a, result))
	}()
}

// endAttempt removes an attempt, and returns its result. A canceled attempt ends here, once its connection is closed or its response
// has arrived.
func (u *Upstream) endAttempt(a *attempt, result core.AttemptResult) core.AttemptResult {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, result.AttemptKey)
	switch {
	case !a.cancelRequested, result.Outcome == control.OK, result.Outcome == control.ConnectFailed, result.Outcome == control.NotSent:
		return result
	}
	return core.AttemptResult{AttemptKey: result.AttemptKey, Outcome: a.cancelOutcome, Unconfirmed: result.Unconfirmed}
}

// Cancel cancels an attempt by closing its connection.
func (u *Upstream) Cancel(k core.AttemptKey, as control.Outcome) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a := u.open[k]; a != nil && !a.cancelRequested {
		a.cancelRequested, a.cancelOutcome = true, as
		a.cancel()
	}
}

// LimitCopyAge cancels an attempt that is not sent yet, as its headers are already set: the core routes the request again.
func (u *Upstream) LimitCopyAge(k core.AttemptKey, _ float64) { u.CancelUnsent(k) }

// CancelUnsent ends an attempt that is not sent yet, with the outcome NotSent.
func (u *Upstream) CancelUnsent(k core.AttemptKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.open[k]
	if a == nil {
		return
	}
	if _, unsent := a.endpoint.unsent[a.exchange]; unsent {
		a.cancel()
	}
}

// ConfirmCancel returns false: HTTP has no way to confirm that an endpoint has read a cancellation.
func (u *Upstream) ConfirmCancel(core.AttemptKey, uint32) bool { return false }

// Check returns an error if Base is not an absolute HTTP URL without a query.
func (s Endpoint) Check() error {
	u, err := url.Parse(s.Base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || u.RawQuery != "" {
		return fmt.Errorf("%q is no HTTP address", s.Base)
	}
	return nil
}
