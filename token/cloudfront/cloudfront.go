// Package cloudfront implements the dialect of CloudFront: signed URLs and signed cookies, with canned and custom policies.
package cloudfront

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1" //nolint:gosec // required by the specification
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"

	"turnfork.dev/turnfork/token"
)

// Names of the query parameters. The name of a cookie is CookiePrefix followed by the name of the parameter.
const (
	ParamExpires   = "Expires"
	ParamPolicy    = "Policy"
	ParamSignature = "Signature"
	ParamKey       = "Key-Pair-Id"
	CookiePrefix   = "CloudFront-"
)

// params are the query parameters that belong to a token.
var params = []string{ParamExpires, ParamPolicy, ParamSignature, ParamKey}

const maxPolicyBytes = 4 << 10

// Values of a key's alg. CloudFront's published algorithm is RS1: RSA with SHA-1.
const (
	RS1   = "RS1"
	RS256 = "RS256"
	ES256 = "ES256"
)

// Dialect implements token.Dialect.
type Dialect struct{}

// Kind returns "cloudfront".
func (Dialect) Kind() token.Kind { return token.CloudFront }

// LoadKey requires a key pair. The key's id is the Key-Pair-Id.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	switch k.Alg {
	case "", RS1, RS256:
		return k.LoadKeyPair(token.RSA)
	case ES256:
		return k.LoadKeyPair(token.P256)
	}
	return token.Material{}, fmt.Errorf("alg: %q does not go with kind cloudfront", k.Alg)
}

// Find looks for a signed URL, then for signed cookies. The text of the token is the Key-Pair-Id.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	if id := q.Query.Get(ParamKey); id != "" {
		return token.FoundToken{Text: id, Params: params}, true
	}
	id := q.CookieValue(CookiePrefix + ParamKey)
	return token.FoundToken{Text: id, Source: token.InCookie}, id != ""
}

// policy is the signed JSON document.
type policy struct {
	Statement []statement
}

type statement struct {
	Resource  string `json:",omitempty"`
	Condition condition
}

type condition struct {
	DateLessThan    *epochTime `json:",omitempty"`
	DateGreaterThan *epochTime `json:",omitempty"`
	IPAddress       *sourceIP  `json:"IpAddress,omitempty"`
}

type epochTime struct {
	Time int64 `json:"AWS:EpochTime"`
}

type sourceIP struct {
	IP string `json:"AWS:SourceIp"`
}

// urlEncoding is base64 with -, ~ and _ in place of +, / and =, which are not safe in URLs. It is strict, so that each text
// has only one encoding.
var urlEncoding = base64.NewEncoding("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-~").WithPadding('_').Strict()

// cannedPolicy returns the policy that a URL without Policy implies, byte for byte in the published form.
func cannedPolicy(resource, expires string) string {
	return `{"Statement":[{"Resource":"` + resource + `","Condition":{"DateLessThan":{"AWS:EpochTime":` + expires + `}}}]}`
}

