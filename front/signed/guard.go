package signed

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/limits"
	"turnfork.dev/turnfork/token"
)

func guardOptions(o limits.GuardOptions) limits.GuardOptions {
	if o == (limits.GuardOptions{}) {
		return limits.DefaultGuard
	}
	return o
}

// sourceOf returns the key under which a client's failures are counted: its address, or the first 56 bits of an IPv6 address,
// as a whole prefix of that length may belong to one client.
func sourceOf(a netip.Addr) string {
	if a.Is6() {
		if p, err := a.Prefix(56); err == nil {
			return p.String()
		}
	}
	return a.String()
}

// isForgery reports whether a rejection may be caused by a guessed token. An expired or a missing token is not guessed.
func isForgery(err error) bool {
	switch token.ReasonOf(err) {
	case token.BadSignature, token.UnknownKey, token.Malformed:
		return true
	}
	return false
}

// reject answers a request whose token was not accepted. The failure is counted before the response is written, so that it
// applies to all that the client sends after reading the response.
func (c *conn) reject(s *slot, err error) {
	f := c.frontend
	if isForgery(err) {
		f.guard.Failed(c.source, f.opt.Clock.Now())
	}
	f.logSampled(f.opt.Log.Info(), "token not accepted", func(e *zerolog.Event) {
		e.Err(err).Str("path", s.msg.Path).Str("from", c.source)
	})
	status, code, text, head := rejectionResponse(err)
	c.fail(s, status, code, text, head)
}

// pauseReading delays the next read of a connection whose source has too many failures. Requests that were already read are
// not delayed. It reports false if the client has disconnected.
func (c *conn) pauseReading() (connected bool) {
	f := c.frontend
	pause := f.guard.Pause(c.source, f.opt.Clock.Now())
	if pause <= 0 {
		return true
	}
	timer, poll := time.NewTimer(clock.Duration(pause)), time.NewTicker(disconnectPollInterval)
	defer timer.Stop()
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			if front.PeerClosed(c.net) {
				return false
			}
		case <-timer.C:
			return true
		case <-c.writerDone:
			return true
		}
	}
}

// logSampled writes a log line that clients can cause, within the limit on lines of each kind.
func (f *Frontend) logSampled(e *zerolog.Event, kind string, addFields func(*zerolog.Event)) {
	if f.logSampler.Take(e, kind) {
		addFields(e)
		e.Msg(kind)
	}
}

// enterLimits counts a request in the limits of its grant, its key and its client, or rejects the request.
func (c *conn) enterLimits(s *slot, g *token.Grant) bool {
	f := c.frontend
	if !f.limits.Enabled() {
		return true
	}
	limitNames := &limits.Subject{Grant: g.UseKey(), Key: g.Key, Client: f.limits.Client(c.clientAddr)}
	if r := f.limits.Enter(*limitNames, f.opt.Clock.Now()); r != nil {
		c.fail(s, 429, "limited", "the limit of this "+r.Limit+" is reached", retryHeaders(r.RetryAfter))
		return false
	}
	s.limitSubject = limitNames
	return true
}

// releaseLimits ends the request in its limits, and charges the bytes of its response.
func (f *Frontend) releaseLimits(s *slot) {
	if s.limitSubject != nil {
		f.limits.Release(*s.limitSubject, float64(len(s.answer)), f.opt.Clock.Now())
		s.limitSubject = nil
	}
}
