package signed

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"turnfork.dev/turnfork/internal/http1"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// ConfigKeys is the name of the keys in the replicated store.
const ConfigKeys = "keys"

// operatorCallTimeout limits the duration of an operator's call.
const operatorCallTimeout = 3 * time.Second

// IssueRequest asks for a token or a signed URL.
type IssueRequest struct {
	Kind      token.Kind `json:"kind"`              // a dialect
	Key       string     `json:"key,omitempty"`     // "": the newest of the kind that signs
	URI       string     `json:"uri"`               // with scheme and host; a path with its query suffices for hmac and edgeauth
	Regex     string     `json:"regex,omitempty"`   // jws: instead of a single URI
	Cover     string     `json:"cover,omitempty"`   // instead of a single URI, in the dialect's syntax, such as an acl
	Address   string     `json:"address,omitempty"` // of the client, or a prefix, if the dialect supports it
	Method    string     `json:"method,omitempty"`  // presign; "": GET
	Data      string     `json:"data,omitempty"`    // edgeauth: passed through
	Seconds   float64    `json:"seconds"`           // validity
	After     float64    `json:"after,omitempty"`   // s from now until it becomes valid
	SingleUse bool       `json:"single_use"`        // gets its own id; kinds hmac and cat always have one
	Renew     int        `json:"renew,omitempty"`   // jws, cat: lifetime in s of a renewed token, which is sent as a cookie
}

// Issued is the response to an IssueRequest.
type Issued struct {
	Key     string  `json:"key"`
	ID      string  `json:"id"` // for a revocation
	Expires float64 `json:"expires"`
	Token   string  `json:"token,omitempty"`
	URL     string  `json:"url"`
}

// Issue signs the requested token at now, in Unix seconds. most is the maximum lifetime in seconds, and id the jti or nonce to
// use.
func Issue(keys *ring.Ring, q IssueRequest, now, maxSeconds float64, id string) (out Issued, err error) {
	if !(q.Seconds > 0 && q.Seconds <= maxSeconds) {
		return out, fmt.Errorf("seconds: more than 0, %v at most", maxSeconds)
	}
	if !(q.After >= 0 && q.After < q.Seconds) {
		return out, fmt.Errorf("after: less than seconds")
	}
	if q.Regex != "" && q.Cover != "" {
		return out, fmt.Errorf("cover: beside regex")
	}
	if q.Key == "" {
		if q.Key, err = keys.SigningKeyID(q.Kind, now); err != nil {
			return out, fmt.Errorf("kind: no key of kind %q signs", q.Kind)
		}
	}
	t := token.Terms{
		URI: q.URI, Patterns: q.Regex + q.Cover, ID: id, SingleUse: q.SingleUse, Address: q.Address, Method: q.Method, Data: q.Data,
		Expires: math.Floor(now + q.Seconds), Now: now, Renew: q.Renew,
	}
	if q.After > 0 {
		t.NotBefore = math.Floor(now + q.After)
	}
	got, err := keys.Issue(q.Key, t)
	return Issued{Key: q.Key, ID: got.ID, Expires: t.Expires, Token: got.Token, URL: got.URL}, err
}

// handleManagement answers the operator's calls and the health check.
func (f *Frontend) handleManagement(m *http1.Message) []byte {
	if draining, _ := f.server.Draining(); draining && m.Path == "/healthz" {
		return http1.EncodeErrorResponse(503, "draining", "this gateway is being emptied", "", m.Close)
	}
	if m.Path == "/healthz" {
		return http1.EncodeResponse(200, "text/plain", "", 3, []byte("ok\n"), m.Close)
	}
	if f.opt.OperatorSecret == "" {
		return http1.EncodeErrorResponse(404, "not_found", "no such path", "", m.Close)
	}
	secret, _ := strings.CutPrefix(m.Header["authorization"], "Bearer ")
	// Digests have the same length, so the comparison does not reveal the length of the secret.
	got, want := sha256.Sum256([]byte(secret)), sha256.Sum256([]byte(f.opt.OperatorSecret))
	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return http1.EncodeErrorResponse(401, "missing", "for the operator alone", "WWW-Authenticate: Bearer\r\n", m.Close)
	}
	if m.Method != "POST" {
		return http1.EncodeErrorResponse(405, "method", "this takes POST", "Allow: POST\r\n", m.Close)
	}
	call, ok := operatorCalls[m.Path]
	if !ok {
		return http1.EncodeErrorResponse(404, "not_found", "no such path", "", m.Close)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	out, err := call(f, ctx, m.Body)
	var unavailable *unavailableError
	switch {
	case errors.As(err, &unavailable):
		return http1.EncodeErrorResponse(503, unavailable.code, err.Error(), "Retry-After: 1\r\n", m.Close)
	case err != nil:
		return http1.EncodeErrorResponse(400, "malformed", err.Error(), "", m.Close)
	}
	body, err := json.Marshal(out)
	if err != nil {
		return http1.EncodeErrorResponse(502, "failed", "the answer can't be written", "", m.Close)
	}
	body = append(body, '\n')
	return http1.EncodeResponse(200, "application/json", "Cache-Control: no-store\r\n", len(body), body, m.Close)
}

func readJSON(b []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("the body can't be read: %w", err)
	}
	return nil
}
