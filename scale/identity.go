package scale

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"turnfork.dev/turnfork/internal/hollow"
)

// certificateTTL is the validity of the certificates of a run.
const certificateTTL = 24 * time.Hour

// Identity is the DER-encoded certificate and key of a process, with the certificate authority that it trusts.
type Identity struct {
	Authority   []byte `json:"authority"`
	Certificate []byte `json:"certificate"`
	Key         []byte `json:"key"`
}

// TLS returns a configuration for mutual TLS with the identity.
func (i Identity) TLS() (*tls.Config, error) {
	key, err := x509.ParsePKCS8PrivateKey(i.Key)
	if err != nil {
		return nil, fmt.Errorf("scale: identity: %w", err)
	}
	authority, err := x509.ParseCertificate(i.Authority)
	if err != nil {
		return nil, fmt.Errorf("scale: identity: %w", err)
	}
	trusted := x509.NewCertPool()
	trusted.AddCert(authority)
	certificate := tls.Certificate{Certificate: [][]byte{i.Certificate}, PrivateKey: key}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: trusted, ClientCAs: trusted, MinVersion: tls.VersionTLS13,
	}, nil
}

// writeFiles writes the identity to a directory, under the file names that hollow.SubscriptionText refers to.
func (i Identity) writeFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("scale: identity: %w", err)
	}
	for name, block := range map[string]*pem.Block{
		hollow.AuthorityFile:   {Type: "CERTIFICATE", Bytes: i.Authority},
		hollow.CertificateFile: {Type: "CERTIFICATE", Bytes: i.Certificate},
		hollow.KeyFile:         {Type: "PRIVATE KEY", Bytes: i.Key},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			return fmt.Errorf("scale: identity: %w", err)
		}
	}
	return nil
}

// Authority is a certificate authority for the processes of a run.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	addresses   []net.IP
}

// NewAuthority creates an authority whose certificates are valid for the given IP addresses.
func NewAuthority(addresses []net.IP) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("scale: authority: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "scale rig"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateTTL), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("scale: authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("scale: authority: %w", err)
	}
	return &Authority{key: key, certificate: certificate, addresses: addresses}, nil
}

// Issue creates an identity with the given common name.
func (a *Authority) Issue(name string) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, fmt.Errorf("scale: key of %s: %w", name, err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return Identity{}, fmt.Errorf("scale: serial of %s: %w", name, err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: a.certificate.NotBefore,
		NotAfter: a.certificate.NotAfter, IPAddresses: a.addresses, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Identity{}, fmt.Errorf("scale: certificate of %s: %w", name, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Identity{}, fmt.Errorf("scale: key of %s: %w", name, err)
	}
	return Identity{Authority: a.certificate.Raw, Certificate: certificate, Key: encoded}, nil
}