// Open authenticates a signed URL or signed cookies.
func (Dialect) Open(q *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	getField := q.Query.Get
	if c.Source == token.InCookie {
		getField = func(name string) string { return q.CookieValue(CookiePrefix + name) }
	}
	expires, policyText := getField(ParamExpires), getField(ParamPolicy)
	if (expires == "") == (policyText == "") || len(policyText) > maxPolicyBytes {
		return g, token.Reject(token.Malformed, "either Expires or Policy, and not too long")
	}
	signed := []byte(nil)
	uri := q.URI(c.Params...)
	if policyText != "" {
		if signed, err = urlEncoding.DecodeString(policyText); err != nil {
			return g, token.Reject(token.Malformed, "Policy: can't be read")
		}
	} else {
		if _, ok := token.ParseDecimal(expires, 40); !ok || strings.ContainsAny(uri, `"\`) {
			return g, token.Reject(token.Malformed, "Expires: no date")
		}
		signed = []byte(cannedPolicy(uri, expires))
	}
	key, err := keys.Lookup(c.Text)
	if err != nil {
		return g, err
	}
	sig, err := urlEncoding.DecodeString(getField(ParamSignature))
	if err != nil {
		return g, token.Reject(token.Malformed, "Signature: can't be read")
	}
	if !verify(key, signed, sig) {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	return policyGrant(key.ID, signed, c.Params, policyText == "")
}

// digest returns the hash function of an algorithm and the digest of a text.
func digest(alg string, text []byte) (crypto.Hash, []byte) {
	if alg == "" || alg == RS1 {
		sum := sha1.Sum(text)
		return crypto.SHA1, sum[:]
	}
	sum := sha256.Sum256(text)
	return crypto.SHA256, sum[:]
}

func verify(k *token.LoadedKey, text, sig []byte) bool {
	hash, sum := digest(k.Alg, text)
	switch pub := k.Verifier.(type) {
	case *rsa.PublicKey:
		return rsa.VerifyPKCS1v15(pub, hash, sum, sig) == nil
	case *ecdsa.PublicKey:
		return ecdsa.VerifyASN1(pub, sum, sig)
	}
	return false
}

// policyGrant converts an authentic policy to a grant. It rejects unknown fields, because they might restrict the grant.
func policyGrant(key string, document []byte, params []string, isCanned bool) (g token.Grant, err error) {
	var p policy
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil || len(p.Statement) != 1 {
		return g, token.Reject(token.Malformed, "the policy can't be read, or has not one statement")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return g, token.Reject(token.Malformed, "the policy goes on")
	}
	s := p.Statement[0]
	if s.Condition.DateLessThan == nil {
		return g, token.Reject(token.BadClaim, "DateLessThan: missing")
	}
	g = token.Grant{Key: key, ID: token.DerivedID(string(document)), Expires: float64(s.Condition.DateLessThan.Time)}
	if s.Condition.DateGreaterThan != nil {
		g.NotBefore = float64(s.Condition.DateGreaterThan.Time)
	}
	if address := s.Condition.IPAddress; address != nil && address.IP != "0.0.0.0/0" {
		net, err := token.ParsePrefix(address.IP)
		if err != nil {
			return g, err
		}
		g.AllowedPrefixes = []netip.Prefix{net}
	}
	resource := token.Pattern{Form: token.Glob, Text: s.Resource, ExcludedParams: params}
	if s.Resource == "" { // no Resource: all URIs
		resource.Text = "*"
	}
	if isCanned { // a canned policy is for a single URI, even if the URI contains a wildcard
		resource.Form = token.Exact
	}
	g.CoversQuery = isCanned || !strings.ContainsAny(resource.Text, "*?")
	g.URIs, err = token.Compile(resource)
	return g, err
}

// Issue signs a URL with a canned policy, or with a custom policy if the terms have a pattern, a start or an address. The
// Token of the result contains the signed cookies, joined as in a Cookie header.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := t.AbsoluteURI(true)
	if err != nil {
		return out, err
	}
	uri, expires := u.String(), strconv.FormatInt(int64(t.Expires), 10)
	if strings.ContainsAny(uri, `"\`) {
		return out, fmt.Errorf("uri: can't stand in a policy")
	}
	signed, policyParam := cannedPolicy(uri, expires), token.Pair{Name: ParamExpires, Value: expires}
	if t.Patterns != "" || t.NotBefore > 0 || t.Address != "" {
		s := statement{Resource: t.Patterns, Condition: condition{DateLessThan: &epochTime{int64(t.Expires)}}}
		if s.Resource == "" {
			s.Resource = uri
		}
		if t.NotBefore > 0 {
			s.Condition.DateGreaterThan = &epochTime{int64(t.NotBefore)}
		}
		if t.Address != "" {
			s.Condition.IPAddress = &sourceIP{t.Address}
		}
		var b bytes.Buffer
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		if err := e.Encode(policy{[]statement{s}}); err != nil {
			return out, fmt.Errorf("cover: %w", err)
		}
		signed = strings.TrimSuffix(b.String(), "\n")
		policyParam = token.Pair{Name: ParamPolicy, Value: urlEncoding.EncodeToString([]byte(signed))}
	}
	hash, sum := digest(k.Alg, []byte(signed))
	sig, err := k.Signer.Sign(rand.Reader, sum, hash)
	if err != nil {
		return out, fmt.Errorf("token: %w", err)
	}
	parts := token.Query{policyParam, {Name: ParamSignature, Value: urlEncoding.EncodeToString(sig)}, {Name: ParamKey, Value: k.ID}}
	out.ID = token.DerivedID(signed)
	for i, p := range parts {
		if i > 0 {
			out.Token += "; "
		}
		out.Token += CookiePrefix + p.Name + "=" + p.Value
	}
	if t.URI == "" {
		return out, nil
	}
	out.URL = token.AppendQuery(u, parts.String())
	return out, nil
}
