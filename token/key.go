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

// Kind names a dialect, as the operator's file and the API do.
type Kind string

// The kinds.
const (
	JWS        Kind = "jws"        // URI Signing packages (RFC 9246)
	HMAC       Kind = "hmac"       // turnfork's own signed URLs
	EdgeAuth   Kind = "edgeauth"   // Akamai EdgeAuth Token 2.0
	CloudFront Kind = "cloudfront" // CloudFront signed URLs and cookies
	CloudCDN   Kind = "cloudcdn"   // Cloud CDN signed URLs and cookies
	Presign    Kind = "presign"    // AWS Signature Version 4 in the query
	CAT        Kind = "cat"        // Common Access Token (CTA-5007)
)

// Key is one signing key as the operator writes it. Its dialect and its algorithm are fixed: what a token says of them
// must agree and chooses nothing.
type Key struct {
	ID        string  `json:"id" toml:"id"`
	Kind      Kind    `json:"kind" toml:"kind"`
	Alg       string  `json:"alg,omitempty" toml:"alg"`             // where the dialect leaves a choice
	Secret    string  `json:"secret,omitempty" toml:"secret"`       // of shared secrets, as the dialect writes them
	Public    string  `json:"public,omitempty" toml:"public"`       // PEM, of the others
	Private   string  `json:"private,omitempty" toml:"private"`     // PEM; only where tokens are issued
	Issuer    string  `json:"issuer,omitempty" toml:"issuer"`       // jws: iss that its tokens must carry
	Audience  string  `json:"audience,omitempty" toml:"audience"`   // jws: aud that its tokens must carry, if any
	IPSecret  string  `json:"ip_secret,omitempty" toml:"ip_secret"` // jws: base64 of 16 or 32 bytes, which seals client addresses
	Param     string  `json:"param,omitempty" toml:"param"`         // edgeauth: the parameter, cookie or header; "": __token__
	Salt      string  `json:"salt,omitempty" toml:"salt"`           // edgeauth: signed, and not in the token
	Region    string  `json:"region,omitempty" toml:"region"`       // presign
	Service   string  `json:"service,omitempty" toml:"service"`     // presign
	NotBefore float64 `json:"not_before,omitempty" toml:"not_before"`
	NotAfter  float64 `json:"not_after,omitempty" toml:"not_after"` // Unix seconds; 0: no end
}

// leastSecret bounds shared secrets, in bytes, where a dialect's specification has no other size.
const minSecretBytes = 32

// IDMost bounds a token's id, in characters.
const IDMost = 128

// Base64 reads the secret of a key as standard base64.
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

// Choice makes a key of the algorithm that its alg names ready: HS256 by a shared secret, any other of the families by a
// key pair.
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

// Bind holds a token's issuer and audience to those of its key, where the key names them; a token for some audience is
// for nobody whose key names none.
func (k Key) Bind(issuer string, audience []string) error {
	switch {
	case k.Issuer != "" && issuer != k.Issuer:
		return Reject(BadClaim, "iss: not the key's issuer")
	case k.Audience == "" && len(audience) > 0, k.Audience != "" && !slices.Contains(audience, k.Audience):
		return Reject(BadClaim, "aud: not for this gateway")
	}
	return nil
}

// Pair reads the private or public key of a key; family tells which the algorithm takes.
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

// Family is a kind of key pair.
type Family uint8

// The families. RSA keys have 2048 bits at least.
const (
	RSA Family = iota
	P256
	Ed25519
)

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

// Material is what a key's text stands for.
type Material struct {
	Shared   []byte // a secret
	Verifier crypto.PublicKey
	Signer   crypto.Signer // nil: it only verifies
	Signs    bool          // it can issue
	Sealing  []byte        // jws: seals client addresses; none: tokens with one are refused
}

// Ready is a key ready for use.
type Ready struct {
	Key
	Material
}

// inForce tells whether a key may verify at now.
func (k *Ready) inForce(now, leeway float64) bool {
	return now >= k.NotBefore-leeway && (k.NotAfter == 0 || now <= k.NotAfter+leeway)
}

// Keys are a dialect's keys at a time.
type Keys struct {
	All    []*Ready
	Now    float64 // Unix seconds
	Leeway float64
}

// Find gives a key that is in force.
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

// InForce gives the keys that are in force.
func (k Keys) InForce() (out []*Ready) {
	for _, r := range k.All {
		if r.inForce(k.Now, k.Leeway) {
			out = append(out, r)
		}
	}
	return out
}
