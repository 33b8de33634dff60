package signed

import (
	"strconv"
	"strings"
)

// renewalHeader returns the header with the successor of a request's token, or "" if the token is not renewed.
func (f *Frontend) renewalHeader(s *slot) string {
	next, now := &s.renewable.Renewal, f.opt.Clock.Unix()/1000
	// Guards against a token that outlives its revocation, which is kept for the maximum lifetime of a token.
	if float64(next.Seconds) > f.policy.Load().TokenSeconds || !s.renewable.NeedsRenewal(now) {
		return ""
	}
	name, text, err := f.ring.Load().Renew(s.renewable, now)
	if err != nil {
		return ""
	}
	f.opt.Log.Debug().Str("claim", s.renewable.UseKey()).Int("seconds", next.Seconds).Msg("token renewed")
	if next.Header {
		return name + ": " + text + "\r\n"
	}
	return "Set-Cookie: " + name + "=" + text + "; Path=" + cookiePath(s.msg.Path, next.CookiePathDepth) +
		"; Max-Age=" + strconv.Itoa(next.Seconds) + "; HttpOnly\r\n"
}

// cookiePath returns the first depth segments of a path, as the claim cdnistd defines it; with depth 0 it returns "/".
func cookiePath(path string, depth int) string {
	at := 0
	for ; depth > 0; depth-- {
		next := strings.IndexByte(path[at+1:], '/')
		if next < 0 {
			break
		}
		at += 1 + next
	}
	if at == 0 {
		return "/"
	}
	return path[:at]
}
