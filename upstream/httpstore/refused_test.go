package httpstore

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// refusals are the ways in which an endpoint stops accepting new requests. Each of them may be undone.
var refusals = map[string]struct{ refuse, accept func(u *Upstream) }{
	"excluded": {
		func(u *Upstream) { u.Exclude(1, true) },
		func(u *Upstream) { u.Exclude(1, false) },
	},
	"draining": {
		func(u *Upstream) { u.UpdateEndpoints(core.EndpointList{Endpoints: listed(1, control.Draining)}) },
		func(u *Upstream) { u.UpdateEndpoints(core.EndpointList{Endpoints: listed(1, control.Ready)}) },
	},
	"gone": {
		func(u *Upstream) { u.UpdateEndpoints(core.EndpointList{Endpoints: listed(1, control.Gone)}) },
		func(u *Upstream) { u.UpdateEndpoints(core.EndpointList{Endpoints: listed(1, control.Ready)}) },
	},
	"no longer in the list": {
		func(u *Upstream) {
			u.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: listed(2, control.Ready)})
		},
		func(u *Upstream) {
			u.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: listed(1, control.Ready)})
		},
	},
}

func listed(id control.EndpointID, state control.State) []core.Endpoint {
	return []core.Endpoint{{Info: control.Endpoint{ID: id, State: state}}}
}

// busyEndpoint is an upstream whose only connection to its endpoint is in use until the test releases it.
type busyEndpoint struct {
	*Upstream
	events  chan core.Event
	release chan struct{}
	later   atomic.Int64 // requests that reached the endpoint after the first one
}

func newBusyEndpoint(t *testing.T) *busyEndpoint {
	b := &busyEndpoint{release: make(chan struct{})}
	arrived := make(chan struct{})
	var first atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if !first.CompareAndSwap(false, true) {
			b.later.Add(1)
			return
		}
		close(arrived)
		<-b.release
	}))
	t.Cleanup(server.Close)
	b.Upstream, b.events = startUpstream(t, Endpoint{Base: server.URL}, Options{MaxConns: 1})
	b.Send(get(1))
	<-arrived
	return b
}

// Neither an attempt nor a health check that waits for a connection reaches an endpoint that has stopped accepting new requests
// meanwhile, nor does a later one. What is in flight there goes on. Once the endpoint accepts requests again, it gets some.
func TestRefusingEndpointGetsNothingNew(t *testing.T) {
	for name, c := range refusals {
		t.Run(name, func(t *testing.T) {
			b := newBusyEndpoint(t)
			b.Send(get(2))
			b.CheckHealth(1)
			c.refuse(b.Upstream)
			b.Send(get(3))
			b.CheckHealth(1)
			close(b.release)
			for range 5 {
				b.expectOnlyFirstSent(t)
			}
			if n := b.later.Load(); n != 0 {
				t.Errorf("%d requests reached the endpoint", n)
			}
			c.accept(b.Upstream)
			b.Send(get(4))
			if e := (<-b.events).(core.AttemptResult); e.Outcome != control.OK {
				t.Errorf("once it accepts requests again: %+v", e)
			}
		})
	}
}

// expectOnlyFirstSent expects the result of an attempt or a health check: success of the first attempt, and of all others that they
// were not sent.
func (b *busyEndpoint) expectOnlyFirstSent(t *testing.T) {
	t.Helper()
	select {
	case ev := <-b.events:
		switch e := ev.(type) {
		case core.AttemptResult:
			if want := map[bool]control.Outcome{true: control.OK, false: control.NotSent}[e.ID == 1]; e.Outcome != want || e.Unconfirmed {
				t.Errorf("%+v, want %v", e, want)
			}
		case core.HealthCheckResult:
			if e.Outcome != control.NotSent {
				t.Errorf("%+v, want not sent", e)
			}
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no result")
	}
}
