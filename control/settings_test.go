package control

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestInvalidSettings(t *testing.T) {
	good := testSettings()
	if _, err := New(good, 0); err != nil {
		t.Fatal(err)
	}
	for _, spoil := range []func(*Settings){
		func(s *Settings) { s.Classes = nil }, func(s *Settings) { s.MaxAttempts = 0 }, func(s *Settings) { s.Zone = -1 },
		func(s *Settings) { s.SlowStartShare = 2 }, func(s *Settings) { s.Classes = []Class{{}} },
	} {
		s := good
		spoil(&s)
		if _, err := New(s, 0); err == nil {
			t.Errorf("no error for %+v", s)
		}
	}
}

// Settings that are NaN, infinite or negative cause an error that names the field.
func TestInvalidNumbersInSettings(t *testing.T) {
	for field, set := range map[string]func(*Settings, float64){
		"ColdShare":      func(s *Settings, v float64) { s.SlowStartShare = v },
		"ParentColdFrom": func(s *Settings, v float64) { s.ParentSlowStartShare = v },
		"FallMultiple":   func(s *Settings, v float64) { s.CollapseMultiple = v },
		"ParentFall":     func(s *Settings, v float64) { s.ParentCollapseMultiple = v },
		"ClientKBps":     func(s *Settings, v float64) { s.ClientKBps = v },
	} {
		for _, v := range []float64{math.NaN(), math.Inf(1), -1} {
			s := testSettings()
			set(&s, v)
			if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s %v: error %v", field, v, err)
			}
		}
	}
}

// A request with an idempotency key may be sent again for the dedup window of the settings, less the possible delay
// of an event.
func TestDedupWindowFollowsTheSettings(t *testing.T) {
	for _, x := range []struct {
		keyFor, at time.Duration
		again      bool
	}{{0, ms, false}, {time.Second, 995 * ms, true}, {time.Second, 996 * ms, false}, {2 * time.Second, 1995 * ms, true}} {
		set := testSettings()
		set.CanHedge = false
		set.Classes[3] = Class{LatencyObjective: 300 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, DedupWindow: x.keyFor, Write: true}
		h := newHarness(t, set, testEndpoints())
		h.request(Request{ID: 1, Class: 3, Remaining: 3 * time.Second})
		h.now += x.at
		h.endAttempt(1, 0, ConnectionLost, NoNote)
		if n := len(h.attempts[1]); (n == 2) != x.again || h.answered[1] == x.again {
			t.Errorf("dedup window of %v, end after %v: %d attempts, answered %v", x.keyFor, x.at, n, h.answered[1])
		} else if until := h.attempts[1][n-1].SendDeadline; x.again && until != 100*time.Second+x.keyFor-2*set.BatchInterval {
			t.Errorf("dedup window of %v: may be sent until %v", x.keyFor, until)
		}
	}
}
