package cat

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/asn1"
	"fmt"
	"math/big"

	"github.com/fxamacker/cbor/v2"
	"turnfork.dev/turnfork/token"
)

// message is a COSE_Mac0 or COSE_Sign1 message.
type message struct {
	_           struct{} `cbor:",toarray"`
	Protected   []byte
	Unprotected map[int64]any
	Payload     []byte
	Sum         []byte
}

// decode decodes the COSE message of a token and returns its tag. The outer CWT tag is optional.
func decode(text string) (tag uint64, m message, err error) {
	raw, err := base64URL.DecodeString(text)
	if err != nil {
		return 0, m, err
	}
	var outer cbor.RawTag
	if err := decMode.Unmarshal(raw, &outer); err != nil {
		return 0, m, err
	}
	if outer.Number == tagCWT {
		inner := outer.Content
		outer = cbor.RawTag{}
		if err := decMode.Unmarshal(inner, &outer); err != nil {
			return 0, m, err
		}
	}
	return outer.Number, m, decMode.Unmarshal(outer.Content, &m)
}

// signingInput returns the encoded Sig_structure or MAC_structure (RFC 9052, 4.4 and 6.3).
func signingInput(context string, m *message) []byte {
	return must(encMode.Marshal([]any{context, m.Protected, []byte{}, m.Payload}))
}

// verify reports whether the MAC or the signature of a message is valid.
func verify(k *token.LoadedKey, m *message) bool {
	switch pub := k.Verifier.(type) {
	case *ecdsa.PublicKey:
		if len(m.Sum) != 64 {
			return false
		}
		sum := sha256.Sum256(signingInput("Signature1", m))
		return ecdsa.Verify(pub, sum[:], new(big.Int).SetBytes(m.Sum[:32]), new(big.Int).SetBytes(m.Sum[32:]))
	case ed25519.PublicKey:
		return ed25519.Verify(pub, signingInput("Signature1", m), m.Sum)
	}
	return hmac.Equal(m.Sum, mac(k.SharedSecret, m))
}

func mac(secret []byte, m *message) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(signingInput("MAC0", m))
	return h.Sum(nil)
}

// sign signs claims with a key.
func sign(k *token.LoadedKey, claims map[int64]any) (string, error) {
	payload, err := encMode.Marshal(claims)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	protected := must(encMode.Marshal(map[int64]any{headerAlg: algs[k.Alg]}))
	m := message{Protected: protected, Unprotected: map[int64]any{headerKeyID: []byte(k.ID)}, Payload: payload}
	tag := uint64(tagSign1)
	switch k.Alg {
	case "HS256":
		tag, m.Sum = tagMac0, mac(k.SharedSecret, &m)
	case "ES256":
		sum := sha256.Sum256(signingInput("Signature1", &m))
		der, err := k.Signer.Sign(rand.Reader, sum[:], crypto.SHA256)
		if err != nil {
			return "", fmt.Errorf("token: %w", err)
		}
		var rs struct{ R, S *big.Int }
		if _, err := asn1.Unmarshal(der, &rs); err != nil {
			return "", fmt.Errorf("token: %w", err)
		}
		m.Sum = make([]byte, 64)
		rs.R.FillBytes(m.Sum[:32])
		rs.S.FillBytes(m.Sum[32:])
	default:
		if m.Sum, err = k.Signer.Sign(rand.Reader, signingInput("Signature1", &m), crypto.Hash(0)); err != nil {
			return "", fmt.Errorf("token: %w", err)
		}
	}
	raw, err := encMode.Marshal(cbor.Tag{Number: tagCWT, Content: cbor.Tag{Number: tag, Content: m}})
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return base64URL.EncodeToString(raw), nil
}
