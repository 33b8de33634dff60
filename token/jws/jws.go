// Package jws implements the dialect of URI Signing packages (RFC 9246), which are JWS in compact serialization.
package jws

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/go-jose/go-jose/v4"
	"turnfork.dev/turnfork/token"
)

// Param is the name of the query parameter and of the cookie that carry a package.
const Param = "URISigningPackage"

// Claims are the supported claims of a URI Signing package (RFC 9246, 2.1), and private ones (RFC 7519, 4.3).
type Claims struct {
	Issuer    string   `json:"iss,omitempty"`
	Subject   string   `json:"sub,omitempty"`
	Audience  audience `json:"aud,omitempty"`
	Expires   *float64 `json:"exp,omitempty"`
	NotBefore *float64 `json:"nbf,omitempty"`
	IssuedAt  *float64 `json:"iat,omitempty"`
	ID        string   `json:"jti,omitempty"`
	Version   *int     `json:"cdniv,omitempty"`
	Critical  []string `json:"cdnicrit,omitempty"`
	ClientIP  string   `json:"cdniip,omitempty"`
	Container string   `json:"cdniuc,omitempty"`
	Renew     int      `json:"cdniets,omitempty"` // lifetime of a renewed package, in seconds
	Transport int      `json:"cdnistt,omitempty"` // transport of renewed packages: 0 none, 1 cookie
	Depth     int      `json:"cdnistd,omitempty"` // leading path segments in the Path attribute of the renewed cookie

	// DerivedID is the derived id of the first package, in packages that are renewed from one without jti. Unlike jti it does
	// not permit a single use.
	DerivedID string `json:"turnfork_id,omitempty"`
	// FirstExpires is the expiry of the first package, in packages that are renewed.
	FirstExpires float64 `json:"turnfork_first_exp,omitempty"`
}

// audience is one name or a list of names.
type audience []string

// UnmarshalJSON accepts a string or an array of strings (RFC 7519, 4.1.3).
func (a *audience) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*a = audience{one}
		return nil
	}
	return json.Unmarshal(b, (*[]string)(a))
}

// MarshalJSON encodes a single name as a string, and several names as an array.
func (a audience) MarshalJSON() ([]byte, error) {
	if len(a) == 1 {
		return json.Marshal(a[0])
	}
	return json.Marshal([]string(a))
}

// Limits of a package.
const (
	maxPackageBytes = 8 << 10
)

// knownClaims are the claims that a package may list in cdnicrit.
var knownClaims = map[string]bool{
	"iss": true, "sub": true, "aud": true, "exp": true, "nbf": true, "iat": true, "jti": true, "cdniv": true,
	"cdnicrit": true, "cdniip": true, "cdniuc": true, "cdniets": true, "cdnistt": true, "cdnistd": true,
}

// algs are the algorithms that the header of a package may state. The algorithm of the key is checked later.
var algs = []jose.SignatureAlgorithm{jose.HS256, jose.ES256, jose.EdDSA, jose.RS256}

// keyTypes gives the type of key pair for each asymmetric algorithm.
var keyTypes = map[string]token.KeyType{"ES256": token.P256, "EdDSA": token.Ed25519, "RS256": token.RSA}

// Dialect implements token.Dialect and token.Renewer.
type Dialect struct{}

// Kind returns "jws".
func (Dialect) Kind() token.Kind { return token.JWS }

// LoadKey requires a secret of at least 32 bytes for HS256, and a key pair for ES256, EdDSA and RS256.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	m, err := k.LoadByAlgorithm(keyTypes)
	if err != nil || k.IPSecret == "" {
		return m, err
	}
	m.AddressKey, err = base64.StdEncoding.DecodeString(k.IPSecret)
	if err != nil || addressCiphers[len(m.AddressKey)] == "" {
		return m, fmt.Errorf("ip_secret: no base64 of 16 or 32 bytes")
	}
	return m, nil
}

// addressCiphers are the ciphers for client addresses, by key size in bytes.
var addressCiphers = map[int]jose.ContentEncryption{16: jose.A128GCM, 32: jose.A256GCM}

// encryptAddress encrypts a client address or prefix for cdniip: a JWE in compact serialization (RFC 9246, 2.1.9).
func encryptAddress(k *token.LoadedKey, address string) (string, error) {
	if k.AddressKey == nil {
		return "", fmt.Errorf("address: the key has no ip_secret")
	}
	e, err := jose.NewEncrypter(addressCiphers[len(k.AddressKey)], jose.Recipient{Algorithm: jose.DIRECT, Key: k.AddressKey, KeyID: k.ID}, nil)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	encrypted, err := e.Encrypt([]byte(address))
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return encrypted.CompactSerialize()
}

