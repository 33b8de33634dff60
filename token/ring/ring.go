// Package ring verifies and issues tokens of all dialects with one set of keys.
package ring

import (
	"errors"
	"fmt"
	"net/url"

	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/cat"
	"turnfork.dev/turnfork/token/cloudcdn"
	"turnfork.dev/turnfork/token/cloudfront"
	"turnfork.dev/turnfork/token/edgeauth"
	"turnfork.dev/turnfork/token/hmacurl"
	"turnfork.dev/turnfork/token/jws"
	"turnfork.dev/turnfork/token/presign"
)

// dialects in the order in which requests are searched for their tokens.
var dialects = []token.Dialect{jws.Dialect{}, hmacurl.Dialect{}, edgeauth.Dialect{}, cloudfront.Dialect{}, cloudcdn.Dialect{}, presign.Dialect{}, cat.Dialect{}}

// Kinds returns the names of the dialects.
func Kinds() (out []token.Kind) {
	for _, d := range dialects {
		out = append(out, d.Kind())
	}
	return out
}

func dialectOf(k token.Kind) token.Dialect {
	for _, d := range dialects {
		if d.Kind() == k {
			return d
		}
	}
	return nil
}

// Ring is a set of validated keys.
type Ring struct {
	keys map[token.Kind][]*token.LoadedKey
	byID map[string]*token.LoadedKey
}

// errNoSigner is the error for issuing a token with an unknown key or one that can only verify.
var errNoSigner = errors.New("token: the key can't sign")

// New validates keys and returns a ring of them. Errors name the key and the field.
func New(keys []token.Key) (*Ring, error) {
	r := &Ring{keys: map[token.Kind][]*token.LoadedKey{}, byID: map[string]*token.LoadedKey{}}
	for i, k := range keys {
		fieldPrefix := fmt.Sprintf("key[%d].", i)
		d := dialectOf(k.Kind)
		switch {
		case k.ID == "" || len(k.ID) > 64:
			return nil, fmt.Errorf("%sid: 1 to 64 characters", fieldPrefix)
		case r.byID[k.ID] != nil:
			return nil, fmt.Errorf("%sid: %q is there twice", fieldPrefix, k.ID)
		case d == nil:
			return nil, fmt.Errorf("%skind: %q is none of %v", fieldPrefix, k.Kind, Kinds())
		}
		m, err := d.LoadKey(k)
		if err != nil {
			return nil, fmt.Errorf("%s%w", fieldPrefix, err)
		}
		loaded := &token.LoadedKey{Key: k, Material: m}
		r.byID[k.ID] = loaded
		r.keys[k.Kind] = append(r.keys[k.Kind], loaded)
	}
	return r, nil
}

// Verify checks the token of a request at now, in Unix seconds. leeway is the clock skew to tolerate, in seconds. A request
// with tokens of two dialects is malformed, even if the ring has no keys for one of them. Verify also returns the part of
// the query that the token covers, without the parameters of the token itself, for use by the frontend.
func (r *Ring) Verify(q token.Request, now, leeway float64) (g token.Grant, rest token.Query, err error) {
	if !token.Canonical(q.Path) {
		return g, nil, token.Reject(token.Malformed, "the path is not in canonical form")
	}
	if q.Query, err = token.ParseQuery(q.RawQuery); err != nil {
		return g, nil, err
	}
	var (
		dialect token.Dialect
		found   token.FoundToken
	)
	for _, d := range dialects {
		c, ok := d.Find(&q, r.keys[d.Kind()])
		if !ok {
			continue
		}
		if dialect != nil {
			return g, nil, token.Reject(token.Malformed, "two tokens")
		}
		dialect, found = d, c
	}
	if dialect == nil {
		return g, nil, token.Reject(token.Missing, "no token")
	}
	if g, err = dialect.Open(&q, found, token.Keys{All: r.keys[dialect.Kind()], Now: now, Leeway: leeway}); err != nil {
		return g, nil, err
	}
	g.Kind = dialect.Kind()
	g.SetID(g.ID)
	switch found.Source {
	case token.InHeader:
		g.VaryHeader = found.Name
	case token.InCookie:
		g.VaryHeader = "Cookie"
	}
	if err = g.Check(&q, now, leeway); err == nil && g.CoversQuery {
		rest = q.Query.Without(found.Params...)
	}
	return g, rest, err
}

// SigningKeyID returns the id of the newest key of a kind that can sign at now, in Unix seconds. During a key rotation the old
// key continues to verify tokens until its not_after.
func (r *Ring) SigningKeyID(kind token.Kind, now float64) (string, error) {
	var newest *token.LoadedKey
	for _, k := range r.keys[kind] {
		if k.CanSign && now >= k.NotBefore && (k.NotAfter == 0 || now <= k.NotAfter) && (newest == nil || k.NotBefore >= newest.NotBefore) {
			newest = k
		}
	}
	if newest == nil {
		return "", errNoSigner
	}
	return newest.ID, nil
}

// Issue issues a token for terms with the key of an id.
func (r *Ring) Issue(id string, t token.Terms) (token.Issued, error) {
	k := r.byID[id]
	if k == nil || !k.CanSign {
		return token.Issued{}, errNoSigner
	}
	u, err := url.Parse(t.URI)
	if t.URI == "" && t.Patterns != "" { // a token for several URIs, issued without a URL
		u = &url.URL{Path: "/v1"}
	}
	if err != nil || !token.Canonical(u.Path) || u.RawPath != "" || u.Fragment != "" {
		return token.Issued{}, fmt.Errorf("uri: not in canonical form")
	}
	if t.Address != "" {
		if _, err := token.ParsePrefix(t.Address); err != nil {
			return token.Issued{}, fmt.Errorf("address: %w", err)
		}
	}
	issued, err := dialectOf(k.Kind).Issue(k, t)
	issued.ID = token.TextID(issued.ID)
	return issued, err
}

// SignClaims signs the claims of a URI Signing package unchanged, with a key of kind jws.
func (r *Ring) SignClaims(id string, c jws.Claims) (string, error) {
	k := r.byID[id]
	if k == nil || k.Kind != token.JWS || !k.CanSign {
		return "", errNoSigner
	}
	return jws.Sign(k, c)
}

// Renew returns the token that succeeds the token of a grant, and the name of the cookie or header to send it in.
func (r *Ring) Renew(g *token.Grant, now float64) (cookie, text string, err error) {
	k := r.byID[g.Key]
	d, ok := dialectOf(g.Kind).(token.Renewer)
	if k == nil || k.Kind != g.Kind || !k.CanSign || !ok {
		return "", "", errNoSigner
	}
	return d.Renew(k, g, now)
}
