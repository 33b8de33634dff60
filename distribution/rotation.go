package distribution

import (
	"slices"
	"time"
)

// Rotation says which voter a gateway turns to next: one after the other in its order, without those that asked it to come
// back later. So a voter that is full holds nobody back while another one has room.
type Rotation struct {
	voters  []string
	next    int
	retryAt map[string]time.Time
}

// NewRotation returns a rotation over voters, of which there is at least one, in the order of VoterOrder.
func NewRotation(voters []string) *Rotation {
	return &Rotation{voters: slices.Clone(voters), retryAt: map[string]time.Time{}}
}

// Next gives the voter to turn to now. Where all of them asked for a later time, wait is the earliest and there is no voter.
func (r *Rotation) Next(now time.Time) (voter string, wait time.Time) {
	for range r.voters {
		voter = r.voters[r.next]
		r.next = (r.next + 1) % len(r.voters)
		retryAt := r.retryAt[voter]
		if !now.Before(retryAt) {
			return voter, time.Time{}
		}
		if wait.IsZero() || retryAt.Before(wait) {
			wait = retryAt
		}
	}
	return "", wait
}

// Defer leaves out a voter until a time, as it refused the gateway.
func (r *Rotation) Defer(voter string, until time.Time) { r.retryAt[voter] = until }