// decryptAddress decrypts cdniip and returns the prefix that the client address must match. An address may be in brackets,
// and a prefix may have bits set beyond its length, as in the example of the specification.
func decryptAddress(k *token.LoadedKey, text string) (net netip.Prefix, err error) {
	if k.AddressKey == nil {
		return net, token.Reject(token.BadClaim, "cdniip: the key has no ip_secret")
	}
	encrypted, err := jose.ParseEncryptedCompact(text, []jose.KeyAlgorithm{jose.DIRECT}, []jose.ContentEncryption{addressCiphers[len(k.AddressKey)]})
	if err != nil {
		return net, token.Reject(token.Malformed, "cdniip: no JWE in compact form")
	}
	plain, err := encrypted.Decrypt(k.AddressKey)
	if err != nil {
		return net, token.Reject(token.BadSignature, "cdniip: can't be opened")
	}
	address := strings.TrimSuffix(strings.TrimPrefix(string(plain), "["), "]")
	if a, err := netip.ParseAddr(address); err == nil && a.Zone() == "" {
		return netip.PrefixFrom(a, a.BitLen()), nil
	}
	p, err := netip.ParsePrefix(address)
	if err != nil {
		return net, token.Reject(token.Malformed, "cdniip: no address or prefix")
	}
	return p.Masked(), nil
}

// Find returns the package in the query, otherwise the one in the cookie.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	c := token.FoundToken{Text: q.Query.Get(Param), Params: []string{Param}}
	if c.Text == "" {
		c.Text, c.Source = q.CookieValue(Param), token.InCookie
	}
	return c, c.Text != ""
}

// Open authenticates a package.
func (Dialect) Open(_ *token.Request, found token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	if len(found.Text) > maxPackageBytes {
		return g, token.Reject(token.Malformed, "the package is too long")
	}
	sig, err := jose.ParseSignedCompact(found.Text, algs)
	if err != nil {
		return g, token.Reject(token.Malformed, "no JWS in compact form")
	}
	for part := range strings.SplitSeq(found.Text, ".") { // strict: lenient decoders ignore unused trailing bits
		if _, err := base64.RawURLEncoding.Strict().DecodeString(part); err != nil {
			return g, token.Reject(token.Malformed, "no JWS in compact form")
		}
	}
	header := sig.Signatures[0].Protected
	key, err := keys.Lookup(header.KeyID)
	if err != nil {
		return g, err
	}
	if header.Algorithm != key.Alg { // the key determines the algorithm, never the token
		return g, token.Reject(token.BadSignature, "the algorithm is not the key's")
	}
	var verificationKey any = key.Verifier
	if key.SharedSecret != nil {
		verificationKey = key.SharedSecret
	}
	payload, err := sig.Verify(verificationKey)
	if err != nil {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	var c Claims
	if err := json.Unmarshal(payload, &c); err != nil {
		return g, token.Reject(token.Malformed, "the claims can't be read")
	}
	if err := c.check(key, payload); err != nil {
		return g, err
	}
	if c.ID == "" && c.DerivedID == "" {
		c.DerivedID = token.DerivedID(string(payload))
	}
	if g, err = c.grant(key.ID); err != nil || c.ClientIP == "" {
		return g, err
	}
	net, err := decryptAddress(key, c.ClientIP)
	g.AllowedPrefixes = []netip.Prefix{net}
	return g, err
}

// check validates the claims that are specific to packages. Grant.Check checks the dates and the URI.
func (c *Claims) check(key *token.LoadedKey, payload []byte) error {
	if err := c.checkCritical(payload); err != nil {
		return err
	}
	if err := key.CheckIssuerAudience(c.Issuer, c.Audience); err != nil {
		return err
	}
	switch {
	case c.Version != nil && *c.Version != 1:
		return token.Reject(token.BadClaim, "cdniv: unknown version")
	case len(c.ID) > token.MaxIDLength:
		return token.Reject(token.Malformed, "jti: too long")
	case len(c.DerivedID) > token.MaxIDLength:
		return token.Reject(token.Malformed, "turnfork_id: too long")
	case c.Expires == nil || *c.Expires == 0:
		return token.Reject(token.BadClaim, "exp: missing")
	case c.Transport != 0 && c.Transport != 1: // 1 is the only registered transport (RFC 9246, 6.5)
		return token.Reject(token.BadClaim, "cdnistt: unknown transport")
	case c.Depth < 0:
		return token.Reject(token.Malformed, "cdnistd: negative")
	case c.Transport > 0 && c.Renew <= 0:
		return token.Reject(token.BadClaim, "cdniets: missing beside cdnistt")
	}
	return nil
}

// checkCritical enforces the rules of cdnicrit: each claim that it lists is present, supported and listed only once.
func (c *Claims) checkCritical(payload []byte) error {
	var present map[string]json.RawMessage
	if err := json.Unmarshal(payload, &present); err != nil {
		return token.Reject(token.Malformed, "the claims can't be read")
	}
	if _, named := present["cdnicrit"]; named && len(c.Critical) == 0 {
		return token.Reject(token.Malformed, "cdnicrit: empty")
	}
	for i, name := range c.Critical {
		switch _, ok := present[name]; {
		case !knownClaims[name]:
			return token.Reject(token.BadClaim, "a critical claim is not understood")
		case !ok || slices.Contains(c.Critical[:i], name):
			return token.Reject(token.Malformed, "cdnicrit: a claim that is not there, or named twice")
		}
	}
	return nil
}

// grant converts the claims to a grant.
func (c *Claims) grant(key string) (g token.Grant, err error) {
	uris, err := parseContainer(c.Container)
	if err != nil {
		return g, err
	}
	g = token.Grant{Key: key, ID: c.ID, Subject: c.Subject, Expires: *c.Expires, FirstExpires: c.FirstExpires, URIs: uris, CoversQuery: true, DialectClaims: *c}
	if c.ID == "" {
		g.ID, g.NoSingleUse = c.DerivedID, true
	}
	if c.NotBefore != nil {
		g.NotBefore = *c.NotBefore
	}
	if c.IssuedAt != nil {
		g.Issued = *c.IssuedAt
	}
	if c.Renew > 0 && c.Transport > 0 {
		g.Renewal = token.Renewal{Seconds: c.Renew, Cookie: true, CookiePathDepth: c.Depth}
	}
	return g, nil
}

// parseContainer parses cdniuc, which is matched against the URI without the package and otherwise as sent.
func parseContainer(text string) ([]token.Pattern, error) {
	p := token.Pattern{ExcludedParams: []string{Param}}
	if hash, ok := strings.CutPrefix(text, "hash:"); ok {
		p.Form, p.Text = token.DigestRFC6920, hash
	} else if expr, ok := strings.CutPrefix(text, "regex:"); ok {
		p.Form, p.Text = token.Posix, expr
	} else {
		return nil, token.Reject(token.BadClaim, "cdniuc: neither hash nor regex")
	}
	return token.Compile(p)
}

// HashContainer returns a container (cdniuc) that matches exactly one URI.
func HashContainer(uri string) string { return "hash:" + token.RFC6920Digest(uri) }

// Issue signs a package for a single URI, or for all URIs that match a POSIX regular expression.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := t.AbsoluteURI(false)
	if err != nil {
		return out, err
	}
	c := Claims{Expires: &t.Expires, Container: HashContainer(u.String())}
	if t.Address != "" {
		if c.ClientIP, err = encryptAddress(k, t.Address); err != nil {
			return out, err
		}
	}
	if t.Now > 0 {
		issued := float64(int64(t.Now))
		c.IssuedAt = &issued
	}
	if t.NotBefore > 0 {
		c.NotBefore = &t.NotBefore
	}
	if t.Patterns != "" {
		c.Container = "regex:" + t.Patterns
	}
	if t.SingleUse {
		c.ID = t.ID
	}
	if t.Renew > 0 {
		c.Renew, c.Transport = t.Renew, 1
	}
	if out.Token, err = Sign(k, c); err != nil {
		return out, err
	}
	if out.ID = c.ID; out.ID == "" {
		out.ID = derivedID(out.Token)
	}
	out.URL = token.AppendQuery(u, Param+"="+out.Token)
	return out, nil
}

