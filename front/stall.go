package front

import "sync"

const (
	minStall          = 50.0 // ms by which a heartbeat must be late for the process to count as stalled
	maxStallReadDelay = 50.0 // ms after a stall in which a read may return bytes that arrived during the stall
)

// stalls detects when the process was stalled, by heartbeats that are late. A reader learns only when the last of the bytes
// that it reads arrived; a request that arrived early in a stall would therefore count as having arrived at its end.
type stalls struct {
	mu            sync.Mutex
	lastHeartbeat float64 // time of the last heartbeat
	from, to      float64 // start and end of the last stall
}

// heartbeat must be called once every sweepInterval.
func (s *stalls) heartbeat(now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeatLate(now) {
		s.from, s.to = s.lastHeartbeat, now
	}
	s.lastHeartbeat = now
}

// heartbeatLate reports whether the next heartbeat is late. The caller holds the lock.
func (s *stalls) heartbeatLate(now float64) bool {
	return s.lastHeartbeat > 0 && now-s.lastHeartbeat > float64(sweepInterval.Milliseconds())+minStall
}

// during reports whether the process was stalled just before the end of a read, and returns the earliest time during the read
// at which it may have been stalled.
func (s *stalls) during(began, ended float64) (from float64, stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.heartbeatLate(ended):
		return max(s.lastHeartbeat, began), true
	case began < s.to && ended-s.to <= maxStallReadDelay:
		return max(s.from, began), true
	}
	return 0, false
}
