package token

import (
	"fmt"
	"net/url"
	"strings"
)

// Dialect verifies and issues the tokens of one specification. It authenticates a token and converts it to a grant. No
// dialect checks dates, URIs, methods or addresses against the request: Grant.Check does.
type Dialect interface {
	// Kind returns the dialect's name in keys and requests.
	Kind() Kind
	// LoadKey validates a key and decodes its material. Errors begin with the name of the key's field.
	LoadKey(k Key) (Material, error)
	// Find returns the token of this dialect that a request carries, if any. keys are all keys of the dialect.
	Find(q *Request, keys []*LoadedKey) (FoundToken, bool)
	// Open authenticates a token that Find returned and converts it to a grant.
	Open(q *Request, c FoundToken, keys Keys) (Grant, error)
	// Issue issues a token for terms. The key must be able to sign.
	Issue(k *LoadedKey, t Terms) (Issued, error)
}

// Renewer is a dialect whose tokens can be renewed.
type Renewer interface {
	// Renew returns the token that succeeds the token of a grant at now, in Unix seconds, and the name of the cookie or
	// header to send it in. The successor has the ID of the grant: the claim of the token's single use, its revocation and its
	// limits apply to all tokens that are renewed from it.
	Renew(k *LoadedKey, g *Grant, now float64) (cookie, text string, err error)
}

// FoundToken is a token as found in a request.
type FoundToken struct {
	Text   string
	Params []string // names of the query parameters that belong to the token
	Source Source
	Name   string // name of the header
}

// Source is the part of a request that carries a token.
type Source uint8

// The token sources, in the order in which they are searched.
const (
	InQuery Source = iota
	InHeader
	InCookie
)

// Terms describe a token to be issued.
type Terms struct {
	URI       string  // absolute URI; dialects that sign paths also accept a path with its query; "": none, only with Patterns
	Patterns  string  // pattern in the syntax of the dialect, which is signed in place of the single URI
	ID        string  // id of the token, for dialects that have one
	SingleUse bool    // the token can be used once
	Address   string  // client address or prefix
	Method    string  // "": GET
	Data      string  // opaque data included in the token
	NotBefore float64 // start of validity, in Unix seconds; 0: immediately
	Expires   float64 // end of validity, in Unix seconds
	Now       float64 // time of issue, in Unix seconds
	Renew     int     // lifetime of a renewed token, in seconds; 0: no renewal
}

// AbsoluteURI parses the URI of terms, which must have a scheme and a host, and converts the host to lower case. If alone is set,
// the token may be issued apart from a URL: then the URI may be missing, and an empty one is returned.
func (t Terms) AbsoluteURI(alone bool) (*url.URL, error) {
	u, err := url.Parse(t.URI)
	if err != nil || (u.Scheme == "" || u.Host == "") && !(alone && t.URI == "") {
		return nil, fmt.Errorf("uri: needs a scheme and a host")
	}
	u.Host = strings.ToLower(u.Host)
	return u, nil
}

// AppendQuery appends encoded parameters to the query of a URI.
func AppendQuery(u *url.URL, params string) string {
	if u.RawQuery != "" {
		return u.String() + "&" + params
	}
	return u.String() + "?" + params
}

// Issued is an issued token.
type Issued struct {
	ID    string // id for revocation
	Token string // the token itself, without a URL
	URL   string // the URI with the token in its query; "": the token was issued without a URI
}
