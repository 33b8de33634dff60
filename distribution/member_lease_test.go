package distribution

import (
	"testing"
	"time"
)

// A confirmed round renews the lease only once all changes up to its revision are applied, even if further rounds are
// confirmed before that; and the lease then counts from the beginning of the round.
func TestMemberLeaseRenewedOnceChangesApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	timing := Timing{}.WithDefaults()
	l := NewMemberLease(timing)
	expect := func(what string, fresh bool, completeAt time.Time) {
		t.Helper()
		if l.Fresh(now) != fresh || !l.CompleteAt().Equal(completeAt) {
			t.Errorf("%s: fresh %v, complete at %v, want %v, %v", what, l.Fresh(now), l.CompleteAt(), fresh, completeAt)
		}
	}
	l.SetApplied(Position{Revision: 4, Term: 1})
	first, firstAt := l.BeginRound(now), now
	now = now.Add(time.Second)
	l.ConfirmRound(first, 5)
	expect("a change is missing", false, time.Time{})
	if l.MaxCopyAge(now) == 0 {
		t.Error("no bound on the age of copies while a change is missing")
	}
	second, secondAt := l.BeginRound(now), now
	now = now.Add(time.Second)
	l.ConfirmRound(second, 9)
	expect("two rounds are pending", false, time.Time{})
	l.SetApplied(Position{Revision: 6, Term: 1})
	expect("the changes of the first round are applied", true, firstAt)
	l.SetApplied(Position{Revision: 9, Term: 2})
	expect("all changes are applied", true, secondAt)
	now = secondAt.Add(timing.LeaseTTL)
	expect("the lease has ended", false, secondAt)
	for range 2 * maxPendingMarks {
		l.ConfirmRound(l.BeginRound(now), 100)
	}
	if len(l.pending) > maxPendingMarks {
		t.Errorf("%d marks are pending, above the maximum", len(l.pending))
	}
}
