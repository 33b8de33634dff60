package distribution

import (
	"slices"
	"time"
)

// VoterChoice chooses the voter that a gateway connects to next: one after the other in its order of preference, without
// those whose Retry-After has not passed. So a full voter does not delay a gateway while another voter has capacity.
type VoterChoice struct {
	voters  []string
	next    int         // index of the next voter in turn
	retryAt []time.Time // by index: when the Retry-After of a voter that rejected the gateway has passed
}

// NewVoterChoice returns a choice among one or more voters, in the order of VoterOrder.
func NewVoterChoice(voters []string) *VoterChoice {
	return &VoterChoice{voters: slices.Clone(voters), retryAt: make([]time.Time, len(voters))}
}

// Next returns the voter to connect to and the time to wait before that: the next voter in turn whose Retry-After has passed,
// without a wait, or if there is none, the voter whose Retry-After passes first.
func (c *VoterChoice) Next(now time.Time) (voter string, wait time.Duration) {
	earliest := c.next
	for i := range c.voters {
		candidate := (c.next + i) % len(c.voters)
		if !now.Before(c.retryAt[candidate]) {
			return c.voters[candidate], 0
		}
		if c.retryAt[candidate].Before(c.retryAt[earliest]) {
			earliest = candidate
		}
	}
	return c.voters[earliest], c.retryAt[earliest].Sub(now)
}

// WatchEnded records the end of a watch: whether it had been successful, and the voter's Retry-After (0 if it did not reject
// the gateway). After a successful watch the order starts again from the most preferred voter, or from the second if the
// watch was with the first, so that gateways return to the voters that they prefer.
func (c *VoterChoice) WatchEnded(voter string, worked bool, retryAfter time.Duration, now time.Time) {
	index := slices.Index(c.voters, voter)
	if index < 0 {
		return
	}
	c.retryAt[index] = now.Add(retryAfter)
	c.next = (index + 1) % len(c.voters)
	if worked && index != 0 {
		c.next = 0
	}
}
