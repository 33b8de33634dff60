package hollow

import (
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// probeLatency is the response time of the null upstream to health checks.
const probeLatency = 2 * time.Millisecond

// nullUpstream replaces the connections to endpoints: it answers each health check with the load report of an idle
// endpoint, and sends no attempts.
type nullUpstream struct {
	post func(core.Event)
}

var _ core.Upstream = (*nullUpstream)(nil)

// CheckHealth posts the result after probeLatency, as an upstream must not post events from within the call.
func (u *nullUpstream) CheckHealth(member uint32) {
	time.AfterFunc(probeLatency, func() {
		u.post(core.HealthCheckResult{Endpoint: member, Outcome: control.OK, Load: &control.LoadReport{}})
	})
}

// Send fails the attempt as if the endpoint were unreachable. A gateway without frontends makes no attempts.
func (u *nullUpstream) Send(s core.AttemptRequest) {
	time.AfterFunc(0, func() { u.post(core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.ConnectFailed}) })
}

// Cancel does nothing: there are no attempts to cancel.
func (*nullUpstream) Cancel(core.AttemptKey, control.Outcome) {}

// CancelUnsent does nothing: there are no attempts.
func (*nullUpstream) CancelUnsent(core.AttemptKey) {}

// LimitCopyAge does nothing: there are no attempts.
func (*nullUpstream) LimitCopyAge(core.AttemptKey, float64) {}

// ConfirmCancel returns false: there are no attempts.
func (*nullUpstream) ConfirmCancel(core.AttemptKey, uint32) bool { return false }

// UpdateEndpoints does nothing: there are no connections to endpoints.
func (*nullUpstream) UpdateEndpoints(core.EndpointList) {}

// Exclude does nothing: there are no connections to endpoints.
func (*nullUpstream) Exclude(member uint32, excluded bool) {}
