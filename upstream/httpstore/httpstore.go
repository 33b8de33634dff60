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
	DialTimeout     float64            // ms
	IdleClose       float64            // ms
	HealthCheckPath string             // path of health checks, below Base; "": Base itself
	MaxConns        int                // to one endpoint
	ResponseBudget  *limits.ByteBudget // for the bodies of responses until the core has handed them on; nil: no limit
	Clock           *clock.Clock
	Log             zerolog.Logger
	Dial            func(ctx context.Context, network, addr string) (net.Conn, error) // nil: net.Dialer
}

const (
	maxBodyBytes  = 256 << 10
	bodyChunkSize = 4 << 10 // bytes of a request's body between two checks for its cancellation
)

// Upstream sends attempts as HTTP requests: GET for a part, POST for a write. The URL is BASE/CLASS/OBJECT/PART; the request
// ID, the maximum age and the client's ETag are headers. The deadline is not sent: the core cancels an attempt at its
// client's deadline, which closes the connection.
type Upstream struct {
	opt          Options
	post         func(core.Event)
	client       *http.Client
	singleUse    *http.Client // for requests that must not run twice: a new connection for each
	ctx          context.Context
	stop         context.CancelFunc
	wg           sync.WaitGroup
	healthChecks atomic.Int64 // health checks in flight

	mu       sync.Mutex
	open     map[core.AttemptKey]*attempt
	excluded map[uint32]struct{} // endpoints that operators have excluded
}

type attempt struct {
	endpoint        uint32
	mayBeSent       bool // it has a connection, so bytes of it may have been sent
	cancel          context.CancelFunc
	cancelRequested bool
	cancelOutcome   control.Outcome // the result of a canceled attempt
}

// New returns an upstream that runs until Close.
func New(opt Options, post func(core.Event)) *Upstream {
	u := &Upstream{opt: opt, post: post, open: map[core.AttemptKey]*attempt{}, excluded: map[uint32]struct{}{}}
	u.ctx, u.stop = context.WithCancel(context.Background())
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{}).DialContext
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, clock.Duration(opt.DialTimeout))
		defer cancel()
		return opt.Dial(ctx, network, addr)
	}
	client := func(singleUse bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext: dial, MaxConnsPerHost: opt.MaxConns, MaxIdleConnsPerHost: max(1, opt.MaxConns/2),
				IdleConnTimeout: clock.Duration(0.8 * opt.IdleClose), DisableCompression: true,
				MaxResponseHeaderBytes: 16 << 10, DisableKeepAlives: singleUse,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	u.client, u.singleUse = client(false), client(true)
	return u
}

// Close cancels all attempts and health checks, and waits until they have ended.
func (u *Upstream) Close() {
	u.stop()
	u.wg.Wait()
	u.client.CloseIdleConnections()
}

// UpdateEndpoints does nothing: the endpoints of this upstream are set in the configuration.
func (u *Upstream) UpdateEndpoints(core.EndpointList) {}

// Has reports whether this upstream reaches the endpoint.
func (u *Upstream) Has(id uint32) bool { _, ok := u.opt.Endpoints[id]; return ok }

// Send makes an attempt.
func (u *Upstream) Send(s core.AttemptRequest) {
	ctx, cancel := context.WithCancel(u.ctx)
	a := &attempt{cancel: cancel, endpoint: s.Endpoint}
	u.mu.Lock()
	u.open[s.AttemptKey] = a
	if _, excluded := u.excluded[s.Endpoint]; excluded {
		cancel()
	}
	u.mu.Unlock()
	u.wg.Add(1)
	go func() {
		defer u.wg.Done()
		defer cancel()
		ev := u.roundTrip(ctx, s, a)
		u.mu.Lock()
		delete(u.open, s.AttemptKey)
		// A canceled attempt ends here, once its connection is closed or its response has arrived.
		if a.cancelRequested && ev.Outcome != control.OK && ev.Outcome != control.ConnectFailed && ev.Outcome != control.NotSent {
			ev = core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: a.cancelOutcome, Unconfirmed: ev.Unconfirmed}
		}
		u.mu.Unlock()
		u.post(ev)
	}()
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

// LimitCopyAge cancels an attempt that has no connection yet, as its headers are already set: the core routes the request
// again.
func (u *Upstream) LimitCopyAge(k core.AttemptKey, _ float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a := u.open[k]; a != nil && !a.mayBeSent {
		a.cancel()
	}
}

// ConfirmCancel returns false: HTTP has no way to confirm that an endpoint has read a cancellation.
func (u *Upstream) ConfirmCancel(core.AttemptKey, uint32) bool { return false }

// Exclude cancels the attempts to an endpoint that have no connection yet, and all later ones until it is called with excluded
// false.
func (u *Upstream) Exclude(endpoint uint32, excluded bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if delete(u.excluded, endpoint); !excluded {
		return
	}
	u.excluded[endpoint] = struct{}{}
	for _, a := range u.open {
		if a.endpoint == endpoint && !a.mayBeSent {
			a.cancel()
		}
	}
}

// Check returns an error if Base is not an absolute HTTP URL without a query.
func (s Endpoint) Check() error {
	u, err := url.Parse(s.Base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || u.RawQuery != "" {
		return fmt.Errorf("%q is no HTTP address", s.Base)
	}
	return nil
}
