// Package sigv4 implements the parts of AWS Signature Version 4 that requests to endpoints and presigned URLs share.
package sigv4

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
)

// The name of the algorithm, the layout of its timestamps, and the value that replaces the digest of an unsigned body.
const (
	Algorithm       = "AWS4-HMAC-SHA256"
	TimeFormat      = "20060102T150405Z"
	UnsignedPayload = "UNSIGNED-PAYLOAD"
)

// Scope returns the credential scope that a signing key is valid for: date, region and service. stamp has the layout TimeFormat.
func Scope(stamp, region, service string) string {
	return strings.Join([]string{stamp[:8], region, service, "aws4_request"}, "/")
}

// Canonical returns the canonical request. query is in canonical form, headers has one line for each signed header, signed
// lists their names, and payload is the digest of the body.
func Canonical(method, path, query, headers, signed, payload string) string {
	return strings.Join([]string{method, path, query, headers, signed, payload}, "\n")
}

// Sign returns the signature of a canonical request in hexadecimal.
func Sign(secret, stamp, region, service, canonical string) string {
	scope := Scope(stamp, region, service)
	text := strings.Join([]string{Algorithm, stamp, scope, HexSum([]byte(canonical))}, "\n")
	key := []byte("AWS4" + secret)
	for part := range strings.SplitSeq(scope, "/") {
		key = mac(key, part)
	}
	return hex.EncodeToString(mac(key, text))
}

// Query returns the canonical form of parameters: encoded and sorted by name, then by value.
func Query(pairs [][2]string) string {
	encoded := make([][2]string, len(pairs))
	for i, p := range pairs {
		encoded[i] = [2]string{Escape(p[0], false), Escape(p[1], false)}
	}
	sort.Slice(encoded, func(i, j int) bool {
		a, b := encoded[i], encoded[j]
		return a[0] < b[0] || a[0] == b[0] && a[1] < b[1]
	})
	var b strings.Builder
	for i, p := range encoded {
		if i > 0 {
			b.WriteByte('&')
		}
		b.WriteString(p[0] + "=" + p[1])
	}
	return b.String()
}

// Escape percent-encodes all characters except the unreserved ones and, if slashes is set, slashes.
func Escape(s string, slashes bool) string {
	const digits = "0123456789ABCDEF"
	var b strings.Builder
	for _, c := range []byte(s) {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0 ||
			slashes && c == '/' {
			b.WriteByte(c)
		} else {
			b.WriteByte('%')
			b.WriteByte(digits[c>>4])
			b.WriteByte(digits[c&15])
		}
	}
	return b.String()
}

// HexSum returns the SHA-256 digest in hexadecimal.
func HexSum(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func mac(key []byte, text string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(text))
	return m.Sum(nil)
}
