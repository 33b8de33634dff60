package httpstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
)

// errClientCanceled is the error of a request that its client canceled while it was being written.
var errClientCanceled = errors.New("httpstore: client canceled the request while it was being written")

// roundTrip sends an attempt and returns its result.
func (u *Upstream) roundTrip(ctx context.Context, s core.AttemptRequest, a *attempt) core.AttemptResult {
	result := core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.NotSent}
	endpoint, ok := u.opt.Endpoints[s.Endpoint]
	if !ok {
		return result
	}
	var mayBeSent atomic.Bool // bytes of the request may have been sent
	ctx = u.withLastCheck(ctx, s, a, &mayBeSent)
	req, err := u.newRequest(ctx, endpoint, s)
	if err != nil {
		return result
	}
	resp, err := u.clientFor(s).Do(req)
	if err != nil {
		result.Unconfirmed = mayBeSent.Load()
		result.Outcome = failureOutcome(err, mayBeSent.Load(), ctx.Err() != nil)
		return result
	}
	defer resp.Body.Close()
	return u.readResult(ctx, s, resp)
}

// withLastCheck returns a context that has the attempt checked once more when it has a connection, before bytes are sent: nothing
// is sent if the attempt or the request was canceled, a deadline has passed, or the endpoint was excluded. Otherwise it sets
// mayBeSent.
func (u *Upstream) withLastCheck(ctx context.Context, s core.AttemptRequest, a *attempt, mayBeSent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(conn httptrace.GotConnInfo) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if ctx.Err() != nil || s.Canceled != nil && s.Canceled.Load() || u.deadlinePassed(s) {
			a.cancel()
			conn.Conn.Close() // the transport writes to a connection that it has obtained even if the context is canceled
			return
		}
		a.mayBeSent = true
		mayBeSent.Store(true)
	}})
}

// deadlinePassed reports whether the client's deadline or the send deadline of the attempt's idempotency key has passed.
func (u *Upstream) deadlinePassed(s core.AttemptRequest) bool {
	now := u.opt.Clock.Now()
	return s.Deadline > 0 && now >= s.Deadline || s.SendDeadline > 0 && now >= s.SendDeadline
}

// newRequest returns the HTTP request of an attempt.
func (u *Upstream) newRequest(ctx context.Context, endpoint Endpoint, s core.AttemptRequest) (*http.Request, error) {
	method := http.MethodGet
	if len(s.Body) > 0 || s.Write {
		method = http.MethodPost
	}
	target := strings.TrimSuffix(endpoint.Base, "/") + "/" + s.Class + "/" + url.PathEscape(s.ObjectName) + "/" +
		strconv.FormatUint(uint64(s.Part), 10)
	// Without GetBody the transport cannot resend a write by itself.
	req, err := http.NewRequestWithContext(ctx, method, target, cancelableBody{bytes.NewReader(s.Body), s.Canceled})
	if err != nil {
		return nil, err
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
	return req, nil
}

// clientFor returns the HTTP client for an attempt. One that must not run twice would be lost on a kept-alive connection that the
// endpoint has closed meanwhile.
func (u *Upstream) clientFor(s core.AttemptRequest) *http.Client {
	if s.NonIdempotent {
		return u.singleUse
	}
	return u.client
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
