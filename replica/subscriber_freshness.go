package replica

import "time"

// expirySlack is how long after the end of the lease it is looked at, so that it has ended for sure.
const expirySlack = time.Millisecond

// noteFreshness tells FreshnessChanged where it changed, and has itself called at the end of the lease.
func (s *Subscriber) noteFreshness() {
	s.freshness.Lock()
	defer s.freshness.Unlock()
	if s.expiryEnded {
		return
	}
	fresh := s.Fresh()
	if fresh {
		s.armExpiry()
	}
	if fresh == s.notified {
		return
	}
	s.notified = fresh
	if s.opt.FreshnessChanged != nil {
		s.opt.FreshnessChanged(fresh)
	}
}

// armExpiry sets the timer to the end of the lease; freshness is held.
func (s *Subscriber) armExpiry() {
	left := s.timing.LeaseTTL - s.completeAge() + expirySlack
	if s.expiry == nil {
		s.expiry = time.AfterFunc(left, s.noteFreshness)
		return
	}
	s.expiry.Reset(left)
}

// completeAge is the time since the state was last known to be complete.
func (s *Subscriber) completeAge() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.opt.Now().Sub(s.lease.CompleteAt())
}
