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

// MaxIDLength is the maximum length of a token id, in bytes.
const MaxIDLength = 128

// DecodeSecret decodes the secret of a key from standard base64.
func (k Key) DecodeSecret() ([]byte, error) {
	secret, err := base64.StdEncoding.DecodeString(k.Secret)
	if err != nil {
		return nil, fmt.Errorf("secret: no base64")
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("secret: %d bytes, %d at least", len(secret), minSecretBytes)
	}
	return secret, nil
}

// LoadByAlgorithm loads the key material for the algorithm named by alg: a shared secret for HS256, otherwise a key pair of the
// type that keyTypes gives for the algorithm.
func (k Key) LoadByAlgorithm(keyTypes map[string]KeyType) (Material, error) {
	if k.Alg == "HS256" {
		secret, err := k.DecodeSecret()
		return Material{SharedSecret: secret, CanSign: true}, err
	}
	keyType, ok := keyTypes[k.Alg]
	if !ok {
		return Material{}, fmt.Errorf("alg: %q does not go with kind %s", k.Alg, k.Kind)
	}
	return k.LoadKeyPair(keyType)
}

// CheckIssuerAudience checks the issuer and the audience of a token against those of its key. A key without an issuer accepts
// any issuer; a key without an audience accepts only tokens that have no audience.
func (k Key) CheckIssuerAudience(issuer string, audience []string) error {
	switch {
	case k.Issuer != "" && issuer != k.Issuer:
		return Reject(BadClaim, "iss: not the key's issuer")
	case k.Audience == "" && len(audience) > 0, k.Audience != "" && !slices.Contains(audience, k.Audience):
		return Reject(BadClaim, "aud: not for this gateway")
	}
	return nil
}

// LoadKeyPair loads the private or public key of a key. keyType is the type of key pair that the algorithm requires.
func (k Key) LoadKeyPair(keyType KeyType) (Material, error) {
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
		if !ok || !keyType.accepts(s.Public()) {
			return m, fmt.Errorf("private: no key for %s", k.Alg)
		}
		m.Signer, m.Verifier, m.CanSign = s, s.Public(), true
	}
	if k.Public != "" {
		block, _ := pem.Decode([]byte(k.Public))
		if block == nil {
			return m, fmt.Errorf("public: no PEM")
		}
		key, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil || !keyType.accepts(key) {
			return m, fmt.Errorf("public: no key for %s", k.Alg)
		}
		m.Verifier = key
	}
	if m.Verifier == nil {
		return m, fmt.Errorf("public: missing")
	}
	return m, nil
}

// KeyType is a type of key pair.
type KeyType uint8

// The types of key pairs. RSA keys must have at least 2048 bits.
const (
	RSA KeyType = iota
	P256
	Ed25519
)

// accepts reports whether a public key has this type.
func (f KeyType) accepts(key any) bool {
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
	SharedSecret []byte // shared secret; nil for a key pair
	Verifier     crypto.PublicKey
	Signer       crypto.Signer // nil: there is no private key
	CanSign      bool          // the key can issue tokens
	AddressKey   []byte        // jws: key that encrypts client addresses; nil: tokens with an address are rejected
}

// LoadedKey is a validated key with its decoded material.
type LoadedKey struct {
	Key
	Material
}

// inForce reports whether a key may verify tokens at now.
func (k *LoadedKey) inForce(now, leeway float64) bool {
	return now >= k.NotBefore-leeway && (k.NotAfter == 0 || now <= k.NotAfter+leeway)
}

// Keys are the keys of a dialect and the time at which their validity is checked.
type Keys struct {
	All    []*LoadedKey
	Now    float64 // Unix seconds
	Leeway float64 // seconds of clock skew to tolerate
}

// Lookup returns the key with an id, provided that it is valid at k.Now.
func (k Keys) Lookup(id string) (*LoadedKey, error) {
	for _, r := range k.All {
		if r.ID != id {
			continue
		}
		if !r.inForce(k.Now, k.Leeway) {
			return nil, Reject(UnknownKey, "the key is not in force")
		}
		return r, nil
	}
	return nil, Reject(UnknownKey, "unknown key")
}

// InForce returns the keys that are valid at k.Now.
func (k Keys) InForce() (out []*LoadedKey) {
	for _, r := range k.All {
		if r.inForce(k.Now, k.Leeway) {
			out = append(out, r)
		}
	}
	return out
}
