package ring

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"net/netip"
	"strings"
	"testing"

	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/jws"
)

var secret = base64.StdEncoding.EncodeToString([]byte(strings.Repeat("s", 32)))

// publicPEM returns a public key in PEM.
func publicPEM(t testing.TB, key any) string {
	der, err := x509.MarshalPKIXPublicKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der}))
}

// uri is the canonical form of the URI in request.
const uri = "https://cdn.example/v1/firmware/7f3a9c21e0b4d655/3"

// request returns a request for uri with a URI Signing package in the query.
func request(packageText string) token.Request {
	return token.Request{Scheme: "https", Host: "CDN.example", Path: "/v1/firmware/7f3a9c21e0b4d655/3", RawQuery: jws.Param + "=" + packageText}
}

// TestAlgorithms checks that tokens of each algorithm verify with the public keys, and that a key rejects tokens of another
// algorithm, in particular HS256 tokens whose shared secret is the public key of an RS256 key (algorithm confusion).
func TestAlgorithms(t *testing.T) {
	ec, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	edPub, ed, _ := ed25519.GenerateKey(rand.Reader)
	rs := fakestore.SharedRSAKey()
	keys := []token.Key{
		{ID: "a", Kind: token.JWS, Alg: "HS256", Secret: secret}, {ID: "b", Kind: token.JWS, Alg: "ES256", Private: fakestore.PrivatePEM(ec)},
		{ID: "c", Kind: token.JWS, Alg: "EdDSA", Private: fakestore.PrivatePEM(ed)}, {ID: "d", Kind: token.JWS, Alg: "RS256", Private: fakestore.PrivatePEM(rs)},
	}
	signers, err := New(keys)
	if err != nil {
		t.Fatal(err)
	}
	verifiers, err := New([]token.Key{
		keys[0], {ID: "b", Kind: token.JWS, Alg: "ES256", Public: publicPEM(t, &ec.PublicKey)},
		{ID: "c", Kind: token.JWS, Alg: "EdDSA", Public: publicPEM(t, edPub)}, {ID: "d", Kind: token.JWS, Alg: "RS256", Public: publicPEM(t, &rs.PublicKey)},
	})
	if err != nil {
		t.Fatal(err)
	}
	exp := 1000.0
	for _, k := range keys {
		p, err := signers.SignClaims(k.ID, jws.Claims{Expires: &exp, Container: jws.HashContainer(uri), ID: "j"})
		if err != nil {
			t.Fatal(k.ID, err)
		}
		if g, _, err := verifiers.Verify(request(p), 999, 0); err != nil || g.UseKey() != k.ID+"/j" {
			t.Errorf("%s: %+v %v", k.Alg, g, err)
		}
	}
	attacker, _ := New([]token.Key{{ID: "d", Kind: token.JWS, Alg: "HS256", Secret: base64.StdEncoding.EncodeToString([]byte(publicPEM(t, &rs.PublicKey)))}})
	p, _ := attacker.SignClaims("d", jws.Claims{Expires: &exp, Container: jws.HashContainer(uri)})
	if _, _, err := verifiers.Verify(request(p), 999, 0); token.ReasonOf(err) != token.BadSignature {
		t.Errorf("an HS256 token under an RS256 key: %v", err)
	}
}

// TestKeyRotation checks which key signs during a rotation, that the old key verifies until its not_after plus the leeway,
// and that changed URLs are rejected.
func TestKeyRotation(t *testing.T) {
	r, err := New([]token.Key{
		{ID: "old", Kind: token.HMAC, Secret: secret, NotAfter: 1000}, {ID: "new", Kind: token.HMAC, Secret: secret, NotBefore: 500},
	})
	if err != nil {
		t.Fatal(err)
	}
	for now, want := range map[float64]string{400: "old", 600: "new", 2000: "new"} {
		if id, _ := r.SigningKeyID(token.HMAC, now); id != want {
			t.Errorf("at %v: key %q signs", now, id)
		}
	}
	u, _ := r.Issue("old", token.Terms{URI: "/v1/a/b/0?kb=4.5&group=7", Expires: 5000, ID: "n"})
	path, q, _ := strings.Cut(u.URL, "?")
	if _, rest, err := r.Verify(token.Request{Path: path, RawQuery: q}, 1009, 10); err != nil || rest.Get("group") != "7" {
		t.Error("not_after within the leeway:", err)
	}
	if _, _, err := r.Verify(token.Request{Path: path, RawQuery: q}, 1011, 10); token.ReasonOf(err) != token.UnknownKey {
		t.Error("after not_after and the leeway:", err)
	}
	for _, forged := range []string{
		strings.Replace(q, "kb=4.5", "kb=9", 1), q + "&more=1", strings.Replace(q, "group=7&", "", 1),
		strings.Replace(q, "nonce=n", "nonce=m", 1), strings.Replace(q, "expires=5000", "expires=6000", 1),
		strings.Replace(q, "keyid=old", "keyid=new", 1),
	} {
		if _, _, err := r.Verify(token.Request{Path: path, RawQuery: forged}, 900, 10); token.ReasonOf(err) != token.BadSignature {
			t.Errorf("%s: %v", forged, err)
		}
	}
}

