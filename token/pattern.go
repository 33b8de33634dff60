package token

import (
	"crypto/sha256"
	"encoding/base64"
	"regexp"
	"strings"
)

// Form is how a pattern names URIs.
type Form uint8

// The forms.
const (
	Exact  Form = iota
	Prefix      // of characters
	Glob        // * any characters, ? one
	Posix       // a POSIX extended regular expression that must cover all
	Digest      // RFC 6920's segment form of SHA-256
)

// Pattern names URIs that a grant is for.
type Pattern struct {
	Form Form
	Text string
	Path bool     // it speaks of the path alone, not of the whole URI
	Less []string // parameters of the token's own, which the URI is read without
	expr *regexp.Regexp
}

// Bounds of patterns.
const (
	patternMost  = 1 << 10
	patternsMost = 32
)

// Compile checks a pattern and makes it ready.
func (p *Pattern) Compile() error {
	if len(p.Text) > patternMost {
		return Reject(Malformed, "a pattern is too long")
	}
	if p.Form != Posix {
		return nil
	}
	var err error // expressions run in linear time
	if p.expr, err = regexp.CompilePOSIX(p.Text); err != nil {
		return Reject(Malformed, "no POSIX regular expression")
	}
	return nil
}

// Compile checks patterns and makes them ready.
func Compile(ps ...Pattern) ([]Pattern, error) {
	if len(ps) > patternsMost {
		return nil, Reject(Malformed, "too many patterns")
	}
	for i := range ps {
		if err := ps[i].Compile(); err != nil {
			return nil, err
		}
	}
	return ps, nil
}

func (p *Pattern) match(q *Request) bool {
	text := q.Path
	if !p.Path {
		text = q.URI(p.Less...)
	}
	switch p.Form {
	case Exact:
		return text == p.Text
	case Prefix:
		return strings.HasPrefix(text, p.Text)
	case Glob:
		return glob(p.Text, text)
	case Posix:
		at := p.expr.FindStringIndex(text)
		return at != nil && at[0] == 0 && at[1] == len(text)
	case Digest:
		return Same(p.Text, DigestOf(text))
	}
	return false
}

// DigestOf is the digest of a URI in RFC 6920's segment form.
func DigestOf(uri string) string {
	sum := sha256.Sum256([]byte(uri))
	return "sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])
}

// glob matches in time linear in the product of the lengths, with no recursion.
func glob(pattern, text string) bool {
	p, t, star, mark := 0, 0, -1, 0
	for t < len(text) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, mark = p, t
			p++
		case p < len(pattern) && (pattern[p] == '?' || pattern[p] == text[t]):
			p++
			t++
		case star >= 0:
			mark++
			p, t = star+1, mark
		default:
			return false
		}
	}
	for p < len(pattern) && pattern[p] == '*' {
		p++
	}
	return p == len(pattern)
}
