package core_test

import (
	"sync/atomic"
	"testing"
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// Events that are handled while an attempt is deferred apply to it. The endpoint does not process cancellations meanwhile and the
// clock does not advance, so that the attempt stays deferred until all events are handled.
func TestDeferredAttemptIsReconsidered(t *testing.T) {
	drain := func(m *control.Endpoint) { m.State = control.Draining }
	for _, c := range []struct {
		name  string
		event func(r *rig, canceled *atomic.Bool)
		check func(r *rig, second []fakestore.Command) bool // checks the GETs received after the first
	}{
		{"nothing", func(*rig, *atomic.Bool) {}, func(_ *rig, second []fakestore.Command) bool { return len(second) > 0 }},
		{"all endpoints drain", func(r *rig, _ *atomic.Bool) { r.changeEndpoints(drain, 0, 1, 2, 3, 4) },
			func(_ *rig, second []fakestore.Command) bool { return len(second) == 0 }},
		{"all endpoints are removed", func(r *rig, _ *atomic.Bool) { r.core.Post(core.EndpointList{Snapshot: true}) },
			func(_ *rig, second []fakestore.Command) bool { return len(second) == 0 }},
		{"the sources drain", func(r *rig, _ *atomic.Bool) { r.changeEndpoints(drain, 3, 4) },
			func(_ *rig, second []fakestore.Command) bool {
				for _, c := range second {
					if c.Fields["via"] != "" {
						return false
					}
				}
				return len(second) > 0
			}},
		{"the caches have restarted", func(r *rig, _ *atomic.Bool) {
			r.clock.Advance(1)
			r.changeEndpoints(func(m *control.Endpoint) { m.StartedAt = clock.Duration(r.clock.Now()) }, 0, 1, 2)
		}, func(r *rig, _ []fakestore.Command) bool { return r.stats().Attempts > 2 }}, // the controller decides again
		{"the object is purged", func(r *rig, _ *atomic.Bool) { r.core.Post(core.Purge{Object: 7, At: r.clock.Unix()}) },
			func(_ *rig, second []fakestore.Command) bool {
				return len(second) > 0 && second[0].Fields["fresh"] == "1"
			}},
		{"its group is purged", func(r *rig, _ *atomic.Bool) { r.core.Post(core.Purge{Group: 3, At: r.clock.Unix()}) },
			func(_ *rig, second []fakestore.Command) bool {
				return len(second) > 0 && second[0].Fields["fresh"] == "1"
			}},
		{"the age of copies is bounded", func(r *rig, _ *atomic.Bool) {
			r.maxCopyAge.Store(int64(6500 * time.Millisecond))
			r.core.Post(core.CopyAgeLimited{})
		}, func(_ *rig, second []fakestore.Command) bool {
			return len(second) > 0 && second[0].Fields["fresh"] == "6500"
		}},
		{"the age of copies is bounded, and the object is purged", func(r *rig, _ *atomic.Bool) {
			r.maxCopyAge.Store(int64(6500 * time.Millisecond))
			r.core.Post(core.Purge{Object: 7, At: r.clock.Unix()})
			r.core.Post(core.CopyAgeLimited{})
		}, func(_ *rig, second []fakestore.Command) bool {
			return len(second) > 0 && second[0].Fields["fresh"] == "1"
		}},
		{"the client disconnects", func(r *rig, _ *atomic.Bool) { r.core.Post(core.CancelRequest{Frontend: r, RequestTag: 1}) },
			func(_ *rig, second []fakestore.Command) bool { return len(second) == 0 }},
		{"the client disconnects, CancelRequest not handled yet", func(_ *rig, canceled *atomic.Bool) { canceled.Store(true) },
			func(_ *rig, second []fakestore.Command) bool { return len(second) == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.endpoints.PauseCancellations()
			var canceled atomic.Bool
			txn := string(rune('a'+fakestore.ResetAfterRequest)) + "000000000000001"
			r.core.Post(core.Request{
				Frontend: r, RequestTag: 1, Txn: txn, Class: "tile", Object: 7, ObjectName: "0000000000000007", Group: 3, SizeKB: 40,
				ReceivedAt: r.clock.Now(), Remaining: 2500, Canceled: &canceled,
			})
			r.waitFor("a deferred attempt", func() bool { return r.stats().Deferred == 1 })
			c.event(r, &canceled)
			r.stats() // all events are handled
			r.endpoints.Resume()
			r.waitFor("the end of the first attempt at the endpoint", func() bool { return r.endpoints.OpenAttempts(txn) == 0 })
			idle := make(chan struct{})
			r.core.Post(core.WhenIdle{Done: idle})
			r.waitFor("the core to become idle", func() bool {
				r.clock.Advance(41)
				r.stats()
				select {
				case <-idle:
					return true
				default:
					return false
				}
			})
			if second := r.endpoints.AllGets()[1:]; !c.check(r, second) {
				t.Errorf("unexpected GETs after the first: %+v; %+v", second, r.stats())
			}
		})
	}
}
