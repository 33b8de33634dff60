// Package hmacurl implements turnfork's own dialect: URLs signed with HMAC-SHA256 over path, expiry, key id, nonce and all
// other parameters.
package hmacurl

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/url"
	"sort"
	"strconv"

	"turnfork.dev/turnfork/token"
)

// Names of the query parameters.
const (
	ParamExpires   = "expires"
	ParamKey       = "keyid"
	ParamNonce     = "nonce"
	ParamSignature = "signature"
)

// params are the query parameters that belong to a token.
var params = []string{ParamExpires, ParamKey, ParamNonce, ParamSignature}

// Dialect implements token.Dialect.
type Dialect struct{}

// Kind returns "hmac".
func (Dialect) Kind() token.Kind { return token.HMAC }

// LoadKey requires a secret of at least 32 bytes in base64.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	if k.Alg != "" && k.Alg != "HS256" {
		return token.Material{}, fmt.Errorf("alg: %q does not go with kind hmac", k.Alg)
	}
	secret, err := k.DecodeSecret()
	return token.Material{SharedSecret: secret, CanSign: true}, err
}

// Find returns the signature parameter, which every signed URL has.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	return token.FoundToken{Text: q.Query.Get(ParamSignature), Params: params}, q.Query.Get(ParamSignature) != ""
}

// signingInput returns the text that the signature covers: path, expiry, key id and nonce, then all other parameters sorted
// by name.
func signingInput(path, expires, key, nonce string, rest token.Query) []byte {
	rest = append(token.Query(nil), rest...)
	sort.Slice(rest, func(i, j int) bool { return rest[i].Name < rest[j].Name })
	return []byte("turnfork-url-v1\n" + path + "\n" + expires + "\n" + key + "\n" + nonce + "\n" + rest.String())
}

func mac(secret, text []byte) string {
	m := hmac.New(sha256.New, secret)
	m.Write(text)
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}

// Open authenticates a signed URL.
func (Dialect) Open(q *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	if q.RawQuery != q.Query.String() { // the signature covers the decoded parameters, so only one encoding of them may be accepted
		return g, token.Reject(token.Malformed, "the query is not in canonical form")
	}
	expires, nonce := q.Query.Get(ParamExpires), q.Query.Get(ParamNonce)
	expiry, ok := token.ParseDecimal(expires, 40)
	if !ok || nonce == "" || len(nonce) > token.MaxIDLength {
		return g, token.Reject(token.Malformed, "the signed URL lacks a field or can't be read")
	}
	key, err := keys.Lookup(q.Query.Get(ParamKey))
	if err != nil {
		return g, err
	}
	if !token.EqualConstantTime(c.Text, mac(key.SharedSecret, signingInput(q.Path, expires, key.ID, nonce, q.Query.Without(params...)))) {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	return token.Grant{
		Key: key.ID, ID: nonce, Expires: float64(expiry), CoversQuery: true, URIs: []token.Pattern{{Form: token.Exact, Text: q.Path, Part: token.OnPath}},
	}, nil
}

// Issue signs a path and its parameters. The URL has a scheme and a host only if the URI of the terms has them.
func (Dialect) Issue(key *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := url.Parse(t.URI)
	if err != nil {
		return out, fmt.Errorf("uri: can't be read")
	}
	rest, err := token.ParseQuery(u.RawQuery)
	switch {
	case err != nil:
		return out, fmt.Errorf("uri: %w", err)
	case t.ID == "" || len(t.ID) > token.MaxIDLength:
		return out, fmt.Errorf("nonce: 1 to %d characters", token.MaxIDLength)
	case !(t.Expires > 0 && t.Expires < 1<<40):
		return out, fmt.Errorf("expires: out of range")
	}
	expires := strconv.FormatUint(uint64(t.Expires), 10)
	sum := mac(key.SharedSecret, signingInput(u.Path, expires, key.ID, t.ID, rest))
	u.RawQuery = append(rest, token.Pair{Name: ParamExpires, Value: expires}, token.Pair{Name: ParamKey, Value: key.ID},
		token.Pair{Name: ParamNonce, Value: t.ID}, token.Pair{Name: ParamSignature, Value: sum}).String()
	return token.Issued{ID: t.ID, URL: u.String()}, nil
}
