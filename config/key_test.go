package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"

	"turnfork.dev/turnfork/internal/fakestore"
)

// testKey is made anew for each run.
var testKey = func() string {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	return fakestore.PrivatePEM(k)
}()
