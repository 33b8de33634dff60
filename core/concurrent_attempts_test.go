package core_test

import (
	"strconv"
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// However an attempt ends, the next attempt of its request is sent only once it is certain that the endpoints do not process
// both at the same time.
func TestNoConcurrentAttemptsAtSlowEndpoint(t *testing.T) {
	const (
		answered            = iota // the endpoint answers
		closed                     // the connection is closed
		canceled                   // the gateway cancels, and the endpoint acknowledges that
		canceledWithoutPing        // the gateway cancels at a draining endpoint, which gets no barrier ping
	)
	ways := []struct {
		name     string
		behavior fakestore.Behavior
		kind     int // how the attempt ends, one of the constants above
		act      func(r *rig)
	}{
		{"good", fakestore.Succeed, answered, nil},
		{"miss", fakestore.Missing, answered, nil},
		{"overloaded", fakestore.Busy, answered, nil},
		{"error", fakestore.Failing, answered, nil},
		{"corrupt", fakestore.Malformed, closed, nil},
		{"array too short", fakestore.ShortArray, closed, nil},
		{"unknown status", fakestore.UnknownStatus, closed, nil},
		{"confirms a copy that was not named", fakestore.WrongNotModified, closed, nil},
		{"cut", fakestore.CloseMidResponse, closed, nil},
		{"reset while reading", fakestore.ResetAfterRequest, closed, nil},
		{"reset while writing", fakestore.ResetMidResponse, closed, nil},
		{"stalled", fakestore.StallMidResponse, closed, nil},
		{"no response, canceled by time-out", fakestore.NoResponse, canceled, (*rig).advanceUntilCanceled},
		{"canceled at a draining endpoint", fakestore.NoResponse, canceledWithoutPing, func(r *rig) {
			list := core.EndpointList{}
			for _, s := range r.list.Endpoints[:4] {
				s.Info.State = control.Draining
				list.Endpoints = append(list.Endpoints, s)
			}
			r.core.Post(list)
			r.advanceUntilCanceled()
		}},
	}
	for _, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			r := newRig(t)
			r.endpoints.PauseCancellations()
			// Another request is open at the same time, and may also lose its connection.
			other := r.post(1, fakestore.NoResponse, 1)
			r.waitFor("the other request's attempt", func() bool { return r.endpoints.GetCount(other) == 1 })
			txn := other
			if w.behavior != fakestore.NoResponse {
				txn = r.post(2, w.behavior, 2)
				r.waitFor("the attempt", func() bool { return r.endpoints.GetCount(txn) >= 1 })
			}
			if w.act != nil {
				w.act(r)
			}
			switch w.kind {
			case answered:
				r.waitFor("an answer", func() bool {
					r.clock.Advance(1)
					r.stats()
					return r.answerCount(2) == 1 || w.behavior != fakestore.Succeed
				})
				r.endpoints.Resume()
			case closed, canceledWithoutPing:
				r.waitFor("a deferred attempt", func() bool { return r.stats().Deferred > 0 })
				r.endpoints.Resume()
				r.waitFor("the end of all attempts at the endpoints", func() bool { return r.endpoints.OpenAttempts(txn) == 0 })
				r.clock.Advance(41)
			case canceled:
				r.waitFor("a deferred attempt", func() bool { return r.stats().Deferred > 0 })
				r.endpoints.Resume()
				r.waitFor("the acknowledgement", func() bool { return r.stats().CancelConfirmed > 0 }) // no time has passed
			}
			r.waitFor("all answers", func() bool {
				r.clock.Advance(1)
				r.stats()
				return r.answerCount(1) == 1 && (w.behavior == fakestore.NoResponse || r.answerCount(2) == 1)
			})
			if n := r.endpoints.DuplicateGets(); n > 0 {
				t.Errorf("%d times a request had two concurrent attempts at the endpoints", n)
			}
		})
	}
	t.Logf("%d ways for an attempt to end", len(ways))
}

