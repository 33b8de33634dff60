package config

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// certificate returns a self-signed CA certificate and its private key, both as PEM.
func certificate(t *testing.T, serial int64) (cert, key []byte) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// Files of certificates and keys are truncated at each byte, and overwritten with 0x00 or 0xff bytes from each sector to the
// end, as a power failure may leave them. The error must name the file unless no content was lost. A bundle truncated between two
// certificates cannot be distinguished from a complete one.
func TestDamagedCertificates(t *testing.T) {
	const sector = 512
	cert, key := certificate(t, 1)
	other, _ := certificate(t, 2)
	files := map[string][]byte{"cert.pem": cert, "key.pem": key, "ca.pem": append(bytes.Clone(cert), other...)}
	dir := t.TempDir()
	o := &Operator{dir: dir}
	o.Replica.Cert, o.Replica.Key, o.Replica.CA = "cert.pem", "key.pem", "ca.pem"
	write := func(name string, content []byte) {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, content := range files {
		write(name, content)
	}
	if _, err := o.TLS(); err != nil {
		t.Fatalf("undamaged: %v", err)
	}
	for name, content := range files {
		expectError := func(what string, damaged []byte) {
			write(name, damaged)
			defer write(name, content)
			if bytes.Equal(bytes.TrimSpace(damaged), bytes.TrimSpace(content)) {
				return
			}
			if _, err := o.TLS(); err == nil || !strings.Contains(err.Error(), filepath.Join(dir, name)) {
				t.Errorf("%s %s: %v", name, what, err)
			}
		}
		for size := range content {
			if name == "ca.pem" && (size == len(cert) || size == len(cert)-1) {
				continue // between two certificates
			}
			expectError("truncated", content[:size])
		}
		for from := 0; from < len(content); from += sector {
			for _, fill := range []byte{0, 0xff} {
				torn := bytes.Clone(content)
				copy(torn[from:], bytes.Repeat([]byte{fill}, len(torn)))
				expectError("partly overwritten", torn)
			}
		}
	}
}
