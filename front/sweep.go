package front

// Sweep closes the connections whose time is up: no whole request came within the limit, or none for long.
func (s *Server) Sweep() {
	now := s.Clock.Now()
	var yields []func()
	defer func() {
		for _, yield := range yields {
			yield()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullLogged = s.fullLogged && len(s.conns) >= s.limit()
	for x := range s.conns {
		late := x.requestDeadline > 0 && (now > x.requestDeadline || s.ReadTimeout > 0 && now > x.last()+s.ReadTimeout)
		switch {
		case x.hadRequest && (x.openRequests > 0 || x.requestDeadline > 0):
		case !x.hadRequest && x.lastReadAt.Load() > 0: // also before it is known what has begun
			late = late || s.ReadTimeout > 0 && now > x.last()+s.ReadTimeout || s.RequestTimeout > 0 && now > x.acceptedAt+s.RequestTimeout
		case !x.hadRequest:
			late = late || s.FirstByteTimeout > 0 && now > x.acceptedAt+s.FirstByteTimeout
		default:
			if !x.closing && s.IdleTimeout > 0 && now > x.idleSince+s.IdleTimeout {
				s.requestClose(x)
			}
			// Guards against a few bytes that never become a request keeping the reader from closing it.
			late = late || x.closing && s.ReadTimeout > 0 && now > x.idleSince+s.IdleTimeout+s.ReadTimeout && now > x.last()+s.ReadTimeout
		}
		// Guards against losing what is open on a connection to half a request there: that one alone is refused.
		if late && x.openRequests > 0 && x.shedPartial != nil {
			late = false
			yields = append(yields, x.shedPartial)
		}
		if !late && x.shouldClose(now) {
			s.interruptRead(x)
		}
		if !late && x.requestDeadline > 0 && x.shedPartial != nil &&
			(s.draining && now >= s.drainStartedAt+drainHalf || s.leaving && now >= s.leftAt+leaveHalf) {
			yields = append(yields, x.shedPartial)
		}
		if late {
			s.remove(x)
			x.conn.Close()
		}
	}
	s.makeRoom(0)
}
