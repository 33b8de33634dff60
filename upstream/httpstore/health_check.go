package httpstore

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
)

const (
	healthCheckTimeout = 240 * time.Millisecond
	maxHealthChecks    = 32 // health checks in flight
)

// CheckHealth checks whether an endpoint responds. The result has no load report.
func (u *Upstream) CheckHealth(endpoint uint32) {
	u.wg.Add(1)
	go func() {
		defer u.wg.Done()
		result := core.HealthCheckResult{Endpoint: endpoint, Outcome: control.ConnectFailed}
		target := u.endpoints[endpoint]
		if n := u.healthChecks.Add(1); target != nil && n <= maxHealthChecks {
			result.Outcome = u.checkHealth(target)
		} else if target != nil { // the limit of this upstream, which says nothing about the endpoint
			result.Outcome = control.NotSent
		}
		u.healthChecks.Add(-1)
		u.post(result)
	}()
}

// checkHealth sends a health check, once, and returns its outcome.
func (u *Upstream) checkHealth(target *endpoint) control.Outcome {
	x := u.newExchange(target, healthCheckTimeout)
	defer u.endExchange(x)
	req, err := u.newHealthCheck(x.ctx, target.Endpoint)
	if err != nil {
		return control.ConnectFailed
	}
	conn, err := target.conns.acquire(x.ctx)
	if err != nil {
		return failedHealthCheckOutcome(x.ctx, err)
	}
	defer target.conns.release(conn)
	if !u.beginSend(x, nil) {
		return control.NotSent
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return failedHealthCheckOutcome(x.ctx, err)
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return control.ServerError
	}
	return control.OK
}

// newHealthCheck returns the HTTP request of a health check.
func (u *Upstream) newHealthCheck(ctx context.Context, endpoint Endpoint) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, strings.TrimSuffix(endpoint.Base, "/")+"/"+u.opt.HealthCheckPath, nil)
	if err != nil {
		return nil, err
	}
	endpoint.authorize(req, nil, u.opt.Clock)
	return req, nil
}

// failedHealthCheckOutcome returns the outcome of a health check without a response. A failure local to this host, the limit on
// connections and a cancellation say nothing about the endpoint.
func failedHealthCheckOutcome(ctx context.Context, err error) control.Outcome {
	switch {
	case neterr.IsLocal(err):
		return control.LocalFailure
	case errors.Is(err, errConnLimit), errors.Is(ctx.Err(), context.Canceled):
		return control.NotSent
	case ctx.Err() != nil:
		return control.TimedOut
	default:
		return control.ConnectFailed
	}
}
