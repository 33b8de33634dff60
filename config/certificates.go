package config

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
)

const (
	pemBegin         = "-----BEGIN "
	pemBoundary      = "-----"
	pemCertificate   = "CERTIFICATE"
	pemBoundaryStart = "-"
)

// errIncompletePEM is returned for a file of certificates or keys that is truncated or damaged.
var errIncompletePEM = errors.New("truncated, or no complete PEM blocks")

// TLS reads the certificates for the connections of the replicated store.
func (o *Operator) TLS() (*tls.Config, error) {
	cert, err := o.keyPair()
	if err != nil {
		return nil, err
	}
	ca, err := o.readPEM("replica.ca_file", o.Replica.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("config: replica.ca_file: %s: no certificate", o.Path(o.Replica.CA))
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool}, nil
}

// keyPair reads this member's certificate and private key.
func (o *Operator) keyPair() (tls.Certificate, error) {
	chain, err := o.readPEM("replica.cert_file", o.Replica.Cert)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := o.readPEM("replica.key_file", o.Replica.Key)
	if err != nil {
		return tls.Certificate{}, err
	}
	cert, err := tls.X509KeyPair(chain, key)
	if err != nil {
		certPath, keyPath := o.Path(o.Replica.Cert), o.Path(o.Replica.Key)
		return tls.Certificate{}, fmt.Errorf("config: replica.cert_file: %s, replica.key_file: %s: %w", certPath, keyPath, err)
	}
	return cert, nil
}

// readPEM reads a file of certificates or keys and rejects an incomplete one: the standard library skips damaged blocks, so a
// truncated file could lose a certificate authority unnoticed. Errors name the field and the file.
func (o *Operator) readPEM(field, name string) ([]byte, error) {
	path := o.Path(name)
	text, err := readFile(path)
	if err == nil {
		err = checkPEM(text)
	}
	if err != nil {
		return nil, fmt.Errorf("config: %s: %s: %w", field, path, err)
	}
	return text, nil
}

// checkPEM checks that every PEM block of a text is complete, and that its certificates can be parsed.
func checkPEM(text []byte) error {
	blocks, rest := 0, text
	for {
		block, more := pem.Decode(rest)
		if block == nil {
			break
		}
		blocks++
		rest = more
		if block.Type != pemCertificate {
			continue
		}
		if _, err := x509.ParseCertificate(block.Bytes); err != nil {
			return fmt.Errorf("certificate %d: %w", blocks, err)
		}
	}
	allDecoded := blocks > 0 && blocks == bytes.Count(text, []byte(pemBegin))
	truncatedBoundary := bytes.Contains(rest, []byte(pemBoundary)) || bytes.HasSuffix(bytes.TrimSpace(rest), []byte(pemBoundaryStart))
	if !allDecoded || truncatedBoundary {
		return errIncompletePEM
	}
	return nil
}
