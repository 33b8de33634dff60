package turnfork

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/soaktest"
)

// TestPolicySoak has operators change the settings of the policy at random gateways while gateways are closed and started again. The
// gateways never learn of a change, so their own copies are as outdated as they can be. No acknowledged change may be lost, and no
// member may see a setting return to a value that it has left.
func TestPolicySoak(t *testing.T) {
	const seeds, parallelSoaks = 4, 2
	soaktest.Run(t, seeds, parallelSoaks, func(t *testing.T, seed uint64) {
		s := &policySoak{gatewayGroup: newGatewayGroup(t, 1000), end: time.Now().Add(5 * time.Second)}
		s.observe = s.newPolicyObserver // of the members that are started again from now on
		s.run(seed)
	})
}

// policySoak is one seeded run.
type policySoak struct {
	*gatewayGroup
	end time.Time

	mu sync.RWMutex // guards the group's members and frontends, which are replaced at a restart
}

// settingHistory is the sequence of values that one member has applied to a setting since it was started.
type settingHistory struct {
	current float64
	seen    map[float64]bool
}

// add adds a value, and reports false if the setting has had it before and another one since.
func (h *settingHistory) add(value float64) (ok bool) {
	if value == h.current {
		return true
	}
	ok = !h.seen[value]
	if h.seen == nil {
		h.seen = map[float64]bool{}
	}
	h.seen[value] = true
	h.current = value
	return ok
}

// newPolicyObserver returns a function that checks the policies that a member applies.
func (s *policySoak) newPolicyObserver() func(name string, value json.RawMessage) {
	var leeway, tokenSeconds settingHistory
	return func(name string, value json.RawMessage) {
		var p signed.Policy
		if err := json.Unmarshal(value, &p); name != signed.ConfigPolicy || err != nil {
			s.Errorf("%s: %s, %v", name, value, err)
		}
		if !leeway.add(p.LeewayMs) || !tokenSeconds.add(p.TokenSeconds) {
			s.Errorf("the policy returned to %s", value)
		}
	}
}

// policyWriter changes one setting, to ever higher values.
type policyWriter struct {
	setting         string
	attempted       int // the highest value sent
	acknowledged    int // the highest value answered with 200
	refused, served int // number of answers
}

func (s *policySoak) run(seed uint64) {
	writers := []*policyWriter{{setting: "leeway_ms"}, {setting: "token_seconds"}}
	var tasks sync.WaitGroup
	for i, w := range writers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		tasks.Go(func() { s.write(w, random) })
	}
	random := rand.New(rand.NewPCG(seed, 99))
	tasks.Go(func() { s.restartMembers(random) })
	tasks.Wait()
	// Whatever was proposed before this call is in the log, or never will be.
	if err := operatorCall(s.frontends[0], "/-/policy", `{}`); err != nil {
		s.Fatal(err)
	}
	var final signed.Policy
	if _, err := s.stores[s.leader()].Get(signed.ConfigPolicy, &final); err != nil {
		s.Fatal(err)
	}
	for i, value := range []float64{final.LeewayMs, final.TokenSeconds} {
		w := *writers[i]
		s.Logf("%+v, in the end %v", w, value)
		if int(value) < w.acknowledged || int(value) > w.attempted || w.acknowledged == 0 {
			s.Errorf("%s is %v in the end; %d was acknowledged and %d attempted", w.setting, value, w.acknowledged, w.attempted)
		}
	}
	s.expectPolicy(final)
}

// write changes a setting again and again, at random gateways.
func (s *policySoak) write(w *policyWriter, random *rand.Rand) {
	for time.Now().Before(s.end) {
		w.attempted++
		s.mu.RLock()
		f := s.frontends[random.IntN(len(s.frontends))]
		s.mu.RUnlock()
		status, text, err := tryOperatorCall(f, "/-/policy", fmt.Sprintf(`{%q:%d}`, w.setting, w.attempted))
		switch {
		case err != nil || status != 200 && status != 503:
			s.Errorf("%s: %d %s, %v", w.setting, status, text, err)
			return
		case status == 200:
			w.acknowledged = w.attempted
			w.served++
		default:
			w.refused++
		}
	}
}

// restartMembers closes one random member after the other and starts it again, from its files.
func (s *policySoak) restartMembers(random *rand.Rand) {
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		member := random.IntN(len(s.stores))
		s.stores[member].Close()
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		s.mu.Lock()
		s.openMember(member, nil, 1000)
		s.mu.Unlock()
	}
}
