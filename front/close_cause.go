package front

// CloseCause returns why the server had a connection closed whose read was interrupted, for the log.
func (s *Conn) CloseCause() string {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	now := s.server.Clock.Now()
	switch {
	case s.server.stopping:
		return "process stops"
	case s.server.retiring:
		return "process is replaced"
	case s.requestDeadline > 0 && now > s.requestDeadline:
		return "request timeout"
	case s.hasPartialRequest() && s.timedOut(now):
		return "read timeout"
	case s.server.draining:
		return "drain"
	case !s.hadRequest && s.timedOut(now):
		return "first byte timeout"
	case s.server.IdleTimeout > 0 && s.hadRequest && now > s.idleSince+s.server.IdleTimeout:
		return "idle timeout"
	}
	return "evicted for a new connection"
}
