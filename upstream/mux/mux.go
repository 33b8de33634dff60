// Package mux routes each attempt to the upstream that reaches its endpoint, where a gateway has two of them.
//
// It keeps one table: which attempts in flight were sent by the primary upstream, so that a cancellation reaches the upstream
// that sent the attempt even after the endpoint list has changed. It opens no connections and makes no routing decisions.
package mux

import (
	"sync"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// SelectiveUpstream is an upstream that reaches some endpoints only.
type SelectiveUpstream interface {
	core.Upstream
	// Has reports whether the upstream reaches the endpoint.
	Has(endpoint uint32) bool
}

// Upstream uses Primary for the endpoints that it reaches and Fallback for all others. Its methods may be called from several
// goroutines at once.
type Upstream struct {
	Primary  SelectiveUpstream
	Fallback core.Upstream

	mu        sync.Mutex
	byPrimary map[core.AttemptKey]struct{} // the attempts that Primary sent, until their results are posted
}

// Send starts an attempt.
func (u *Upstream) Send(attempt core.AttemptRequest) {
	if !u.Primary.Has(attempt.Endpoint) {
		u.Fallback.Send(attempt)
		return
	}
	u.recordPrimary(attempt.AttemptKey)
	u.Primary.Send(attempt)
}

// Cancel cancels an attempt, which then ends with the given result.
func (u *Upstream) Cancel(key core.AttemptKey, result control.Outcome) {
	u.ofAttempt(key).Cancel(key, result)
}

// CancelUnsent ends an attempt that is not sent yet.
func (u *Upstream) CancelUnsent(key core.AttemptKey) { u.ofAttempt(key).CancelUnsent(key) }

// LimitCopyAge makes an attempt that is not yet written ask for no copy older than maxAge.
func (u *Upstream) LimitCopyAge(key core.AttemptKey, maxAge float64) {
	u.ofAttempt(key).LimitCopyAge(key, maxAge)
}

// ConfirmCancel asks an endpoint to confirm that it has read the cancellation of an attempt.
func (u *Upstream) ConfirmCancel(key core.AttemptKey, endpoint uint32) bool {
	return u.ofEndpoint(endpoint).ConfirmCancel(key, endpoint)
}

// CheckHealth sends a health check to an endpoint.
func (u *Upstream) CheckHealth(endpoint uint32) {
	u.ofEndpoint(endpoint).CheckHealth(endpoint)
}

// UpdateEndpoints passes the endpoint list to both upstreams.
func (u *Upstream) UpdateEndpoints(list core.EndpointList) {
	u.Primary.UpdateEndpoints(list)
	u.Fallback.UpdateEndpoints(list)
}

// Exclude notifies both upstreams, because an endpoint of one may be the fill source of an endpoint of the other.
func (u *Upstream) Exclude(endpoint uint32, excluded bool) {
	u.Primary.Exclude(endpoint, excluded)
	u.Fallback.Exclude(endpoint, excluded)
}

// TrackResults wraps the function that both upstreams post their events to. It removes an attempt from the table when its
// result is posted.
func (u *Upstream) TrackResults(post func(core.Event)) func(core.Event) {
	return func(event core.Event) {
		if result, ok := event.(core.AttemptResult); ok {
			u.forget(result.AttemptKey)
		}
		post(event)
	}
}

// recordPrimary records that the primary upstream sends an attempt.
func (u *Upstream) recordPrimary(key core.AttemptKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byPrimary == nil {
		u.byPrimary = map[core.AttemptKey]struct{}{}
	}
	u.byPrimary[key] = struct{}{}
}

// forget removes an attempt that has ended from the table.
func (u *Upstream) forget(key core.AttemptKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byPrimary, key)
}

// ofAttempt returns the upstream that sent an attempt.
func (u *Upstream) ofAttempt(key core.AttemptKey) core.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.byPrimary[key]; ok {
		return u.Primary
	}
	return u.Fallback
}

// ofEndpoint returns the upstream that currently reaches an endpoint.
func (u *Upstream) ofEndpoint(endpoint uint32) core.Upstream {
	if u.Primary.Has(endpoint) {
		return u.Primary
	}
	return u.Fallback
}
