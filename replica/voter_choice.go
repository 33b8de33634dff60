package replica

import "time"

// voterChoice chooses the voter to watch next, by its index in the gateway's order.
type voterChoice struct {
	at      int
	retryAt []time.Time // before which a voter that refused is not to be asked again
}

func newVoterChoice(voters int) *voterChoice {
	return &voterChoice{retryAt: make([]time.Time, voters)}
}

// next gives the next voter that may be asked. Where all have refused it is the first to be asked again, after a wait.
func (c *voterChoice) next(now time.Time) (at int, wait time.Duration) {
	earliest := c.at
	for i := range c.retryAt {
		candidate := (c.at + i) % len(c.retryAt)
		if !now.Before(c.retryAt[candidate]) {
			return candidate, 0
		}
		if c.retryAt[candidate].Before(c.retryAt[earliest]) {
			earliest = candidate
		}
	}
	return earliest, c.retryAt[earliest].Sub(now)
}

// ended tells that a watch ended, and the pause that a refusal asked for. After a watch that worked the order begins anew,
// without the voter that was lost, so that gateways come back to the voters that they prefer.
func (c *voterChoice) ended(at int, worked bool, advice time.Duration, now time.Time) {
	c.retryAt[at] = now.Add(min(advice, maxAdvice))
	c.at = (at + 1) % len(c.retryAt)
	if worked && at != 0 {
		c.at = 0
	}
}

// maxAdvice is the longest pause that a refusal may ask for.
const maxAdvice = time.Minute
