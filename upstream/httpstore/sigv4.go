package httpstore

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"turnfork.dev/turnfork/internal/sigv4"
)

// Signer signs requests to an endpoint with AWS Signature Version 4.
type Signer struct {
	AccessKey string `toml:"access_key"`
	SecretKey string `toml:"secret_key"`
	Region    string `toml:"region"`
	Service   string `toml:"service"`
}

// Sign adds the date and the Authorization header to a request with the given body, and for S3 the digest of the body. It
// signs all headers that the request has at that time.
func (s Signer) Sign(r *http.Request, body []byte, now time.Time) {
	stamp := now.UTC().Format(sigv4.TimeFormat)
	digest := sigv4.HexSum(body)
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
		path = sigv4.Escape(path, true)
	}
	var query [][2]string
	for name, list := range r.URL.Query() {
		for _, v := range list {
			query = append(query, [2]string{name, v})
		}
	}
	canonical := sigv4.Canonical(r.Method, path, sigv4.Query(query), headers.String(), signed, digest)
	r.Header.Set("Authorization", sigv4.Algorithm+" Credential="+s.AccessKey+"/"+sigv4.Scope(stamp, s.Region, s.Service)+
		", SignedHeaders="+signed+", Signature="+sigv4.Sign(s.SecretKey, stamp, s.Region, s.Service, canonical))
}
