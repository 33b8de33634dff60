// Package conditional decides how a whole representation answers a request's conditions and ranges (RFC 9110, 13 and 14).
// It does no I/O.
package conditional

import (
	"strconv"
	"strings"
)

// Bounds of what a request may ask for.
const (
	RangesMost = 16 // more than these, or ranges that overlap, get the whole
	TagsMost   = 64
)

// Request is what a request says of the representation that it wants.
type Request struct {
	Method      string
	IfNoneMatch string
	IfMatch     string
	IfRange     string
	Range       string
}

// Span is bytes from From to before To.
type Span struct{ From, To int }

// Plan is how to answer: 200 with all, 206 with Spans, 304, 412 or 416 with nothing.
type Plan struct {
	Status int
	Spans  []Span
}

// Decide gives the plan for a representation of size bytes under a strong tag, "" where it has none.
func Decide(q Request, size int, tag string) Plan {
	switch {
	case q.IfMatch != "" && !Match(q.IfMatch, tag, true):
		return Plan{Status: 412}
	case q.IfNoneMatch != "" && Match(q.IfNoneMatch, tag, false):
		if q.Method == "GET" || q.Method == "HEAD" {
			return Plan{Status: 304}
		}
		return Plan{Status: 412}
	case q.Range == "" || q.Method != "GET" || q.IfRange != "" && !sameRange(q.IfRange, tag):
		return Plan{Status: 200}
	}
	spans, ok := Ranges(q.Range, size)
	switch {
	case !ok:
		return Plan{Status: 200}
	case len(spans) == 0:
		return Plan{Status: 416}
	}
	return Plan{Status: 206, Spans: spans}
}

// sameRange judges If-Range: a strong tag that is the same. A date is never, as no representation here has one.
func sameRange(v, tag string) bool { return tag != "" && v == `"`+tag+`"` }

// Match tells whether a list of tags, or a star, holds a tag; a strong comparison passes over weak ones. What can't be
// read matches nothing.
func Match(list, tag string, strong bool) bool {
	if list == "*" {
		return true
	}
	tags, ok := Tags(list)
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

// Tags reads a list of entity tags (RFC 9110, 8.8.3).
func Tags(list string) (out []Tag, ok bool) {
	rest := strings.Trim(list, " \t")
	for rest != "" {
		var t Tag
		rest, t.Weak = strings.CutPrefix(rest, "W/")
		if rest == "" || rest[0] != '"' || len(out) == TagsMost {
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

// Ranges reads a Range of bytes for a size. ok false: it is to be passed over, as it can't be read, asks for too many
// ranges, or for ranges that overlap. No span: none of them is within the size.
func Ranges(text string, size int) (out []Span, ok bool) {
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
		if n++; n > RangesMost {
			return nil, false
		}
		s, in, ok := span(item, size)
		if !ok {
			return nil, false
		}
		if !in {
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

// span reads FROM-TO, FROM- or -LAST.
func span(item string, size int) (s Span, in, ok bool) {
	from, to, found := strings.Cut(item, "-")
	if !found || from == "" && to == "" {
		return s, false, false
	}
	a, okA := number(from)
	b, okB := number(to)
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

// numberMost is what a larger number counts as; no representation is as long.
const numberMost = 1 << 40

func number(text string) (int, bool) {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	v, err := strconv.ParseUint(text, 10, 40)
	if err != nil {
		return numberMost, text != ""
	}
	return int(v), true
}
