package mux

import (
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// recorder is an upstream that counts its calls and reaches a given set of endpoints.
type recorder struct {
	endpoints map[uint32]bool
	calls     map[string]int
}

func newRecorder(endpoints ...uint32) *recorder {
	r := &recorder{endpoints: map[uint32]bool{}, calls: map[string]int{}}
	for _, endpoint := range endpoints {
		r.endpoints[endpoint] = true
	}
	return r
}

func (r *recorder) Has(endpoint uint32) bool                { return r.endpoints[endpoint] }
func (r *recorder) Send(core.AttemptRequest)                { r.calls["Send"]++ }
func (r *recorder) Cancel(core.AttemptKey, control.Outcome) { r.calls["Cancel"]++ }
func (r *recorder) CancelUnsent(core.AttemptKey)            { r.calls["CancelUnsent"]++ }
func (r *recorder) LimitCopyAge(core.AttemptKey, float64)   { r.calls["LimitCopyAge"]++ }
func (r *recorder) ConfirmCancel(core.AttemptKey, uint32) bool {
	r.calls["ConfirmCancel"]++
	return true
}
func (r *recorder) CheckHealth(uint32)                { r.calls["CheckHealth"]++ }
func (r *recorder) UpdateEndpoints(core.EndpointList) { r.calls["UpdateEndpoints"]++ }
func (r *recorder) Exclude(uint32, bool)              { r.calls["Exclude"]++ }

// Each call is routed to the upstream of its endpoint or attempt; the endpoint list and exclusions go to both.
func TestCallsReachTheirUpstream(t *testing.T) {
	const byPrimary, byFallback = 1, 2
	send := func(u *Upstream, endpoint uint32) core.AttemptKey {
		key := core.AttemptKey{Number: int(endpoint)}
		u.Send(core.AttemptRequest{AttemptKey: key, Endpoint: endpoint})
		return key
	}
	for _, c := range []struct {
		name        string
		call        func(u *Upstream, endpoint uint32)
		method      string
		reachesBoth bool
	}{
		{"send", func(u *Upstream, endpoint uint32) { send(u, endpoint) }, "Send", false},
		{"cancel", func(u *Upstream, endpoint uint32) { u.Cancel(send(u, endpoint), 0) }, "Cancel", false},
		{"cancel if unsent", func(u *Upstream, endpoint uint32) { u.CancelUnsent(send(u, endpoint)) }, "CancelUnsent", false},
		{"limit of the copy's age", func(u *Upstream, endpoint uint32) { u.LimitCopyAge(send(u, endpoint), 1) }, "LimitCopyAge", false},
		{"confirmation", func(u *Upstream, endpoint uint32) { u.ConfirmCancel(core.AttemptKey{}, endpoint) }, "ConfirmCancel", false},
		{"health check", func(u *Upstream, endpoint uint32) { u.CheckHealth(endpoint) }, "CheckHealth", false},
		{"endpoint list", func(u *Upstream, _ uint32) { u.UpdateEndpoints(core.EndpointList{}) }, "UpdateEndpoints", true},
		{"exclusion", func(u *Upstream, endpoint uint32) { u.Exclude(endpoint, true) }, "Exclude", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, endpoint := range []uint32{byPrimary, byFallback} {
				primary, fallback := newRecorder(byPrimary), newRecorder(byFallback)
				c.call(&Upstream{Primary: primary, Fallback: fallback}, endpoint)
				wantPrimary, wantFallback := 0, 0
				if c.reachesBoth || endpoint == byPrimary {
					wantPrimary = 1
				}
				if c.reachesBoth || endpoint == byFallback {
					wantFallback = 1
				}
				if primary.calls[c.method] != wantPrimary || fallback.calls[c.method] != wantFallback {
					t.Errorf("endpoint %d: %v and %v", endpoint, primary.calls, fallback.calls)
				}
			}
		})
	}
}

// A cancellation goes to the upstream that sent the attempt even if that no longer reaches the endpoint. The attempt is
// removed from the table with its result.
func TestAttemptStaysUntilItsResult(t *testing.T) {
	primary, fallback := newRecorder(1), newRecorder()
	u := &Upstream{Primary: primary, Fallback: fallback}
	var posted []core.Event
	post := u.TrackResults(func(event core.Event) { posted = append(posted, event) })
	key := core.AttemptKey{Number: 1}
	u.Send(core.AttemptRequest{AttemptKey: key, Endpoint: 1})
	delete(primary.endpoints, 1)
	u.Cancel(key, 0)
	if primary.calls["Cancel"] != 1 || fallback.calls["Cancel"] != 0 {
		t.Errorf("canceled at %v and %v", primary.calls, fallback.calls)
	}
	post(core.AttemptResult{AttemptKey: key})
	if len(posted) != 1 || len(u.byPrimary) != 0 {
		t.Errorf("%d events posted, %d attempts kept", len(posted), len(u.byPrimary))
	}
}
