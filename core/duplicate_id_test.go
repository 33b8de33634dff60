package core_test

import (
	"fmt"
	"testing"

	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// A request with the ID of an open one is rejected, also while an attempt of the open one may still be at the endpoints after its
// client has disconnected.
func TestDuplicateIDIsRejected(t *testing.T) {
	r := newRig(t)
	r.endpoints.PauseCancellations()
	txn := r.post(1, fakestore.NoResponse, 1)
	r.waitFor("the attempt", func() bool { return r.endpoints.GetCount(txn) == 1 })
	r.post(2, fakestore.NoResponse, 2) // another object with the same ID
	r.waitFor("the rejection", func() bool { return r.answerCount(2) == 1 })
	r.core.Post(core.CancelRequest{Frontend: r, RequestTag: 1})
	r.waitFor("its cancellation", func() bool { return r.stats().Canceled == 1 })
	r.post(3, fakestore.NoResponse, 1)
	r.waitFor("the rejection", func() bool { return r.answerCount(3) == 1 })
	r.endpoints.Resume()
	tag := uint64(4)
	r.waitFor("a request with the ID to be accepted", func() bool {
		r.post(tag, fakestore.NoResponse, 1)
		r.stats()
		tag++
		return r.endpoints.GetCount(txn) >= 2
	})
	served := 0
	for i := uint64(2); i < tag; i++ {
		r.waitFor("the answer", func() bool { return r.answerCount(i) == 1 })
		switch a := r.answerTo(i); {
		case a.Verdict == core.Served:
			served++
		case a.Verdict != core.Rejected || a.Reason != core.DuplicateID || a.RetryAfter <= 0:
			t.Errorf("%d: %+v", i, a)
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
	if n := r.endpoints.DuplicateGets(); n > 0 || r.answerCount(1) > 0 {
		t.Error(fmt.Sprint(n, " times two concurrent attempts; answers to the disconnected client: ", r.answerCount(1)))
	}
}
