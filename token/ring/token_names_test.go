package ring

import (
	"slices"
	"testing"

	"turnfork.dev/turnfork/token"
)

// namedTerms returns the terms under which TestTokenNames issues tokens of a dialect.
func namedTerms(s sample) map[string]token.Terms {
	uri := token.Terms{URI: someURI, Expires: endsAt, Now: issuedAt, ID: "n", Renew: 600}
	terms := map[string]token.Terms{}
	add := func(name string, change func(*token.Terms)) {
		t := uri
		change(&t)
		terms[name] = t
	}
	add("single use", func(t *token.Terms) { t.SingleUse = true })
	add("URI", func(*token.Terms) {})
	if s.key.Kind != token.HMAC { // its tokens always have a nonce
		add("without id", func(t *token.Terms) { t.ID = "" })
	}
	if s.patterns != "" {
		add("patterns", func(t *token.Terms) { t.Patterns = s.patterns })
	}
	return terms
}

// renewable reports whether tokens of a dialect can be renewed.
func renewable(k token.Kind) bool {
	_, ok := dialectOf(k).(token.Renewer)
	return ok
}

// Guards against a token that has several names. The id told at issue, by which an operator revokes the token, must be the one that
// the token is claimed, limited and checked by, and all tokens that are renewed from it must have it too.
func TestTokenNames(t *testing.T) {
	list := samples(t)
	r := newRing(t, list)
	for _, kind := range Kinds() {
		if !slices.ContainsFunc(list, func(s sample) bool { return s.key.Kind == kind }) {
			t.Errorf("no sample of kind %s", kind)
		}
	}
	for _, s := range list {
		for terms, issueTerms := range namedTerms(s) {
			t.Run(string(s.key.Kind)+s.key.Alg+"/"+terms, func(t *testing.T) {
				issued, err := r.Issue(s.key.ID, issueTerms)
				if err != nil {
					t.Fatal(err)
				}
				g, _, err := r.Verify(requestTo(t, issued.URL), 1500, 0)
				if err != nil {
					t.Fatal(err)
				}
				name := g.UseKey()
				if issued.ID == "" || name != (token.Grant{Key: s.key.ID, ID: issued.ID}).UseKey() {
					t.Errorf("issued with id %q, but its name is %q", issued.ID, name)
				}
				if !renewable(s.key.Kind) {
					return
				}
				for now := 1600.0; now < 4000; now += 500 {
					g = renewedGrant(t, r, g, now)
					if g.UseKey() != name {
						t.Fatalf("renewed at %v: its name is %q, not %q", now, g.UseKey(), name)
					}
				}
			})
		}
	}
}

// renewedGrant renews a token at now and returns the grant of its successor.
func renewedGrant(t testing.TB, r *Ring, g token.Grant, now float64) token.Grant {
	t.Helper()
	cookie, text, err := r.Renew(&g, now)
	if err != nil {
		t.Fatal(err)
	}
	q := requestTo(t, someURI)
	q.Cookie = singleValue(cookie, text)
	next, _, err := r.Verify(q, now+1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if next.Expires <= g.Expires {
		t.Fatalf("renewed at %v: it expires at %v, not after %v", now, next.Expires, g.Expires)
	}
	return next
}

// Guards against two riders with one token: two tokens that are issued for the same terms in the same second must have names of their
// own wherever the dialect has ids, or the ride of one rider uses up the token of the other.
func TestTokensIssuedAtOnceHaveTheirOwnNames(t *testing.T) {
	list := samples(t)
	r := newRing(t, list)
	for _, s := range list {
		if s.key.Kind != token.CAT {
			continue
		}
		names := map[string]bool{}
		for _, id := range []string{"first", "second"} {
			issued, err := r.Issue(s.key.ID, token.Terms{URI: someURI, Patterns: s.patterns, Expires: endsAt, Now: issuedAt, ID: id, Renew: 600})
			if err != nil {
				t.Fatal(err)
			}
			g, _, err := r.Verify(requestTo(t, issued.URL), 1500, 0)
			if err != nil || g.MaxUses != 0 {
				t.Fatalf("%+v %v", g, err)
			}
			names[g.UseKey()] = true
		}
		if len(names) != 2 {
			t.Errorf("%s %s: two tokens have the name %v", s.key.Kind, s.key.Alg, names)
		}
	}
}
