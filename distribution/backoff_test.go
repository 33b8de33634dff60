package distribution

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBackoff(t *testing.T) {
	const minDelay, maxDelay = 100 * time.Millisecond, 3 * time.Second
	cases := []struct {
		name       string
		retryAfter time.Duration
		attempt    int // from 0
		from, to   time.Duration
	}{
		{"first", 0, 0, minDelay, 2 * minDelay},
		{"second", 0, 1, minDelay, 4 * minDelay},
		{"fifth", 0, 4, minDelay, maxDelay},
		{"hundredth", 0, 99, minDelay, maxDelay},
		{"Retry-After", time.Second, 0, time.Second, time.Second + minDelay},
		{"Retry-After later", time.Second, 99, time.Second, time.Second + maxDelay - minDelay},
		{"Retry-After below the minimum", time.Millisecond, 0, minDelay, 2 * minDelay},
		{"Retry-After above its maximum", time.Hour, 0, maxRetryAfter, maxRetryAfter + minDelay},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			lowest, highest := time.Hour, time.Duration(0)
			for range 2000 {
				backoff := NewBackoff(minDelay, maxDelay, random)
				for range test.attempt {
					backoff.Next(0)
				}
				delay := backoff.Next(test.retryAfter)
				lowest, highest = min(lowest, delay), max(highest, delay)
				backoff.Reset()
				if again := backoff.Next(0); again > 2*minDelay {
					t.Fatalf("%v after a reset", again)
				}
			}
			span := test.to - test.from
			if lowest < test.from || highest > test.to {
				t.Errorf("delays from %v to %v, outside %v to %v", lowest, highest, test.from, test.to)
			}
			if lowest > test.from+span/20 || highest < test.to-span/20 {
				t.Errorf("delays from %v to %v do not cover %v to %v", lowest, highest, test.from, test.to)
			}
		})
	}
}

func TestBackoffWithoutRange(t *testing.T) {
	backoff := NewBackoff(time.Second, 0, rand.New(rand.NewPCG(1, 2)))
	if got := backoff.Next(0); got != time.Second {
		t.Errorf("delay %v", got)
	}
}

// TestRejectionsSpread guards against retries in bursts: the rejections that follow the loss of a voter come at the same time,
// so their Retry-After has to be spread evenly over its range.
func TestRejectionsSpread(t *testing.T) {
	const rejections, slots = 1000, 10
	publisher := NewPublisher(Limits{}, Timing{}, Position{})
	var count [slots]int
	for range rejections {
		d := publisher.Subscribe(at(1, 1), 0, time.Unix(1, 0))
		if d.RetryAfter < DefaultHeartbeatInterval || d.RetryAfter >= 2*DefaultHeartbeatInterval {
			t.Fatalf("Retry-After %v", d.RetryAfter)
		}
		count[slots*(d.RetryAfter-DefaultHeartbeatInterval)/DefaultHeartbeatInterval]++
	}
	for slot, n := range count {
		if n < rejections/slots-5 || n > rejections/slots+5 {
			t.Errorf("%d rejections in slot %d of %d", n, slot, slots)
		}
	}
}
