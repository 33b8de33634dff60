// Package token is the core of signed URLs and tokens: what a grant allows, the keys, and the form that the dialects
// share. A dialect is a package below this one: it authenticates a token of its specification and words it as a Grant,
// and issues tokens. What a grant allows is decided here alone. All of it depends on the key, the time and the
// request alone.
package token

import (
	"errors"
	"math"
	"net/netip"
	"strings"
)

// Grant is what an authentic token allows, whatever its dialect.
type Grant struct {
	Key     string
	Kind    Kind
	ID      string         // names the token: what it carries as its id, else a digest of all that is signed; "": it has none
	Subject string         // whom it was issued to, where it says
	URIs    []Pattern      // one of them must match
	Also    []Pattern      // all of them must
	Headers []HeaderTerm   // all of them must be there
	Query   bool           // it covers the query too; what it does not cover is passed over
	Methods []string       // "": any
	Nets    []netip.Prefix // client addresses; none: any
	From    float64        // Unix seconds; 0: from ever
	Issued  float64        // Unix seconds; 0: not told
	Until   float64        // Unix seconds; 0: it has no end, and is refused
	Uses    int            // 1: it serves once, also for reads; 0: no bound
	Renewal Renewal
	Vary    string // the header that carried it; "": the URL did
	Native  any    // what the dialect needs to issue it anew
}

// Renewal is how a token is followed by the next one.
type Renewal struct {
	Seconds int // that the next one lasts; 0: none follows
	Cookie  bool
	Header  bool
	Depth   int     // leading path segments that a cookie is kept for
	Before  float64 // s before the end from which on one follows; 0: always
}

// HeaderTerm is what a header of the request must be.
type HeaderTerm struct {
	Name    string
	Pattern Pattern
}

// Use names a grant's one use across keys.
func (g Grant) Use() string { return g.Key + "/" + g.ID }

// dateMost bounds dates, in Unix seconds.
const maxDate = 1e12

// Check decides whether a grant allows a request at now, in Unix seconds, with a leeway for clocks that differ.
func (g *Grant) Check(q *Request, now, leeway float64) error {
	for _, v := range []float64{g.From, g.Issued, g.Until} {
		if math.IsNaN(v) || math.Abs(v) > maxDate {
			return Reject(Malformed, "a date out of range")
		}
	}
	switch {
	case g.Until == 0: // a token without an end can't be taken back by time
		return Reject(BadClaim, "the end of its validity is missing")
	case now > g.Until+leeway:
		return Reject(Expired, "expired")
	case g.From != 0 && now < g.From-leeway:
		return Reject(TooEarly, "not valid yet")
	case g.Issued != 0 && now < g.Issued-leeway:
		return Reject(TooEarly, "issued in the future")
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

func (g *Grant) coversURI(q *Request) bool {
	for i := range g.URIs {
		if g.URIs[i].matches(q) {
			return g.matchesAll(q)
		}
	}
	return false
}

func (g *Grant) matchesAll(q *Request) bool {
	for i := range g.Also {
		if !g.Also[i].matches(q) {
			return false
		}
	}
	return true
}

func (g *Grant) matchesHeaders(q *Request) bool {
	for i := range g.Headers {
		if h := &g.Headers[i]; !h.Pattern.matchesText(q.HeaderOf(h.Name)) {
			return false
		}
	}
	return true
}

// Renews tells whether a token follows this one at now, in Unix seconds.
func (g *Grant) Renews(now float64) bool {
	r := &g.Renewal
	return r.Seconds > 0 && (r.Cookie || r.Header) && (r.Before == 0 || now >= g.Until-r.Before)
}

// takes tells whether a method is allowed; who may GET may HEAD.
func (g *Grant) allowsMethod(method string) bool {
	for _, m := range g.Methods {
		if m == method || m == "GET" && method == "HEAD" {
			return true
		}
	}
	return len(g.Methods) == 0
}

func (g *Grant) allowsAddress(addr netip.Addr) bool {
	for _, n := range g.Nets {
		if n.Contains(addr.Unmap()) {
			return true
		}
	}
	return len(g.Nets) == 0
}

// Net reads an address or a prefix.
func Net(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil && a.Zone() == "" {
		return netip.PrefixFrom(a, a.BitLen()), nil
	}
	p, err := netip.ParsePrefix(text)
	if err != nil || p != p.Masked() {
		return p, Reject(Malformed, "no address or prefix")
	}
	return p, nil
}

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
	WrongMethod  Why = "wrong_method"
	WrongAddress Why = "wrong_address"
)

// Rejection says why a token is not accepted.
type Rejection struct {
	Why  Why
	Text string
}

// Error returns the reason in words.
func (r *Rejection) Error() string { return "token: " + r.Text }

// Reject makes a rejection.
func Reject(why Why, text string) error { return &Rejection{why, text} }

// WhyOf gives the kind of an error of this package.
func WhyOf(err error) Why {
	var r *Rejection
	if errors.As(err, &r) {
		return r.Why
	}
	return Malformed
}

// Request is what a token is checked against, as the client sent it.
type Request struct {
	Scheme, Host, Path, RawQuery string
	Method                       string
	Addr                         netip.Addr               // of the client
	Header, Cookie               func(name string) string // "": there is none; nil: there are none at all

	Query Query // RawQuery parsed; the ring sees to it
}

// CookieOf gives a cookie's value.
func (q *Request) CookieOf(name string) string {
	if q.Cookie == nil {
		return ""
	}
	return q.Cookie(name)
}

// HeaderOf gives a header's value.
func (q *Request) HeaderOf(name string) string {
	if q.Header == nil {
		return ""
	}
	return q.Header(name)
}

// URI is the whole URI without some parameters, all else as it was sent.
func (q *Request) URI(without ...string) string {
	uri := q.Scheme + "://" + strings.ToLower(q.Host) + q.Path
	if raw := rawWithout(q.RawQuery, without); raw != "" {
		uri += "?" + raw
	}
	return uri
}

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
