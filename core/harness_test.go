package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// harness is a fake frontend and upstream. It checks the core's guarantees on the calls that it receives.
type harness struct {
	t     testing.TB
	clock *clock.Clock

	answers        map[uint64][]Answer                          // by request tag
	open           map[control.RequestID]map[int]AttemptRequest // attempts without a result
	sent           []AttemptRequest
	canceled       []AttemptKey // canceled by the core, and without a result yet
	canceledUnsent []AttemptKey // passed to CancelUnsent
	barriers       []AttemptKey // passed to ConfirmCancel, and without an answer yet
	excludedAt     []int        // number of attempts sent before each call of Exclude

	graceEnds     map[control.RequestID]float64 // end of the grace period after the last attempt
	localFailures map[control.RequestID]int     // attempts that failed on this host, which don't count towards MaxAttempts
	unconfirmed   map[AttemptKey]uint32         // endpoints of attempts that ended unconfirmed, until acknowledgement or barrier
	addresses     map[uint32]string             // of the endpoints that were given one
}

// sameProcess reports whether two endpoints are the same process, or have the same address.
func (h *harness) sameProcess(a, b uint32) bool {
	return a == b || h.addresses[a] != "" && h.addresses[a] == h.addresses[b]
}

// Answer implements Frontend.
func (h *harness) Answer(tag uint64, a Answer) { h.answers[tag] = append(h.answers[tag], a) }

// CheckHealth implements Upstream.
func (h *harness) CheckHealth(uint32) {}

// UpdateEndpoints implements Upstream.
func (h *harness) UpdateEndpoints(EndpointList) {}

// CancelUnsent implements Upstream.
func (h *harness) CancelUnsent(k AttemptKey) { h.canceledUnsent = append(h.canceledUnsent, k) }

// LimitCopyAge implements Upstream.
func (h *harness) LimitCopyAge(AttemptKey, float64) {}

// ConfirmCancel implements Upstream.
func (h *harness) ConfirmCancel(k AttemptKey, endpoint uint32) bool {
	if !h.sameProcess(h.unconfirmed[k], endpoint) {
		h.t.Errorf("attempt %v did not end unconfirmed at %d", k, endpoint)
	}
	h.barriers = append(h.barriers, k)
	return true
}

// endAttempt passes an attempt's result to the core, as the upstream does.
func (h *harness) endAttempt(c *Core, e AttemptResult) {
	delete(h.open[e.ID], e.Number)
	if e.Outcome == control.LocalFailure {
		h.localFailures[e.ID]++
	}
	if e.Unconfirmed {
		h.unconfirmed[e.AttemptKey] = h.sentAttempt(e.AttemptKey).Endpoint
	}
	c.Handle(e)
}

// confirm passes a CancelConfirmed or BarrierResult to the core, as the upstream does.
func (h *harness) confirm(c *Core, ev Event) {
	switch ev := ev.(type) {
	case CancelConfirmed:
		delete(h.unconfirmed, ev.AttemptKey)
	case BarrierResult:
		for _, k := range ev.Keys {
			if !ev.NoResponse {
				delete(h.unconfirmed, k)
			}
		}
	}
	c.Handle(ev)
}

func (h *harness) sentAttempt(k AttemptKey) AttemptRequest {
	return h.sent[slices.IndexFunc(h.sent, func(s AttemptRequest) bool { return s.AttemptKey == k })]
}

// Exclude implements Upstream.
func (h *harness) Exclude(uint32, bool) { h.excludedAt = append(h.excludedAt, len(h.sent)) }

// Cancel implements Upstream.
func (h *harness) Cancel(k AttemptKey, as control.Outcome) {
	h.canceled = append(h.canceled, k)
}

// Send implements Upstream.
func (h *harness) Send(s AttemptRequest) {
	if h.open[s.ID] == nil {
		h.open[s.ID] = map[int]AttemptRequest{}
	}
	if len(h.open[s.ID]) > 0 {
		h.t.Errorf("request %d has two attempts at once", s.ID)
	}
	if h.clock.Now() < h.graceEnds[s.ID] {
		h.t.Errorf("request %d: attempt %d was sent within the grace period of the previous one", s.ID, s.Number)
	}
	for k, endpoint := range h.unconfirmed {
		if k.ID == s.ID && h.sameProcess(endpoint, s.Endpoint) {
			h.t.Errorf("request %d: attempt %d was sent to an endpoint that has not confirmed the end of attempt %d", s.ID, s.Number, k.Number)
		}
	}
	if s.Number-h.localFailures[s.ID] >= 8 {
		h.t.Errorf("request %d has attempt %d", s.ID, s.Number)
	}
	h.open[s.ID][s.Number] = s
	h.sent = append(h.sent, s)
}

// newCore returns a core with two caches in its own zone, a parent and an origin.
func newCore(t testing.TB) (*Core, *harness, *clock.Clock) {
	clk := clock.Manual(1e12)
	h := &harness{
		t:             t,
		clock:         clk,
		answers:       map[uint64][]Answer{},
		open:          map[control.RequestID]map[int]AttemptRequest{},
		graceEnds:     map[control.RequestID]float64{},
		localFailures: map[control.RequestID]int{},
		unconfirmed:   map[AttemptKey]uint32{},
	}
	c, err := New(Options{
		Classes: []string{"tile", "ride-end", "mark"}, Clock: clk, Log: zerolog.Nop(), MaxOpen: 20,
		Settings: control.Settings{
			Gateways: 1, Zone: 1, GatewaysByZone: []int{0, 1}, HubOfZone: []int{0, 0}, Kinds: 3, ParentKind: 1, OriginKind: 2,
			BatchInterval: 2 * time.Millisecond, ClientKBps: 1000, WeightsKnown: true, MaxAttempts: 8, CanCancel: true,
			CanRetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, CanBypassCaches: true, ResultsDetailed: true,
			PurgeCompletion: 3 * time.Second,
			Classes: []control.Class{
				{LatencyObjective: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
				{LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Idempotency: control.NonIdempotent, Write: true},
				{LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Idempotency: control.IdempotentByKey, DedupWindow: 2 * time.Second, Write: true},
			},
		},
	}, h)
	if err != nil {
		t.Fatal(err)
	}
	ev := EndpointList{Snapshot: true}
	for i, kind := range []int{0, 0, 1, 2} {
		zone := 1
		if kind > 0 {
			zone = 0
		}
		ev.Endpoints = append(ev.Endpoints, Endpoint{Info: control.Endpoint{
			ID: control.EndpointID(i + 1), Kind: kind, Zone: zone, Weight: 10, State: control.Ready,
		}})
	}
	c.Handle(ev)
	return c, h, clk
}

// newRequest returns a request of a class that was received at a time, with 2.5 s until the client's deadline.
func newRequest(h *harness, tag uint64, class string, at float64) Request {
	return Request{Frontend: h, RequestTag: tag, Txn: fmt.Sprint(tag), Class: class, Object: tag % 7, ObjectName: "x", SizeKB: 40, ReceivedAt: at, Remaining: 2500}
}
