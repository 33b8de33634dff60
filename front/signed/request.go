package signed

import (
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/token"
)

// authorization is the result of validating a request's token.
type authorization struct {
	grant    token.Grant
	query    token.Query // the part of the query that the token covers
	atUnix   float64     // when the token was validated, in Unix ms
	at       float64     // the same in clock ms
	leewayMs float64     // clock skew that was tolerated
}

// needsClaim reports whether a request of a class has to claim the token's single use.
func (a *authorization) needsClaim(class Class) bool { return class.Write || a.grant.MaxUses == 1 }

// singleUseEnded reports whether the token was renewed for too long to be used once.
func (a *authorization) singleUseEnded() bool {
	return a.atUnix > a.grant.SingleUseEnd()*1000+a.leewayMs
}

// claimUntil returns the time, in Unix ms, until which the claim of the token's single use must be kept.
func (a *authorization) claimUntil() float64 {
	return a.grant.SingleUseEnd()*1000 + 2*a.leewayMs + claimMargin
}

// expiresAt returns the expiry of the token, in clock ms.
func (a *authorization) expiresAt() float64 { return a.at + a.grant.Expires*1000 - a.atUnix }

// handleRequest validates a request, and submits it to the core or answers it at once.
func (c *conn) handleRequest(s *slot) {
	f, m := c.frontend, &s.msg
	if strings.HasPrefix(m.Path, "/-/") || m.Path == "/healthz" {
		c.reply(s, f.withDate(f.handleManagement(m)))
		return
	}
	object, ok := c.parsePath(s)
	if !ok {
		return
	}
	if m.Method == "OPTIONS" {
		c.answerOptions(s, object)
		return
	}
	auth, ok := c.authorize(s)
	if !ok || !c.checkClass(s, object, auth) {
		return
	}
	request, ok := c.admit(s, object, auth)
	if !ok {
		return
	}
	c.register(s, &request, auth)
	if !auth.needsClaim(s.class) {
		c.submit(s, request)
		return
	}
	c.claimAndSubmit(s, request)
}

// parsePath returns the object that a request's path names, or answers the request.
func (c *conn) parsePath(s *slot) (object objectPath, ok bool) {
	if object, ok = parseObjectPath(s.msg.Path); ok {
		return object, true
	}
	if !token.Canonical(s.msg.Path) {
		c.fail(s, 400, "malformed", "the path is not in canonical form", "")
	} else {
		c.fail(s, 404, "not_found", "no such path", "")
	}
	return object, false
}

// answerOptions answers a request for the methods of a class.
func (c *conn) answerOptions(s *slot, object objectPath) {
	if class, ok := c.frontend.classes[object.class]; ok {
		c.reply(s, c.frontend.optionsResponse(s, class))
	} else {
		c.fail(s, 404, "unknown_class", "no such class", "")
	}
}

// authorize validates the token of a request, or answers the request.
func (c *conn) authorize(s *slot) (auth *authorization, ok bool) {
	f, m := c.frontend, &s.msg
	auth = &authorization{atUnix: f.opt.Clock.Unix(), at: f.opt.Clock.Now(), leewayMs: f.policy.Load().LeewayMs}
	// Guards against clients that guess tokens: a source with too many failures is rejected before its signatures are verified.
	if ok, wait := f.guard.Check(c.source, auth.at); !ok {
		c.fail(s, 429, "too_many_failures", "too many tokens from this address were not accepted", retryHeaders(wait))
		return nil, false
	}
	var err error
	auth.grant, auth.query, err = f.ring.Load().Verify(token.Request{
		Scheme: f.opt.Scheme, Host: m.Host, Path: m.Path, RawQuery: m.Query, Method: m.Method, Addr: c.clientAddr,
		Cookie: m.Cookie, Header: func(name string) string { return m.Header[strings.ToLower(name)] },
	}, auth.atUnix/1000, auth.leewayMs/1000)
	if err != nil {
		c.reject(s, err)
		return nil, false
	}
	if f.opt.Claims.Revoked(auth.grant.UseKey()) {
		f.logSampled(f.opt.Log.Info(), "revoked token rejected", func(e *zerolog.Event) {
			e.Str("claim", auth.grant.UseKey()).Str("path", m.Path).Str("from", c.source)
		})
		c.fail(s, 403, "revoked", "the token was revoked", "")
		return nil, false
	}
	return auth, true
}

