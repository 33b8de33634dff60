package front

import "sync"

const (
	stallLeast  = 50.0 // ms by which a heartbeat must be late for the process to count as stalled
	stallRecent = 50.0 // ms after a stall in which a read may return bytes that arrived during the stall
)

// stalls detects when the process was stalled, by heartbeats that are late. A reader learns only when the last of the bytes
// that it reads arrived; a request that arrived early in a stall would therefore count as having arrived at its end.
type stalls struct {
	mu       sync.Mutex
	last     float64 // time of the last heartbeat
	from, to float64 // start and end of the last stall
}

// heartbeat must be called once every sweepInterval.
func (s *stalls) heartbeat(now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late(now) {
		s.from, s.to = s.last, now
	}
	s.last = now
}

// late reports whether the next heartbeat is late. The caller holds the lock.
func (s *stalls) late(now float64) bool {
	return s.last > 0 && now-s.last > float64(sweepInterval.Milliseconds())+stallLeast
}

// during reports whether the process was stalled just before the end of a read, and returns the earliest time during the read
// at which it may have been stalled.
func (s *stalls) during(began, ended float64) (from float64, stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.late(ended):
		return max(s.last, began), true
	case began < s.to && ended-s.to <= stallRecent:
		return max(s.from, began), true
	}
	return 0, false
}
