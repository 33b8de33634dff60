package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"

	"turnfork.dev/turnfork/internal/fakestore"
)

// testKey is a private key as PEM, generated for each run.
var testKey = func() string {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	return fakestore.PrivatePEM(k)
}()
