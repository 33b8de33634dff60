package distribution

import "time"

// MemberLease tracks when a voter's own state was last known to be complete, by the rules for subscribers: a heartbeat is
// recorded when a confirmation round begins, and counts once the round has succeeded and every change up to its revision is
// applied here. A voter that is partitioned from the majority therefore becomes stale, even if it still considers itself the
// leader.
type MemberLease struct {
	lease   *Lease
	applied Position // of the last applied change
	pending []Mark   // of confirmed rounds, ascending, whose changes are not all applied yet
}

// maxPendingMarks bounds the pending marks. A voter that lags by more rounds is stale anyway.
const maxPendingMarks = 16

// NewMemberLease returns a lease that has expired.
func NewMemberLease(timing Timing) *MemberLease { return &MemberLease{lease: NewLease(timing)} }

// BeginRound records a heartbeat for a round that begins now, and returns its number.
func (l *MemberLease) BeginRound(now time.Time) (heartbeat uint64) { return l.lease.Heartbeat(now) }

// ConfirmRound records that the round of a heartbeat confirmed a revision. It reports whether that renewed the lease.
func (l *MemberLease) ConfirmRound(heartbeat uint64, through Revision) (renewed bool) {
	if len(l.pending) >= maxPendingMarks {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, Mark{Heartbeat: heartbeat, Through: through})
	return l.renew()
}

// SetApplied records that all changes up to a position are applied. It reports whether that renewed the lease.
func (l *MemberLease) SetApplied(at Position) (renewed bool) {
	l.applied = at
	return l.renew()
}

// renew renews the lease by the newest mark whose changes are all applied, if there is one.
func (l *MemberLease) renew() bool {
	for i := len(l.pending) - 1; i >= 0; i-- {
		if l.lease.Renew(l.pending[i], l.applied) {
			l.pending = l.pending[i+1:]
			return true
		}
	}
	return false
}

// AppliedPosition returns the position of the last applied change.
func (l *MemberLease) AppliedPosition() Position { return l.applied }

// Fresh reports whether the state was known to be complete less than LeaseTTL ago.
func (l *MemberLease) Fresh(now time.Time) bool { return l.lease.Fresh(now) }

// CompleteAt returns when the state was last known to be complete; zero: never.
func (l *MemberLease) CompleteAt() time.Time { return l.lease.CompleteAt() }

// MaxCopyAge returns the greatest age of a cached copy that may be requested now, as Lease.MaxCopyAge does; 0: no bound.
func (l *MemberLease) MaxCopyAge(now time.Time) time.Duration { return l.lease.MaxCopyAge(now) }
