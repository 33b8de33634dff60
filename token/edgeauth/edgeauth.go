// Package edgeauth implements the dialect of Akamai's EdgeAuth Token 2.0: fields joined by ~ and signed with HMAC-SHA256, in
// the query, a header or a cookie.
package edgeauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"turnfork.dev/turnfork/token"
)

// DefaultParam is the name of the parameter, header or cookie for keys that set none.
const DefaultParam = "__token__"

const (
	maxTokenBytes  = 4 << 10
	maxACLs        = 16
	minSecretBytes = 16 // the size of the keys in the examples of the specification
)

// Dialect implements token.Dialect.
type Dialect struct{}

// Kind returns "edgeauth".
func (Dialect) Kind() token.Kind { return token.EdgeAuth }

// LoadKey requires a secret of at least 16 bytes in hexadecimal.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	secret, err := hex.DecodeString(k.Secret)
	switch {
	case err != nil:
		return token.Material{}, fmt.Errorf("secret: no hexadecimal digits")
	case len(secret) < minSecretBytes:
		return token.Material{}, fmt.Errorf("secret: %d bytes, %d at least", len(secret), minSecretBytes)
	case k.Alg != "" && k.Alg != "HS256":
		return token.Material{}, fmt.Errorf("alg: %q does not go with kind edgeauth", k.Alg)
	case !token.Canonical("/" + paramName(k)):
		return token.Material{}, fmt.Errorf("param: %q can't name a parameter, a header and a cookie", k.Param)
	case strings.ContainsAny(k.Salt, "~"):
		return token.Material{}, fmt.Errorf("salt: no ~ in it")
	}
	return token.Material{SharedSecret: secret, CanSign: true}, nil
}

// paramName returns the name of the parameter, header or cookie for tokens of a key.
func paramName(k token.Key) string {
	if k.Param == "" {
		return DefaultParam
	}
	return k.Param
}

// Find searches for a token under the names that the keys set, beginning with the default name. For each name it searches
// the query, the headers and the cookies.
func (Dialect) Find(q *token.Request, keys []*token.LoadedKey) (token.FoundToken, bool) {
	if c, ok := findNamed(q, DefaultParam); ok {
		return c, true
	}
	for _, k := range keys {
		if p := paramName(k.Key); p != DefaultParam {
			if c, ok := findNamed(q, p); ok {
				return c, true
			}
		}
	}
	return token.FoundToken{}, false
}

// findNamed returns the token with a name.
func findNamed(q *token.Request, name string) (token.FoundToken, bool) {
	c := token.FoundToken{Text: q.Query.Get(name), Name: name}
	if c.Text == "" {
		c.Text, c.Source = q.HeaderValue(name), token.InHeader
	}
	if c.Text == "" {
		c.Text, c.Source = q.CookieValue(name), token.InCookie
	}
	if c.Text == "" {
		return c, false
	}
	c.Params = []string{name}
	return c, true
}

// Indexes of the fields of a token, in the order of the specification. Each field occurs at most once.
const (
	fieldIP = iota
	fieldStart
	fieldExpiry
	fieldACL
	fieldID
	fieldData
)

// fieldNames are the names of the fields in a token.
var fieldNames = [...]string{"ip", "st", "exp", "acl", "id", "data"}

// fields are the values of the fields of a token, "" for absent ones.
type fields [len(fieldNames)]string

// parseToken splits a token into its fields, the signed text and the HMAC. Unknown, empty, repeated and out-of-order fields
// are malformed, so that a set of fields has only one signed text.
func parseToken(text string) (f fields, signed, mac string, err error) {
	signed, mac, ok := strings.Cut(text, "~hmac=")
	if !ok || len(text) > maxTokenBytes {
		return f, "", "", token.Reject(token.Malformed, "no token with an hmac")
	}
	next := 0
	for item := range strings.SplitSeq(signed, "~") {
		name, value, ok := strings.Cut(item, "=")
		for next < len(fieldNames) && fieldNames[next] != name {
			next++
		}
		if !ok || next == len(fieldNames) || value == "" {
			return f, "", "", token.Reject(token.Malformed, "a field that is unknown, empty, twice there or out of order")
		}
		f[next] = value
		next++
	}
	return f, signed, mac, nil
}

