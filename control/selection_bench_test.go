package control

import (
	"fmt"
	"testing"
	"time"
)

// listWithCaches returns the parents and the origin of the tests' location, and the given number of caches in its
// zone.
func listWithCaches(caches int) []Endpoint {
	list := testEndpoints()[:3]
	for i := range caches {
		list = append(list, Endpoint{ID: EndpointID(1000 + i), Zone: testZone, Weight: 4, State: Ready})
	}
	return list
}

// BenchmarkCacheSelection measures one request with its result, by the number of caches in the zone, for 1,000
// objects that are requested in turn.
func BenchmarkCacheSelection(b *testing.B) { benchmarkSelection(b, 1000, 0) }

// BenchmarkFirstSelection measures the same for objects that were not requested before.
func BenchmarkFirstSelection(b *testing.B) { benchmarkSelection(b, 1<<40, 0) }

// BenchmarkColdSelection measures the same while a tenth of the caches is in slow start.
func BenchmarkColdSelection(b *testing.B) { benchmarkSelection(b, 1000, 0.1) }

func benchmarkSelection(b *testing.B, objects RequestID, cold float64) {
	for _, caches := range []int{12, 25, 200, 400, 800, 3200} {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			c, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := listWithCaches(caches)
			for i := range int(cold * float64(caches)) {
				list[len(list)-1-i].StartedAt = time.Minute
			}
			c.settings.SlowStartDuration = max(c.settings.SlowStartDuration, time.Duration(cold*float64(1000*time.Hour))) // longer than the benchmark runs
			actions := c.Handle(time.Second, EndpointList{Snapshot: true, Endpoints: list}, nil)
			b.ReportAllocs()
			id := RequestID(0)
			for b.Loop() {
				id++
				now := time.Minute + time.Duration(id)*ms
				actions = c.Handle(now, Request{ID: id, Object: ObjectID(id%objects + 1), SizeKB: 10, Remaining: time.Second}, actions[:0])
				actions = c.Handle(now, AttemptResult{ID: id, Endpoint: 1000, Outcome: OK, Note: Hit, RequestClosed: true}, actions[:0])
			}
		})
	}
}

// BenchmarkListChange measures the change of one list entry and its reversal while 100 requests are queued.
func BenchmarkListChange(b *testing.B) {
	for _, caches := range []int{25, 200, 400, 800, 3200} {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			c, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := listWithCaches(caches)
			now := time.Minute
			actions := c.Handle(now, EndpointList{Snapshot: true, Endpoints: list}, nil)
			queueRequests(b, c, now, 100)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := list[3+i/2%caches]
				m.Weight += float64(i % 2)
				actions = c.Handle(now, EndpointList{Endpoints: []Endpoint{m}}, actions[:0])
			}
		})
	}
}

// queueRequests queues the given number of requests: the window is closed, and a lookup has confirmed the miss of
// each.
func queueRequests(tb testing.TB, c *Controller, now time.Duration, requests int) {
	tb.Helper()
	c.link.reported, c.link.utilization, c.window.inFlight, c.window.max = true, 2*fullUtilization, 1, 1
	for id := range RequestID(requests) {
		c.Handle(now, Request{ID: id, Object: ObjectID(id + 1), SizeKB: 1, Remaining: 4 * time.Second}, nil)
		c.Handle(now, AttemptResult{ID: id, Outcome: Miss}, nil)
	}
	queued := 0
	for _, k := range c.queue.classes {
		queued += len(k.waiting)
	}
	if queued != requests {
		tb.Fatalf("%d requests are queued, want %d", queued, requests)
	}
}
