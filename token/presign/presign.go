// Package presign implements the dialect of presigned URLs: AWS Signature Version 4 in query parameters.
package presign

import (
	"fmt"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"turnfork.dev/turnfork/internal/sigv4"
	"turnfork.dev/turnfork/token"
)

// Names of the query parameters.
const (
	ParamAlgorithm  = "X-Amz-Algorithm"
	ParamCredential = "X-Amz-Credential"
	ParamDate       = "X-Amz-Date"
	ParamExpires    = "X-Amz-Expires"
	ParamHeaders    = "X-Amz-SignedHeaders"
	ParamPayload    = "X-Amz-Content-Sha256"
	ParamSignature  = "X-Amz-Signature"
)

// params are the query parameters that belong to a token.
var params = []string{ParamAlgorithm, ParamCredential, ParamDate, ParamExpires, ParamHeaders, ParamPayload, ParamSignature}

const (
	maxValiditySeconds = 7 * 24 * 3600
	maxSignedHeaders   = 16
)

// Dialect implements token.Dialect.
type Dialect struct{}

// Kind returns "presign".
func (Dialect) Kind() token.Kind { return token.Presign }

// LoadKey uses the text of the secret as it is. The key's id is the access key id.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	switch {
	case len(k.Secret) < 16:
		return token.Material{}, fmt.Errorf("secret: %d characters, 16 at least", len(k.Secret))
	case !token.Canonical("/" + k.Region):
		return token.Material{}, fmt.Errorf("region: %q is none", k.Region)
	case !token.Canonical("/" + k.Service):
		return token.Material{}, fmt.Errorf("service: %q is none", k.Service)
	case k.Alg != "":
		return token.Material{}, fmt.Errorf("alg: %q does not go with kind presign", k.Alg)
	case strings.Contains(k.ID, "/"):
		return token.Material{}, fmt.Errorf("id: no slash in an access key")
	}
	return token.Material{SharedSecret: []byte(k.Secret), CanSign: true}, nil
}

// Find returns the signature of a presigned URL.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	text := q.Query.Get(ParamSignature)
	return token.FoundToken{Text: text, Params: params}, text != ""
}

