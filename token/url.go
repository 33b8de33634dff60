package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"
)

// Names of the query's parameters.
const (
	ParamPackage   = "URISigningPackage"
	ParamExpires   = "expires"
	ParamKey       = "keyid"
	ParamNonce     = "nonce"
	ParamSignature = "signature"
)

// Query is a parsed query in its order, each name once.
type Query []Pair

// Pair is one parameter, decoded.
type Pair struct{ Name, Value string }

// Get gives a parameter's value.
func (q Query) Get(name string) string {
	for _, p := range q {
		if p.Name == name {
			return p.Value
		}
	}
	return ""
}

// Without leaves parameters out.
func (q Query) Without(names ...string) (out Query) {
next:
	for _, p := range q {
		for _, n := range names {
			if p.Name == n {
				continue next
			}
		}
		out = append(out, p)
	}
	return out
}

// String writes the query with percent-encoding.
func (q Query) String() string {
	var b strings.Builder
	for i, p := range q {
		if i > 0 {
			b.WriteByte('&')
		}
		b.WriteString(url.QueryEscape(p.Name) + "=" + url.QueryEscape(p.Value))
	}
	return b.String()
}

const queryMost = 32

// ParseQuery reads a query. A name that comes twice is malformed: one reader could take the first
// value and another the last.
func ParseQuery(raw string) (q Query, err error) {
	if raw == "" {
		return nil, nil
	}
	seen := map[string]bool{}
	for item := range strings.SplitSeq(raw, "&") {
		n, v, _ := strings.Cut(item, "=")
		var p Pair
		if p.Name = n; strings.ContainsAny(n, "%+") { // one spelling for a name, also for those who redact it
			return nil, reject(Malformed, "a parameter's name is encoded")
		}
		if p.Value, err = url.QueryUnescape(v); err != nil {
			return nil, reject(Malformed, "the query can't be read")
		}
		if seen[p.Name] || p.Name == "" || len(q) >= queryMost {
			return nil, reject(Malformed, "a parameter without a name, twice there, or too many")
		}
		seen[p.Name] = true
		q = append(q, p)
	}
	return q, nil
}

// Canonical tells whether a path is in the one form that is signed: absolute, of unreserved
// characters alone, with no empty and no dot segments and nothing percent-encoded.
func Canonical(path string) bool {
	if len(path) < 2 || path[0] != '/' {
		return false
	}
	for seg := range strings.SplitSeq(path[1:], "/") {
		if seg == "" || seg == "." || seg == ".." {
			return false
		}
		for _, c := range []byte(seg) {
			if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0) {
				return false
			}
		}
	}
	return true
}

// toSign is what a URL's signature covers: path, expiry, key and nonce, then all other parameters
// sorted by name.
func toSign(path, expires, key, nonce string, rest Query) []byte {
	rest = append(Query(nil), rest...)
	sort.Slice(rest, func(i, j int) bool { return rest[i].Name < rest[j].Name })
	return []byte("turnfork-url-v1\n" + path + "\n" + expires + "\n" + key + "\n" + nonce + "\n" + rest.String())
}

func mac(secret, text []byte) string {
	m := hmac.New(sha256.New, secret)
	m.Write(text)
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}

// same compares in constant time for a given length.
func same(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

// VerifyURL checks a URL signed with HMAC-SHA256 at now, in Unix seconds, with a leeway for clocks
// that differ.
func (r *Ring) VerifyURL(path string, q Query, now, leeway float64) (Grant, error) {
	expires, nonce := q.Get(ParamExpires), q.Get(ParamNonce)
	at, err := strconv.ParseUint(expires, 10, 40)
	if err != nil || nonce == "" || len(nonce) > idMost || !Canonical(path) {
		return Grant{}, reject(Malformed, "the signed URL lacks a field or can't be read")
	}
	key, err := r.find(q.Get(ParamKey), HMAC, now, leeway)
	if err != nil {
		return Grant{}, err
	}
	rest := q.Without(ParamExpires, ParamKey, ParamNonce, ParamSignature)
	if !same(q.Get(ParamSignature), mac(key.secret, toSign(path, expires, key.ID, nonce, rest))) {
		return Grant{}, reject(BadSignature, "the signature is wrong")
	}
	if now > float64(at)+leeway {
		return Grant{}, reject(Expired, "expired")
	}
	return Grant{Key: key.ID, ID: nonce, Expires: float64(at)}, nil
}

// IssueURL signs a path and its parameters and gives the URL's path with the whole query.
func (r *Ring) IssueURL(id, path string, rest Query, expires float64, nonce string) (string, error) {
	key := r.keys[id]
	switch {
	case key == nil || key.Kind != HMAC:
		return "", errNoSigner
	case !Canonical(path):
		return "", fmt.Errorf("token: %.80q is not in canonical form", path)
	case nonce == "" || len(nonce) > idMost:
		return "", fmt.Errorf("token: nonce: 1 to %d characters", idMost)
	case !(expires > 0 && expires < 1<<40):
		return "", fmt.Errorf("token: expires: out of range")
	}
	when := strconv.FormatUint(uint64(expires), 10)
	q := append(append(Query(nil), rest...), Pair{ParamExpires, when}, Pair{ParamKey, id}, Pair{ParamNonce, nonce},
		Pair{ParamSignature, mac(key.secret, toSign(path, when, id, nonce, rest))})
	return path + "?" + q.String(), nil
}