// computeMAC returns the HMAC of the fields and of what is not in the token: the path, if the token has no acl, and the salt.
func computeMAC(k *token.LoadedKey, signed, path string) string {
	if path != "" {
		signed += "~url=" + path
	}
	if k.Salt != "" {
		signed += "~salt=" + k.Salt
	}
	m := hmac.New(sha256.New, k.SharedSecret)
	m.Write([]byte(signed))
	return hex.EncodeToString(m.Sum(nil))
}

// Open authenticates a token. Tokens do not name their key, so it tries each valid key whose parameter name matches.
func (Dialect) Open(q *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	f, signed, mac, err := parseToken(c.Text)
	if err != nil {
		return g, err
	}
	path := ""
	if f[fieldACL] == "" {
		path = q.Path
	}
	rejection := token.Reject(token.UnknownKey, "no key for this parameter")
	for _, k := range keys.InForce() {
		if paramName(k.Key) != c.Params[0] {
			continue
		}
		if token.EqualConstantTime(mac, computeMAC(k, signed, path)) {
			return f.grant(k.ID, signed, path)
		}
		rejection = token.Reject(token.BadSignature, "the signature is wrong")
	}
	return g, rejection
}

// grant converts the fields of an authentic token to a grant. path is "" if the token has an acl.
func (f *fields) grant(key, signed, path string) (g token.Grant, err error) {
	g = token.Grant{Key: key, ID: token.DerivedID(signed + "~" + path), Subject: f[fieldID]}
	if g.Expires, err = parseDate(f[fieldExpiry]); err != nil {
		return g, err
	}
	if f[fieldStart] != "" {
		if g.NotBefore, err = parseDate(f[fieldStart]); err != nil {
			return g, err
		}
	}
	if f[fieldIP] != "" {
		addr, err := netip.ParseAddr(f[fieldIP])
		if err != nil {
			return g, token.Reject(token.Malformed, "ip: no address")
		}
		g.AllowedPrefixes = []netip.Prefix{netip.PrefixFrom(addr, addr.BitLen())}
	}
	if path != "" {
		g.URIs = []token.Pattern{{Form: token.Exact, Text: path, Part: token.OnPath}}
		return g, nil
	}
	acls := strings.Split(f[fieldACL], "!")
	if len(acls) > maxACLs {
		return g, token.Reject(token.Malformed, "acl: too many")
	}
	for _, a := range acls {
		g.URIs = append(g.URIs, token.Pattern{Form: token.Glob, Text: a, Part: token.OnPath})
	}
	g.URIs, err = token.Compile(g.URIs...)
	return g, err
}

// parseDate parses a date in Unix seconds.
func parseDate(text string) (float64, error) {
	n, ok := token.ParseDecimal(text, 40)
	if !ok || n == 0 {
		return 0, token.Reject(token.Malformed, "a date that is no number")
	}
	return float64(n), nil
}

// Issue signs a token for a single path, or for all paths that an acl matches.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := url.Parse(t.URI)
	if err != nil {
		return out, fmt.Errorf("uri: can't be read")
	}
	f := fields{fieldIP: t.Address, fieldExpiry: strconv.FormatUint(uint64(t.Expires), 10), fieldACL: t.Patterns, fieldData: t.Data}
	if t.NotBefore > 0 {
		f[fieldStart] = strconv.FormatUint(uint64(t.NotBefore), 10)
	}
	if t.SingleUse {
		f[fieldID] = t.ID
	}
	var parts []string
	for i, name := range fieldNames {
		if v := f[i]; v != "" {
			if strings.ContainsAny(v, "~&;\"\\ ") || len(v) > 1<<10 {
				return out, fmt.Errorf("%s: %.40q can't stand in a token", name, v)
			}
			parts = append(parts, name+"="+v)
		}
	}
	if _, err := netip.ParseAddr(f[fieldIP]); f[fieldIP] != "" && err != nil {
		return out, fmt.Errorf("address: one address, no prefix")
	}
	signed, path := strings.Join(parts, "~"), ""
	if f[fieldACL] == "" {
		path = u.Path
	}
	out.Token = signed + "~hmac=" + computeMAC(k, signed, path)
	out.ID = token.DerivedID(signed + "~" + path)
	if t.URI == "" {
		return out, nil
	}
	out.URL = token.AppendQuery(u, paramName(k.Key)+"="+url.QueryEscape(out.Token))
	return out, nil
}
