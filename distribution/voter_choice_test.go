package distribution

import (
	"testing"
	"time"
)

// A gateway skips a voter that rejected it until the voter's Retry-After has passed, and waits only if all voters rejected it.
// After a successful watch it starts again with its most preferred voter, except for the voter that was just lost.
func TestVoterChoice(t *testing.T) {
	start := time.Unix(1000, 0)
	type ended struct {
		voter      string
		worked     bool
		retryAfter time.Duration
	}
	type step struct {
		at    time.Duration
		ended ended // before Next; no voter: nothing ended
		voter string
		wait  time.Duration
	}
	cases := []struct {
		name   string
		voters []string
		steps  []step
	}{
		{"one after the other while none is reachable", []string{"a", "b", "c"}, []step{
			{voter: "a"},
			{voter: "a"}, // the watch has not ended yet
			{ended: ended{voter: "a"}, voter: "b"},
			{ended: ended{voter: "b"}, voter: "c"},
			{ended: ended{voter: "c"}, voter: "a"},
		}},
		{"without those that rejected the gateway", []string{"a", "b", "c"}, []step{
			{voter: "a"},
			{ended: ended{voter: "a", retryAfter: 5 * time.Second}, voter: "b"},
			{ended: ended{voter: "b"}, voter: "c"}, // b was not reachable
			{ended: ended{voter: "c", retryAfter: 3 * time.Second}, voter: "b"},
			{ended: ended{voter: "b", retryAfter: 4 * time.Second}, voter: "c", wait: 3 * time.Second},
			{at: 3*time.Second - 1, voter: "c", wait: 1},
			{at: 3 * time.Second, voter: "c"},
		}},
		{"the preferred one first, once one has worked", []string{"a", "b", "c"}, []step{
			{ended: ended{voter: "a", retryAfter: 5 * time.Second}, voter: "b"},
			{ended: ended{voter: "b"}, voter: "c"},
			{at: 3 * time.Second, ended: ended{voter: "c", worked: true}, voter: "b"}, // the Retry-After of a has not passed
			{at: 5 * time.Second, voter: "a"},
			{at: 5 * time.Second, ended: ended{voter: "a", worked: true}, voter: "b"}, // not the voter that was just lost
		}},
		{"a single voter", []string{"a"}, []step{
			{voter: "a"},
			{ended: ended{voter: "a", retryAfter: time.Second}, voter: "a", wait: time.Second},
			{at: time.Second, voter: "a"},
			{at: time.Second, ended: ended{voter: "a", worked: true}, voter: "a"},
		}},
		{"an unknown voter", []string{"a", "b"}, []step{
			{ended: ended{voter: "x", worked: true, retryAfter: time.Hour}, voter: "a"},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			choice := NewVoterChoice(test.voters)
			for i, s := range test.steps {
				now := start.Add(s.at)
				if s.ended.voter != "" {
					choice.WatchEnded(s.ended.voter, s.ended.worked, s.ended.retryAfter, now)
				}
				if voter, wait := choice.Next(now); voter != s.voter || wait != s.wait {
					t.Fatalf("step %d: %q after %v, want %q after %v", i, voter, wait, s.voter, s.wait)
				}
			}
		})
	}
}
