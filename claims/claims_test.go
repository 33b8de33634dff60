package claims

import "testing"

// FuzzApply applies steps of several requests for one token in any order, some of them twice. It checks that no two requests
// may ever send at once, and that none may send after one that ran or may have run.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 4, 5, 1, 0, 8, 9})
	f.Add([]byte{0, 16, 4, 20, 8, 0, 16})
	f.Add([]byte{0, 4, 12, 16, 20, 24})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var r Record
		exists := false
		type request struct{ sends, ended, released bool }
		requests := map[string]*request{}
		for i, b := range steps {
			owner := string('a' + rune(b>>4))
			q := requests[owner]
			if q == nil {
				q = &request{}
				requests[owner] = q
			}
			s := Step{Owner: owner, Until: float64(i)}
			switch b % 16 / 4 {
			case 0:
				if q.sends || q.ended { // a request holds before it sends, never after
					continue
				}
				s.Op = Hold
			case 1:
				if q.ended || q.released {
					continue
				}
				s.Op = Send
			case 2:
				if !q.sends {
					continue
				}
				s.Op, s.To, s.Outcome = Finish, []Stage{Ran, Unconfirmed}[b%2], "200"
			case 3: // nothing ran: the request was rejected, or it never learned that it may send
				if q.ended {
					continue
				}
				s.Op = Release
			}
			before := r
			next, keep, ok := Apply(r, exists, s)
			if repeated, keepRepeated, okRepeated := Apply(next, keep, s); ok && (repeated != next || keepRepeated != keep || !okRepeated) && s.Op != Hold {
				t.Fatalf("step %d: repeated, its result differs: %+v %+v", i, next, repeated)
			}
			if !ok && next != before {
				t.Fatalf("step %d: not granted, but it changed %+v to %+v", i, before, next)
			}
			r, exists = next, keep
			if !keep {
				r = Record{}
			}
			if !ok {
				continue
			}
			switch s.Op {
			case Send:
				for other, o := range requests {
					if other != owner && o.sends && !o.released {
						t.Fatalf("step %d: %s may send while %s may send", i, owner, other)
					}
				}
				q.sends = true
			case Finish:
				q.ended = true
			case Release:
				q.released = true
			}
		}
	})
}
