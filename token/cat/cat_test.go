package cat

import (
	"encoding/base64"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"turnfork.dev/turnfork/token"
)

// testKey returns an HS256 key, and the key set that contains it at the time 1500.
func testKey(t testing.TB) (*token.LoadedKey, token.Keys) {
	k := token.Key{ID: "k", Kind: token.CAT, Alg: "HS256", Secret: base64.StdEncoding.EncodeToString([]byte(strings.Repeat("s", 32))), Issuer: "dala"}
	m, err := (Dialect{}).LoadKey(k)
	if err != nil {
		t.Fatal(err)
	}
	r := &token.LoadedKey{Key: k, Material: m}
	return r, token.Keys{All: []*token.LoadedKey{r}, Now: 1500}
}

func request() *token.Request {
	q := &token.Request{
		Scheme: "https", Host: "cdn.example:8443", Path: "/v1/firmware/7f3a9c21e0b4d655/3", RawQuery: "kb=5", Method: "GET",
		Addr:   netip.MustParseAddr("192.0.2.7"),
		Header: func(n string) string { return map[string]string{"x-app": "rider/2"}[strings.ToLower(n)] },
	}
	return q
}

// m is a CBOR map as decoded by cat.
type m = map[int64]any

// TestClaims checks for each claim which requests it allows and rejects.
func TestClaims(t *testing.T) {
	k, keys := testKey(t)
	withClaims := func(more m) m {
		c := m{claimExp: int64(2000), claimIss: "dala"}
		for n, v := range more {
			c[n] = v
		}
		return c
	}
	for name, x := range map[string]struct {
		claims m
		want   token.RejectionReason
	}{
		"plain":                     {withClaims(nil), ""},
		"no expiry":                 {m{claimIss: "dala"}, token.BadClaim},
		"text as expiry":            {withClaims(m{claimExp: "soon"}), token.Malformed},
		"expired":                   {withClaims(m{claimExp: int64(1499)}), token.Expired},
		"float as expiry":           {withClaims(m{claimExp: 1500.5}), ""},
		"not yet valid":             {withClaims(m{claimNbf: int64(1501)}), token.NotYetValid},
		"issued in the future":      {withClaims(m{claimIat: int64(1501)}), token.NotYetValid},
		"another issuer":            {withClaims(m{claimIss: "x"}), token.BadClaim},
		"an audience":               {withClaims(m{claimAud: []any{"x"}}), token.BadClaim},
		"version 1":                 {withClaims(m{claimVersion: int64(1)}), ""},
		"version 2":                 {withClaims(m{claimVersion: int64(2)}), token.BadClaim},
		"unknown CAT claim":         {withClaims(m{316: "KZ"}), token.BadClaim},
		"unknown other claim":       {withClaims(m{70000: "x"}), ""},
		"empty id":                  {withClaims(m{claimCti: []byte{}}), token.Malformed},
		"method":                    {withClaims(m{claimMethods: []any{"GET"}}), ""},
		"another method":            {withClaims(m{claimMethods: []any{"POST"}}), token.WrongMethod},
		"empty method list":         {withClaims(m{claimMethods: []any{}}), token.BadClaim},
		"address":                   {withClaims(m{claimNetworkIP: []any{cbor.Tag{Number: tagIPv4, Content: []byte{192, 0, 2, 7}}}}), ""},
		"another address":           {withClaims(m{claimNetworkIP: []any{cbor.Tag{Number: tagIPv4, Content: []byte{192, 0, 2, 8}}}}), token.WrongAddress},
		"prefix":                    {withClaims(m{claimNetworkIP: []any{cbor.Tag{Number: tagIPv4, Content: []any{int64(24), []byte{192, 0, 2}}}}}), ""},
		"prefix of IPv6":            {withClaims(m{claimNetworkIP: []any{cbor.Tag{Number: tagIPv6, Content: []any{int64(32), []byte{0x20, 1, 0xd, 0xb8}}}}}), token.WrongAddress},
		"prefix too long":           {withClaims(m{claimNetworkIP: []any{cbor.Tag{Number: tagIPv4, Content: []any{int64(33), []byte{192, 0, 2}}}}}), token.BadClaim},
		"autonomous system":         {withClaims(m{claimNetworkIP: []any{int64(64500)}}), token.BadClaim},
		"header":                    {withClaims(m{claimHeaders: map[string]any{"X-App": m{matchPrefix: "rider/"}}}), ""},
		"another header":            {withClaims(m{claimHeaders: map[string]any{"X-App": m{matchExact: "rider/1"}}}), token.WrongURI},
		"path prefix":               {withClaims(m{claimURI: m{partPath: m{matchPrefix: "/v1/firmware/"}}}), ""},
		"another path":              {withClaims(m{claimURI: m{partPath: m{matchPrefix: "/v1/tiles/"}}}), token.WrongURI},
		"host, port and scheme":     {withClaims(m{claimURI: m{partHost: m{matchExact: "cdn.example"}, 2: m{matchExact: "8443"}, partScheme: m{matchExact: "https"}}}), ""},
		"another port":              {withClaims(m{claimURI: m{partHost: m{matchExact: "cdn.example"}, 2: m{matchExact: "443"}}}), token.WrongURI},
		"query":                     {withClaims(m{claimURI: m{partQuery: m{matchExact: "kb=5"}}}), ""},
		"another query":             {withClaims(m{claimURI: m{partQuery: m{matchExact: "kb=6"}}}), token.WrongURI},
		"parent and file":           {withClaims(m{claimURI: m{5: m{2: "d655/"}, 6: m{matchExact: "3"}, 7: m{matchExact: "3"}, 8: m{matchExact: ""}}}), ""},
		"contains":                  {withClaims(m{claimURI: m{partPath: m{3: "9c21"}}}), ""},
		"expression":                {withClaims(m{claimURI: m{partPath: m{matchRegex: []any{"/v1/[a-z]+/[0-9a-f]{16}/[0-9]+"}}}}), ""},
		"expression, partial match": {withClaims(m{claimURI: m{partPath: m{matchRegex: []any{"/v1/"}}}}), token.WrongURI},
		"expression with group":     {withClaims(m{claimURI: m{partPath: m{matchRegex: []any{"(.*)", "x"}}}}), token.BadClaim},
		"expression, empty":         {withClaims(m{claimURI: m{partPath: m{matchRegex: []any{}}}}), token.BadClaim},
		"expression, invalid":       {withClaims(m{claimURI: m{partPath: m{matchRegex: []any{"("}}}}), token.Malformed},
		"unknown URI component":     {withClaims(m{claimURI: m{9: m{matchExact: ""}}}), token.BadClaim},
		"unknown form of matching":  {withClaims(m{claimURI: m{partPath: m{7: ""}}}), token.BadClaim},
		"empty match":               {withClaims(m{claimURI: m{partPath: m{}}}), token.Malformed},
		"unknown catreplay value":   {withClaims(m{claimReplay: int64(3)}), token.BadClaim},
		"renewal without lifetime":  {withClaims(m{claimRenewal: m{renewType: int64(1)}}), token.BadClaim},
	} {
		text, err := sign(k, x.claims)
		if err != nil {
			t.Fatal(name, err)
		}
		g, err := (Dialect{}).Open(request(), token.FoundToken{Text: text}, keys)
		if err == nil {
			err = g.Check(request(), 1500, 0)
		}
		if x.want == "" && err != nil || x.want != "" && (err == nil || token.ReasonOf(err) != x.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestRenewal checks that a token is renewed only within its renewal window, that the renewed token is sent in the header
// that catr requires, and that its validity starts at the time of renewal.
func TestRenewal(t *testing.T) {
	k, keys := testKey(t)
	text, err := sign(k, m{claimExp: int64(2000), claimIss: "dala", claimCti: []byte("c"), claimRenewal: m{renewType: int64(2), renewAdd: int64(60), renewBefore: int64(100)}})
	if err != nil {
		t.Fatal(err)
	}
	g, err := (Dialect{}).Open(request(), token.FoundToken{Text: text}, keys)
	if err != nil || g.NeedsRenewal(1899) || !g.NeedsRenewal(1900) {
		t.Fatalf("%+v %v", g, err)
	}
	name, next, err := (Dialect{}).Renew(k, &g, 1950)
	if err != nil || name != Header {
		t.Fatal(name, err)
	}
	if g, err := (Dialect{}).Open(request(), token.FoundToken{Text: next}, keys); err != nil || g.Expires != 2010 || g.ID != "c" {
		t.Errorf("%+v %v", g, err)
	}
}

// FuzzOpen checks that Open rejects any input without a panic unless the payload is the signed one.
func FuzzOpen(f *testing.F) {
	k, keys := testKey(f)
	good, err := sign(k, m{claimExp: int64(2000), claimIss: "dala", claimURI: m{partPath: m{matchPrefix: "/v1/"}}})
	if err != nil {
		f.Fatal(err)
	}
	raw, _ := base64URL.DecodeString(good)
	f.Add(raw)
	f.Add([]byte{0xd8, 0x3d, 0xd1, 0x84, 0x40, 0xa0, 0x40, 0x40})
	f.Add([]byte{0xd1, 0x84, 0x43, 0xa1, 0x01, 0x05, 0xa1, 0x04, 0x41, 'k', 0x41, 0xa0, 0x41, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		text := base64URL.EncodeToString(b)
		if _, err := (Dialect{}).Open(request(), token.FoundToken{Text: text}, keys); err == nil {
			_, got, _ := decode(text)
			_, want, _ := decode(good)
			if string(got.Payload) != string(want.Payload) {
				t.Errorf("forged token accepted: %x", b)
			}
		}
	})
}

// FuzzClaims checks that Open and Check process arbitrary claims with a valid signature without a panic.
func FuzzClaims(f *testing.F) {
	k, keys := testKey(f)
	f.Add([]byte{0xa1, 0x04, 0x19, 0x07, 0xd0})
	f.Add([]byte{0xa2, 0x04, 0x19, 0x07, 0xd0, 0x19, 0x01, 0x38, 0xa1, 0x03, 0xa1, 0x04, 0x80})
	f.Fuzz(func(t *testing.T, payload []byte) {
		msg := message{Protected: []byte{0xa1, 0x01, 0x05}, Unprotected: map[int64]any{headerKeyID: []byte("k")}, Payload: payload}
		msg.Sum = mac(k.SharedSecret, &msg)
		raw, err := encMode.Marshal(cbor.Tag{Number: tagMac0, Content: msg})
		if err != nil {
			t.Fatal(err)
		}
		g, err := (Dialect{}).Open(request(), token.FoundToken{Text: base64URL.EncodeToString(raw)}, keys)
		if err == nil {
			g.Check(request(), 1500, 0)
		}
	})
}
