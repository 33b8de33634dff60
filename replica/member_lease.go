package replica

import (
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// memberLease is a member's distribution.MemberLease with its lock and its notifier.
type memberLease struct {
	timing   distribution.Timing
	now      func() time.Time
	notifier freshnessNotifier

	mu    sync.Mutex
	lease *distribution.MemberLease
}

func newMemberLease(timing distribution.Timing, now func() time.Time, changed func(fresh bool)) *memberLease {
	l := &memberLease{timing: timing, now: now, lease: distribution.NewMemberLease(timing)}
	l.notifier = freshnessNotifier{changed: changed, fresh: l.fresh, timeLeft: l.timeLeft}
	return l
}

// beginRound returns the number of the heartbeat of a confirmation round that begins now.
func (l *memberLease) beginRound() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.BeginRound(l.now())
}

// confirm records that the round of a heartbeat was confirmed.
func (l *memberLease) confirm(heartbeat uint64, through distribution.Revision) {
	l.mu.Lock()
	renewed := l.lease.ConfirmRound(heartbeat, through)
	l.mu.Unlock()
	if renewed {
		l.notifier.update()
	}
}

// setApplied records that all changes up to a position are applied.
func (l *memberLease) setApplied(at distribution.Position) {
	l.mu.Lock()
	renewed := l.lease.SetApplied(at)
	l.mu.Unlock()
	if renewed {
		l.notifier.update()
	}
}

func (l *memberLease) status() LeaseStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return newLeaseStatus(l.lease, l.lease.AppliedPosition(), l.now())
}

func (l *memberLease) fresh() bool { return l.status().Fresh }

// timeLeft returns the time until the end of the lease.
func (l *memberLease) timeLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.timing.LeaseTTL - l.now().Sub(l.lease.CompleteAt())
}
