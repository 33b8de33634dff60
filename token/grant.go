// Package token is the core of signed URLs and tokens: grants, keys, and the interface of the dialects. Each dialect is a
// package below this one, which issues the tokens of its specification, authenticates them and converts them to a Grant.
// Only this package decides what a grant allows. All results depend only on the key, the time and the request.
package token

import (
	"errors"
	"math"
	"net/netip"
	"strings"
)

// Grant is what an authentic token allows, whatever its dialect.
type Grant struct {
	Key              string // id of the key
	Kind             Kind
	ID               string         // id that the token carries, otherwise a digest of the signed text. Renewal keeps it
	EarlierID        string         // form of ID in the state of versions that did not encode ids, which other tokens may share; "": the same
	Subject          string         // party that the token was issued to, if it states one
	URIs             []Pattern      // at least one must match
	RequiredPatterns []Pattern      // all must match
	Headers          []HeaderMatch  // all must match
	CoversQuery      bool           // the token covers the query; if false, the query is ignored
	Methods          []string       // allowed methods; empty: any
	AllowedPrefixes  []netip.Prefix // allowed client addresses; empty: any
	NotBefore        float64        // start of validity, in Unix seconds; 0: none
	Issued           float64        // time of issue, in Unix seconds; 0: unknown
	Expires          float64        // end of validity, in Unix seconds; 0: none, so Check rejects the grant
	FirstExpires     float64        // Expires of the first token, from which this one was renewed; 0: it is the first
	MaxUses          int            // 1: the token can be used once, also for reads; 0: unlimited
	NoSingleUse      bool           // it is rejected where its use has to be claimed: its dialect has ids, and the token carries none
	Renewal          Renewal
	VaryHeader       string // name of the request header that carried the token; "": the URL carried it
	DialectClaims    any    // claims in the dialect's own type, kept for renewal
}

// HeaderMatch is a pattern that the value of a request header must match.
type HeaderMatch struct {
	Name    string
	Pattern Pattern
}

// UseKey returns the name of the token for claims, revocations and limits, which is unique across keys. The tokens that are
// renewed from it have the same name.
func (g Grant) UseKey() string { return g.Key + "/" + g.ID }

// EarlierUseKey returns the name of the token for claims in versions that did not encode ids; "": the same as UseKey.
func (g Grant) EarlierUseKey() string {
	if g.EarlierID == "" {
		return ""
	}
	return g.Key + "/" + g.EarlierID
}

// maxDate is the maximum absolute value of dates, in Unix seconds.
const maxDate = 1e12

// Check returns an error unless a grant allows a request at now, in Unix seconds. leeway is the clock skew to tolerate, in
// seconds.
func (g *Grant) Check(q *Request, now, leeway float64) error {
	for _, v := range []float64{g.NotBefore, g.Issued, g.Expires, g.FirstExpires} {
		if math.IsNaN(v) || math.Abs(v) > maxDate {
			return Reject(Malformed, "a date out of range")
		}
	}
	switch {
	case g.Expires == 0: // a token without an expiry would stay valid forever
		return Reject(BadClaim, "the end of its validity is missing")
	case now > g.Expires+leeway:
		return Reject(Expired, "expired")
	case g.NotBefore != 0 && now < g.NotBefore-leeway:
		return Reject(NotYetValid, "not valid yet")
	case g.Issued != 0 && now < g.Issued-leeway:
		return Reject(NotYetValid, "issued in the future")
	case !g.coversURI(q):
		return Reject(WrongURI, "the URI is another")
	case !g.allowsMethod(q.Method):
		return Reject(WrongMethod, "not for this method")
	case !g.matchesHeaders(q):
		return Reject(WrongURI, "a header is another")
	case !g.allowsAddress(q.Addr):
		return Reject(WrongAddress, "not for this address")
	}
	return nil
}

// coversURI reports whether the URI of a request matches one of the patterns in URIs and all of those in RequiredPatterns.
func (g *Grant) coversURI(q *Request) bool {
	for i := range g.URIs {
		if g.URIs[i].matches(q) {
			return g.matchesAll(q)
		}
	}
	return false
}

