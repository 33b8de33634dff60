// Package conditional evaluates the conditions and ranges of a request against a complete representation (RFC 9110, 13 and 14).
// It does no I/O.
package conditional

import (
	"strconv"
	"strings"
)

// Limits of the lists in a request.
const (
	MaxRanges = 16 // with more, or with overlapping ranges, the complete representation is sent
	MaxTags   = 64 // a longer list of entity tags is invalid
)

// Request holds the method of a request and its headers for conditions and ranges.
type Request struct {
	Method      string
	IfNoneMatch string
	IfMatch     string
	IfRange     string
	Range       string
}

// Span is a range of bytes, including From and excluding To.
type Span struct{ From, To int }

// Plan states how to respond: 200 with the complete representation, 206 with Spans, or 304, 412 or 416 without content.
type Plan struct {
	Status int
	Spans  []Span
}

// Decide returns the plan for a representation of size bytes with a strong entity tag, or "" if it has none.
func Decide(q Request, size int, tag string) Plan {
	switch {
	case q.IfMatch != "" && !Match(q.IfMatch, tag, true):
		return Plan{Status: 412}
	case q.IfNoneMatch != "" && Match(q.IfNoneMatch, tag, false):
		if q.Method == "GET" || q.Method == "HEAD" {
			return Plan{Status: 304}
		}
		return Plan{Status: 412}
	case q.Range == "" || q.Method != "GET" || q.IfRange != "" && !ifRangeMatches(q.IfRange, tag):
		return Plan{Status: 200}
	}
	spans, ok := ParseRanges(q.Range, size)
	switch {
	case !ok:
		return Plan{Status: 200}
	case len(spans) == 0:
		return Plan{Status: 416}
	}
	return Plan{Status: 206, Spans: spans}
}

// ifRangeMatches reports whether If-Range holds the same strong tag. A date never matches, as no representation here has one.
func ifRangeMatches(v, tag string) bool { return tag != "" && v == `"`+tag+`"` }

// Match reports whether a list of tags, or a star, contains a tag. A strong comparison ignores weak tags. A malformed list
// matches nothing.
func Match(list, tag string, strong bool) bool {
	if list == "*" {
		return true
	}
	tags, ok := ParseTags(list)
	if !ok || tag == "" {
		return false
	}
	for _, t := range tags {
		if t.Text == tag && !(strong && t.Weak) {
			return true
		}
	}
	return false
}

// Tag is one entity tag, without its quotes.
type Tag struct {
	Text string
	Weak bool
}

// ParseTags parses a list of entity tags (RFC 9110, 8.8.3).
func ParseTags(list string) (out []Tag, ok bool) {
	rest := strings.Trim(list, " \t")
	for rest != "" {
		var t Tag
		rest, t.Weak = strings.CutPrefix(rest, "W/")
		if rest == "" || rest[0] != '"' || len(out) == MaxTags {
			return nil, false
		}
		end := strings.IndexByte(rest[1:], '"')
		if end < 0 {
			return nil, false
		}
		t.Text = rest[1 : 1+end]
		for _, c := range []byte(t.Text) {
			if c < 0x21 || c == 0x7f {
				return nil, false
			}
		}
		out = append(out, t)
		rest = strings.TrimLeft(rest[2+end:], " \t")
		if rest == "" {
			break
		}
		if rest[0] != ',' {
			return nil, false
		}
		rest = strings.TrimLeft(rest[1:], ", \t")
	}
	return out, len(out) > 0
}

// ParseRanges parses a Range of bytes for a representation of the given size. If ok is false the header is to be ignored: it is
// malformed, or requests too many ranges or overlapping ones. If there is no span, no range is satisfiable.
func ParseRanges(text string, size int) (out []Span, ok bool) {
	unit, list, found := strings.Cut(text, "=")
	if !found || !strings.EqualFold(unit, "bytes") {
		return nil, false
	}
	n := 0
	for item := range strings.SplitSeq(list, ",") {
		item = strings.Trim(item, " \t")
		if item == "" {
			continue
		}
		if n++; n > MaxRanges {
			return nil, false
		}
		s, satisfiable, ok := parseSpan(item, size)
		if !ok {
			return nil, false
		}
		if !satisfiable {
			continue
		}
		for _, o := range out {
			if s.From < o.To && o.From < s.To {
				return nil, false
			}
		}
		out = append(out, s)
	}
	return out, n > 0
}

// parseSpan parses FROM-TO, FROM- or -LAST. satisfiable reports whether the span overlaps the representation.
func parseSpan(item string, size int) (s Span, satisfiable, ok bool) {
	from, to, found := strings.Cut(item, "-")
	if !found || from == "" && to == "" {
		return s, false, false
	}
	a, okA := parseNumber(from)
	b, okB := parseNumber(to)
	switch {
	case from != "" && !okA || to != "" && !okB:
		return s, false, false
	case from == "": // the last b bytes
		return Span{max(0, size-b), size}, b > 0 && size > 0, true
	case to == "":
		return Span{a, size}, a < size, true
	case b < a:
		return s, false, false
	}
	return Span{a, min(b, size-1) + 1}, a < size, true
}

// maxNumber replaces larger numbers; no representation is this long.
const maxNumber = 1 << 40

func parseNumber(text string) (int, bool) {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	v, err := strconv.ParseUint(text, 10, 40)
	if err != nil {
		return maxNumber, text != ""
	}
	return int(v), true
}