// derivedID returns the id of a signed package without jti.
func derivedID(text string) string {
	_, rest, _ := strings.Cut(text, ".")
	encoded, _, _ := strings.Cut(rest, ".")
	payload, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return ""
	}
	return token.DerivedID(string(payload))
}

// Sign signs claims. Missing iss and aud claims are taken from the key.
func Sign(key *token.LoadedKey, c Claims) (string, error) {
	if c.Issuer == "" {
		c.Issuer = key.Issuer
	}
	if len(c.Audience) == 0 && key.Audience != "" {
		c.Audience = audience{key.Audience}
	}
	if c.Version == nil {
		version := 1
		c.Version = &version
	}
	if c.Expires == nil {
		return "", fmt.Errorf("exp: missing")
	}
	if _, err := parseContainer(c.Container); err != nil {
		return "", fmt.Errorf("cdniuc: %.60q is no container", c.Container)
	}
	var signingKey any = key.Signer
	if key.SharedSecret != nil {
		signingKey = key.SharedSecret
	}
	opts := (&jose.SignerOptions{}).WithHeader("kid", key.ID).WithType("JWT")
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(key.Alg), Key: signingKey}, opts)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	payload, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	sig, err := signer.Sign(payload)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return sig.CompactSerialize()
}

// Renew returns the next package for one with signed token renewal: the same claims, with the validity starting now. A package
// without jti is named by a digest of its claims, which change with the dates, so its successor carries that name.
func (Dialect) Renew(k *token.LoadedKey, g *token.Grant, now float64) (cookie, text string, err error) {
	c, ok := g.DialectClaims.(Claims)
	if !ok {
		return "", "", fmt.Errorf("token: no package")
	}
	exp := now + float64(c.Renew)
	c.Expires, c.IssuedAt, c.FirstExpires = &exp, &now, g.FirstExpiry()
	if c.NotBefore != nil && *c.NotBefore > now {
		c.NotBefore = nil
	}
	text, err = Sign(k, c)
	return Param, text, err
}
