// Package clock provides the time to the whole program, as float64 milliseconds, so that tests can set it.
package clock

import (
	"sync"
	"time"
)

// Clock provides monotonic and wall-clock time. The zero value is not usable; see [System] and [Manual].
type Clock struct {
	start time.Time // includes a monotonic clock reading

	mu     sync.Mutex
	manual bool
	now    float64
	step   float64 // offset of Unix from Now, on a manual clock
}

// System returns a clock whose Now starts at the system's Unix time and then advances monotonically, so that a step of the
// system clock does not change the deadlines of open requests.
func System() *Clock { return &Clock{start: time.Now()} }

// Manual returns a clock for tests that stays at ms until it is set or advanced.
func Manual(ms float64) *Clock { return &Clock{manual: true, now: ms} }

// Now returns the monotonic time: the Unix time in ms at the start plus the time elapsed since.
func (c *Clock) Now() float64 {
	if c.manual {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.now
	}
	return float64(c.start.UnixNano())/1e6 + float64(time.Since(c.start))/1e6
}

// Unix returns the system's current Unix time in ms, including clock steps. It is used to check dates that other systems
// have signed.
func (c *Clock) Unix() float64 {
	if c.manual {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.now + c.step
	}
	return float64(time.Now().UnixNano()) / 1e6
}

// Set moves a manual clock to ms; on a system clock it does nothing.
func (c *Clock) Set(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		c.now = ms
	}
}

// Advance moves a manual clock forward by ms; on a system clock it does nothing.
func (c *Clock) Advance(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		c.now += ms
	}
}

// StepUnix changes a manual clock's Unix time by ms, as a step of the system clock does; Now is not affected. On a system clock
// it does nothing.
func (c *Clock) StepUnix(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		c.step += ms
	}
}

// Duration converts milliseconds to a time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// Ms converts a duration to milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / 1e6 }
