package scale

import (
	"slices"
	"sync"
	"time"
)

// leaseHistory is what a gateway claimed about its own freshness in the course of a run.
type leaseHistory struct {
	mu        sync.Mutex
	startedAt time.Time // of the present incarnation
	caughtUp  bool      // the present incarnation has held a lease
	stale     []interval
	isStale   bool // the last interval is open
	claims    []freshnessClaim
}

// interval is a time during which a gateway knew itself not to be fresh.
type interval struct{ from, to time.Time }

// freshnessClaim says that at a time, with all that had come before handled, the state was called complete up to another.
type freshnessClaim struct{ at, completeAt time.Time }

// started begins an incarnation, which is stale until it has its first lease.
func (h *leaseHistory) started(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startedAt, h.caughtUp = now, false
	h.setFresh(false, now)
}

// stopped ends an incarnation.
func (h *leaseHistory) stopped(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setFresh(false, now)
}

// observe enters whether the lease holds now. For the first lease of an incarnation it tells how long that took.
func (h *leaseHistory) observeLease(fresh bool, now time.Time) (catchUp time.Duration, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setFresh(fresh, now)
	if !fresh || h.caughtUp {
		return 0, false
	}
	h.caughtUp = true
	return now.Sub(h.startedAt), true
}

func (h *leaseHistory) setFresh(fresh bool, now time.Time) {
	switch {
	case !fresh && !h.isStale:
		h.stale = append(h.stale, interval{from: now})
	case fresh && h.isStale:
		h.stale[len(h.stale)-1].to = now
	}
	h.isStale = !fresh
}

// claim enters a claim of freshness.
func (h *leaseHistory) addClaim(at, completeAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims = append(h.claims, freshnessClaim{at, completeAt})
}

// freshThrough tells whether the gateway was fresh from one time to another; a zero end is the present.
func (h *leaseHistory) freshThroughout(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stale := range h.stale {
		endsBefore := !stale.to.IsZero() && stale.to.Before(from)
		beginsAfter := !to.IsZero() && stale.from.After(to)
		if !endsBefore && !beginsAfter {
			return false
		}
	}
	return true
}

// firstClaimFor gives the first claim by which a change acknowledged at a time had to be known.
func (h *leaseHistory) firstClaimFor(acked time.Time) (freshnessClaim, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	index, _ := slices.BinarySearchFunc(h.claims, acked, func(c freshnessClaim, at time.Time) int {
		return c.completeAt.Compare(at)
	})
	if index == len(h.claims) {
		return freshnessClaim{}, false
	}
	return h.claims[index], true
}

// incarnation gives when the present incarnation began.
func (h *leaseHistory) incarnationStart() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startedAt
}
