package token

import (
	"errors"
	"net/url"
	"strings"
)

// Grant is what a valid token allows.
type Grant struct {
	Key     string
	ID      string  // jti, or the nonce of a signed URL
	Expires float64 // Unix seconds
	Claims  Claims  // of a package
}

// Use names a grant's one use across keys.
func (g Grant) Use() string { return g.Key + "/" + g.ID }

// Why is the kind of a rejection.
type Why string

// The kinds. Missing asks for a token, Malformed for a readable request; the others are refused.
const (
	Missing      Why = "missing"
	Malformed    Why = "malformed"
	BadKey       Why = "unknown_key"
	BadSignature Why = "bad_signature"
	BadClaim     Why = "bad_claim"
	Expired      Why = "expired"
	TooEarly     Why = "not_yet_valid"
	WrongURI     Why = "wrong_uri"
)

// Rejection says why a token is not accepted.
type Rejection struct {
	Why  Why
	Text string
}

func (r *Rejection) Error() string { return "token: " + r.Text }

func reject(why Why, text string) error { return &Rejection{why, text} }

// WhyOf gives the kind of an error of this package.
func WhyOf(err error) Why {
	var r *Rejection
	if errors.As(err, &r) {
		return r.Why
	}
	return Malformed
}

// Request is what a token is checked against.
type Request struct {
	Scheme, Host, Path, RawQuery string
	Cookie                       string // a package that came in a cookie
}

// Verify checks the token of a request, whichever kind it carries. A request with two is malformed.
// The rest of the query comes back for the front.
func (r *Ring) Verify(q Request, now, leeway float64) (g Grant, rest Query, err error) {
	if !Canonical(q.Path) {
		return g, nil, reject(Malformed, "the path is not in canonical form")
	}
	all, err := ParseQuery(q.RawQuery)
	if err != nil {
		return g, nil, err
	}
	pack, signed := all.Get(ParamPackage), all.Get(ParamSignature) != ""
	switch {
	case pack != "" && signed:
		return g, nil, reject(Malformed, "two tokens")
	case signed:
		rest = all.Without(ParamExpires, ParamKey, ParamNonce, ParamSignature)
		g, err = r.VerifyURL(q.Path, all, now, leeway)
		return g, rest, err
	case pack == "" && q.Cookie == "":
		return g, nil, reject(Missing, "no token")
	}
	uri := q.Scheme + "://" + strings.ToLower(q.Host) + q.Path
	// The container speaks of the URI without the package, with all else as it was sent.
	if raw := rawWithout(q.RawQuery, ParamPackage); raw != "" {
		uri += "?" + raw
	}
	rest = all.Without(ParamPackage)
	if pack == "" {
		pack = q.Cookie
	}
	g, err = r.VerifyPackage(pack, uri, now, leeway)
	return g, rest, err
}

func rawWithout(raw, name string) string {
	var keep []string
	for item := range strings.SplitSeq(raw, "&") {
		n, _, _ := strings.Cut(item, "=")
		if got, err := url.QueryUnescape(n); err == nil && got == name || item == "" {
			continue
		}
		keep = append(keep, item)
	}
	return strings.Join(keep, "&")
}
