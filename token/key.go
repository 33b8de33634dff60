// Package token verifies and issues signed URLs and tokens as content networks use them: URI Signing
// packages (RFC 9246) and URLs signed with HMAC-SHA256. Its functions depend on the key, the time and
// the request alone.
package token

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rsa"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"

	"github.com/go-jose/go-jose/v4"
)

// Kind is how a key signs.
type Kind string

// The kinds.
const (
	JWS  Kind = "jws"  // URI Signing packages
	HMAC Kind = "hmac" // signed URLs
)

// Key is one signing key as the operator writes it. Its algorithm is fixed: what a token says of
// its algorithm must agree and chooses nothing.
type Key struct {
	ID        string  `json:"id" toml:"id"`
	Kind      Kind    `json:"kind" toml:"kind"`
	Alg       string  `json:"alg,omitempty" toml:"alg"`           // JWS: HS256, ES256, EdDSA or RS256
	Secret    string  `json:"secret,omitempty" toml:"secret"`     // base64, of HS256 and HMAC keys; 32 bytes at least
	Public    string  `json:"public,omitempty" toml:"public"`     // PEM, of the others
	Private   string  `json:"private,omitempty" toml:"private"`   // PEM; only where tokens are issued
	Issuer    string  `json:"issuer,omitempty" toml:"issuer"`     // iss that its tokens must carry
	Audience  string  `json:"audience,omitempty" toml:"audience"` // aud that its tokens must carry, if any
	NotBefore float64 `json:"not_before,omitempty" toml:"not_before"`
	NotAfter  float64 `json:"not_after,omitempty" toml:"not_after"` // Unix seconds; 0: no end
}

const leastSecret = 32

// Ring is a set of keys ready for use.
type Ring struct {
	keys  map[string]*ready
	order []string
}

type ready struct {
	Key
	secret         []byte
	verify, signer any
}

// errNoSigner tells that a key can only verify.
var errNoSigner = errors.New("token: the key can't sign")

// NewRing checks keys and makes them ready. Errors name the key and the field.
func NewRing(keys []Key) (*Ring, error) {
	r := &Ring{keys: map[string]*ready{}}
	for i, k := range keys {
		where := fmt.Sprintf("key[%d]", i)
		if k.ID == "" || len(k.ID) > 64 {
			return nil, fmt.Errorf("%s.id: 1 to 64 characters", where)
		}
		if r.keys[k.ID] != nil {
			return nil, fmt.Errorf("%s.id: %q is there twice", where, k.ID)
		}
		got, err := k.ready()
		if err != nil {
			return nil, fmt.Errorf("%s.%w", where, err)
		}
		r.keys[k.ID] = got
		r.order = append(r.order, k.ID)
	}
	return r, nil
}

func (k Key) ready() (*ready, error) {
	out := &ready{Key: k}
	switch {
	case k.Kind == HMAC && (k.Alg == "" || k.Alg == "HS256"), k.Kind == JWS && k.Alg == "HS256":
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("secret: no base64")
		}
		if len(secret) < leastSecret {
			return nil, fmt.Errorf("secret: %d bytes, %d at least", len(secret), leastSecret)
		}
		out.secret, out.verify, out.signer = secret, secret, secret
		return out, nil
	case k.Kind == JWS && (k.Alg == "ES256" || k.Alg == "EdDSA" || k.Alg == "RS256"):
	case k.Kind != JWS && k.Kind != HMAC:
		return nil, fmt.Errorf("kind: %q is neither jws nor hmac", k.Kind)
	default:
		return nil, fmt.Errorf("alg: %q does not go with kind %s", k.Alg, k.Kind)
	}
	if k.Private != "" {
		block, _ := pem.Decode([]byte(k.Private))
		if block == nil {
			return nil, fmt.Errorf("private: no PEM")
		}
		key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("private: no PKCS #8 key")
		}
		s, ok := key.(crypto.Signer)
		if !ok || !fits(k.Alg, s.Public()) {
			return nil, fmt.Errorf("private: no key for %s", k.Alg)
		}
		out.signer, out.verify = key, s.Public()
	}
	if k.Public != "" {
		block, _ := pem.Decode([]byte(k.Public))
		if block == nil {
			return nil, fmt.Errorf("public: no PEM")
		}
		key, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil || !fits(k.Alg, key) {
			return nil, fmt.Errorf("public: no key for %s", k.Alg)
		}
		out.verify = key
	}
	if out.verify == nil {
		return nil, fmt.Errorf("public: missing")
	}
	return out, nil
}

func fits(alg string, key any) bool {
	switch key := key.(type) {
	case *ecdsa.PublicKey:
		return alg == "ES256" && key.Curve == elliptic.P256()
	case ed25519.PublicKey:
		return alg == "EdDSA"
	case *rsa.PublicKey:
		return alg == "RS256" && key.N.BitLen() >= 2048
	}
	return false
}

// find gives a key of a kind that is in force at now, in Unix seconds.
func (r *Ring) find(id string, kind Kind, now, leeway float64) (*ready, error) {
	k := r.keys[id]
	if k == nil || k.Kind != kind {
		return nil, reject(BadKey, "unknown key")
	}
	if now < k.NotBefore-leeway || k.NotAfter > 0 && now > k.NotAfter+leeway {
		return nil, reject(BadKey, "the key is not in force")
	}
	return k, nil
}

// Signer gives the id of the newest key of a kind that signs at now, in Unix seconds: during a
// rotation the old key goes on verifying until its own end.
func (r *Ring) Signer(kind Kind, now float64) (id string, err error) {
	var best *ready
	for _, name := range r.order {
		k := r.keys[name]
		if k.Kind == kind && k.signer != nil && now >= k.NotBefore && (k.NotAfter == 0 || now <= k.NotAfter) &&
			(best == nil || k.NotBefore >= best.NotBefore) {
			best = k
		}
	}
	if best == nil {
		return "", errNoSigner
	}
	return best.ID, nil
}

// algs lists what a package's header may say, before the key is known.
var algs = []jose.SignatureAlgorithm{jose.HS256, jose.ES256, jose.EdDSA, jose.RS256}
