package rig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// OperatorSecret is the secret of the operators' calls.
const OperatorSecret = "review-operator-secret"

// Deployment is a small deployment after deploy/signed.toml: gateways, two caches and a main store.
type Deployment struct {
	*Case
	Gateways []*Gateway
	Store    *MainStore
	Caches   []*Cache
	Keys     []Key
}

// Key is a key of the signed front.
type Key struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Alg    string `json:"alg,omitempty"`
	Secret string `json:"secret"`
}

// HMACKey returns a key for turnfork's own signed URLs.
func HMACKey(id string) Key { return Key{ID: id, Kind: "hmac", Secret: newSecret()} }

// CATKey returns a key for Common Access Tokens.
func CATKey(id string) Key { return Key{ID: id, Kind: "cat", Alg: "HS256", Secret: newSecret()} }

func newSecret() string {
	var secret [32]byte
	rand.Read(secret[:])
	return base64.StdEncoding.EncodeToString(secret[:])
}

// Options describe a deployment.
type Options struct {
	Gateways       int
	Replicated     bool // the gateways are the voters of a replicated store
	Keys           []Key
	RideDeadlineMs int
}

// Deploy writes the operators' files and starts the stand-ins. The gateways are not started.
func Deploy(c *Case, o Options) (*Deployment, error) {
	d := &Deployment{Case: c, Keys: o.Keys}
	var err error
	if d.Store, err = startMainStore(c); err != nil {
		return nil, err
	}
	for range 2 {
		cache, err := startCache(c, d.Store)
		if err != nil {
			return nil, err
		}
		d.Caches = append(d.Caches, cache)
	}
	hosts, members := []string{}, ""
	var replicas []string
	for i := range o.Gateways {
		// An address for each gateway, so that no outgoing connection takes its port while it is down.
		host := fmt.Sprintf("127.88.0.%d", i+1)
		addr, err := FreeAddr(host)
		if err != nil {
			return nil, err
		}
		hosts, replicas = append(hosts, host), append(replicas, addr)
		members += fmt.Sprintf("[[replica.member]]\nid = \"phones-%d\"\naddr = %q\n\n", i+1, addr)
	}
	if err := writeCertificates(c.Temp, hosts); err != nil {
		return nil, err
	}
	for i := range o.Gateways {
		g := &Gateway{c: c, Name: fmt.Sprintf("phones-%d", i+1)}
		if g.Signed, err = FreeAddr(hosts[i]); err != nil {
			return nil, err
		}
		if g.Console, err = FreeAddr(hosts[i]); err != nil {
			return nil, err
		}
		text := d.commonSettings(g, o)
		if o.Replicated {
			text += fmt.Sprintf("[replica]\nid = %q\ndir = %q\nlisten = %q\nca_file = \"ca.pem\"\ncert_file = \"%s.pem\"\nkey_file = \"%s.key\"\n\n%s",
				g.Name, "state-"+g.Name, replicas[i], hosts[i], hosts[i], members)
		}
		g.File = filepath.Join(c.Temp, g.Name+".toml")
		if err := os.WriteFile(g.File, []byte(text), 0o600); err != nil {
			return nil, err
		}
		d.Gateways = append(d.Gateways, g)
	}
	return d, nil
}

// commonSettings are those of deploy/signed.toml, with free addresses.
func (d *Deployment) commonSettings(g *Gateway, o Options) string {
	text := fmt.Sprintf(`name = %q
listen = %q
console = %q
leeway_s = 10
token_s = 86400
operator_secret = %q

[limits]
cores = 1
memory_mb = 192
sockets = 1024

[module]
flow_kb_per_s = 3400
gateways = %d
max_retry_after_ms = 500

[[class]]
name = "firmware"
aim_ms = 600
aim_stretch = 2
deadline_ms = 5000
worth = 2
late_worth = 0.15

[[class]]
name = "ride-end"
aim_ms = 700
deadline_ms = %d
worth = 3
write = true

[[store]]
id = 1
kind = "cache"
addr = %q
weight = 12

[[store]]
id = 2
kind = "cache"
addr = %q
weight = 12

[[store]]
id = 20
kind = "origin"
base = "http://%s/rides"
weight = 20

`, g.Name, g.Signed, g.Console, OperatorSecret, o.Gateways, o.RideDeadlineMs, d.Caches[0].Addr, d.Caches[1].Addr, d.Store.Addr)
	for _, key := range o.Keys {
		text += fmt.Sprintf("[[key]]\nid = %q\nkind = %q\nsecret = %q\n", key.ID, key.Kind, key.Secret)
		if key.Alg != "" {
			text += fmt.Sprintf("alg = %q\n", key.Alg)
		}
		text += "\n"
	}
	return text
}

// Link is a signed link.
type Link struct {
	Name   string `json:"-"`
	Key    string `json:"key"`
	ID     string `json:"id"`
	URL    string `json:"url"`
	Token  string `json:"token"`
	Method string `json:"-"`
}

// Issue has a gateway sign a link.
func (d *Deployment) Issue(g *Gateway, request map[string]any) (link Link, err error) {
	if request["seconds"] == nil {
		request["seconds"] = 3600
	}
	answer, err := d.Operate(g, "/-/tokens", request)
	if err != nil {
		return link, err
	}
	return link, json.Unmarshal(answer.Body, &link)
}

// Operate makes an operator's call, which has to succeed.
func (d *Deployment) Operate(g *Gateway, path string, body any) (Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return Response{}, err
	}
	answer := Do("POST", "http://"+g.Signed+path, text, OperatorSecret, 4*time.Second)
	if answer.Status != 200 {
		return answer, fmt.Errorf("%s: %s: %v %s", g.Name, path, answer, answer.Body)
	}
	return answer, nil
}

// StartAll starts all gateways, and waits until they are ready and their replicated state is fresh.
func (d *Deployment) StartAll() error { return StartAll(d.Gateways) }

// StartAll starts gateways, and waits until they are ready and their replicated state is fresh.
func StartAll(gateways []*Gateway) error {
	for _, g := range gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range gateways {
		if err := g.AwaitReady(true, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// writeCertificates writes an authority's certificate, and a certificate and key for each host.
func writeCertificates(dir string, hosts []string) error {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "review"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return err
	}
	if err := writePEM(dir, "ca.pem", "CERTIFICATE", der); err != nil {
		return err
	}
	for i, host := range hosts {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return err
		}
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(int64(i) + 2), Subject: pkix.Name{CommonName: host}, IPAddresses: []net.IP{net.ParseIP(host)},
			NotBefore: authority.NotBefore, NotAfter: authority.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		der, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
		if err != nil {
			return err
		}
		private, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			return err
		}
		if err := writePEM(dir, host+".pem", "CERTIFICATE", der); err != nil {
			return err
		}
		if err := writePEM(dir, host+".key", "PRIVATE KEY", private); err != nil {
			return err
		}
	}
	return nil
}

func writePEM(dir, name, kind string, der []byte) error {
	return os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
