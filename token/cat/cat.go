// Package cat implements the dialect of the Common Access Token (CTA-5007): a CWT (RFC 8392) in a COSE_Mac0 or COSE_Sign1
// message (RFC 9052), in the query, a header or a cookie.
package cat

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/asn1"
	"encoding/base64"
	"fmt"
	"math/big"
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"turnfork.dev/turnfork/token"
)

// Names under which a request carries a token.
const (
	Param  = "CAT" // query parameter and cookie
	Header = "CTA-Common-Access-Token"
)

// CBOR tags of COSE messages, of CWT and of addresses (RFC 9164), then COSE header parameters and algorithms.
const (
	tagMac0     = 17
	tagSign1    = 18
	tagCWT      = 61
	tagIPv4     = 52
	tagIPv6     = 54
	headerAlg   = 1
	headerKeyID = 4
	algHS256    = 5
	algES256    = -7
	algEdDSA    = -8
)

// Keys of the claims in IANA's registry of CWT claims.
const (
	claimIss       = 1
	claimSub       = 2
	claimAud       = 3
	claimExp       = 4
	claimNbf       = 5
	claimIat       = 6
	claimCti       = 7
	claimReplay    = 308 // catreplay
	claimVersion   = 310 // catv
	claimNetworkIP = 311 // catnip
	claimURI       = 312 // catu
	claimMethods   = 313 // catm
	claimHeaders   = 315 // cath
	claimRenewal   = 323 // catr
	firstCATClaim  = 308 // CTA-5007: an unknown claim in this range might restrict the token
	lastCATClaim   = 323

	claimFirstExp = -71316 // private use (RFC 8392, 9.1.1): exp of the first token, in tokens that are renewed
)

const (
	maxTokenBytes = 8 << 10
	maxListItems  = 32
)

// algs are the COSE algorithm identifiers.
var algs = map[string]int64{"HS256": algHS256, "ES256": algES256, "EdDSA": algEdDSA}

var (
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 64, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, IntDec: cbor.IntDecConvertSignedOrFail,
	}.DecMode())
	encMode   = must(cbor.CoreDetEncOptions().EncMode())
	base64URL = base64.RawURLEncoding.Strict()
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Dialect implements token.Dialect and token.Renewer.
type Dialect struct{}

// Kind returns "cat".
func (Dialect) Kind() token.Kind { return token.CAT }

// LoadKey requires a secret of at least 32 bytes for HS256, and a key pair for ES256 and EdDSA.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	return k.LoadByAlgorithm(map[string]token.KeyType{"ES256": token.P256, "EdDSA": token.Ed25519})
}

// Find returns the token in the query, otherwise the one in the header, otherwise the one in the cookie.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	if t := q.Query.Get(Param); t != "" {
		return token.FoundToken{Text: t, Params: []string{Param}}, true
	}
	if t := q.HeaderValue(Header); t != "" {
		return token.FoundToken{Text: t, Source: token.InHeader, Name: Header}, true
	}
	t := q.CookieValue(Param)
	return token.FoundToken{Text: t, Source: token.InCookie}, t != ""
}

// message is a COSE_Mac0 or COSE_Sign1 message.
type message struct {
	_           struct{} `cbor:",toarray"`
	Protected   []byte
	Unprotected map[int64]any
	Payload     []byte
	Sum         []byte
}

// decode decodes the COSE message of a token and returns its tag. The outer CWT tag is optional.
func decode(text string) (tag uint64, m message, err error) {
	raw, err := base64URL.DecodeString(text)
	if err != nil {
		return 0, m, err
	}
	var outer cbor.RawTag
	if err := decMode.Unmarshal(raw, &outer); err != nil {
		return 0, m, err
	}
	if outer.Number == tagCWT {
		inner := outer.Content
		outer = cbor.RawTag{}
		if err := decMode.Unmarshal(inner, &outer); err != nil {
			return 0, m, err
		}
	}
	return outer.Number, m, decMode.Unmarshal(outer.Content, &m)
}

// Open authenticates a token.
func (Dialect) Open(_ *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	if len(c.Text) > maxTokenBytes {
		return g, token.Reject(token.Malformed, "the token is too long")
	}
	tag, m, err := decode(c.Text)
	if err != nil {
		return g, token.Reject(token.Malformed, "no CWT")
	}
	var protected map[int64]any
	if err := decMode.Unmarshal(m.Protected, &protected); err != nil {
		return g, token.Reject(token.Malformed, "no protected header")
	}
	for name := range protected {
		if name != headerKeyID && name != headerAlg {
			return g, token.Reject(token.BadClaim, "a header that is not understood")
		}
	}
	for name := range m.Unprotected { // unprotected headers are not authenticated
		if name != headerKeyID {
			return g, token.Reject(token.BadClaim, "a header that is not understood")
		}
	}
	id, ok := protected[headerKeyID].([]byte)
	if !ok {
		id, _ = m.Unprotected[headerKeyID].([]byte)
	}
	key, err := keys.Lookup(string(id))
	if err != nil {
		return g, err
	}
	wantTag := uint64(tagSign1)
	if key.Alg == "HS256" {
		wantTag = tagMac0
	}
	if alg, _ := protected[headerAlg].(int64); alg != algs[key.Alg] || tag != wantTag {
		return g, token.Reject(token.BadSignature, "the algorithm is not the key's")
	}
	if !verify(key, &m) {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	var claims map[int64]any
	if err := decMode.Unmarshal(m.Payload, &claims); err != nil {
		return g, token.Reject(token.Malformed, "the claims can't be read")
	}
	r := claimReader{claims: claims}
	g = r.grant(key, c.Params)
	g.DialectClaims = claims
	if g.ID == "" {
		g.ID = token.DerivedID(string(m.Payload))
	}
	return g, r.err
}

// signingInput returns the encoded Sig_structure or MAC_structure (RFC 9052, 4.4 and 6.3).
func signingInput(context string, m *message) []byte {
	return must(encMode.Marshal([]any{context, m.Protected, []byte{}, m.Payload}))
}

// verify reports whether the MAC or the signature of a message is valid.
func verify(k *token.LoadedKey, m *message) bool {
	switch pub := k.Verifier.(type) {
	case *ecdsa.PublicKey:
		if len(m.Sum) != 64 {
			return false
		}
		sum := sha256.Sum256(signingInput("Signature1", m))
		return ecdsa.Verify(pub, sum[:], new(big.Int).SetBytes(m.Sum[:32]), new(big.Int).SetBytes(m.Sum[32:]))
	case ed25519.PublicKey:
		return ed25519.Verify(pub, signingInput("Signature1", m), m.Sum)
	}
	return hmac.Equal(m.Sum, mac(k.SharedSecret, m))
}

func mac(secret []byte, m *message) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(signingInput("MAC0", m))
	return h.Sum(nil)
}

