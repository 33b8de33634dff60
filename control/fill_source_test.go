package control

import (
	"testing"
	"time"
)

// While fills from the origin are late, or after the purge of a group, the hubs pool their parents, so that the
// origin is asked for an object once. Each late fill shrinks the window by one (kcf-branch-cache-later, big-2).
func TestOriginCongestionPoolsParents(t *testing.T) {
	c, err := New(testSettings(), 3)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * time.Second
	c.Handle(now, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, nil)
	id := RequestID(0)
	fill := func(took time.Duration) (from EndpointID) {
		id++
		for _, a := range c.Handle(now, Request{ID: id, Object: ObjectID(id), SizeKB: 50, Remaining: 4 * time.Second}, nil) {
			if a, ok := a.(Attempt); ok && from == 0 {
				from = a.Source
				now += took
				c.Handle(now, AttemptResult{ID: id, Endpoint: a.To, Outcome: OK, Note: FilledByOrigin, Latency: took, FirstByte: took / 2, RequestClosed: true}, nil)
			}
		}
		return from
	}
	other := func(took time.Duration, n int) (k int) {
		for range n {
			if fill(took) == parentID+1 {
				k++
			}
		}
		return k
	}
	if k := other(100*ms, 40); k != 0 {
		t.Errorf("%d of 40 fills came from the other hub without origin congestion", k)
	}
	c.window.max = 20
	other(time.Second, 10)
	if c.window.max > 11 {
		t.Errorf("after ten late fills the window is %d, from 20", c.window.max)
	}
	if k := other(100*ms, 10); k == 0 {
		t.Error("no fill came from the other hub while the origin is slow")
	}
	other(100*ms, 60)
	if k := other(100*ms, 40); k != 0 {
		t.Errorf("%d of 40 fills came from the other hub after the origin recovered", k)
	}
	c.Handle(now, Purged{Group: 3}, nil)
	if k := other(100*ms, 10); k == 0 {
		t.Error("no fill came from the other hub after a group was purged")
	}
}