// TestRenewal checks that a renewed package keeps its claims and has a later expiry.
func TestRenewal(t *testing.T) {
	r, _ := New([]token.Key{{ID: "k", Kind: token.JWS, Alg: "HS256", Secret: secret}})
	exp := 100.0
	p, err := r.SignClaims("k", jws.Claims{Expires: &exp, Container: "regex:https://cdn\\.example/.*", Transport: 1, Renew: 60, ID: "j"})
	if err != nil {
		t.Fatal(err)
	}
	g, _, err := r.Verify(request(p), 90, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, next, err := r.Renew(&g, 90)
	if err != nil {
		t.Fatal(err)
	}
	q := request("")
	q.RawQuery, q.Cookie = "", singleValue(jws.Param, next)
	if g, _, err := r.Verify(q, 149, 0); err != nil || g.Expires != 150 || g.ID != "j" {
		t.Errorf("%+v %v", g, err)
	}
}

// FuzzVerify checks that no path and query verify except for those of the signed URL.
func FuzzVerify(f *testing.F) {
	r, _ := New([]token.Key{{ID: "k", Kind: token.HMAC, Secret: secret}, {ID: "p", Kind: token.JWS, Alg: "HS256", Secret: secret}})
	u, _ := r.Issue("k", token.Terms{URI: "/v1/a/b/0", Expires: 100, ID: "n"})
	_, good, _ := strings.Cut(u.URL, "?")
	f.Add("/v1/a/b/0", good)
	f.Add("/v1/a/b/0", jws.Param+"=a.b.c")
	f.Add("/v1/%61/b/0", "expires=1&expires=2")
	f.Fuzz(func(t *testing.T, path, query string) {
		g, _, err := r.Verify(token.Request{Scheme: "http", Host: "h", Path: path, RawQuery: query}, 50, 1)
		if err == nil && (path != "/v1/a/b/0" || g.ID != "n") {
			t.Errorf("forged token accepted: %q %q", path, query)
		}
	})
}

// TestPackageClaims checks packages that are bound to an encrypted client address, critical and invalid claims, and repeated
// renewal.
func TestPackageClaims(t *testing.T) {
	ipSecret := base64.StdEncoding.EncodeToString([]byte("sixteen bytes..."))
	r, err := New([]token.Key{
		{ID: "k", Kind: token.JWS, Alg: "HS256", Secret: secret, IPSecret: ipSecret}, {ID: "no-ip-secret", Kind: token.JWS, Alg: "HS256", Secret: secret},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		bound, from string
		want        token.RejectionReason
	}{
		{"192.0.2.7", "192.0.2.7", ""}, {"192.0.2.7", "192.0.2.8", token.WrongAddress}, {"192.0.2.0/24", "192.0.2.8", ""},
		{"2001:db8::/32", "2001:db8::9", ""}, {"2001:db8::/32", "2001:db9::9", token.WrongAddress},
	} {
		got, err := r.Issue("k", token.Terms{URI: uri, Expires: 1000, Address: x.bound})
		if err != nil {
			t.Fatal(err)
		}
		q := request(got.Token)
		q.Addr = netip.MustParseAddr(x.from)
		if _, _, err := r.Verify(q, 999, 0); x.want == "" && err != nil || x.want != "" && token.ReasonOf(err) != x.want {
			t.Errorf("%s from %s: %v", x.bound, x.from, err)
		}
		if _, err := r.Issue("no-ip-secret", token.Terms{URI: uri, Expires: 1000, Address: x.bound}); err == nil {
			t.Error("address encrypted by a key without ip_secret")
		}
	}
	exp, one := 1000.0, 1
	for name, x := range map[string]struct {
		key    string
		claims jws.Claims
		want   token.RejectionReason
	}{
		"address, key without ip_secret": {"no-ip-secret", jws.Claims{ClientIP: "x.y"}, token.BadClaim},
		"address, malformed":             {"k", jws.Claims{ClientIP: "x.y"}, token.Malformed},
		"critical":                       {"k", jws.Claims{Critical: []string{"exp", "cdniuc"}}, ""},
		"critical, absent":               {"k", jws.Claims{Critical: []string{"cdniip"}}, token.Malformed},
		"critical, repeated":             {"k", jws.Claims{Critical: []string{"exp", "exp"}}, token.Malformed},
		"critical, unknown":              {"k", jws.Claims{Critical: []string{"cdnicrit", "cdnicritical"}}, token.BadClaim},
		"transport by query":             {"k", jws.Claims{Transport: 2, Renew: 5}, token.BadClaim},
		"transport, no renewal":          {"k", jws.Claims{Transport: 1}, token.BadClaim},
		"negative depth":                 {"k", jws.Claims{Transport: 1, Renew: 5, Depth: -1}, token.Malformed},
		"version":                        {"k", jws.Claims{Version: &one}, ""},
	} {
		x.claims.Expires, x.claims.Container = &exp, jws.HashContainer(uri)
		p, err := r.SignClaims(x.key, x.claims)
		if err != nil {
			t.Fatal(name, err)
		}
		if _, _, err := r.Verify(request(p), 999, 0); x.want == "" && err != nil || x.want != "" && token.ReasonOf(err) != x.want {
			t.Errorf("%s: %v", name, err)
		}
	}
	next, err := r.SignClaims("k", jws.Claims{Expires: &exp, Container: jws.HashContainer(uri), Transport: 1, Renew: 60, Depth: 2, ID: "j", Critical: []string{"exp"}})
	for now := 990.0; now < 1200; now += 50 { // each package is renewed before it expires
		if err != nil {
			t.Fatal(err)
		}
		g, _, bad := r.Verify(request(next), now, 0)
		if bad != nil || g.ID != "j" || g.Renewal.CookiePathDepth != 2 {
			t.Fatalf("at %v: %+v %v", now, g, bad)
		}
		if _, _, bad = r.Verify(request(next), g.Expires+1, 0); token.ReasonOf(bad) != token.Expired {
			t.Errorf("after %v: %v", g.Expires, bad)
		}
		_, next, err = r.Renew(&g, now)
	}
}
