package fakestore

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"
)

// NewAuthority generates a certificate authority and returns a function that issues TLS settings for one member each: a
// certificate for 127.0.0.1 and extraIPs, with the authority as the only root.
func NewAuthority(extraIPs ...net.IP) (func() (*tls.Config, error), error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "members"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	root, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	return func() (*tls.Config, error) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
		if err != nil {
			return nil, err
		}
		leaf := &x509.Certificate{
			SerialNumber: serial, NotBefore: ca.NotBefore, NotAfter: ca.NotAfter,
			IPAddresses: append([]net.IP{net.IPv4(127, 0, 0, 1)}, extraIPs...),
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		der, err := x509.CreateCertificate(rand.Reader, leaf, root, &key.PublicKey, caKey)
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			Certificates: []tls.Certificate{{Certificate: [][]byte{der, root.Raw}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		}, nil
	}, nil
}
