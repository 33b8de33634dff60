package core_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/upstream/resp"
)

const (
	dedupWindowMs  = 2000 // of the class mark
	idempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
)

// rig is a core with a RESP upstream, connected over sockets to fake endpoints that can be made to process cancellations late.
type rig struct {
	*testing.T
	core  *core.Core
	clock *clock.Clock
	list  core.EndpointList // of the endpoints

	endpoints       *fakestore.SlowServer
	allowConcurrent bool // concurrent attempts of a request are an error only at the same endpoint

	mu      sync.Mutex
	answers map[uint64][]core.Answer

	maxCopyAge atomic.Int64 // returned by Options.MaxCopyAge, in ns
}

// Answer implements core.Frontend.
func (r *rig) Answer(tag uint64, a core.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[tag] = append(r.answers[tag], a)
}

// newRig returns a rig. The first letter of a request's ID selects the behavior of its first GET.
func newRig(t *testing.T) *rig {
	r := &rig{T: t, clock: clock.Manual(1e12), answers: map[uint64][]core.Answer{}, list: core.EndpointList{Snapshot: true}}
	var err error
	r.endpoints, err = fakestore.NewSlowServer(5, func(c fakestore.Command, n int) fakestore.Behavior {
		if n > 0 {
			return fakestore.Succeed
		}
		return fakestore.Behavior(c.ID[0] - 'a')
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.endpoints.Close)
	opt := core.Options{
		Classes: []string{"tile", "mark"}, Clock: r.clock, Log: zerolog.Nop(),
		Settings: control.Settings{
			Gateways: 1, Zone: 1, GatewaysByZone: []int{0, 1}, HubOfZone: []int{0, 0}, Kinds: 3, ParentKind: 1, OriginKind: 2,
			BatchInterval: 2 * time.Millisecond, ClientKBps: 1000, WeightsKnown: true, MaxAttempts: 8, CanCancel: true,
			CanRetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, CanBypassCaches: true, ResultsDetailed: true, ClientsMarkRetries: true,
			Classes: []control.Class{
				{LatencyObjective: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
				{LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Idempotency: control.IdempotentByKey, DedupWindow: dedupWindowMs * time.Millisecond, Write: true},
			},
		},
	}
	pool := resp.New(resp.Options{
		DialTimeout: 5000, HealthCheckTimeout: 5000, MaxAttemptsPerConn: 100, MaxConns: 40, Clock: r.clock, Log: zerolog.Nop(),
	}, func(ev core.Event) { r.core.Post(ev) })
	opt.MaxCopyAge = func() time.Duration { return time.Duration(r.maxCopyAge.Load()) }
	if r.core, err = core.New(opt, pool); err != nil {
		t.Fatal(err)
	}
	for i, kind := range []int{0, 0, 0, 1, 2} {
		r.list.Endpoints = append(r.list.Endpoints, core.Endpoint{Addr: r.endpoints.Addrs[i], Info: control.Endpoint{
			ID: control.EndpointID(i + 1), Kind: kind, Zone: min(1, max(0, 1-kind)), Weight: 10, State: control.Ready,
		}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.core.Run(ctx) })
	t.Cleanup(func() { cancel(); pool.Close(); wg.Wait() })
	r.core.Post(r.list)
	return r
}

// post posts a request for a part of object 7 whose first attempt has the given behavior, and returns its ID.
func (r *rig) post(tag uint64, behavior fakestore.Behavior, part uint32) string {
	txn := string(rune('a'+behavior)) + strings.Repeat("0", 15)
	r.core.Post(core.Request{
		Frontend: r, RequestTag: tag, Txn: txn, Class: "tile", Object: 7, ObjectName: "0000000000000007", Part: part, SizeKB: 40,
		ReceivedAt: r.clock.Now(), Remaining: 2500,
	})
	return txn
}

// stats returns the core's counters once it has handled all earlier events. It also has the core fire the timers that are due.
func (r *rig) stats() core.Stats {
	reply := make(chan core.Stats, 1)
	r.core.Post(core.GetStats{Reply: reply})
	return <-reply
}

// waitFor polls until a condition holds, and fails the test after 20 s.
func (r *rig) waitFor(what string, ok func() bool) {
	r.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if r.endpoints.DuplicateGets() > 0 && !r.allowConcurrent || r.endpoints.DuplicateGetsAtSameEndpoint() > 0 {
			r.Fatalf("a request had two concurrent attempts while waiting for: %s", what)
		}
		if time.Now().After(limit) {
			r.Fatalf("timed out waiting for: %s; %+v", what, r.stats())
		}
	}
}

// answerTo returns the answer to a request, which must have one.
func (r *rig) answerTo(tag uint64) core.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[tag][0]
}

// answerCount returns the number of answers to a request.
func (r *rig) answerCount(tag uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.answers[tag])
}

// advanceUntilCanceled advances the clock in steps of 20 ms until the core cancels an attempt.
func (r *rig) advanceUntilCanceled() {
	for before := r.stats().Canceled; r.stats().Canceled == before; {
		r.clock.Advance(20)
	}
}

// changeEndpoints applies change to some entries of the endpoint list and posts them.
func (r *rig) changeEndpoints(change func(*control.Endpoint), which ...int) {
	list := core.EndpointList{}
	for _, i := range which {
		s := r.list.Endpoints[i]
		change(&s.Info)
		list.Endpoints = append(list.Endpoints, s)
	}
	r.core.Post(list)
}

// postKeyed posts a keyed write whose first attempt has the given behavior, with the remaining time in ms.
func (r *rig) postKeyed(behavior fakestore.Behavior, key string, remaining float64, retry bool) (txn string) {
	txn = string(rune('a'+behavior)) + "mark"
	r.core.Post(core.Request{
		Frontend: r, RequestTag: 1, Txn: txn, Class: "mark", Object: 7, ObjectName: "0000000000000007", SizeKB: 1, ReceivedAt: r.clock.Now(),
		Remaining: remaining, IdempotencyKey: key, Retry: retry,
	})
	return txn
}

// waitForAnswer waits for the answer to request 1 and returns it.
func (r *rig) waitForAnswer() core.Answer {
	r.waitFor("the answer", func() bool { r.stats(); return r.answerCount(1) > 0 })
	return r.answers[1][0]
}
