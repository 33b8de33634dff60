package token

import (
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"regexp"
	"strings"
)

// Form is how a pattern names URIs.
type Form uint8

// The forms.
const (
	Exact    Form = iota
	Prefix        // of characters
	Glob          // * any characters, ? one
	Posix         // a POSIX extended regular expression that must cover all
	Digest        // RFC 6920's segment form of SHA-256
	Suffix        // of characters
	Contains      // somewhere
	Sum256        // SHA-256, as bytes
	Sum512        // SHA-512/256, as bytes
)

// Part is what of a URI a pattern speaks of.
type Part uint8

// The parts. A file's name is the last segment of the path; its stem ends before the last dot, and the extension begins
// with it.
const (
	OnURI Part = iota
	OnScheme
	OnHost
	OnPort
	OnPath
	OnQuery
	OnParent
	OnFile
	OnStem
	OnExtension
)

// Pattern names URIs that a grant is for.
type Pattern struct {
	Form Form
	Text string
	On   Part
	Less []string // parameters of the token's own, which URI and query are read without
	expr *regexp.Regexp
}

// Bounds of patterns.
const (
	maxPatternBytes = 1 << 10
	maxPatterns     = 32
)

// Compile checks a pattern and makes it ready.
func (p *Pattern) Compile() error {
	if len(p.Text) > maxPatternBytes {
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
	if len(ps) > maxPatterns {
		return nil, Reject(Malformed, "too many patterns")
	}
	for i := range ps {
		if err := ps[i].Compile(); err != nil {
			return nil, err
		}
	}
	return ps, nil
}

func (p *Pattern) matches(q *Request) bool { return p.matchesText(q.part(p.On, p.Less)) }

// part gives a part of a request's URI.
func (q *Request) part(component Part, excluded []string) string {
	host, port, _ := strings.Cut(strings.ToLower(q.Host), ":")
	nameStart := strings.LastIndexByte(q.Path, '/') + 1
	file := q.Path[nameStart:]
	stem := file
	if dot := strings.LastIndexByte(file, '.'); dot >= 0 {
		stem = file[:dot]
	}
	switch component {
	case OnScheme:
		return q.Scheme
	case OnHost:
		return host
	case OnPort:
		if port == "" {
			port = map[string]string{"http": "80", "https": "443"}[q.Scheme]
		}
		return port
	case OnPath:
		return q.Path
	case OnQuery:
		return rawWithout(q.RawQuery, excluded)
	case OnParent:
		return q.Path[:nameStart]
	case OnFile:
		return file
	case OnStem:
		return stem
	case OnExtension:
		return file[len(stem):]
	}
	return q.URI(excluded...)
}

// fits tells whether a text is as the pattern says.
func (p *Pattern) matchesText(text string) bool {
	switch p.Form {
	case Suffix:
		return strings.HasSuffix(text, p.Text)
	case Contains:
		return strings.Contains(text, p.Text)
	case Sum256:
		sum := sha256.Sum256([]byte(text))
		return Same(p.Text, string(sum[:]))
	case Sum512:
		sum := sha512.Sum512_256([]byte(text))
		return Same(p.Text, string(sum[:]))
	case Exact:
		return text == p.Text
	case Prefix:
		return strings.HasPrefix(text, p.Text)
	case Glob:
		return glob(p.Text, text)
	case Posix:
		location := p.expr.FindStringIndex(text)
		return location != nil && location[0] == 0 && location[1] == len(text)
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