// sign signs claims with a key.
func sign(k *token.LoadedKey, claims map[int64]any) (string, error) {
	payload, err := encMode.Marshal(claims)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	protected := must(encMode.Marshal(map[int64]any{headerAlg: algs[k.Alg]}))
	m := message{Protected: protected, Unprotected: map[int64]any{headerKeyID: []byte(k.ID)}, Payload: payload}
	tag := uint64(tagSign1)
	switch k.Alg {
	case "HS256":
		tag, m.Sum = tagMac0, mac(k.SharedSecret, &m)
	case "ES256":
		sum := sha256.Sum256(signingInput("Signature1", &m))
		der, err := k.Signer.Sign(rand.Reader, sum[:], crypto.SHA256)
		if err != nil {
			return "", fmt.Errorf("token: %w", err)
		}
		var rs struct{ R, S *big.Int }
		if _, err := asn1.Unmarshal(der, &rs); err != nil {
			return "", fmt.Errorf("token: %w", err)
		}
		m.Sum = make([]byte, 64)
		rs.R.FillBytes(m.Sum[:32])
		rs.S.FillBytes(m.Sum[32:])
	default:
		if m.Sum, err = k.Signer.Sign(rand.Reader, signingInput("Signature1", &m), crypto.Hash(0)); err != nil {
			return "", fmt.Errorf("token: %w", err)
		}
	}
	raw, err := encMode.Marshal(cbor.Tag{Number: tagCWT, Content: cbor.Tag{Number: tag, Content: m}})
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return base64URL.EncodeToString(raw), nil
}

// Issue signs a token for a single URI, or for all URIs whose path begins with the prefix in t.Patterns.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := t.AbsoluteURI(true)
	if err != nil {
		return out, err
	}
	c := map[int64]any{claimExp: int64(t.Expires), claimVersion: int64(1)}
	if t.Patterns != "" {
		c[claimURI] = map[int64]any{partPath: map[int64]any{matchPrefix: t.Patterns}}
	} else {
		c[claimURI] = map[int64]any{
			partScheme: map[int64]any{matchExact: u.Scheme}, partHost: map[int64]any{matchExact: u.Hostname()},
			partPath: map[int64]any{matchExact: u.Path}, partQuery: map[int64]any{matchExact: u.RawQuery},
		}
	}
	if k.Issuer != "" {
		c[claimIss] = k.Issuer
	}
	if k.Audience != "" {
		c[claimAud] = k.Audience
	}
	if t.Now > 0 {
		c[claimIat] = int64(t.Now)
	}
	if t.NotBefore > 0 {
		c[claimNbf] = int64(t.NotBefore)
	}
	if t.Method != "" {
		c[claimMethods] = []any{t.Method}
	}
	if t.ID != "" {
		c[claimCti] = []byte(t.ID)
		out.ID = t.ID
	}
	if t.SingleUse {
		c[claimReplay] = int64(1)
	}
	if t.Address != "" {
		net, err := token.ParsePrefix(t.Address)
		if err != nil {
			return out, fmt.Errorf("address: %w", err)
		}
		c[claimNetworkIP] = []any{encodeAddress(net)}
	}
	if t.Renew > 0 {
		c[claimRenewal] = map[int64]any{renewType: int64(1), renewAdd: int64(t.Renew), renewCookie: Param}
	}
	if out.Token, err = sign(k, c); err != nil {
		return out, err
	}
	if out.ID == "" {
		payload, err := encMode.Marshal(c)
		if err != nil {
			return out, fmt.Errorf("token: %w", err)
		}
		out.ID = token.DerivedID(string(payload))
	}
	if t.URI == "" {
		return out, nil
	}
	out.URL = token.AppendQuery(u, Param+"="+out.Token)
	return out, nil
}

// Renew returns the next token for one with catr: the same claims, with the validity starting now. A token without cti is named by
// a digest of its claims, which change with the dates, so its successor carries that name as cti.
func (Dialect) Renew(k *token.LoadedKey, g *token.Grant, now float64) (name, text string, err error) {
	old, ok := g.DialectClaims.(map[int64]any)
	if !ok {
		return "", "", fmt.Errorf("token: no claims")
	}
	c := map[int64]any{}
	for n, v := range old {
		c[n] = v
	}
	c[claimExp], c[claimIat] = int64(now)+int64(g.Renewal.Seconds), int64(now)
	delete(c, claimNbf)
	c[claimFirstExp] = g.FirstExpiry()
	if _, present := c[claimCti]; !present {
		c[claimCti] = []byte(g.ID)
	}
	name = Param
	if g.Renewal.Header {
		name = Header
	}
	text, err = sign(k, c)
	return name, text, err
}

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
