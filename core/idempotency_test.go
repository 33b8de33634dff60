package core_test

import (
	"testing"

	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// A keyed request is retried with its key within the deduplication window, and only once the end of the previous attempt is
// confirmed: elapsed time does not confirm it, because the endpoint may be suspended.
func TestKeyedRetryWithinDedupWindow(t *testing.T) {
	for _, x := range []struct {
		name     string
		behavior fakestore.Behavior
		notice   bool // the endpoint resumes and reads what was written to it
		cancel   bool // the gateway cancels the attempt
		gets     int
	}{
		{"overloaded", fakestore.Busy, true, false, 2},
		{"an error that may have run", fakestore.Failing, true, false, 2},
		{"corrupt", fakestore.Malformed, true, false, 2},
		{"array too short", fakestore.ShortArray, true, false, 2},
		{"unknown status", fakestore.UnknownStatus, true, false, 2},
		{"confirms a copy that was not named", fakestore.WrongNotModified, true, false, 2},
		{"cut", fakestore.CloseMidResponse, true, false, 2},
		{"reset", fakestore.ResetAfterRequest, true, false, 2},
		{"canceled, and the endpoint acknowledges that", fakestore.NoResponse, true, true, 2},
		{"canceled at an endpoint suspended for longer than the window", fakestore.NoResponse, false, true, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := newRig(t)
			r.endpoints.PauseCancellations()
			start := r.clock.Now()
			txn := r.postKeyed(x.behavior, idempotencyKey, 3000, false)
			r.waitFor("the attempt", func() bool { return r.endpoints.GetCount(txn) >= 1 })
			if x.cancel {
				r.advanceUntilCanceled()
				r.waitFor("a deferred attempt", func() bool { return r.stats().Deferred > 0 })
			}
			if x.notice {
				r.endpoints.Resume()
				r.waitFor("the end of the attempt at the endpoint", func() bool { return r.endpoints.OpenAttempts(txn) == 0 })
				r.waitFor("the retry", func() bool { r.clock.Advance(1); r.stats(); return r.endpoints.GetCount(txn) == 2 })
			} else {
				r.clock.Advance(start + dedupWindowMs - 10 - r.clock.Now())
				if r.stats(); r.answerCount(1) != 0 {
					t.Error("answered within the window")
				}
				r.clock.Advance(10)
			}
			if a := r.waitForAnswer(); (a.Verdict == core.Served) != (x.gets == 2) || a.Verdict == core.Rejected {
				t.Errorf("%+v", a)
			}
			if r.clock.Now() > start+dedupWindowMs+5 {
				t.Errorf("answered %v ms after the request was received", r.clock.Now()-start)
			}
			r.endpoints.Resume()
			calls := r.endpoints.AllGets()
			if len(calls) != x.gets || r.endpoints.DuplicateGets() > 0 {
				t.Errorf("%d attempts, %d times two at once at the endpoint", len(calls), r.endpoints.DuplicateGets())
			}
			for _, c := range calls {
				if c.Fields["dedupe"] != idempotencyKey {
					t.Errorf("an attempt was sent with the key %q", c.Fields["dedupe"])
				}
			}
		})
	}
}

// A keyed request that the client marks as a retry, which another gateway may have run already, is forwarded only within the
// deduplication window. The time since the first try is estimated from the client's remaining time. A first try is always
// forwarded.
func TestClientRetryOfKeyedRequest(t *testing.T) {
	for _, x := range []struct {
		name      string
		remaining float64
		key       string
		retry     bool
		reason    core.Reason
		gets      int
	}{
		{"first try, little time left", 900, idempotencyKey, false, core.NoReason, 1},
		{"retry, the key is still in the window", 1500, idempotencyKey, true, core.NoReason, 1},
		{"retry, the key may have expired", 900, idempotencyKey, true, core.Shed, 0},
		{"no key", 3000, "", false, core.MissingIdempotencyKey, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := newRig(t)
			r.postKeyed(fakestore.Succeed, x.key, x.remaining, x.retry)
			a := r.waitForAnswer()
			if a.Reason != x.reason || (a.Verdict == core.Served) != (x.gets > 0) || len(r.endpoints.AllGets()) != x.gets {
				t.Errorf("%+v after %d attempts", a, len(r.endpoints.AllGets()))
			}
		})
	}
}

// The key is sent to endpoints only for classes that are idempotent by key.
func TestKeyOnlyInKeyedClasses(t *testing.T) {
	r := newRig(t)
	r.core.Post(core.Request{Frontend: r, RequestTag: 1, Txn: "a", Class: "tile", Object: 7, ObjectName: "7", SizeKB: 1, ReceivedAt: r.clock.Now(), Remaining: 2000, IdempotencyKey: idempotencyKey})
	if a := r.waitForAnswer(); a.Verdict != core.Served {
		t.Fatalf("%+v", a)
	}
	if key, ok := r.endpoints.AllGets()[0].Fields["dedupe"]; ok {
		t.Errorf("sent with the key %q", key)
	}
}
