package scale

import (
	"slices"
	"sync"
	"time"
)

// leaseHistory records when a gateway was fresh, and its claims of freshness, during a run.
type leaseHistory struct {
	mu        sync.Mutex
	startedAt time.Time // of the current incarnation
	caughtUp  bool      // the current incarnation has held a lease
	stale     []interval
	isStale   bool // the last interval of stale has not ended
	claims    []freshnessClaim
}

// interval is a period in which a gateway knew that it was not fresh; a zero end means that it lasts on.
type interval struct{ from, to time.Time }

// freshnessClaim is a gateway's claim that its state is complete up to completeAt. At the time at, its core had handled
// all changes received before the claim.
type freshnessClaim struct{ at, completeAt time.Time }

// started begins an incarnation, which is stale until it holds its first lease.
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

// observeLease records whether the gateway holds a lease now. For the first lease of an incarnation it returns the time
// since the start of the incarnation.
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

// addClaim records a claim of freshness.
func (h *leaseHistory) addClaim(at, completeAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims = append(h.claims, freshnessClaim{at, completeAt})
}

// freshThroughout reports whether the gateway was fresh during the whole period; a zero end stands for the present.
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

// firstClaimFor returns the first claim that covers changes acknowledged at the given time. When the gateway made this
// claim, such a change had to be in force.
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

// incarnationStart returns the start time of the current incarnation.
func (h *leaseHistory) incarnationStart() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startedAt
}
