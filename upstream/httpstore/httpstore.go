// Package httpstore is the upstream for endpoints that speak HTTP, such as object stores. Requests to an endpoint with a Signer
// are signed with AWS Signature Version 4.
package httpstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
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
	maxBodyBytes       = 256 << 10
	bodyChunkSize      = 4 << 10 // bytes of a request's body between two checks for its cancellation
	healthCheckTimeout = 240     // ms
	maxHealthChecks    = 32      // health checks in flight
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

// deadlinePassed reports whether the client's deadline or the send deadline of the attempt's idempotency key has passed.
func (u *Upstream) deadlinePassed(s core.AttemptRequest) bool {
	now := u.opt.Clock.Now()
	return s.Deadline > 0 && now >= s.Deadline || s.SendDeadline > 0 && now >= s.SendDeadline
}

func (u *Upstream) roundTrip(ctx context.Context, s core.AttemptRequest, a *attempt) core.AttemptResult {
	result := core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.NotSent}
	endpoint, ok := u.opt.Endpoints[s.Endpoint]
	if !ok {
		return result
	}
	var mayBeSent atomic.Bool // bytes of the request may have been sent
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(conn httptrace.GotConnInfo) {
		u.mu.Lock()
		defer u.mu.Unlock()
		// The last check before bytes are sent. Nothing is sent if the attempt or the request was canceled, a deadline has
		// passed, or the endpoint was excluded.
		if ctx.Err() != nil || s.Canceled != nil && s.Canceled.Load() || u.deadlinePassed(s) {
			a.cancel()
			conn.Conn.Close() // the transport writes to a connection that it has obtained even if the context is canceled
			return
		}
		a.mayBeSent = true
		mayBeSent.Store(true)
	}})
	method := http.MethodGet
	if len(s.Body) > 0 || s.Write {
		method = http.MethodPost
	}
	target := strings.TrimSuffix(endpoint.Base, "/") + "/" + s.Class + "/" + url.PathEscape(s.ObjectName) + "/" +
		strconv.FormatUint(uint64(s.Part), 10)
	// Without GetBody the transport cannot resend a write by itself.
	req, err := http.NewRequestWithContext(ctx, method, target, cancelableBody{bytes.NewReader(s.Body), s.Canceled})
	if err != nil {
		return result
	}
	req.ContentLength = int64(len(s.Body))
	if len(s.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("X-Txn", s.Txn)
	if s.MaxAge > 0 {
		req.Header.Set("Cache-Control", "max-age="+strconv.Itoa(int(s.MaxAge/1000)))
	}
	if s.ClientETag != "" {
		req.Header.Set("If-None-Match", `"`+s.ClientETag+`"`)
	}
	if endpoint.Signer != nil {
		endpoint.Signer.Sign(req, s.Body, time.UnixMilli(int64(u.opt.Clock.Unix())))
	}
	client := u.client
	if s.NonIdempotent { // it would be lost on a kept-alive connection that the endpoint has closed meanwhile
		client = u.singleUse
	}
	resp, err := client.Do(req)
	if err != nil {
		result.Unconfirmed = mayBeSent.Load()
		result.Outcome = failureOutcome(err, mayBeSent.Load(), ctx.Err() != nil)
		return result
	}
	defer resp.Body.Close()
	reservation, err := u.reserveBody(ctx, resp)
	if err != nil {
		result.Outcome, result.Unconfirmed = control.Canceled, true
		return result
	}
	body, err := readAll(resp.Body)
	if err != nil {
		reservation.Release()
		result.Outcome, result.Unconfirmed = control.ServerError, true
		if ctx.Err() != nil || neterr.IsLocal(err) {
			result.Outcome = control.Canceled
		}
		return result
	}
	result.ETag = strings.Trim(resp.Header.Get("ETag"), `"`)
	switch {
	case isServed(resp, s.Write):
		result.Outcome, result.Note, result.Body, result.BodyReservation = control.OK, control.Hit, body, reservation
	case resp.StatusCode == http.StatusNotModified && s.ClientETag != "": // it can only confirm a copy that the request named
		result.Outcome, result.Note, result.NotModified = control.OK, control.Hit, true
	case resp.StatusCode == http.StatusNotFound:
		result.Outcome = control.Miss
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		result.Outcome = control.Overloaded
	default:
		result.Outcome = control.ServerError
		u.opt.Log.Debug().Int("status", resp.StatusCode).Str("store", endpoint.Base).Msg("endpoint responded with an error status")
	}
	if result.BodyReservation == nil {
		reservation.Release()
	}
	// Only a rejection (429 or 503) proves that a write has not run. A 404 does not, so it counts as a server error.
	if s.Write && result.Outcome == control.Miss {
		result.Outcome = control.ServerError
	}
	return result
}

