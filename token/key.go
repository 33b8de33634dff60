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
	"fmt"
	"slices"
)

// Kind is the name of a dialect in the operator's file and in the API.
type Kind string

// The kinds, one for each dialect.
const (
	JWS        Kind = "jws"        // URI Signing packages (RFC 9246)
	HMAC       Kind = "hmac"       // signed URLs of turnfork's own dialect
	EdgeAuth   Kind = "edgeauth"   // Akamai EdgeAuth Token 2.0
	CloudFront Kind = "cloudfront" // CloudFront signed URLs and cookies
	CloudCDN   Kind = "cloudcdn"   // Cloud CDN signed URLs and cookies
	Presign    Kind = "presign"    // AWS Signature Version 4 in the query
	CAT        Kind = "cat"        // Common Access Token (CTA-5007)
)

// Key is a signing key as the operator configures it. The key fixes the dialect and the algorithm: the values that a token
// states must agree with it and select nothing.
type Key struct {
	ID        string  `json:"id" toml:"id"`
	Kind      Kind    `json:"kind" toml:"kind"`
	Alg       string  `json:"alg,omitempty" toml:"alg"`               // only for dialects with several algorithms
	Secret    string  `json:"secret,omitempty" toml:"secret"`         // shared secret, in the encoding of the dialect
	Public    string  `json:"public,omitempty" toml:"public"`         // PEM public key, for asymmetric algorithms
	Private   string  `json:"private,omitempty" toml:"private"`       // PEM private key; only needed to issue tokens
	Issuer    string  `json:"issuer,omitempty" toml:"issuer"`         // jws, cat: required iss claim of tokens; "": any
	Audience  string  `json:"audience,omitempty" toml:"audience"`     // jws, cat: required aud claim of tokens; "": tokens must have none
	IPSecret  string  `json:"ip_secret,omitempty" toml:"ip_secret"`   // jws: base64 of the 16 or 32 byte key that encrypts client addresses
	Param     string  `json:"param,omitempty" toml:"param"`           // edgeauth: name of the parameter, cookie or header; "": __token__
	Salt      string  `json:"salt,omitempty" toml:"salt"`             // edgeauth: included in the signature, but not in the token
	Region    string  `json:"region,omitempty" toml:"region"`         // presign
	Service   string  `json:"service,omitempty" toml:"service"`       // presign
	NotBefore float64 `json:"not_before,omitempty" toml:"not_before"` // Unix seconds
	NotAfter  float64 `json:"not_after,omitempty" toml:"not_after"`   // Unix seconds; 0: no expiry
}

// minSecretBytes is the minimum size of shared secrets for dialects whose specification sets no other size.
const minSecretBytes = 32

// IDMost is the maximum length of a token id, in bytes.
const IDMost = 128

// Base64 decodes the secret of a key from standard base64.
func (k Key) Base64() ([]byte, error) {
	secret, err := base64.StdEncoding.DecodeString(k.Secret)
	if err != nil {
		return nil, fmt.Errorf("secret: no base64")
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("secret: %d bytes, %d at least", len(secret), minSecretBytes)
	}
	return secret, nil
}

// Choice loads the key material for the algorithm named by alg: a shared secret for HS256, otherwise a key pair of the
// type that families gives for the algorithm.
func (k Key) Choice(families map[string]Family) (Material, error) {
	if k.Alg == "HS256" {
		secret, err := k.Base64()
		return Material{Shared: secret, Signs: true}, err
	}
	family, ok := families[k.Alg]
	if !ok {
		return Material{}, fmt.Errorf("alg: %q does not go with kind %s", k.Alg, k.Kind)
	}
	return k.Pair(family)
}

// Bind checks the issuer and the audience of a token against those of its key. A key without an issuer accepts any issuer;
// a key without an audience accepts only tokens that have no audience.
func (k Key) Bind(issuer string, audience []string) error {
	switch {
	case k.Issuer != "" && issuer != k.Issuer:
		return Reject(BadClaim, "iss: not the key's issuer")
	case k.Audience == "" && len(audience) > 0, k.Audience != "" && !slices.Contains(audience, k.Audience):
		return Reject(BadClaim, "aud: not for this gateway")
	}
	return nil
}

// Pair loads the private or public key of a key. family is the type of key pair that the algorithm requires.
func (k Key) Pair(family Family) (Material, error) {
	var m Material
	if k.Private != "" {
		block, _ := pem.Decode([]byte(k.Private))
		if block == nil {
			return m, fmt.Errorf("private: no PEM")
		}
		key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
		if err != nil {
			return m, fmt.Errorf("private: no PKCS #8 key")
		}
		s, ok := key.(crypto.Signer)
		if !ok || !family.accepts(s.Public()) {
			return m, fmt.Errorf("private: no key for %s", k.Alg)
		}
		m.Signer, m.Verifier, m.Signs = s, s.Public(), true
	}
	if k.Public != "" {
		block, _ := pem.Decode([]byte(k.Public))
		if block == nil {
			return m, fmt.Errorf("public: no PEM")
		}
		key, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil || !family.accepts(key) {
			return m, fmt.Errorf("public: no key for %s", k.Alg)
		}
		m.Verifier = key
	}
	if m.Verifier == nil {
		return m, fmt.Errorf("public: missing")
	}
	return m, nil
}

// Family is a type of key pair.
type Family uint8

// The types of key pairs. RSA keys must have at least 2048 bits.
const (
	RSA Family = iota
	P256
	Ed25519
)

// accepts reports whether a public key has this type.
func (f Family) accepts(key any) bool {
	switch key := key.(type) {
	case *ecdsa.PublicKey:
		return f == P256 && key.Curve == elliptic.P256()
	case ed25519.PublicKey:
		return f == Ed25519
	case *rsa.PublicKey:
		return f == RSA && key.N.BitLen() >= 2048
	}
	return false
}

// Material is the decoded form of a key's secret or PEM blocks.
type Material struct {
	Shared   []byte // shared secret; nil for a key pair
	Verifier crypto.PublicKey
	Signer   crypto.Signer // nil: there is no private key
	Signs    bool          // the key can issue tokens
	Sealing  []byte        // jws: key that encrypts client addresses; nil: tokens with an address are rejected
}

// Ready is a validated key with its decoded material.
type Ready struct {
	Key
	Material
}

// inForce reports whether a key may verify tokens at now.
func (k *Ready) inForce(now, leeway float64) bool {
	return now >= k.NotBefore-leeway && (k.NotAfter == 0 || now <= k.NotAfter+leeway)
}

// Keys are the keys of a dialect and the time at which their validity is checked.
type Keys struct {
	All    []*Ready
	Now    float64 // Unix seconds
	Leeway float64 // seconds of clock skew to tolerate
}

// Find returns the key with an id, provided that it is valid at k.Now.
func (k Keys) Find(id string) (*Ready, error) {
	for _, r := range k.All {
		if r.ID != id {
			continue
		}
		if !r.inForce(k.Now, k.Leeway) {
			return nil, Reject(BadKey, "the key is not in force")
		}
		return r, nil
	}
	return nil, Reject(BadKey, "unknown key")
}

// InForce returns the keys that are valid at k.Now.
func (k Keys) InForce() (out []*Ready) {
	for _, r := range k.All {
		if r.inForce(k.Now, k.Leeway) {
			out = append(out, r)
		}
	}
	return out
}
