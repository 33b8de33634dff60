package replica

import (
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// expirySlack is how long after the end of a lease it is looked at, so that it has ended for sure.
const expirySlack = time.Millisecond

// freshnessNotifier notifies the owner of a copy of the state when it becomes fresh or stale. It begins as stale.
type freshnessNotifier struct {
	changed  func(fresh bool)     // nil: nobody is notified
	fresh    func() bool          // at present
	timeLeft func() time.Duration // until the lease ends

	mu       sync.Mutex // also keeps the order of the notifications
	notified bool       // what was notified last
	expiry   *time.Timer
	closed   bool
}

// update notifies of a change, and has itself called at the end of the lease.
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
	if fresh == n.notified {
		return
	}
	n.notified = fresh
	if n.changed != nil {
		n.changed(fresh)
	}
}

// armExpiry sets the timer to the end of the lease; mu is held.
func (n *freshnessNotifier) armExpiry() {
	left := n.timeLeft() + expirySlack
	if n.expiry == nil {
		n.expiry = time.AfterFunc(left, n.update)
		return
	}
	n.expiry.Reset(left)
}

// close ends the notifications.
func (n *freshnessNotifier) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.expiry != nil {
		n.expiry.Stop()
	}
}

// LeaseStatus tells how far a copy of the state may be relied on.
type LeaseStatus struct {
	Position    distribution.Position
	Fresh       bool
	CompleteAt  time.Time     // when the state was last known to be complete; zero: never
	CompleteAge time.Duration // since then; 0: never
	MaxCopyAge  time.Duration // 0: no bound
}

// lease is a distribution.Lease or MemberLease.
type lease interface {
	Fresh(now time.Time) bool
	CompleteAt() time.Time
	MaxCopyAge(now time.Time) time.Duration
}

func newLeaseStatus(lease lease, held distribution.Position, now time.Time) LeaseStatus {
	status := LeaseStatus{
		Position: held, Fresh: lease.Fresh(now), CompleteAt: lease.CompleteAt(), MaxCopyAge: lease.MaxCopyAge(now),
	}
	if !status.CompleteAt.IsZero() {
		status.CompleteAge = now.Sub(status.CompleteAt)
	}
	return status
}
