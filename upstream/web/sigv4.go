package web

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"
)

// Signer signs requests to a store with AWS Signature Version 4.
type Signer struct {
	AccessKey string `toml:"access_key"`
	SecretKey string `toml:"secret_key"`
	Region    string `toml:"region"`
	Service   string `toml:"service"`
}

const (
	sigAlgorithm = "AWS4-HMAC-SHA256"
	sigTime      = "20060102T150405Z"
)

// Sign adds the date and the Authorization header to a request whose body has the given bytes. All
// headers that the request has by then are signed. S3 wants the body's digest as a header too.
func (s Signer) Sign(r *http.Request, body []byte, now time.Time) {
	stamp := now.UTC().Format(sigTime)
	digest := hexSum(body)
	r.Header.Set("X-Amz-Date", stamp)
	if s.Service == "s3" {
		r.Header.Set("X-Amz-Content-Sha256", digest)
	}
	host := r.Host
	if host == "" {
		host = r.URL.Host
	}
	names, values := []string{"host"}, map[string]string{"host": host}
	for name, list := range r.Header {
		n := strings.ToLower(name)
		names = append(names, n)
		trimmed := make([]string, len(list))
		for i, v := range list {
			trimmed[i] = strings.Join(strings.Fields(v), " ")
		}
		values[n] = strings.Join(trimmed, ",")
	}
	sort.Strings(names)
	var headers strings.Builder
	for _, n := range names {
		headers.WriteString(n + ":" + values[n] + "\n")
	}
	signed := strings.Join(names, ";")
	path := r.URL.EscapedPath()
	if path == "" {
		path = "/"
	}
	if s.Service != "s3" { // all services but S3 encode the path a second time
		path = awsEscape(path, true)
	}
	canonical := strings.Join([]string{
		r.Method, path, canonicalQuery(r.URL.Query()), headers.String(), signed, digest,
	}, "\n")
	scope := strings.Join([]string{stamp[:8], s.Region, s.Service, "aws4_request"}, "/")
	text := strings.Join([]string{sigAlgorithm, stamp, scope, hexSum([]byte(canonical))}, "\n")
	key := []byte("AWS4" + s.SecretKey)
	for _, part := range []string{stamp[:8], s.Region, s.Service, "aws4_request"} {
		key = hmacSum(key, part)
	}
	r.Header.Set("Authorization", sigAlgorithm+" Credential="+s.AccessKey+"/"+scope+", SignedHeaders="+signed+
		", Signature="+hex.EncodeToString(hmacSum(key, text)))
}

func canonicalQuery(q url.Values) string {
	var pairs []string
	for name, list := range q {
		for _, v := range list {
			pairs = append(pairs, awsEscape(name, false)+"="+awsEscape(v, false))
		}
	}
	sort.Strings(pairs)
	return strings.Join(pairs, "&")
}

func awsEscape(s string, slashes bool) string {
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

func hexSum(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func hmacSum(key []byte, text string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(text))
	return m.Sum(nil)
}