// A retry is not sent to an endpoint that is suspended, even after the grace period, because the endpoint would find both
// attempts when it resumes. It is sent once the endpoint has answered a barrier ping.
func TestNoRetryAtSuspendedEndpoint(t *testing.T) {
	for name, behavior := range map[string]fakestore.Behavior{
		"cut": fakestore.CloseMidResponse, "reset while reading": fakestore.ResetAfterRequest, "reset while writing": fakestore.ResetMidResponse,
		"stalled": fakestore.StallMidResponse, "canceled": fakestore.NoResponse,
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.allowConcurrent = true
			serveOther := func(tag uint64) {
				r.clock.Advance(1)
				r.post(tag, fakestore.Succeed, 1)
				r.waitFor("the other request's answer", func() bool { r.stats(); return r.answerCount(tag) == 1 })
			}
			serveOther(2) // makes the endpoint cache the part
			r.endpoints.PauseCancellationsAndPings()
			txn := r.post(1, behavior, 1)
			r.waitFor("the attempt", func() bool { return r.endpoints.GetCount(txn) == 1 })
			if behavior == fakestore.NoResponse {
				serveOther(3) // the endpoint still answers other requests
				r.advanceUntilCanceled()
			}
			r.waitFor("its end to reach the endpoint", func() bool { return r.endpoints.PendingEnds() > 0 })
			r.waitFor("a deferred attempt", func() bool { return r.stats().Deferred > 0 })
			r.clock.Advance(41)
			r.stats()
			for tag := range uint64(5) { // a retry sent by now would reach the endpoint before these requests
				serveOther(10 + tag)
			}
			if n := r.endpoints.GetCount(txn); n != 1 {
				t.Fatalf("%d attempts reached the endpoint", n)
			}
			r.endpoints.Resume()
			r.waitFor("the answer", func() bool { r.clock.Advance(1); r.stats(); return r.answerCount(1) == 1 })
			if a := r.answerTo(1); a.Verdict != core.Served || r.endpoints.GetCount(txn) != 2 {
				t.Errorf("%+v after %d attempts", a, r.endpoints.GetCount(txn))
			}
		})
	}
}

// The remaining time sent to an endpoint is computed when the attempt is sent, also if it was deferred before.
func TestDeferredAttemptSendsRemainingTime(t *testing.T) {
	const remaining, delay = 2500, 900 // ms
	r := newRig(t)
	r.allowConcurrent = true
	r.post(2, fakestore.Succeed, 1)
	r.waitFor("the other request's answer", func() bool { r.stats(); return r.answerCount(2) == 1 }) // the endpoint caches the part
	r.endpoints.PauseCancellationsAndPings()
	receivedAt := r.clock.Now()
	txn := r.post(1, fakestore.CloseMidResponse, 1)
	r.waitFor("the attempt", func() bool { return r.endpoints.GetCount(txn) == 1 })
	r.waitFor("a deferred attempt", func() bool { return r.stats().Deferred > 0 })
	r.clock.Advance(delay)
	r.stats()
	r.endpoints.Resume()
	r.waitFor("the next attempt", func() bool { r.clock.Advance(1); r.stats(); return r.endpoints.GetCount(txn) == 2 })
	maxTTL, minTTL := remaining-delay, remaining-(r.clock.Now()-receivedAt)-10 // the controller reserves some time for delayed events
	for _, c := range r.endpoints.AllGets() {
		ttl, err := strconv.ParseFloat(c.Fields["ttl"], 64)
		if err != nil {
			t.Fatal(err)
		}
		if c.ID == txn && (ttl > remaining || ttl < minTTL) {
			t.Errorf("sent with %v ms, want %v to %v", ttl, minTTL, remaining)
		}
		if c.ID == txn && ttl <= float64(maxTTL) {
			return
		}
	}
	t.Errorf("no attempt was sent with %d ms or less: %+v", maxTTL, r.endpoints.AllGets())
}
