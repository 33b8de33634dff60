// Package cloudcdn implements the dialect of Cloud CDN: signed URLs, signed URL prefixes and signed cookies.
package cloudcdn

import (
	"crypto/hmac"
	"crypto/sha1" //nolint:gosec // required by the specification
	"encoding/base64"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"turnfork.dev/turnfork/token"
)

// Names of the query parameters and of the cookie.
const (
	ParamPrefix    = "URLPrefix"
	ParamExpires   = "Expires"
	ParamKey       = "KeyName"
	ParamSignature = "Signature"
	Cookie         = "Cloud-CDN-Cookie"
)

// params are the query parameters that belong to a token.
var params = []string{ParamPrefix, ParamExpires, ParamKey, ParamSignature}

const (
	secretBytes    = 16
	maxCookieBytes = 4 << 10
)

// Dialect implements token.Dialect.
type Dialect struct{}

// Kind returns "cloudcdn".
func (Dialect) Kind() token.Kind { return token.CloudCDN }

// LoadKey requires a secret of 16 bytes in base64url. The key's id is the KeyName.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	secret, err := base64.URLEncoding.DecodeString(k.Secret)
	switch {
	case err != nil:
		return token.Material{}, fmt.Errorf("secret: no base64url")
	case len(secret) != secretBytes:
		return token.Material{}, fmt.Errorf("secret: %d bytes, not %d", len(secret), secretBytes)
	case k.Alg != "":
		return token.Material{}, fmt.Errorf("alg: %q does not go with kind cloudcdn", k.Alg)
	case !token.Canonical("/" + k.ID):
		return token.Material{}, fmt.Errorf("id: %q can't be a KeyName", k.ID)
	}
	return token.Material{SharedSecret: secret, CanSign: true}, nil
}

// Find looks for a signed URL, which has a KeyName parameter, then for the signed cookie.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	if q.Query.Get(ParamKey) != "" {
		return token.FoundToken{Params: params}, true
	}
	text := q.CookieValue(Cookie)
	return token.FoundToken{Text: text, Source: token.InCookie}, text != ""
}

func mac(secret []byte, text string) string {
	m := hmac.New(sha1.New, secret)
	m.Write([]byte(text))
	return base64.URLEncoding.EncodeToString(m.Sum(nil))
}

// fields are the parsed fields of a token, undecoded.
type fields struct {
	signed, prefix, expires, keyName, signature string // signed is the text before the signature
}

// parseFields parses NAME=VALUE fields joined by sep, in the order of the specification. URLPrefix is optional.
func parseFields(text, sep string) (f fields, err error) {
	bad := token.Reject(token.Malformed, "fields are missing or out of order")
	f.signed, f.signature, _ = strings.Cut(text, sep+ParamSignature+"=")
	parts := strings.Split(f.signed, sep)
	if prefix, ok := strings.CutPrefix(parts[0], ParamPrefix+"="); ok {
		f.prefix, parts = prefix, parts[1:]
	}
	if len(parts) != 2 || f.signature == "" {
		return f, bad
	}
	var ok1, ok2 bool
	f.expires, ok1 = strings.CutPrefix(parts[0], ParamExpires+"=")
	f.keyName, ok2 = strings.CutPrefix(parts[1], ParamKey+"=")
	if !ok1 || !ok2 || strings.Contains(f.signature, sep) {
		return f, bad
	}
	return f, nil
}

// Open authenticates a signed URL, a signed prefix or a signed cookie.
func (Dialect) Open(q *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	var f fields
	uriBeforeFields := "" // the URI up to the fields, which a signed URL without URLPrefix signs too
	if c.Source == token.InCookie {
		if len(c.Text) > maxCookieBytes {
			return g, token.Reject(token.Malformed, "the cookie is too long")
		}
		f, err = parseFields(c.Text, ":")
	} else {
		// The fields must be at the end of the query: parameters after the signature would not be signed.
		rawQuery, fieldsStart := q.RawQuery, len(q.RawQuery)
		for _, name := range []string{ParamExpires, ParamPrefix} {
			if i := strings.Index("&"+rawQuery, "&"+name+"="); i >= 0 {
				fieldsStart = min(fieldsStart, i)
			}
		}
		f, err = parseFields(rawQuery[fieldsStart:], "&")
		uriBeforeFields = q.Scheme + "://" + strings.ToLower(q.Host) + q.Path + "?" + rawQuery[:fieldsStart]
	}
	if err != nil {
		return g, err
	}
	if f.prefix == "" && c.Source == token.InCookie {
		return g, token.Reject(token.Malformed, "URLPrefix: missing")
	}
	expires, ok := token.ParseDecimal(f.expires, 40)
	if !ok {
		return g, token.Reject(token.Malformed, "Expires: no date")
	}
	key, err := keys.Lookup(f.keyName)
	if err != nil {
		return g, err
	}
	signed := f.signed
	if f.prefix == "" {
		signed = uriBeforeFields + signed
	}
	if !token.EqualConstantTime(f.signature, mac(key.SharedSecret, signed)) {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	g = token.Grant{Key: key.ID, ID: token.DerivedID(signed), Expires: float64(expires)}
	if f.prefix == "" { // the signature covers the URI with its query
		g.CoversQuery = true
		g.URIs, err = token.Compile(token.Pattern{Form: token.Exact, Text: q.URI(params...), ExcludedParams: params})
		return g, err
	}
	prefix, err := base64.URLEncoding.Strict().DecodeString(f.prefix)
	if err != nil || !validPrefix(string(prefix)) {
		return g, token.Reject(token.Malformed, "URLPrefix: no prefix with scheme and host")
	}
	g.URIs, err = token.Compile(token.Pattern{Form: token.Prefix, Text: string(prefix)})
	return g, err
}

// validPrefix reports whether a prefix can be signed: it needs a scheme and a complete host, and has no query or fragment.
func validPrefix(prefix string) bool {
	u, err := url.Parse(prefix)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && strings.HasPrefix(u.Path, "/") &&
		!strings.ContainsAny(prefix, "?#")
}

// Issue signs a single URI, or a prefix of URIs. The result is a URL with the fields in its query if the terms have a URI,
// otherwise the value of the signed cookie.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	if t.Address != "" || t.NotBefore > 0 {
		return out, fmt.Errorf("address and after: not with kind cloudcdn")
	}
	u, err := t.AbsoluteURI(true)
	if err != nil {
		return out, err
	}
	expires := ParamExpires + "=" + strconv.FormatInt(int64(t.Expires), 10)
	keyName := ParamKey + "=" + k.ID
	if t.Patterns == "" {
		signed := token.AppendQuery(u, expires+"&"+keyName)
		return token.Issued{ID: token.DerivedID(signed), URL: signed + "&" + ParamSignature + "=" + mac(k.SharedSecret, signed)}, nil
	}
	if !validPrefix(t.Patterns) {
		return out, fmt.Errorf("cover: a prefix with scheme and host, without query")
	}
	prefix := ParamPrefix + "=" + base64.URLEncoding.EncodeToString([]byte(t.Patterns))
	if t.URI == "" {
		signed := prefix + ":" + expires + ":" + keyName
		return token.Issued{ID: token.DerivedID(signed), Token: signed + ":" + ParamSignature + "=" + mac(k.SharedSecret, signed)}, nil
	}
	signed := prefix + "&" + expires + "&" + keyName
	return token.Issued{ID: token.DerivedID(signed), URL: token.AppendQuery(u, signed+"&"+ParamSignature+"="+mac(k.SharedSecret, signed))}, nil
}
