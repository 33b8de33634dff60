package rig2

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// Certificates writes ca.pem, member.pem and member.key to the private folder, for members on 127.0.0.1.
func (c *Case) Certificates() {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Must(err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "members"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	ca, err := x509.CreateCertificate(rand.Reader, authority, authority, &caKey.PublicKey, caKey)
	c.Must(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Must(err)
	member := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "member"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, member, authority, &key.PublicKey, caKey)
	c.Must(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Must(err)
	c.Write("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca})))
	c.Write("member.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})))
	c.Write("member.key", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})))
}