// isServed reports whether a response has what the request asked for: the complete representation, or the result of a write.
func isServed(resp *http.Response, write bool) bool {
	switch resp.StatusCode {
	case http.StatusOK:
		return hasMarkedEnd(resp)
	case http.StatusCreated, http.StatusNoContent: // these carry no representation
		return write && hasMarkedEnd(resp)
	}
	return false
}

// hasMarkedEnd reports whether the end of a response's body is marked, by its length or as the last chunk. A body that ends with the
// connection can't be told from one that was cut off (RFC 9112, 8).
func hasMarkedEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
}

// failureOutcome returns the outcome of a request without a response, given whether bytes of it may have been sent and whether it
// was canceled. A failure local to this host or a client's cancellation is not counted against the endpoint.
func failureOutcome(err error, mayBeSent, canceled bool) control.Outcome {
	switch {
	case !mayBeSent && canceled: // also if its endpoint was excluded
		return control.NotSent
	case !mayBeSent && neterr.IsLocal(err):
		return control.LocalFailure
	case !mayBeSent: // no connection was established, so it has not run
		return control.ConnectFailed
	case canceled || neterr.IsLocal(err) || errors.Is(err, errClientCanceled):
		return control.Canceled
	default:
		return control.ConnectionLost
	}
}

var (
	errBodyTooLong    = errors.New("httpstore: response body exceeds the limit")
	errClientCanceled = errors.New("httpstore: client canceled the request while it was being written")
)

// cancelableBody is a request body that fails once the client has canceled the request, so that an endpoint that reads slowly
// never receives a canceled request completely.
type cancelableBody struct {
	body     io.Reader
	canceled *atomic.Bool // nil: the request cannot be canceled
}

// Read reads the next bytes of the body, or returns errClientCanceled if the client has canceled the request.
func (a cancelableBody) Read(b []byte) (int, error) {
	if a.canceled != nil && a.canceled.Load() {
		return 0, errClientCanceled
	}
	return a.body.Read(b[:min(len(b), bodyChunkSize)])
}

// reserveBody reserves the bytes of a response's body before it is read, and waits while the budget is exhausted, at most until
// the attempt is canceled.
func (u *Upstream) reserveBody(ctx context.Context, resp *http.Response) (*limits.Reservation, error) {
	budget := u.opt.ResponseBudget
	if budget == nil || resp.ContentLength == 0 {
		return nil, nil
	}
	size := maxBodyBytes
	if resp.ContentLength > 0 {
		size = int(min(resp.ContentLength, maxBodyBytes))
	}
	if err := budget.Reserve(ctx, size); err != nil {
		return nil, err
	}
	return limits.NewReservation(budget, size), nil
}

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(b) > maxBodyBytes {
		err = errBodyTooLong
	}
	return b, err
}

// CheckHealth checks whether an endpoint responds. The result has no load report.
func (u *Upstream) CheckHealth(endpoint uint32) {
	target, ok := u.opt.Endpoints[endpoint]
	u.wg.Add(1)
	go func() {
		defer u.wg.Done()
		ev := core.HealthCheckResult{Endpoint: endpoint, Outcome: control.ConnectFailed}
		if n := u.healthChecks.Add(1); ok && n <= maxHealthChecks {
			ev.Outcome = u.checkHealth(target)
		} else if ok { // the limit of this upstream, which says nothing about the endpoint
			ev.Outcome = control.NotSent
		}
		u.healthChecks.Add(-1)
		u.post(ev)
	}()
}

func (u *Upstream) checkHealth(endpoint Endpoint) control.Outcome {
	ctx, cancel := context.WithTimeout(u.ctx, healthCheckTimeout*time.Millisecond)
	defer cancel()
	var connecting atomic.Bool // it no longer waits for one of the limited connections
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { connecting.Store(true) },
		GotConn:      func(httptrace.GotConnInfo) { connecting.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, strings.TrimSuffix(endpoint.Base, "/")+"/"+u.opt.HealthCheckPath, nil)
	if err != nil {
		return control.ConnectFailed
	}
	if endpoint.Signer != nil {
		endpoint.Signer.Sign(req, nil, time.UnixMilli(int64(u.opt.Clock.Unix())))
	}
	resp, err := u.client.Do(req)
	switch {
	case err != nil && neterr.IsLocal(err):
		return control.LocalFailure
	case err != nil && ctx.Err() != nil && !connecting.Load():
		return control.NotSent
	case err != nil && ctx.Err() != nil:
		return control.TimedOut
	case err != nil:
		return control.ConnectFailed
	}
	resp.Body.Close()
	if resp.StatusCode >= 500 {
		return control.ServerError
	}
	return control.OK
}

// Check returns an error if Base is not an absolute HTTP URL without a query.
func (s Endpoint) Check() error {
	u, err := url.Parse(s.Base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || u.RawQuery != "" {
		return fmt.Errorf("%q is no HTTP address", s.Base)
	}
	return nil
}