// matchesAll reports whether the URI of a request matches all patterns in RequiredPatterns.
func (g *Grant) matchesAll(q *Request) bool {
	for i := range g.RequiredPatterns {
		if !g.RequiredPatterns[i].matches(q) {
			return false
		}
	}
	return true
}

// matchesHeaders reports whether the headers of a request match all header patterns.
func (g *Grant) matchesHeaders(q *Request) bool {
	for i := range g.Headers {
		if h := &g.Headers[i]; !h.Pattern.matchesText(q.HeaderValue(h.Name)) {
			return false
		}
	}
	return true
}

// allowsMethod reports whether a method is allowed. A grant for GET includes HEAD.
func (g *Grant) allowsMethod(method string) bool {
	for _, m := range g.Methods {
		if m == method || m == "GET" && method == "HEAD" {
			return true
		}
	}
	return len(g.Methods) == 0
}

// allowsAddress reports whether a client address is allowed.
func (g *Grant) allowsAddress(addr netip.Addr) bool {
	for _, n := range g.AllowedPrefixes {
		if n.Contains(addr.Unmap()) {
			return true
		}
	}
	return len(g.AllowedPrefixes) == 0
}

// ParsePrefix parses an address or a prefix. An address gives the prefix that contains only this address.
func ParsePrefix(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil && a.Zone() == "" {
		return netip.PrefixFrom(a, a.BitLen()), nil
	}
	p, err := netip.ParsePrefix(text)
	if err != nil || p != p.Masked() {
		return p, Reject(Malformed, "no address or prefix")
	}
	return p, nil
}

// RejectionReason is the reason code of a rejection.
type RejectionReason string

// The reason codes. Missing asks the client for a token and Malformed for a well-formed request. All others mean that the
// request is forbidden.
const (
	Missing      RejectionReason = "missing"
	Malformed    RejectionReason = "malformed"
	UnknownKey   RejectionReason = "unknown_key"
	BadSignature RejectionReason = "bad_signature"
	BadClaim     RejectionReason = "bad_claim"
	Expired      RejectionReason = "expired"
	NotYetValid  RejectionReason = "not_yet_valid"
	WrongURI     RejectionReason = "wrong_uri"
	WrongMethod  RejectionReason = "wrong_method"
	WrongAddress RejectionReason = "wrong_address"
)

// Rejection is the error for a token that is not accepted.
type Rejection struct {
	Reason RejectionReason
	Detail string
}

// Error returns the reason as text.
func (r *Rejection) Error() string { return "token: " + r.Detail }

// Reject returns a rejection.
func Reject(reason RejectionReason, detail string) error { return &Rejection{reason, detail} }

// ReasonOf returns the reason code of an error, Malformed if it is not a rejection.
func ReasonOf(err error) RejectionReason {
	var r *Rejection
	if errors.As(err, &r) {
		return r.Reason
	}
	return Malformed
}

// Request is the request of a client, unmodified, that a token is checked against.
type Request struct {
	Scheme, Host, Path, RawQuery string
	Method                       string
	Addr                         netip.Addr               // client address
	Header, Cookie               func(name string) string // return the value of a name, "" if there is none; nil: the request has none

	Query Query // parsed form of RawQuery, set by Ring.Verify
}

// CookieValue returns the value of a cookie.
func (q *Request) CookieValue(name string) string {
	if q.Cookie == nil {
		return ""
	}
	return q.Cookie(name)
}

// HeaderValue returns the value of a header.
func (q *Request) HeaderValue(name string) string {
	if q.Header == nil {
		return ""
	}
	return q.Header(name)
}

// URI returns the absolute URI without the named query parameters. The host is in lower case, everything else as sent.
func (q *Request) URI(without ...string) string {
	uri := q.Scheme + "://" + strings.ToLower(q.Host) + q.Path
	if raw := rawWithout(q.RawQuery, without); raw != "" {
		uri += "?" + raw
	}
	return uri
}

// rawWithout removes the named parameters from an encoded query.
func rawWithout(raw string, names []string) string {
	var keep []string
next:
	for item := range strings.SplitSeq(raw, "&") {
		n, _, _ := strings.Cut(item, "=")
		if item == "" {
			continue
		}
		for _, name := range names {
			if n == name {
				continue next
			}
		}
		keep = append(keep, item)
	}
	return strings.Join(keep, "&")
}
