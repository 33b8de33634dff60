package httpstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
)

// errClientCanceled is the error of a request that its client canceled while it was being written.
var errClientCanceled = errors.New("httpstore: client canceled the request while it was being written")

// roundTrip sends an attempt, once, and returns its result.
func (u *Upstream) roundTrip(x *exchange, s core.AttemptRequest) core.AttemptResult {
	result := core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.NotSent}
	req, err := u.newRequest(x.ctx, x.endpoint.Endpoint, s)
	if err != nil {
		return result
	}
	pool := x.endpoint.pool(s)
	conn, err := pool.acquire(x.ctx)
	if err != nil {
		result.Outcome = unsentOutcome(err, x.ctx.Err() != nil)
		return result
	}
	defer pool.release(conn)
	if !u.beginSend(x, func() bool { return u.mayBeSent(s) }) {
		return result
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		result.Outcome, result.Unconfirmed = lostOutcome(err, x.ctx.Err() != nil), true
		if result.Outcome == control.ConnectionLost {
			pool.closeIdle() // the endpoint may have lost these as well, as after a restart
		}
		return result
	}
	defer resp.Body.Close()
	return u.readResult(x.ctx, s, resp)
}

// mayBeSent reports whether an attempt may still be sent now: its client has not canceled the request, and neither the client's
// deadline nor the send deadline has passed.
func (u *Upstream) mayBeSent(s core.AttemptRequest) bool {
	now := u.opt.Clock.Now()
	return (s.Canceled == nil || !s.Canceled.Load()) && (s.Deadline <= 0 || now < s.Deadline) && (s.SendDeadline <= 0 || now < s.SendDeadline)
}

// newRequest returns the HTTP request of an attempt.
func (u *Upstream) newRequest(ctx context.Context, endpoint Endpoint, s core.AttemptRequest) (*http.Request, error) {
	method := http.MethodGet
	if len(s.Body) > 0 || s.Write {
		method = http.MethodPost
	}
	target := strings.TrimSuffix(endpoint.Base, "/") + "/" + s.Class + "/" + url.PathEscape(s.ObjectName) + "/" +
		strconv.FormatUint(uint64(s.Part), 10)
	req, err := http.NewRequestWithContext(ctx, method, target, cancelableBody{bytes.NewReader(s.Body), s.Canceled})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(s.Body))
	if len(s.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Close = s.NonIdempotent // its connection carries no other request
	req.Header.Set("X-Txn", s.Txn)
	if s.MaxAge > 0 {
		req.Header.Set("Cache-Control", "max-age="+strconv.Itoa(int(s.MaxAge/1000)))
	}
	if s.ClientETag != "" {
		req.Header.Set("If-None-Match", `"`+s.ClientETag+`"`)
	}
	endpoint.authorize(req, s.Body, u.opt.Clock)
	return req, nil
}

// authorize signs a request with the given body, or without a signer sets the user of the base URL, if that has one. The other
// headers must be set before.
func (s Endpoint) authorize(req *http.Request, body []byte, now *clock.Clock) {
	if s.Signer != nil {
		s.Signer.Sign(req, body, time.UnixMilli(int64(now.Unix())))
		return
	}
	if user := req.URL.User; user != nil {
		password, _ := user.Password()
		req.SetBasicAuth(user.Username(), password)
	}
}

// pool returns the connections for an attempt. One that must not run twice would be lost on a kept-alive connection that the
// endpoint has closed meanwhile.
func (e *endpoint) pool(s core.AttemptRequest) *connPool {
	if s.NonIdempotent {
		return e.singleUseConns
	}
	return e.conns
}

// unsentOutcome returns the outcome of an attempt that got no connection, given whether it was canceled, which it also is if its
// endpoint was excluded. A failure local to this host is not counted against the endpoint.
func unsentOutcome(err error, canceled bool) control.Outcome {
	switch {
	case canceled:
		return control.NotSent
	case neterr.IsLocal(err):
		return control.LocalFailure
	default:
		return control.ConnectFailed
	}
}

// lostOutcome returns the outcome of an attempt that may have been sent and has no response, given whether it was canceled. A
// failure local to this host or a client's cancellation is not counted against the endpoint.
func lostOutcome(err error, canceled bool) control.Outcome {
	if canceled || neterr.IsLocal(err) || errors.Is(err, errClientCanceled) {
		return control.Canceled
	}
	return control.ConnectionLost
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
