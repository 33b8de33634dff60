package cat

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"turnfork.dev/turnfork/token"
)

// Map keys: the URI components of catu, the forms of matching, and the parameters of catr.
const (
	partScheme = 0
	partHost   = 1
	partPath   = 3
	partQuery  = 4

	matchExact  = 0
	matchPrefix = 1
	matchRegex  = 4

	renewType   = 0
	renewAdd    = 1
	renewBefore = 2
	renewCookie = 3
	renewHeader = 4
)

// uriParts are the URI components, indexed by their key in catu.
var uriParts = []token.Part{
	token.OnScheme, token.OnHost, token.OnPort, token.OnPath, token.OnQuery, token.OnParent, token.OnFile, token.OnStem, token.OnExtension,
}

// matchForms are the forms of matching, by their key.
var matchForms = map[int64]token.MatchForm{
	matchExact: token.Exact, matchPrefix: token.Prefix, 2: token.Suffix, 3: token.Contains, matchRegex: token.Posix,
	-1: token.DigestSHA256, -2: token.DigestSHA512256,
}

// claimReader converts claims to a grant and keeps the first error.
type claimReader struct {
	claims map[int64]any
	err    error
}

// reject records a rejection unless there is an earlier error.
func (r *claimReader) reject(reason token.RejectionReason, detail string) {
	if r.err == nil {
		r.err = token.Reject(reason, detail)
	}
}

// grant converts the claims to a grant. params are the query parameters that carry the token.
func (r *claimReader) grant(key *token.LoadedKey, params []string) token.Grant {
	known := []int64{claimReplay, claimVersion, claimNetworkIP, claimURI, claimMethods, claimHeaders, claimRenewal}
	for n := range r.claims {
		if n >= firstCATClaim && n <= lastCATClaim && !slices.Contains(known, n) {
			r.reject(token.BadClaim, "a claim that is not understood")
		}
	}
	if v, present := r.claims[claimVersion]; present && v != int64(1) {
		r.reject(token.BadClaim, "catv: unknown version")
	}
	g := token.Grant{Key: key.ID, URIs: []token.Pattern{{Form: token.Glob, Text: "*"}}}
	g.Subject, _ = r.claims[claimSub].(string)
	iss, _ := r.claims[claimIss].(string)
	if err := key.CheckIssuerAudience(iss, r.parseTexts(claimAud)); err != nil && r.err == nil {
		r.err = err
	}
	if id, present := r.claims[claimCti]; present {
		b, ok := id.([]byte)
		if g.ID = string(b); !ok || len(b) == 0 || len(b) > token.MaxIDLength {
			r.reject(token.Malformed, "cti: no id")
		}
	}
	g.Expires, g.NotBefore, g.Issued = r.parseDate(claimExp), r.parseDate(claimNbf), r.parseDate(claimIat)
	g.FirstExpires = r.parseDate(claimFirstExp)
	switch replay, present := r.claims[claimReplay]; {
	case !present, replay == int64(0), replay == int64(2): // 2 asks for the detection of reuse, not for its rejection
	case replay == int64(1):
		g.MaxUses = 1
	default:
		r.reject(token.BadClaim, "catreplay: unknown")
	}
	g.Methods = r.parseTexts(claimMethods)
	if _, present := r.claims[claimMethods]; present && len(g.Methods) == 0 {
		r.reject(token.BadClaim, "catm: no method")
	}
	r.parseNetworks(&g)
	r.parseURI(&g, params)
	r.parseHeaders(&g)
	r.parseRenewal(&g)
	return g
}

// parseDate parses a NumericDate. It returns 0 if the claim is absent.
func (r *claimReader) parseDate(claim int64) float64 {
	switch v := r.claims[claim].(type) {
	case nil:
		return 0
	case int64:
		return float64(v)
	case float64:
		return v
	}
	r.reject(token.Malformed, "a date that is none")
	return 0
}

// parseTexts parses a text or a list of texts.
func (r *claimReader) parseTexts(claim int64) (out []string) {
	switch v := r.claims[claim].(type) {
	case nil:
	case string:
		out = []string{v}
	case []any:
		for _, x := range v {
			s, ok := x.(string)
			if !ok {
				r.reject(token.Malformed, "a list with something else than texts")
			}
			out = append(out, s)
		}
	default:
		r.reject(token.Malformed, "no text and no list")
	}
	return out
}

// parseNetworks parses catnip: addresses and prefixes (RFC 9164). It rejects autonomous system numbers, because the gateway
// cannot check them.
func (r *claimReader) parseNetworks(g *token.Grant) {
	v, present := r.claims[claimNetworkIP]
	if !present {
		return
	}
	list, ok := v.([]any)
	if !ok || len(list) == 0 || len(list) > maxListItems {
		r.reject(token.Malformed, "catnip: no list")
		return
	}
	for _, x := range list {
		tag, ok := x.(cbor.Tag)
		net, good := parseAddress(tag)
		if !ok || !good {
			r.reject(token.BadClaim, "catnip: no address")
			return
		}
		g.AllowedPrefixes = append(g.AllowedPrefixes, net)
	}
}

