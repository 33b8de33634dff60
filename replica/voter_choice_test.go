package replica

import (
	"testing"
	"time"
)

// A gateway passes over voters that refused it for a while, and waits only where all did.
func TestVoterChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newVoterChoice(3)
	expect := func(wantAt int, wantWait time.Duration) {
		t.Helper()
		if at, wait := c.next(now); at != wantAt || wait != wantWait {
			t.Errorf("voter %d after %v, want %d after %v", at, wait, wantAt, wantWait)
		}
	}
	expect(0, 0)
	c.ended(0, false, 5*time.Second, now) // refused
	expect(1, 0)
	c.ended(1, false, 0, now) // not reached
	expect(2, 0)
	c.ended(2, false, 3*time.Second, now)
	expect(1, 0)
	c.ended(1, false, 4*time.Second, now)
	expect(2, 3*time.Second)
	now = now.Add(3 * time.Second)
	expect(2, 0)
	c.ended(2, true, 0, now) // lost after it had worked: the preferred one would be next, but wants more time
	expect(2, 0)
	now = now.Add(2 * time.Second)
	expect(0, 0)
	c.ended(0, true, 0, now) // lost after it had worked
	expect(1, 0)
	c.ended(1, false, time.Hour, now)
	c.ended(2, false, time.Hour, now)
	now = now.Add(maxAdvice)
	expect(0, 0)
}
