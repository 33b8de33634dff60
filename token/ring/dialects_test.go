package ring

import (
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"turnfork.dev/turnfork/token"
)

const (
	issuedAt = 1000.0
	endsAt   = 2000.0
	someURI  = "https://cdn.example/v1/firmware/7f3a9c21e0b4d655/3"
)

// sample is one dialect's key and what its grants may cover.
type sample struct {
	key   token.Key
	cover string // in place of one URI, so that it covers class firmware; "": the dialect has none
}

func samples(testing.TB) []sample {
	return []sample{
		{token.Key{ID: "j", Kind: token.JWS, Alg: "HS256", Secret: secret}, `https://cdn\.example/v1/firmware/.*`},
		{token.Key{ID: "h", Kind: token.HMAC, Secret: secret}, ""},
		{token.Key{ID: "e", Kind: token.EdgeAuth, Secret: strings.Repeat("0a", 16), Salt: "salt"}, "/v1/tiles/*!/v1/firmware/*"},
	}
}

// sent words a URL as a request.
func sent(t testing.TB, text string) token.Request {
	t.Helper()
	u, err := url.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return token.Request{
		Scheme: u.Scheme, Host: u.Host, Path: u.Path, RawQuery: u.RawQuery, Method: "GET", Addr: netip.MustParseAddr("192.0.2.7"),
	}
}

func ringOf(t testing.TB, list []sample) *Ring {
	t.Helper()
	var keys []token.Key
	for _, s := range list {
		keys = append(keys, s.key)
	}
	r, err := New(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Each dialect issues what it verifies: for its time, its URI and its client alone, and with no character changed.
func TestDialects(t *testing.T) {
	list := samples(t)
	r := ringOf(t, list)
	for _, s := range list {
		t.Run(string(s.key.Kind), func(t *testing.T) {
			got, err := r.Issue(s.key.ID, token.Terms{URI: someURI, Until: endsAt, Now: issuedAt, ID: "n", Single: true})
			if err != nil {
				t.Fatal(err)
			}
			q := sent(t, got.URL)
			g, _, err := r.Verify(q, 1500, 0)
			if err != nil || g.Key != s.key.ID || g.Kind != s.key.Kind || g.ID == "" || g.ID != got.ID || g.Until != endsAt {
				t.Fatalf("%+v %v", g, err)
			}
			for now, want := range map[float64]token.Why{2010: "", 2011: token.Expired} {
				if _, _, err := r.Verify(q, now, 10); err != nil && token.WhyOf(err) != want || err == nil && want != "" {
					t.Errorf("at %v: %v", now, err)
				}
			}
			other := q
			other.Path = strings.Replace(q.Path, "/3", "/4", 1)
			if _, _, err := r.Verify(other, 1500, 0); err == nil {
				t.Error("another path passed")
			}
			changed := 0
			for i := range q.RawQuery {
				other := q
				for _, c := range []byte{'A', 'B', '0', '1', q.RawQuery[i] ^ 1} {
					if c == q.RawQuery[i] || c <= ' ' || c == '%' || c == 0x7f {
						continue
					}
					other.RawQuery = q.RawQuery[:i] + string(c) + q.RawQuery[i+1:]
					changed++
					if _, _, err := r.Verify(other, 1500, 0); err == nil {
						t.Errorf("changed at %d: %q passed", i, other.RawQuery)
					}
				}
			}
			t.Logf("%d changes refused", changed)
			if s.cover == "" {
				return
			}
			wide, err := r.Issue(s.key.ID, token.Terms{URI: someURI, Cover: s.cover, Until: endsAt, Now: issuedAt})
			if err != nil {
				t.Fatal(err)
			}
			for path, ok := range map[string]bool{"/v1/firmware/0000000000000001/0": true, "/v1/ride-end/0000000000000001/0": false} {
				q := sent(t, wide.URL)
				q.Path = path
				if _, _, err := r.Verify(q, 1500, 0); (err == nil) != ok || err != nil && token.WhyOf(err) != token.WrongURI {
					t.Errorf("%s: %v", path, err)
				}
			}
		})
	}
	for i, a := range list { // two tokens of any two dialects
		for _, b := range list[i+1:] {
			x, err1 := r.Issue(a.key.ID, token.Terms{URI: someURI, Until: endsAt, ID: "n"})
			y, err2 := r.Issue(b.key.ID, token.Terms{URI: someURI, Until: endsAt, ID: "n"})
			if err1 != nil || err2 != nil {
				t.Fatal(err1, err2)
			}
			if _, _, err := r.Verify(sent(t, x.URL+"&"+sent(t, y.URL).RawQuery), 1500, 0); token.WhyOf(err) != token.Malformed {
				t.Errorf("%s and %s: %v", a.key.Kind, b.key.Kind, err)
			}
		}
	}
}

// A token bound to an address is good from there alone, and one that starts later not before.
func TestEdgeAuthTerms(t *testing.T) {
	r := ringOf(t, samples(t))
	got, err := r.Issue("e", token.Terms{URI: someURI, Address: "192.0.2.7", From: 1200, Until: endsAt, Data: "d", Single: true, ID: "s"})
	if err != nil {
		t.Fatal(err)
	}
	q := sent(t, got.URL)
	if g, rest, err := r.Verify(q, 1300, 0); err != nil || g.Subject != "s" || rest != nil {
		t.Errorf("%+v %v %v", g, rest, err)
	}
	if _, _, err := r.Verify(q, 1199, 0); token.WhyOf(err) != token.TooEarly {
		t.Error(err)
	}
	q.Addr = netip.MustParseAddr("192.0.2.8")
	if _, _, err := r.Verify(q, 1300, 0); token.WhyOf(err) != token.WrongAddress {
		t.Error(err)
	}
	header := sent(t, someURI)
	header.Header = func(name string) string { return map[string]string{"__token__": got.Token}[name] }
	if _, _, err := r.Verify(header, 1300, 0); err != nil {
		t.Error("in a header:", err)
	}
	cookie := sent(t, someURI)
	cookie.Cookie = header.Header
	if _, _, err := r.Verify(cookie, 1300, 0); err != nil {
		t.Error("in a cookie:", err)
	}
	for _, bad := range []string{"exp=2000", "exp=2000~hmac=", "exp=2000~exp=2000~hmac=00", "acl=/*~exp=2000~hmac=00", "new=1~exp=2~hmac=0"} {
		q := sent(t, someURI+"?__token__="+url.QueryEscape(bad))
		if _, _, err := r.Verify(q, 1300, 0); err == nil {
			t.Errorf("%s passed", bad)
		}
	}
}
