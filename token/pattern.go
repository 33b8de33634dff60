package token

import (
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"regexp"
	"strings"
)

// MatchForm is the way in which a pattern is matched.
type MatchForm uint8

// The forms of matching.
const (
	Exact           MatchForm = iota
	Prefix                    // literal prefix
	Glob                      // * matches any characters, ? exactly one
	Posix                     // POSIX extended regular expression that must match the entire text
	DigestRFC6920             // SHA-256 in the segment form of RFC 6920
	Suffix                    // literal suffix
	Contains                  // literal substring
	DigestSHA256              // SHA-256, as raw bytes
	DigestSHA512256           // SHA-512/256, as raw bytes
)

// Part is the URI component that a pattern is matched against.
type Part uint8

// The URI components. The file name is the last segment of the path. Its stem ends before the last dot; the extension
// begins with that dot.
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

// Pattern matches a URI component or the value of a header.
type Pattern struct {
	Form           MatchForm
	Text           string
	Part           Part
	ExcludedParams []string // query parameters that carry the token, which are removed from URI and query before matching
	expr           *regexp.Regexp
}

// Limits on the patterns of a token.
const (
	maxPatternBytes = 1 << 10
	maxPatterns     = 32
)

// Compile validates a pattern and prepares it for matching.
func (p *Pattern) Compile() error {
	if len(p.Text) > maxPatternBytes {
		return Reject(Malformed, "a pattern is too long")
	}
	if p.Form != Posix {
		return nil
	}
	var err error // package regexp matches in time linear in the length of the text
	if p.expr, err = regexp.CompilePOSIX(p.Text); err != nil {
		return Reject(Malformed, "no POSIX regular expression")
	}
	return nil
}

// Compile validates patterns and prepares them for matching.
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

func (p *Pattern) matches(q *Request) bool { return p.matchesText(q.part(p.Part, p.ExcludedParams)) }

// part returns a component of a request's URI.
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

// matchesText reports whether a text matches the pattern.
func (p *Pattern) matchesText(text string) bool {
	switch p.Form {
	case Suffix:
		return strings.HasSuffix(text, p.Text)
	case Contains:
		return strings.Contains(text, p.Text)
	case DigestSHA256:
		sum := sha256.Sum256([]byte(text))
		return EqualConstantTime(p.Text, string(sum[:]))
	case DigestSHA512256:
		sum := sha512.Sum512_256([]byte(text))
		return EqualConstantTime(p.Text, string(sum[:]))
	case Exact:
		return text == p.Text
	case Prefix:
		return strings.HasPrefix(text, p.Text)
	case Glob:
		return glob(p.Text, text)
	case Posix:
		location := p.expr.FindStringIndex(text)
		return location != nil && location[0] == 0 && location[1] == len(text)
	case DigestRFC6920:
		return EqualConstantTime(p.Text, RFC6920Digest(text))
	}
	return false
}

// RFC6920Digest returns the SHA-256 digest of a URI in the segment form of RFC 6920.
func RFC6920Digest(uri string) string {
	sum := sha256.Sum256([]byte(uri))
	return "sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])
}

// glob reports whether a text matches a glob pattern. It takes time proportional to the product of the lengths at most, and
// does not recurse.
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
