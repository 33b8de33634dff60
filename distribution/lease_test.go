package distribution

import (
	"testing"
	"time"
)

func TestLease(t *testing.T) {
	type step struct {
		at           float64 // seconds
		heartbeat    uint64  // expected number of a heartbeat sent now; 0: none is sent
		mark         *Mark
		position     Revision
		renewed      bool
		disconnected bool
		fresh        bool
		completeAt   float64 // 0: never
		bounded      bool
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"never confirmed", []step{
			{at: 1, bounded: true},
			{at: 1, heartbeat: 1, bounded: true},
			{at: 2, mark: &Mark{Heartbeat: 2}, bounded: true},
			{at: 100, bounded: true},
		}},
		{"a mark counts from when its heartbeat was sent", []step{
			{at: 1, heartbeat: 1, bounded: true},
			{at: 2, heartbeat: 2, bounded: true},
			{at: 4, mark: &Mark{Heartbeat: 1}, renewed: true, fresh: true, completeAt: 1},
			{at: 5.9, fresh: true, completeAt: 1},
			{at: 6, completeAt: 1},
			{at: 8, completeAt: 1},
			{at: 8.1, completeAt: 1, bounded: true},
			{at: 8.2, mark: &Mark{Heartbeat: 2}, renewed: true, completeAt: 2},
			{at: 9.1, completeAt: 2, bounded: true},
			{at: 9.2, heartbeat: 3, completeAt: 2, bounded: true},
			{at: 9.3, mark: &Mark{Heartbeat: 3}, renewed: true, completeAt: 9.2, fresh: true},
		}},
		{"a mark counts once, and not after a newer one", []step{
			{at: 1, heartbeat: 1, bounded: true},
			{at: 2, heartbeat: 2, bounded: true},
			{at: 3, mark: &Mark{Heartbeat: 2}, renewed: true, fresh: true, completeAt: 2},
			{at: 3, mark: &Mark{Heartbeat: 2}, fresh: true, completeAt: 2},
			{at: 3, mark: &Mark{Heartbeat: 1}, fresh: true, completeAt: 2},
		}},
		{"a mark ahead of the view does not count", []step{
			{at: 1, heartbeat: 1, bounded: true},
			{at: 2, mark: &Mark{Heartbeat: 1, Through: 5}, position: 4, bounded: true},
			{at: 2, mark: &Mark{Heartbeat: 1, Through: 5}, position: 5, renewed: true, fresh: true, completeAt: 1},
		}},
		{"a connection that ended", []step{
			{at: 1, heartbeat: 1, bounded: true},
			{at: 1, mark: &Mark{Heartbeat: 1}, renewed: true, fresh: true, completeAt: 1},
			{at: 2, heartbeat: 2, fresh: true, completeAt: 1},
			{at: 2, disconnected: true, fresh: true, completeAt: 1},
			{at: 2, mark: &Mark{Heartbeat: 2}, fresh: true, completeAt: 1},
			{at: 3, heartbeat: 3, fresh: true, completeAt: 1},
			{at: 3, mark: &Mark{Heartbeat: 2}, fresh: true, completeAt: 1},
			{at: 3, mark: &Mark{Heartbeat: 3}, renewed: true, fresh: true, completeAt: 3},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			timeOf := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			lease := NewLease(Timing{})
			for i, s := range test.steps {
				now := timeOf(s.at)
				if s.heartbeat != 0 {
					if got := lease.Heartbeat(now); got != s.heartbeat {
						t.Fatalf("step %d: heartbeat %d, want %d", i, got, s.heartbeat)
					}
				}
				if s.mark != nil {
					if got := lease.Renew(*s.mark, at(s.position, 1)); got != s.renewed {
						t.Fatalf("step %d: renewed %v", i, got)
					}
				}
				if s.disconnected {
					lease.Disconnected()
				}
				if got := lease.Fresh(now); got != s.fresh {
					t.Errorf("step %d: fresh %v", i, got)
				}
				var completeAt time.Time
				if s.completeAt != 0 {
					completeAt = timeOf(s.completeAt)
				}
				if got := lease.CompleteAt(); !got.Equal(completeAt) {
					t.Errorf("step %d: complete at %v", i, got)
				}
				bound := time.Duration(0)
				if s.bounded {
					bound = DefaultPurgeDeadline - copyAgeMargin
				}
				if got := lease.MaxCopyAge(now); got != bound {
					t.Errorf("step %d: maximum copy age %v", i, got)
				}
			}
		})
	}
}

func TestLeasePendingHeartbeatsBounded(t *testing.T) {
	lease := NewLease(Timing{PurgeDeadline: time.Microsecond})
	for range 10 * maxPendingHeartbeats {
		lease.Heartbeat(time.Unix(1, 0))
	}
	if len(lease.pending) > maxPendingHeartbeats {
		t.Errorf("%d heartbeats are pending, above the maximum", len(lease.pending))
	}
	if lease.MaxCopyAge(time.Unix(1, 0)) <= 0 {
		t.Error("the age of copies is unbounded at a short purge deadline")
	}
}
