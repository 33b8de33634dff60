package distribution

import "time"

// copyAgeMargin is by how much MaxCopyAge stays below the purge deadline: the clocks of the member that took a purge, of the
// store that made a copy and of this gateway may differ by it together.
const copyAgeMargin = 500 * time.Millisecond

// maxPendingHeartbeats bounds the heartbeats that wait for their mark. A subscriber turns to another voter long before as
// many intervals have passed.
const maxPendingHeartbeats = 64

// Lease tells whether a view is known to be complete. Its times are the subscriber's own, so neither clocks that differ nor
// messages that were held up can make it fresh: a mark counts from when the heartbeat that it names was sent.
type Lease struct {
	timing     Timing
	lastNumber uint64
	pending    []sentHeartbeat // of this connection, ascending
	completeAt time.Time
}

// sentHeartbeat is a heartbeat that no mark has named yet.
type sentHeartbeat struct {
	number uint64
	sentAt time.Time
}

// NewLease returns a lease that has expired.
func NewLease(timing Timing) *Lease { return &Lease{timing: timing.WithDefaults()} }

// Heartbeat gives the number of the heartbeat that is sent now. Numbers begin at 1 and are not used again, also not on
// another connection.
func (l *Lease) Heartbeat(now time.Time) (number uint64) {
	l.lastNumber++
	if len(l.pending) >= maxPendingHeartbeats {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, sentHeartbeat{number: l.lastNumber, sentAt: now})
	return l.lastNumber
}

// Renew enters a mark, received on the connection on which its heartbeat was sent, with the position that the view holds. It
// tells whether the mark counted: it must name a heartbeat of this connection, and the view must hold every change up to it.
// The time of its receipt does not matter.
func (l *Lease) Renew(m Mark, held Position) bool {
	if held.Revision < m.Through {
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

// Disconnected forgets the heartbeats of a connection that ended. What was confirmed stays.
func (l *Lease) Disconnected() { l.pending = nil }

// Fresh tells whether the view may be relied on: whether it was known to be complete less than LeaseTTL ago.
func (l *Lease) Fresh(now time.Time) bool {
	return !l.completeAt.IsZero() && now.Sub(l.completeAt) < l.timing.LeaseTTL
}

// CompleteAt is the time at which the view was last known to be complete; zero: never.
func (l *Lease) CompleteAt() time.Time { return l.completeAt }

// MaxCopyAge bounds the age of copies that may be asked for now; 0: no bound. While a purge could be missing that is due by
// now, only a copy younger than the purge deadline is sure not to be older than it.
//
// A purge of time p has to hold from p plus PurgeDeadline on. Up to PurgeDeadline after the view was complete, every purge
// that has to hold is known. Later, one may be missing whose time is up to PurgeDeadline before now, so that only copies made
// since then are sure.
func (l *Lease) MaxCopyAge(now time.Time) time.Duration {
	if !l.completeAt.IsZero() && now.Sub(l.completeAt) <= l.timing.PurgeDeadline {
		return 0
	}
	return l.timing.StaleCopyAge()
}

// StaleCopyAge is the age up to which a copy is sure not to be older than a purge that has to hold by now, whatever purges
// are missing.
func (t Timing) StaleCopyAge() time.Duration {
	return max(t.WithDefaults().PurgeDeadline-copyAgeMargin, time.Millisecond) // 0 would be no bound
}
