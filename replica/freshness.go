package replica

import (
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// expirySlack is added to the timer of a lease's end, so that the lease has expired when the timer fires.
const expirySlack = time.Millisecond

// freshnessNotifier calls a function when a copy of the state becomes fresh or stale. The copy is stale at first.
type freshnessNotifier struct {
	changed  func(fresh bool)     // may be nil
	fresh    func() bool          // reports the current state
	timeLeft func() time.Duration // until the end of the lease

	mu           sync.Mutex // also serializes the calls
	lastNotified bool       // argument of the last call
	expiry       *time.Timer
	closed       bool
}

// update calls the function if the state has changed, and sets the timer that calls update at the end of the lease.
func (n *freshnessNotifier) update() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	fresh := n.fresh()
	if fresh {
		n.armExpiry()
	}
	if fresh == n.lastNotified {
		return
	}
	n.lastNotified = fresh
	if n.changed != nil {
		n.changed(fresh)
	}
}

// armExpiry sets the timer to the end of the lease; n.mu is held.
func (n *freshnessNotifier) armExpiry() {
	left := n.timeLeft() + expirySlack
	if n.expiry == nil {
		n.expiry = time.AfterFunc(left, n.update)
		return
	}
	n.expiry.Reset(left)
}

// close stops the calls.
func (n *freshnessNotifier) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.expiry != nil {
		n.expiry.Stop()
	}
}

// LeaseStatus describes how current a copy of the state is known to be.
type LeaseStatus struct {
	Position    distribution.Position
	Fresh       bool
	CompleteAt  time.Time     // when the copy was last known to be complete; zero: never
	CompleteAge time.Duration // since then; 0: never
	MaxCopyAge  time.Duration // 0: no bound
}

// lease is a distribution.Lease or a distribution.MemberLease.
type lease interface {
	Fresh(now time.Time) bool
	CompleteAt() time.Time
	MaxCopyAge(now time.Time) time.Duration
}

func newLeaseStatus(lease lease, at distribution.Position, now time.Time) LeaseStatus {
	status := LeaseStatus{
		Position: at, Fresh: lease.Fresh(now), CompleteAt: lease.CompleteAt(), MaxCopyAge: lease.MaxCopyAge(now),
	}
	if !status.CompleteAt.IsZero() {
		status.CompleteAge = now.Sub(status.CompleteAt)
	}
	return status
}
