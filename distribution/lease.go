package distribution

import "time"

// copyAgeMargin is how much MaxCopyAge is below the purge deadline: the greatest difference allowed between the clocks of the
// member that accepted a purge, of the cache that made a copy and of this gateway.
const copyAgeMargin = 500 * time.Millisecond

// maxPendingHeartbeats bounds the heartbeats without a mark. A subscriber switches to another voter long before so many
// heartbeat intervals have passed.
const maxPendingHeartbeats = 64

// Lease tracks when a view was last known to be complete. It uses only the subscriber's clock, so neither differences
// between clocks nor delayed messages can make it fresh: a mark counts from when the heartbeat that it names was sent.
type Lease struct {
	timing     Timing
	lastNumber uint64
	pending    []sentHeartbeat // sent on this connection, by number
	completeAt time.Time
}

// sentHeartbeat is a heartbeat without a mark.
type sentHeartbeat struct {
	number uint64
	sentAt time.Time
}

// NewLease returns a lease that has expired.
func NewLease(timing Timing) *Lease { return &Lease{timing: timing.WithDefaults()} }

// Heartbeat records a heartbeat that is sent now, and returns its number. Numbers begin at 1 and are not reused, not even on
// another connection.
func (l *Lease) Heartbeat(now time.Time) (number uint64) {
	l.lastNumber++
	if len(l.pending) >= maxPendingHeartbeats {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, sentHeartbeat{number: l.lastNumber, sentAt: now})
	return l.lastNumber
}

// Renew renews the lease by a mark, if the mark names a heartbeat of this connection and the view, which is at a position,
// has every change up to the mark's revision. It reports whether the lease was renewed. The time at which the mark is received
// does not matter.
func (l *Lease) Renew(m Mark, at Position) bool {
	if at.Revision < m.Through {
		return false
	}
	for i, sent := range l.pending {
		if sent.number != m.Heartbeat {
			continue
		}
		l.pending = l.pending[i+1:]
		l.completeAt = sent.sentAt
		return true
	}
	return false
}

// Disconnected drops the heartbeats of a connection that ended. The lease itself is unchanged.
func (l *Lease) Disconnected() { l.pending = nil }

// Fresh reports whether the view was known to be complete less than LeaseTTL ago.
func (l *Lease) Fresh(now time.Time) bool {
	return !l.completeAt.IsZero() && now.Sub(l.completeAt) < l.timing.LeaseTTL
}

// CompleteAt returns when the view was last known to be complete; zero: never.
func (l *Lease) CompleteAt() time.Time { return l.completeAt }

// MaxCopyAge returns the greatest age of a cached copy that may be requested now; 0: no bound. While a purge that has to be
// in effect may be missing, only copies younger than the purge deadline are certain to be newer than it.
//
// A purge of time p has to be in effect from p plus PurgeDeadline on. Until PurgeDeadline after the view was complete, every
// such purge is known. Later, a purge that was proposed PurgeDeadline ago or earlier may be missing, so that only copies made
// since then are certain.
func (l *Lease) MaxCopyAge(now time.Time) time.Duration {
	if !l.completeAt.IsZero() && now.Sub(l.completeAt) <= l.timing.PurgeDeadline {
		return 0
	}
	return l.timing.StaleCopyAge()
}

// StaleCopyAge returns the age up to which a copy is certain to be newer than every purge that has to be in effect, whichever
// purges are missing.
func (t Timing) StaleCopyAge() time.Duration {
	return max(t.WithDefaults().PurgeDeadline-copyAgeMargin, time.Millisecond) // 0 would be no bound
}
