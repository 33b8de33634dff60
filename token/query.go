package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/url"
	"strconv"
	"strings"
)

// Query is a parsed query in its original order. Each name occurs once.
type Query []Pair

// Pair is a decoded query parameter.
type Pair struct{ Name, Value string }

// Get returns the value of a parameter, or "" if there is none.
func (q Query) Get(name string) string {
	for _, p := range q {
		if p.Name == name {
			return p.Value
		}
	}
	return ""
}

func (q Query) has(name string) bool {
	for _, p := range q {
		if p.Name == name {
			return true
		}
	}
	return false
}

// Without returns the query without the named parameters.
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

// String returns the query in percent-encoded form.
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

// maxQueryParams is the maximum number of query parameters of a request.
const maxQueryParams = 32

// ParseQuery parses a query. It rejects a repeated name, because one parser could use the first value and another the
// last.
func ParseQuery(raw string) (q Query, err error) {
	if raw == "" {
		return nil, nil
	}
	q = make(Query, 0, min(maxQueryParams, strings.Count(raw, "&")+1))
	for item := range strings.SplitSeq(raw, "&") {
		n, v, _ := strings.Cut(item, "=")
		var p Pair
		if p.Name = n; strings.ContainsAny(n, "%+") { // a name has a single spelling, also for code that redacts it
			return nil, Reject(Malformed, "a parameter's name is encoded")
		}
		if p.Value, err = url.QueryUnescape(v); err != nil {
			return nil, Reject(Malformed, "the query can't be read")
		}
		if p.Name == "" || len(q) >= maxQueryParams || q.has(p.Name) {
			return nil, Reject(Malformed, "a parameter without a name, twice there, or too many")
		}
		q = append(q, p)
	}
	return q, nil
}

// Canonical reports whether a path is in the only form that can be signed: absolute, made of unreserved characters, without
// empty segments, dot segments or percent-encoding.
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

// ParseDecimal parses an unsigned number of at most the given number of bits. It accepts only the canonical spelling: decimal
// digits without a sign or leading zeros.
func ParseDecimal(text string, bits int) (n uint64, ok bool) {
	n, err := strconv.ParseUint(text, 10, bits)
	return n, err == nil && strconv.FormatUint(n, 10) == text
}

// EqualConstantTime reports whether two strings are equal, in a time that depends only on their lengths.
func EqualConstantTime(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

// DerivedID derives the id of a token that carries none from the signed text, so that a token has one id even if its signature
// can be written in two ways.
func DerivedID(signed string) string {
	sum := sha256.Sum256([]byte(signed))
	return base64.RawURLEncoding.EncodeToString(sum[:18])
}
