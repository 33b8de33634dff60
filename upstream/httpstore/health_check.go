package httpstore

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
)

const (
	healthCheckTimeout = 240 // ms
	maxHealthChecks    = 32  // health checks in flight
)

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
