package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/url"
	"strconv"
	"strings"
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

func (q Query) has(name string) bool {
	for _, p := range q {
		if p.Name == name {
			return true
		}
	}
	return false
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

const maxQueryParams = 32

// ParseQuery reads a query. A name that comes twice is malformed: one reader could take the first
// value and another the last.
func ParseQuery(raw string) (q Query, err error) {
	if raw == "" {
		return nil, nil
	}
	q = make(Query, 0, min(maxQueryParams, strings.Count(raw, "&")+1))
	for item := range strings.SplitSeq(raw, "&") {
		n, v, _ := strings.Cut(item, "=")
		var p Pair
		if p.Name = n; strings.ContainsAny(n, "%+") { // one spelling for a name, also for those who redact it
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

// Number reads a number of so many bits in its one spelling: decimal digits, no sign, no zero ahead.
func Number(text string, bits int) (n uint64, ok bool) {
	n, err := strconv.ParseUint(text, 10, bits)
	return n, err == nil && strconv.FormatUint(n, 10) == text
}

// Same compares in a time that depends on the lengths alone.
func Same(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

// IDOf names a token that carries no id by all that is signed, so that one token has one name even where a signature
// could be written in two ways.
func IDOf(signed string) string {
	sum := sha256.Sum256([]byte(signed))
	return base64.RawURLEncoding.EncodeToString(sum[:18])
}
