package conditional

import (
	"strings"
	"testing"
)

// For any Range, the spans are within the representation and don't overlap, and only a plan with spans has status 206. For any
// list of entity tags, each parsed tag matches the list.
func FuzzDecide(f *testing.F) {
	f.Add("bytes=0-1,5-", `"a", W/"b"`, 7)
	f.Add("bytes=-99999999999999999999", "*", 7)
	f.Add("bytes=1-1,,3-3", `"`, 0)
	f.Fuzz(func(t *testing.T, rangeHeader, tags string, size int) {
		if size < 0 || size > 1<<20 {
			t.Skip()
		}
		p := Decide(Request{Method: "GET", Range: rangeHeader}, size, "a")
		if (p.Status == 206) != (len(p.Spans) > 0) || len(p.Spans) > MaxRanges {
			t.Errorf("%+v", p)
		}
		seen := make([]bool, size)
		for _, s := range p.Spans {
			for i := s.From; i < s.To; i++ {
				if seen[i] {
					t.Fatalf("byte %d is in two spans: %+v", i, p)
				}
				seen[i] = true
			}
			if s.From >= s.To {
				t.Errorf("empty span: %+v", p)
			}
		}
		list, ok := ParseTags(tags)
		if ok && (len(list) == 0 || len(list) > MaxTags) {
			t.Errorf("%+v", list)
		}
		for _, x := range list {
			if strings.Contains(x.Text, `"`) || !Match(tags, x.Text, false) && x.Text != "" {
				t.Errorf("%q does not match its own %q", tags, x.Text)
			}
		}
	})
}
