package httpstore

import (
	"context"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// endpoint is an endpoint with its connections. The upstream's lock guards the other fields.
type endpoint struct {
	Endpoint
	conns          *connPool
	singleUseConns *connPool // for requests that must not run twice: a new connection for each
	excluded       bool      // by operators
	unavailable    bool      // by the endpoint list: it drains or is gone
	unsent         map[*exchange]struct{}
}

// exchange is one request to an endpoint, an attempt or a health check, and its response. It ends unsent if the endpoint stops
// accepting new requests before its last check.
type exchange struct {
	endpoint *endpoint
	ctx      context.Context // canceled with the exchange
	cancel   context.CancelFunc
}

// acceptsRequests reports whether the endpoint may be sent new requests.
func (e *endpoint) acceptsRequests() bool { return !e.excluded && !e.unavailable }

// cancelUnsent cancels the exchanges that have not passed their last check. Without it, those that wait for a connection would reach
// an endpoint that no longer accepts new requests, possibly after its grace period.
func (e *endpoint) cancelUnsent() {
	for x := range e.unsent {
		x.cancel()
	}
}

// newExchange registers an exchange with an endpoint, which the caller must end. It is canceled already if the endpoint accepts no
// new requests. With a timeout of 0 it has none.
func (u *Upstream) newExchange(target *endpoint, timeout time.Duration) *exchange {
	x := &exchange{endpoint: target}
	if timeout > 0 {
		x.ctx, x.cancel = context.WithTimeout(u.ctx, timeout)
	} else {
		x.ctx, x.cancel = context.WithCancel(u.ctx)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !target.acceptsRequests() {
		x.cancel()
	}
	target.unsent[x] = struct{}{}
	return x
}

// endExchange removes an exchange and releases its context.
func (u *Upstream) endExchange(x *exchange) {
	x.cancel()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(x.endpoint.unsent, x)
}

// beginSend is the last check of an exchange, which has a connection, before bytes of it are sent. It reports false if the exchange
// was canceled, also because its endpoint accepts no new requests any more; otherwise it counts as sent. permitted, if not nil, is
// asked as well.
func (u *Upstream) beginSend(x *exchange, permitted func() bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if x.ctx.Err() != nil || permitted != nil && !permitted() {
		return false
	}
	delete(x.endpoint.unsent, x)
	return true
}

// Has reports whether this upstream reaches the endpoint.
func (u *Upstream) Has(id uint32) bool { return u.endpoints[id] != nil }

// UpdateEndpoints applies an update of the endpoint list. Exchanges with an endpoint that drains or is gone are canceled if they
// are not sent yet, and so are all later ones until the list has it ready again. The addresses of the endpoints are set in the
// configuration and do not change.
func (u *Upstream) UpdateEndpoints(list core.EndpointList) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if list.Snapshot {
		for _, target := range u.endpoints {
			target.unavailable = true
		}
	}
	for _, listed := range list.Endpoints {
		if target := u.endpoints[uint32(listed.Info.ID)]; target != nil {
			target.unavailable = listed.Info.State != control.Ready
		}
	}
	for _, target := range u.endpoints {
		if target.unavailable {
			target.cancelUnsent()
		}
	}
}

// Exclude cancels the exchanges with an endpoint that are not sent yet, and all later ones until it is called with excluded
// false.
func (u *Upstream) Exclude(id uint32, excluded bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	target := u.endpoints[id]
	if target == nil {
		return
	}
	target.excluded = excluded
	if excluded {
		target.cancelUnsent()
	}
}
