package front

// Sweep makes the readers of the connections that have timed out, or can be closed in a drain, close them.
func (s *Server) Sweep() {
	now := s.Clock.Now()
	var sheds []func()
	defer func() {
		for _, shed := range sheds {
			shed()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitLogged = s.limitLogged && len(s.conns) >= s.limit()
	for x := range s.conns {
		if x.hadRequest && x.openRequests == 0 && x.requestDeadline == 0 &&
			!x.closing && s.IdleTimeout > 0 && now > x.idleSince+s.IdleTimeout {
			s.requestClose(x)
		}
		late := x.timedOut(now)
		switch {
		case late && x.openRequests > 0 && x.shedPartial != nil:
			// Only the partial requests are rejected, so that the connection's open requests are not lost.
			sheds = append(sheds, x.shedPartial)
		case late && x.openRequests > 0 && x.closeWhenIdle: // closed once all requests are answered
		case late || x.shouldClose(now):
			s.interruptRead(x)
		}
		if !late && x.requestDeadline > 0 && x.shedPartial != nil && s.shedsPartial(now) {
			sheds = append(sheds, x.shedPartial)
		}
	}
	s.evictIfNeeded(0)
}
