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

func guardOf(o limits.GuardOptions) limits.GuardOptions {
	if o == (limits.GuardOptions{}) {
		return limits.DefaultGuard
	}
	return o
}

// sourceOf returns the key under which a client's failures are counted: its address, or the first 56 bits of an IPv6 address,
// as a whole prefix of that length may belong to one client.
func source(a netip.Addr) string {
	if a.Is6() {
		if p, err := a.Prefix(56); err == nil {
			return p.String()
		}
	}
	return a.String()
}

// isForgery reports whether a rejection may be caused by a guessed token. An expired or a missing token is not guessed.
func forged(err error) bool {
	switch token.WhyOf(err) {
	case token.BadSignature, token.BadKey, token.Malformed:
		return true
	}
	return false
}

// reject answers a request whose token was not accepted. The failure is counted before the response is written, so that it
// applies to all that the client sends after reading the response.
func (c *conn) reject(s *slot, err error) {
	f := c.front
	if forged(err) {
		f.guard.Failed(c.source, f.opt.Clock.Now())
	}
	f.sampled(f.opt.Log.Info(), "token not accepted", func(e *zerolog.Event) {
		e.Err(err).Str("path", s.msg.Path).Str("from", c.source)
	})
	status, code, text, head := rejected(err)
	c.fail(s, status, code, text, head)
}

// pauseReading delays the next read of a connection whose source has too many failures. Requests that were already read are
// not delayed. It reports false if the client has disconnected.
func (c *conn) slow() (connected bool) {
	f := c.front
	pause := f.guard.Pause(c.source, f.opt.Clock.Now())
	if pause <= 0 {
		return true
	}
	t, look := time.NewTimer(clock.Duration(pause)), time.NewTicker(hungUpLook)
	defer t.Stop()
	defer look.Stop()
	for {
		select {
		case <-look.C:
			if front.HungUp(c.net) {
				return false
			}
		case <-t.C:
			return true
		case <-c.ended:
			return true
		}
	}
}

// logSampled writes a log line that clients can cause. It limits the lines per second of each kind, and adds the number of
// lines that were suppressed.
func (f *Front) sampled(e *zerolog.Event, kind string, with func(*zerolog.Event)) {
	f.sampling.Lock()
	ok, left := f.sampler.Take(kind, f.opt.Clock.Now())
	f.sampling.Unlock()
	if !ok {
		return
	}
	if with(e); left > 0 {
		e.Int("left_out", left)
	}
	e.Msg(kind)
}

// enterLimits counts a request in the limits of its grant, its key and its client, or rejects the request.
func (c *conn) within(s *slot, g *token.Grant) bool {
	f := c.front
	if !f.limits.On() {
		return true
	}
	who := &limits.Who{Key: g.Key, Client: f.limits.Client(c.from)}
	if g.ID != "" {
		who.Grant = g.Use()
	}
	if r := f.limits.Enter(*who, f.opt.Clock.Now()); r != nil {
		c.fail(s, 429, "limited", "the limit of this "+r.By+" is reached", throttle(r.Wait))
		return false
	}
	s.who = who
	return true
}

// releaseLimits ends the request in its limits, and charges the bytes of its response.
func (f *Front) out(s *slot) {
	if s.who != nil {
		f.limits.Release(*s.who, float64(len(s.answer)), f.opt.Clock.Now())
		s.who = nil
	}
}
