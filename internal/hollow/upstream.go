package hollow

import (
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// probeLatency is how long a store of the null upstream takes to answer a probe.
const probeLatency = 2 * time.Millisecond

// nullUpstream stands in for the stores: it answers each probe with an idle store's report, and carries no attempt.
type nullUpstream struct {
	post func(core.Event)
}

var _ core.Upstream = (*nullUpstream)(nil)

// CheckHealth answers later, as an upstream must not post events from within the call.
func (u *nullUpstream) CheckHealth(member uint32) {
	time.AfterFunc(probeLatency, func() {
		u.post(core.HealthCheckResult{Endpoint: member, Outcome: control.OK, Load: &control.LoadReport{}})
	})
}

// Send refuses an attempt as a store that can't be reached does. A gateway without fronts makes none.
func (u *nullUpstream) Send(s core.AttemptRequest) {
	time.AfterFunc(0, func() { u.post(core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.ConnectFailed}) })
}

// Cancel does nothing: there are no attempts to cancel.
func (*nullUpstream) Cancel(core.AttemptKey, control.Outcome) {}

// LimitCopyAge does nothing: there are no attempts.
func (*nullUpstream) LimitCopyAge(core.AttemptKey, float64) {}

// ConfirmCancel returns false: there are no attempts.
func (*nullUpstream) ConfirmCancel(core.AttemptKey, uint32) bool { return false }

// UpdateEndpoints does nothing: there are no connections to stores.
func (*nullUpstream) UpdateEndpoints(core.EndpointList) {}

// Exclude does nothing: there are no connections to stores.
func (*nullUpstream) Exclude(member uint32, excluded bool) {}
