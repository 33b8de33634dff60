package distribution

import (
	"testing"
	"time"
)

func TestRotation(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		at         time.Duration
		deferred   string // before Next, until deferredTo
		deferredTo time.Duration
		voter      string
		wait       time.Duration // where there is no voter
	}
	cases := []struct {
		name   string
		voters []string
		steps  []step
	}{
		{"one after the other", []string{"a", "b", "c"}, []step{
			{voter: "a"}, {voter: "b"}, {voter: "c"}, {voter: "a"},
		}},
		{"without those that refused", []string{"a", "b", "c"}, []step{
			{voter: "a"},
			{deferred: "b", deferredTo: time.Second, voter: "c"},
			{deferred: "a", deferredTo: 2 * time.Second, voter: "c"},
			{deferred: "c", deferredTo: 3 * time.Second, wait: time.Second},
			{at: time.Second - 1, wait: time.Second},
			{at: time.Second, voter: "b"},
			{at: 2 * time.Second, voter: "a"},
		}},
		{"a single voter", []string{"a"}, []step{
			{voter: "a"},
			{deferred: "a", deferredTo: time.Second, wait: time.Second},
			{at: time.Second, voter: "a"},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			rotation := NewRotation(test.voters)
			for i, s := range test.steps {
				if s.deferred != "" {
					rotation.Defer(s.deferred, start.Add(s.deferredTo))
				}
				voter, wait := rotation.Next(start.Add(s.at))
				var wantWait time.Time
				if s.wait != 0 {
					wantWait = start.Add(s.wait)
				}
				if voter != s.voter || !wait.Equal(wantWait) {
					t.Fatalf("step %d: %q, wait until %v", i, voter, wait)
				}
			}
		})
	}
}