// parseAddress parses an address, or a prefix in the form [length, bytes] without trailing zero bytes.
func parseAddress(t cbor.Tag) (p netip.Prefix, ok bool) {
	size := map[uint64]int{tagIPv4: 4, tagIPv6: 16}[t.Number]
	switch v := t.Content.(type) {
	case []byte:
		a, ok := netip.AddrFromSlice(v)
		return netip.PrefixFrom(a, size*8), ok && len(v) == size
	case []any:
		if len(v) != 2 {
			return p, false
		}
		bits, ok1 := v[0].(int64)
		prefixBytes, ok2 := v[1].([]byte)
		if !ok1 || !ok2 || size == 0 || len(prefixBytes) > size || bits < 0 || bits > int64(size)*8 {
			return p, false
		}
		a, _ := netip.AddrFromSlice(append(slices.Clone(prefixBytes), make([]byte, size-len(prefixBytes))...))
		p = netip.PrefixFrom(a, int(bits))
		return p, p == p.Masked()
	}
	return p, false
}

// encodeAddress encodes an address or a prefix in the form that parseAddress accepts.
func encodeAddress(p netip.Prefix) cbor.Tag {
	tag := uint64(tagIPv4)
	if p.Addr().Is6() {
		tag = tagIPv6
	}
	raw := p.Addr().AsSlice()
	if p.IsSingleIP() {
		return cbor.Tag{Number: tag, Content: raw}
	}
	for len(raw) > 0 && raw[len(raw)-1] == 0 {
		raw = raw[:len(raw)-1]
	}
	return cbor.Tag{Number: tag, Content: []any{int64(p.Bits()), raw}}
}

// parseURI parses catu. All its matches on URI components must hold.
func (r *claimReader) parseURI(g *token.Grant, params []string) {
	v, present := r.claims[claimURI]
	if !present {
		return
	}
	components, ok := v.(map[any]any)
	if !ok || len(components) == 0 {
		r.reject(token.Malformed, "catu: no map")
		return
	}
	for n, m := range components {
		at, ok := n.(int64)
		if !ok || at < 0 || int(at) >= len(uriParts) {
			r.reject(token.BadClaim, "catu: a part that is not understood")
			return
		}
		for _, p := range r.parseMatches(m) {
			p.Part, p.ExcludedParams = uriParts[at], params
			g.CoversQuery = g.CoversQuery || p.Part == token.OnQuery && p.Form == token.Exact
			g.RequiredPatterns = append(g.RequiredPatterns, p)
		}
	}
}

// parseHeaders parses cath. All its matches on request headers must hold.
func (r *claimReader) parseHeaders(g *token.Grant) {
	v, present := r.claims[claimHeaders]
	if !present {
		return
	}
	all, ok := v.(map[any]any)
	if !ok || len(all) > maxListItems {
		r.reject(token.Malformed, "cath: no map")
		return
	}
	for n, m := range all {
		name, ok := n.(string)
		if !ok {
			r.reject(token.Malformed, "cath: no name")
			return
		}
		for _, p := range r.parseMatches(m) {
			g.Headers = append(g.Headers, token.HeaderMatch{Name: name, Pattern: p})
		}
	}
}

// parseMatches parses a match: a map from forms of matching to the text to match.
func (r *claimReader) parseMatches(v any) (out []token.Pattern) {
	m, ok := v.(map[any]any)
	if !ok || len(m) == 0 {
		r.reject(token.Malformed, "a match that is no map")
		return nil
	}
	for n, want := range m {
		kind, _ := n.(int64)
		form, known := matchForms[kind]
		if _, ok := n.(int64); !ok || !known {
			r.reject(token.BadClaim, "a match that is not understood")
			return nil
		}
		p := token.Pattern{Form: form}
		switch w := want.(type) {
		case string:
			p.Text = w
		case []byte:
			p.Text = string(w)
		case []any: // a regular expression, optionally with matches for its groups, which are not supported
			ok := false
			if len(w) == 1 && form == token.Posix {
				p.Text, ok = w[0].(string)
			}
			if !ok {
				r.reject(token.BadClaim, "a match that is not understood")
			}
		default:
			r.reject(token.Malformed, "a match that can't be read")
		}
		if err := p.Compile(); err != nil && r.err == nil {
			r.err = err
		}
		out = append(out, p)
	}
	return out
}

// parseRenewal parses catr. Renewed tokens are sent only in the cookie Param or the header Header. A token that requires
// anything else is not renewed.
func (r *claimReader) parseRenewal(g *token.Grant) {
	v, present := r.claims[claimRenewal]
	if !present {
		return
	}
	m, ok := v.(map[any]any)
	if !ok {
		r.reject(token.Malformed, "catr: no map")
		return
	}
	number := func(n int64) int64 { i, _ := m[n].(int64); return i }
	renewalType, validity := number(renewType), number(renewAdd)
	if validity <= 0 || validity > 1<<31 {
		r.reject(token.BadClaim, "catr: expadd missing")
		return
	}
	g.Renewal = token.Renewal{Seconds: int(validity), WindowSeconds: float64(max(0, number(renewBefore)))}
	differs := func(n int64, usual string) bool { s, ok := m[n].(string); return ok && !strings.EqualFold(s, usual) }
	switch {
	case renewalType <= 1 && !differs(renewCookie, Param):
		g.Renewal.Cookie = true
	case renewalType == 2 && !differs(renewHeader, Header):
		g.Renewal.Header = true
	}
}
