package control

import (
	"testing"
	"time"
)

// After a purge the object is no longer known to be cached, and no older copy may be served, nor used for a fill.
func TestPurgeOfCachedObject(t *testing.T) {
	for _, p := range []Purged{{Object: 5, Ago: 100 * ms}, {Group: 2, Ago: 100 * ms}} {
		h := newHarness(t, testSettings(), testEndpoints())
		q := Request{ID: 1, Object: 5, ObjectGroup: 2, SizeKB: 100, Remaining: 2 * time.Second}
		h.request(q)
		h.endAttempt(1, 0, OK, Filled)
		q.ID = 2
		h.request(q)
		if h.controller.window.inFlight != 0 {
			t.Fatal("a request for an object known to be cached took a slot")
		}
		h.endAttempt(2, 0, OK, Hit)
		h.purges, h.purgedAt = []Purged{p}, []time.Duration{h.now}
		h.handle(p)
		h.advance(400 * ms)
		q.ID = 3
		h.request(q)
		a := h.attempts[3][0]
		if a.MaxAge <= 0 || a.MaxAge >= 500*ms {
			t.Errorf("after the purge: maximum age %v", a.MaxAge)
		}
		if h.controller.window.inFlight != 1 {
			t.Error("after the purge the object is still assumed to be cached")
		}
	}
}

// A purge that is received at start, before the endpoint list, has the same effect as a later one.
func TestPurgeReceivedBeforeList(t *testing.T) {
	h := newHarness(t, testSettings(), nil)
	h.handle(Purged{Group: 2, Ago: 3 * time.Second})
	h.updateList(true, testEndpoints()...)
	h.request(Request{ID: 1, Object: 5, ObjectGroup: 2, SizeKB: 100, Remaining: 2 * time.Second})
	if a := h.attempts[1][0]; a.MaxAge <= 0 || a.MaxAge >= 3*time.Second {
		t.Errorf("maximum age %v", a.MaxAge)
	}
}
