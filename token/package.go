package token

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strings"

	"crypto/sha256"
	"encoding/base64"

	"github.com/go-jose/go-jose/v4"
)

// Claims are the claims of a URI Signing package that are understood here (RFC 9246, 2.1).
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
	Renew     int      `json:"cdniets,omitempty"` // seconds that a renewed package lasts
	Transport int      `json:"cdnistt,omitempty"` // 0 none, 1 cookie, 2 query
	Depth     int      `json:"cdnistd,omitempty"` // leading path segments that a renewal keeps
}

// audience is one name or a list of names.
type audience []string

func (a *audience) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*a = audience{one}
		return nil
	}
	return json.Unmarshal(b, (*[]string)(a))
}

func (a audience) MarshalJSON() ([]byte, error) {
	if len(a) == 1 {
		return json.Marshal(a[0])
	}
	return json.Marshal([]string(a))
}

// Bounds of a package.
const (
	packageMost   = 8 << 10
	containerMost = 1 << 10
	idMost        = 128
)

// understood are the claims that a package may name as critical. cdniip is none of them: it is sealed
// for a downstream network, and a package that insists on it is refused.
var understood = map[string]bool{
	"iss": true, "sub": true, "aud": true, "exp": true, "nbf": true, "iat": true, "jti": true, "cdniv": true,
	"cdnicrit": true, "cdniuc": true, "cdniets": true, "cdnistt": true, "cdnistd": true,
}

// VerifyPackage checks a URI Signing package for a URI, as it stands without the package, at now in
// Unix seconds with a leeway for clocks that differ.
func (r *Ring) VerifyPackage(text, uri string, now, leeway float64) (Grant, error) {
	if len(text) > packageMost {
		return Grant{}, reject(Malformed, "the package is too long")
	}
	sig, err := jose.ParseSignedCompact(text, algs)
	if err != nil {
		return Grant{}, reject(Malformed, "no JWS in compact form")
	}
	head := sig.Signatures[0].Protected
	key, err := r.find(head.KeyID, JWS, now, leeway)
	if err != nil {
		return Grant{}, err
	}
	if head.Algorithm != key.Alg { // the key's algorithm, never the token's choice
		return Grant{}, reject(BadSignature, "the algorithm is not the key's")
	}
	payload, err := sig.Verify(key.verify)
	if err != nil {
		return Grant{}, reject(BadSignature, "the signature is wrong")
	}
	var c Claims
	if err := json.Unmarshal(payload, &c); err != nil {
		return Grant{}, reject(Malformed, "the claims can't be read")
	}
	if err := c.check(key, uri, now, leeway); err != nil {
		return Grant{}, err
	}
	g := Grant{Key: key.ID, ID: c.ID, Claims: c}
	if c.Expires != nil {
		g.Expires = *c.Expires
	}
	return g, nil
}

func (c *Claims) check(key *ready, uri string, now, leeway float64) error {
	for _, v := range []*float64{c.Expires, c.NotBefore, c.IssuedAt} {
		if v != nil && (math.IsNaN(*v) || math.Abs(*v) > 1e12) {
			return reject(Malformed, "a date out of range")
		}
	}
	for _, name := range c.Critical {
		if !understood[name] {
			return reject(BadClaim, "a critical claim is not understood")
		}
	}
	switch {
	case c.Version != nil && *c.Version != 1:
		return reject(BadClaim, "cdniv: unknown version")
	case c.ClientIP != "":
		return reject(BadClaim, "cdniip: not supported")
	case key.Issuer != "" && c.Issuer != key.Issuer:
		return reject(BadClaim, "iss: not the key's issuer")
	case len(c.Audience) > 0 && !contains(c.Audience, key.Audience), key.Audience != "" && len(c.Audience) == 0:
		return reject(BadClaim, "aud: not for this gateway")
	case len(c.ID) > idMost:
		return reject(Malformed, "jti: too long")
	case c.Expires == nil:
		return reject(BadClaim, "exp: missing") // a package without an end can't be taken back by time
	case now > *c.Expires+leeway:
		return reject(Expired, "expired")
	case c.NotBefore != nil && now < *c.NotBefore-leeway:
		return reject(TooEarly, "not valid yet")
	case c.IssuedAt != nil && now < *c.IssuedAt-leeway:
		return reject(TooEarly, "issued in the future")
	case c.Transport < 0 || c.Transport > 2:
		return reject(BadClaim, "cdnistt: unknown transport")
	case c.Transport > 0 && c.Renew <= 0:
		return reject(BadClaim, "cdniets: missing beside cdnistt")
	}
	return matchContainer(c.Container, uri)
}

func contains(list []string, v string) bool {
	for _, x := range list {
		if x == v && v != "" {
			return true
		}
	}
	return false
}

// matchContainer checks the URI container: the digest of the URI in RFC 6920's segment form, or a
// POSIX extended regular expression that must cover all of it. Expressions run in linear time.
func matchContainer(container, uri string) error {
	if len(container) > containerMost {
		return reject(Malformed, "cdniuc: too long")
	}
	if want, ok := strings.CutPrefix(container, "hash:"); ok {
		sum := sha256.Sum256([]byte(uri))
		if !same(want, "sha-256;"+base64.RawURLEncoding.EncodeToString(sum[:])) {
			return reject(WrongURI, "cdniuc: the URI is another")
		}
		return nil
	}
	expr, ok := strings.CutPrefix(container, "regex:")
	if !ok {
		return reject(BadClaim, "cdniuc: neither hash nor regex")
	}
	re, err := regexp.CompilePOSIX(expr)
	if err != nil {
		return reject(Malformed, "cdniuc: no POSIX regular expression")
	}
	if at := re.FindStringIndex(uri); at == nil || at[0] != 0 || at[1] != len(uri) {
		return reject(WrongURI, "cdniuc: the URI is another")
	}
	return nil
}

// HashContainer names exactly one URI.
func HashContainer(uri string) string {
	sum := sha256.Sum256([]byte(uri))
	return "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])
}

// IssuePackage signs claims with a key of the ring. iss and aud come from the key where left out.
func (r *Ring) IssuePackage(id string, c Claims) (string, error) {
	key := r.keys[id]
	if key == nil || key.Kind != JWS || key.signer == nil {
		return "", errNoSigner
	}
	if c.Issuer == "" {
		c.Issuer = key.Issuer
	}
	if len(c.Audience) == 0 && key.Audience != "" {
		c.Audience = audience{key.Audience}
	}
	if c.Version == nil {
		one := 1
		c.Version = &one
	}
	if c.Expires == nil {
		return "", fmt.Errorf("token: exp: missing")
	}
	if err := containerReads(c.Container); err != nil {
		return "", err
	}
	opts := (&jose.SignerOptions{}).WithHeader("kid", key.ID).WithType("JWT")
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(key.Alg), Key: key.signer}, opts)
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

func containerReads(v string) error {
	if rest, ok := strings.CutPrefix(v, "regex:"); ok {
		if _, err := regexp.CompilePOSIX(rest); err == nil {
			return nil
		}
	} else if strings.HasPrefix(v, "hash:sha-256;") {
		return nil
	}
	return fmt.Errorf("token: cdniuc: %.60q is no container", v)
}

// Renewed gives the package that follows one with signed token renewal: the same claims, from now on.
func (r *Ring) Renewed(g Grant, now float64) (string, error) {
	c := g.Claims
	exp := now + float64(c.Renew)
	c.Expires, c.IssuedAt = &exp, &now
	if c.NotBefore != nil && *c.NotBefore > now {
		c.NotBefore = nil
	}
	return r.IssuePackage(g.Key, c)
}
