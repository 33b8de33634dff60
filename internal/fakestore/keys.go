package fakestore

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"encoding/pem"
	"sync"
)

// PrivatePEM encodes a private key as PKCS #8 in PEM, the format of operators' key files. It panics if the key type is not
// supported.
func PrivatePEM(key any) string {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		panic(err)
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
}

// SharedRSAKey returns a private key that all tests of a process share, because generating one is slow.
var SharedRSAKey = sync.OnceValue(func() *rsa.PrivateKey {
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		panic(err)
	}
	return key
})