// Open authenticates a presigned URL.
func (Dialect) Open(q *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	date, validity, err := parseTerms(q)
	if err != nil {
		return g, err
	}
	id, scope, _ := strings.Cut(q.Query.Get(ParamCredential), "/")
	key, err := keys.Lookup(id)
	if err != nil {
		return g, err
	}
	stamp := q.Query.Get(ParamDate)
	if scope != sigv4.Scope(stamp, key.Region, key.Service) {
		return g, token.Reject(token.BadClaim, "X-Amz-Credential: another date, region or service")
	}
	headers, err := canonicalHeaders(q)
	if err != nil {
		return g, err
	}
	canonical := sigv4.Canonical(q.Method, q.Path, canonicalQuery(q.Query.Without(ParamSignature)), headers, q.Query.Get(ParamHeaders),
		sigv4.UnsignedPayload)
	if !token.EqualConstantTime(c.Text, sigv4.Sign(string(key.SharedSecret), stamp, key.Region, key.Service, canonical)) {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	issuedAt := float64(date.Unix())
	return token.Grant{
		Key: key.ID, ID: token.DerivedID(stamp + "\n" + canonical), Issued: issuedAt, Expires: issuedAt + float64(validity), CoversQuery: true,
		Methods: []string{q.Method}, URIs: []token.Pattern{{Form: token.Exact, Text: q.Path, Part: token.OnPath}},
	}, nil
}

// parseTerms validates the parameters of a presigned URL, whose query must be in canonical encoding, and returns the date
// and the validity in seconds.
func parseTerms(q *token.Request) (date time.Time, validity uint64, err error) {
	malformed := func(text string) error { return token.Reject(token.Malformed, text) }
	for item := range strings.SplitSeq(q.RawQuery, "&") {
		name, value, ok := strings.Cut(item, "=")
		plain, err := url.PathUnescape(value)
		if !ok || err != nil || item != sigv4.Escape(name, false)+"="+sigv4.Escape(plain, false) {
			return date, 0, malformed("the query is not in canonical form")
		}
	}
	for _, p := range q.Query { // an unknown parameter might restrict the grant
		if strings.HasPrefix(p.Name, "X-Amz-") && !slices.Contains(params, p.Name) {
			return date, 0, token.Reject(token.BadClaim, "a parameter of the signature is not understood")
		}
	}
	if q.Query.Get(ParamAlgorithm) != sigv4.Algorithm {
		return date, 0, malformed("X-Amz-Algorithm: another one")
	}
	if p := q.Query.Get(ParamPayload); p != "" && p != sigv4.UnsignedPayload {
		return date, 0, token.Reject(token.BadClaim, "X-Amz-Content-Sha256: only UNSIGNED-PAYLOAD")
	}
	if date, err = time.Parse(sigv4.TimeFormat, q.Query.Get(ParamDate)); err != nil {
		return date, 0, malformed("X-Amz-Date: no date")
	}
	validity, ok := token.ParseDecimal(q.Query.Get(ParamExpires), 32)
	if !ok || validity == 0 || validity > maxValiditySeconds {
		return date, 0, malformed("X-Amz-Expires: 1 second to 7 days")
	}
	return date, validity, nil
}

// canonicalHeaders returns the canonical lines of the signed headers, which must include host.
func canonicalHeaders(q *token.Request) (string, error) {
	names := strings.Split(q.Query.Get(ParamHeaders), ";")
	if len(names) > maxSignedHeaders || !sort.StringsAreSorted(names) {
		return "", token.Reject(token.Malformed, "X-Amz-SignedHeaders: too many, or not sorted")
	}
	var b strings.Builder
	host := false
	for i, n := range names {
		value := strings.ToLower(q.Host)
		if n != "host" {
			value = strings.Join(strings.Fields(q.HeaderValue(n)), " ")
		}
		if n == "" || n != strings.ToLower(n) || i > 0 && names[i-1] == n {
			return "", token.Reject(token.Malformed, "X-Amz-SignedHeaders: can't be read")
		}
		host = host || n == "host"
		b.WriteString(n + ":" + value + "\n")
	}
	if !host {
		return "", token.Reject(token.BadClaim, "X-Amz-SignedHeaders: host is missing")
	}
	return b.String(), nil
}

// canonicalQuery returns the canonical form of a query.
func canonicalQuery(q token.Query) string {
	var pairs [][2]string
	for _, p := range q {
		pairs = append(pairs, [2]string{p.Name, p.Value})
	}
	return sigv4.Query(pairs)
}

// Issue signs a single URI for a single method, with host as the only signed header.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := t.AbsoluteURI(false)
	switch {
	case err != nil:
		return out, err
	case t.Patterns != "" || t.Address != "":
		return out, fmt.Errorf("cover and address: not with kind presign")
	case t.NotBefore > 0:
		return out, fmt.Errorf("after: not with kind presign")
	}
	uriParams, err := token.ParseQuery(u.RawQuery)
	if err != nil {
		return out, fmt.Errorf("uri: %w", err)
	}
	issuedAt := time.Unix(int64(t.Now), 0).UTC()
	validity := int64(t.Expires) - issuedAt.Unix()
	if validity < 1 || validity > maxValiditySeconds {
		return out, fmt.Errorf("seconds: 7 days at most with kind presign")
	}
	method, stamp := t.Method, issuedAt.Format(sigv4.TimeFormat)
	if method == "" {
		method = "GET"
	}
	q := append(uriParams,
		token.Pair{Name: ParamAlgorithm, Value: sigv4.Algorithm},
		token.Pair{Name: ParamCredential, Value: k.ID + "/" + sigv4.Scope(stamp, k.Region, k.Service)},
		token.Pair{Name: ParamDate, Value: stamp},
		token.Pair{Name: ParamExpires, Value: strconv.FormatInt(validity, 10)},
		token.Pair{Name: ParamHeaders, Value: "host"})
	canonical := sigv4.Canonical(method, u.Path, canonicalQuery(q), "host:"+u.Host+"\n", "host", sigv4.UnsignedPayload)
	sum := sigv4.Sign(string(k.SharedSecret), stamp, k.Region, k.Service, canonical)
	u.RawQuery = canonicalQuery(q) + "&" + ParamSignature + "=" + sum
	return token.Issued{ID: token.DerivedID(stamp + "\n" + canonical), URL: u.String()}, nil
}