// checkClass checks a request against the class of its object, which it stores in the slot, or answers the request.
func (c *conn) checkClass(s *slot, object objectPath, auth *authorization) (ok bool) {
	class, ok := c.frontend.classes[object.class]
	if !ok {
		c.fail(s, 404, "unknown_class", "no such class", "")
		return false
	}
	method, allow := "GET", "GET, HEAD, OPTIONS"
	if class.Write {
		method, allow = "POST", "POST, OPTIONS"
	}
	if s.msg.Method != method && !(s.msg.Method == "HEAD" && !class.Write) {
		c.fail(s, 405, "method", "this class takes "+method, "Allow: "+allow+"\r\n")
		return false
	}
	if auth.needsClaim(class) && auth.singleUseEnded() {
		c.fail(s, 403, "expired", "the token has been renewed for too long to be used once; a new one is needed", "")
		return false
	}
	s.class = class
	return true
}

// admit returns the request for the core if the frontend has room for it and it can still be answered in time, or answers it.
func (c *conn) admit(s *slot, object objectPath, auth *authorization) (request core.Request, ok bool) {
	f, m := c.frontend, &s.msg
	request, err := object.request(auth.query, m)
	if err != nil {
		c.fail(s, 400, "malformed", err.Error(), "")
		return request, false
	}
	if _, rejecting := f.server.Draining(); rejecting {
		c.fail(s, 503, "draining", "this gateway is being emptied", retryHeaders(f.opt.RetryAfter))
		return request, false
	}
	request.Frontend, request.ReceivedAt, request.Remaining, request.Body = c, s.receivedAt, timeLeft(request.Remaining, s.class), m.Body
	if f.opt.Clock.Now() >= request.ReceivedAt+request.Remaining {
		c.fail(s, 504, "deadline", "no answer in time; trying again is harmless", retryHeaders(0))
		return request, false
	}
	if !c.enterLimits(s, &auth.grant) {
		return request, false
	}
	return request, true
}

// register fills the slot of an admitted request and registers it as open.
func (c *conn) register(s *slot, request *core.Request, auth *authorization) {
	grant := &auth.grant
	s.tokenHeader, s.claimUntil, s.grantExpiresAt = grant.VaryHeader, auth.claimUntil(), auth.expiresAt()
	if !grant.NoSingleUse {
		s.claimName, s.earlierClaimName = grant.UseKey(), grant.EarlierUseKey()
	}
	if grant.Renewal.Seconds > 0 {
		s.renewable = grant
	}
	// The token was validated, once; this only prevents attempts that start after its expiry. The time left is a duration, so a
	// step of the wall clock meanwhile neither shortens nor extends it.
	request.AuthorizedUntil = s.grantExpiresAt + auth.leewayMs
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastTag++
	s.tag, s.canceled = c.lastTag, new(atomic.Bool)
	request.RequestTag, request.Canceled = s.tag, s.canceled
	c.open[s.tag] = s
}

// claimAndSubmit submits a request once its token's single use is claimed. The claim is made in another goroutine, so that the
// reader can detect a client that disconnects meanwhile.
func (c *conn) claimAndSubmit(s *slot, request core.Request) {
	f := c.frontend
	request.ReportAfterCancel = true
	f.open.Add(1) // a shutdown also waits for the claim
	go func() {
		defer f.open.Add(-1)
		if c.claim(s, request.ReceivedAt+request.Remaining-f.opt.Clock.Now()) {
			c.submit(s, request)
			return
		}
		c.mu.Lock()
		delete(c.open, s.tag)
		c.mu.Unlock()
	}()
}

// timeLeft returns for how many ms from its request's last byte a client waits: as long as it requested, at most the class's
// deadline.
func timeLeft(requested float64, class Class) float64 {
	if requested <= 0 {
		return class.Deadline
	}
	return min(class.Deadline, requested)
}

// submit passes a request to the core. If the client has disconnected meanwhile, even if its close follows bytes that are not
// read yet, the request's claim is released instead.
func (c *conn) submit(s *slot, request core.Request) {
	disconnected := front.PeerClosed(c.net)
	c.mu.Lock()
	s.submitted = !c.disconnected && !disconnected
	if !s.submitted {
		delete(c.open, s.tag)
		c.finish(s, nil)
	}
	owner, submitted := s.owner, s.submitted
	c.mu.Unlock()
	if submitted {
		c.frontend.events.Push(request)
	} else if owner != "" {
		c.frontend.recordOutcome(s.claimName, claims.Step{Op: claims.Release, Owner: owner})
	}
}
