package token

// Renewal is the way in which a token is renewed.
type Renewal struct {
	Seconds         int     // lifetime of the renewed token; 0: no renewal
	Cookie          bool    // send the renewed token in a cookie
	Header          bool    // send the renewed token in a response header
	CookiePathDepth int     // number of leading path segments in the Path attribute of the cookie
	WindowSeconds   float64 // renew only during the last WindowSeconds of the validity; 0: always
}

// renewedUseSeconds is for how long after the expiry of a token the tokens that are renewed from it can be used once. Renewal has no
// end, but the claim of a single use must end at some time and be kept until no token of its name can be used.
const renewedUseSeconds = 24 * 3600

// NeedsRenewal reports whether the token is to be renewed at now, in Unix seconds.
func (g *Grant) NeedsRenewal(now float64) bool {
	r := &g.Renewal
	return r.Seconds > 0 && (r.Cookie || r.Header) && (r.WindowSeconds == 0 || now >= g.Expires-r.WindowSeconds)
}

// FirstExpiry returns the expiry of the first token of the grant's name, in Unix seconds.
func (g *Grant) FirstExpiry() float64 {
	if g.FirstExpires != 0 {
		return g.FirstExpires
	}
	return g.Expires
}

// SingleUseEnd returns the time, in Unix seconds, after which neither the token nor any that is renewed from it can be used where
// a use has to be claimed. The claim must be kept until then.
func (g *Grant) SingleUseEnd() float64 {
	if g.Renewal.Seconds == 0 {
		return g.Expires
	}
	return g.FirstExpiry() + renewedUseSeconds
}
