package replica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
)

const (
	second  = 1000.0 // ms
	minute  = 60 * second
	hour    = 60 * minute
	startMS = 1e12 // Unix ms; the initial time of the clocks of these tests
)

// steppedCluster is a cluster of three voters whose clocks the test controls.
type steppedCluster struct {
	*cluster
	clocks []*clock.Clock
}

func newSteppedCluster(t *testing.T) *steppedCluster {
	c := &steppedCluster{}
	for range 3 {
		c.clocks = append(c.clocks, clock.Manual(startMS))
	}
	c.cluster = newCluster(t, 3, distribution.Limits{}, func(voter int, opt *Options) { opt.Clock = c.clocks[voter] })
	return c
}

// advance advances the clocks of all voters.
func (c *steppedCluster) advance(ms float64) {
	for _, clk := range c.clocks {
		clk.Advance(ms)
	}
}

// useToken makes the steps hold and send of a token's claim, and reports whether both were granted.
func (c *steppedCluster) useToken(voter int, name, owner string, until float64) bool {
	c.t.Helper()
	for _, step := range []claims.Step{{Op: claims.Hold, Owner: owner, Until: until}, {Op: claims.Send, Owner: owner}} {
		_, ok, err := c.stores[voter].Step(testContext(c.t), name, step)
		if err != nil {
			c.t.Fatal(err)
		}
		if !ok {
			return false
		}
	}
	return true
}

// propose has a voter propose a change of the configuration.
func (c *steppedCluster) propose(voter int) {
	c.t.Helper()
	if err := c.stores[voter].Put(testContext(c.t), "policy", rand.Uint64()); err != nil {
		c.t.Fatal(err)
	}
}

// checkRecordsSurvive checks that a claim, a revocation and a purge are still in the state after the call of meanwhile, which
// steps clocks. The parameter correct is a voter whose clock is right when the records are made.
func (c *steppedCluster) checkRecordsSurvive(correct int, meanwhile func()) {
	c.t.Helper()
	until := c.clocks[correct].Unix() + minute
	if !c.useToken(correct, "token", "first", until) {
		c.t.Fatal("the first use was rejected")
	}
	if err := c.stores[correct].Revoke(testContext(c.t), "revoked", until); err != nil {
		c.t.Fatal(err)
	}
	if err := c.stores[correct].Purge(testContext(c.t), 7, 0); err != nil {
		c.t.Fatal(err)
	}
	meanwhile()
	c.advance(second)
	leader := c.leader()
	if c.useToken(leader, "token", "second", until) {
		c.t.Error("a single-use token was granted twice")
	}
	if !c.stores[leader].Revoked("revoked") {
		c.t.Error("the revocation was dropped")
	}
	if purges := c.stores[leader].state.distributedState().Purges; len(purges) != 1 {
		c.t.Errorf("%d purges are kept, want 1", len(purges))
	}
}

// A step of one gateway's wall clock makes no member drop a claim, a revocation or a purge: whether the gateway is a follower
// that proposes or the leader, and whether another member is the leader afterwards.
func TestSteppedClockDropsNothing(t *testing.T) {
	for _, x := range []struct {
		name      string
		leader    bool // whether the leader's clock is stepped
		step      float64
		newLeader bool
	}{
		{"follower ahead", false, hour, false},
		{"follower back", false, -hour, false},
		{"leader ahead", true, hour, false},
		{"leader back", true, -hour, false},
		{"leader ahead, then stopped", true, hour, true},
		{"next leader ahead", false, hour, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newSteppedCluster(t)
			leader := c.leader()
			stepped := (leader + 1) % 3
			if x.leader {
				stepped = leader
			}
			c.checkRecordsSurvive((leader+2)%3, func() {
				c.clocks[stepped].StepUnix(x.step)
				c.propose(stepped)
				if x.newLeader {
					c.stop(leader)
					c.propose(c.leader())
				}
			})
		})
	}
}

// The agreed time starts at the first leader's wall clock, which may be wrong: a claim is kept until its end all the same.
func TestFirstLeadersWrongClockDropsNothing(t *testing.T) {
	for _, step := range []float64{hour, -hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			c := newSteppedCluster(t)
			leader := c.leader()
			c.clocks[leader].StepUnix(step)
			c.propose(leader)
			honest := (leader + 1) % 3
			until := c.clocks[honest].Unix() + 10*minute
			if !c.useToken(honest, "token", "first", until) {
				t.Fatal("the first use was rejected")
			}
			for range 4 { // beyond the interval of dropExpired
				c.advance(2 * minute)
				c.propose(leader)
			}
			if c.useToken(honest, "token", "second", until) {
				t.Error("a single-use token was granted twice")
			}
		})
	}
}

// All members restart with their clocks stepped ahead: the agreed time continues from the log, not from the wall clocks.
func TestRestartWithSteppedClocksDropsNothing(t *testing.T) {
	c := newSteppedCluster(t)
	c.checkRecordsSurvive(c.leader(), func() {
		for voter := range c.stores {
			c.stop(voter)
			c.clocks[voter].StepUnix(hour)
		}
		for voter := range c.stores {
			c.start(voter, nil)
		}
		c.propose(c.leader())
	})
}

// A gateway whose clock is stepped back treats a token as valid again that expired long ago and whose claim was dropped. The
// leader rejects the claim, as the token may have been used.
func TestSteppedBackClockGrantsNoExpiredToken(t *testing.T) {
	for _, leads := range []bool{false, true} {
		c := newSteppedCluster(t)
		leader := c.leader()
		stepped := (leader + 1) % 3
		if leads {
			stepped = leader
		}
		until := startMS + minute
		if !c.useToken(stepped, "token", "first", until) {
			t.Fatal("the first use was rejected")
		}
		c.advance(20 * minute)
		c.propose(leader)
		if n := len(c.stores[leader].state.clone().Claims); n != 0 {
			t.Fatalf("%d claims are kept 19 minutes after their end", n)
		}
		c.clocks[stepped].StepUnix(-hour)
		if c.useToken(stepped, "token", "second", until) {
			t.Errorf("leader stepped %v: a single-use token was granted twice", leads)
		}
		if !c.useToken(stepped, "other", "third", c.clocks[leader].Now()+minute) {
			t.Error("a valid token was rejected")
		}
	}
}

// The time of a claim's record is converted to the proposer's clock. Otherwise a gateway whose clock is wrong would either
// consider an outcome lost that is still to be reported, or wait for one too long.
func TestRecordTimeIsInProposerTime(t *testing.T) {
	for _, step := range []float64{hour, -hour} {
		c := newSteppedCluster(t)
		leader := c.leader()
		other := (leader + 1) % 3
		c.clocks[other].StepUnix(step)
		until := startMS + 10*minute
		if !c.useToken(leader, "token", "first", until) {
			t.Fatal("the first use was rejected")
		}
		for _, x := range []struct {
			after   float64
			pending bool
		}{{second, true}, {minute, false}} {
			c.advance(x.after)
			r, ok, err := c.stores[other].Step(testContext(t), "token", claims.Step{Op: claims.Hold, Owner: "second", Until: until})
			if ok || err != nil {
				t.Fatal(ok, err)
			}
			if r.Pending(c.clocks[other].Unix(), 2*second) != x.pending {
				t.Errorf("stepped by %v ms, %v ms later: pending %v", step, x.after, !x.pending)
			}
		}
	}
}

// The agreed time advances with elapsed time, whatever the steps of wall clocks, and makes up for a lag at a bounded rate.
func TestAgreedTimeAdvance(t *testing.T) {
	clk := clock.Manual(startMS)
	a := &agreedClock{clock: clk}
	if got := a.advance(startMS); got != startMS {
		t.Errorf("the agreed time begins at %v, want %v", got, startMS)
	}
	for _, x := range []struct {
		name                 string
		step, pass           float64
		proposedAhead        float64 // relative to the leader's wall clock
		advanced, maxAdvance float64
	}{
		{"no step", 0, second, 0, second, second},
		{"the proposer is ahead", 0, second, hour, second, second},
		{"the proposer is behind", 0, second, -hour, second, second},
		{"the leader's clock is stepped back", -hour, second, 0, second, second},
		{"the leader's clock is stepped ahead again", hour, second, 0, second, second},
		{"only the leader's clock is ahead", hour, minute, -hour, minute, minute},
		{"all clocks are ahead", 0, minute, 0, minute, minute + minute/catchUpDivisor},
		{"no time elapsed", 0, 0, 0, 0, 0},
	} {
		before := a.advance(0)
		clk.StepUnix(x.step)
		clk.Advance(x.pass)
		advanced := a.advance(clk.Unix()+x.proposedAhead) - before
		if advanced < x.advanced || advanced > x.maxAdvance {
			t.Errorf("%s: the agreed time advances by %v ms in %v, want %v to %v", x.name, advanced, x.pass, x.advanced, x.maxAdvance)
		}
	}
}

// A lag is made up for eventually, without the agreed time running ahead of the wall clocks.
func TestAgreedTimeCatchesUp(t *testing.T) {
	clk := clock.Manual(startMS)
	a := &agreedClock{clock: clk}
	a.observe(startMS - minute)
	for range 32 * 60 {
		clk.Advance(second)
		a.advance(clk.Unix())
	}
	if lag := clk.Unix() - a.advance(clk.Unix()); lag < 0 || lag > 1 {
		t.Errorf("after %d times the initial lag the agreed time still lags by %v ms", catchUpDivisor, lag)
	}
}

// The agreed time never lags behind all clocks by more than maxLag, so the size of the state is bounded. A single clock that
// is ahead does not advance it.
func TestLagIsBounded(t *testing.T) {
	for _, x := range []struct {
		name                string
		lag                 float64
		step, proposedAhead float64
		want                float64 // the lag afterwards
	}{
		{"within the bound", 5 * hour, 0, 0, 5 * hour},
		{"down for a month", 30 * 24 * hour, 0, 0, maxLag},
		{"down, the leader's clock ahead", 30 * 24 * hour, hour, 0, maxLag},
		{"down, the leader's clock behind", 30 * 24 * hour, -hour, 0, maxLag + hour},
		{"down, a proposer's clock ahead", 30 * 24 * hour, 0, hour, maxLag},
		{"down, a proposer's clock behind", 30 * 24 * hour, 0, -hour, maxLag + hour},
		{"all clocks ahead, within the bound", 5 * hour, hour, 0, 5 * hour},
	} {
		clk := clock.Manual(startMS)
		a := &agreedClock{clock: clk}
		a.observe(startMS - x.lag)
		clk.StepUnix(x.step)
		if got := startMS - a.advance(clk.Unix()+x.proposedAhead); got != x.want {
			t.Errorf("%s: a lag of %v ms, want %v", x.name, got, x.want)
		}
	}
}

// A new leader advances the agreed time that it has applied by its own monotonic clock.
func TestNewLeaderContinuesAgreedTime(t *testing.T) {
	clk := clock.Manual(startMS)
	a := &agreedClock{clock: clk}
	a.observe(5000)
	clk.Advance(minute)
	a.observe(5000) // from a snapshot, or from an entry that was applied late
	clk.StepUnix(hour)
	clk.Advance(minute)
	if got := a.advance(0); got != 5000+2*minute {
		t.Errorf("%v, want %v", got, 5000+2*minute)
	}
	a.observe(5000 + 10*minute) // from a leader whose agreed time is ahead
	if got := a.advance(0); got != 5000+10*minute {
		t.Errorf("%v after observing another leader's %v", got, 5000+10*minute)
	}
}

// The end of a command is corrected for the proposer's clock, and only moved later. A purge keeps a date that is later than
// the agreed time, if all clocks are.
func TestStamp(t *testing.T) {
	for name, x := range map[string]struct{ in, want command }{
		"all clocks right":        {command{Op: "hold", At: 1000, Until: 5000}, command{Op: "hold", At: 1000, Until: 5000}},
		"proposer ahead":          {command{Op: "hold", At: 3000, Until: 5000}, command{Op: "hold", At: 1000, Until: 5000}},
		"both before agreed":      {command{Op: "hold", At: 900, Until: 5000}, command{Op: "hold", At: 1000, Until: 5100}},
		"proposer behind":         {command{Op: "hold", At: 400, Until: 5000}, command{Op: "hold", At: 1000, Until: 5600}},
		"proposer in 1970":        {command{Op: "hold", At: -9e9, Until: 5000}, command{Op: "hold", At: 1000, Until: 5000 + maxProposerLag}},
		"no end":                  {command{Op: opPut, At: 400}, command{Op: opPut, At: 1000}},
		"purge, all clocks later": {command{Op: opPurge, At: 1700}, command{Op: opPurge, At: 1700, Agreed: 1000}},
		"purge, proposer ahead":   {command{Op: opPurge, At: 3000}, command{Op: opPurge, At: 2000, Agreed: 1000}},
		"purge, proposer behind":  {command{Op: opPurge, At: 400}, command{Op: opPurge, At: 1000}},
		"agreed set by proposer":  {command{Op: opPut, At: 400, Agreed: 9000}, command{Op: opPut, At: 1000}},
	} {
		got := x.in
		got.stamp(1000, 2000, 2500)
		if !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s: %+v, want %+v", name, got, x.want)
		}
	}
}

// applyEntry applies an entry as Raft does.
func applyEntry(s *stateMachine, index uint64, entry string) result {
	return s.Apply(&raft.Log{Index: index, Term: 1, Data: []byte(entry)}).(result)
}

// A log written before there was an agreed time is applied as before: the proposers' times are used, and the agreed time
// continues from the highest of them.
func TestOldLogIsAppliedAsBefore(t *testing.T) {
	s := newStateMachine()
	s.agreedClock = &agreedClock{clock: clock.Manual(9e9)}
	for i, x := range []struct {
		entry  string
		ok     bool
		claims int
	}{
		{`{"op":"claim","name":"a","owner":"x","at":1000,"until":5000}`, true, 1},
		{`{"op":"hold","name":"b","owner":"x","at":900,"until":5000}`, true, 2},
		{`{"op":"send","name":"b","owner":"x","at":1100}`, true, 2},
		{`{"op":"hold","name":"b","owner":"y","at":605000,"until":700000}`, false, 2}, // kept for expiredRetention
		{`{"op":"put","name":"policy","at":1300000,"value":1}`, true, 0},
		{`{"op":"hold","name":"b","owner":"y","at":2000,"until":5000}`, true, 1}, // earlier than the highest time: dropped by the next command
	} {
		if res := applyEntry(s, uint64(i+1), x.entry); res.OK != x.ok || len(s.Claims) != x.claims {
			t.Errorf("%s: %+v and %d claims, want %v and %d", x.entry, res, len(s.Claims), x.ok, x.claims)
		}
	}
	if s.Latest != 1300000 || s.agreedClock.advance(0) != 1300000 {
		t.Errorf("the agreed time is %v, and %v at the next leader", s.Latest, s.agreedClock.advance(0))
	}
}

// Members of a version without the agreed time ignore the field Agreed. They reach the same state from a new leader's entries.
func TestOldMembersReachTheSameState(t *testing.T) {
	leader := &agreedClock{clock: clock.Manual(startMS)}
	present, old := newStateMachine(), newStateMachine()
	random := rand.New(rand.NewPCG(1, 38))
	for i := range 2000 {
		leader.clock.Advance(float64(random.IntN(20000)))
		proposedAt := leader.clock.Unix() + []float64{0, 0, hour, -hour}[random.IntN(4)]
		name, owner := fmt.Sprint("t", random.IntN(40)), fmt.Sprint("o", random.IntN(4))
		c := []command{
			{Op: string(claims.Hold), Name: name, Owner: owner, Until: proposedAt + minute},
			{Op: string(claims.Send), Name: name, Owner: owner},
			{Op: string(claims.Finish), Name: name, Owner: owner, To: claims.Ran, Outcome: "200"},
			{Op: string(claims.Release), Name: name, Owner: owner},
			{Op: opRevoke, Name: name, Until: proposedAt + minute},
			{Op: opPut, Name: name, Value: json.RawMessage(`1`)},
			{Op: opPurge, Object: 5},
		}[random.IntN(7)]
		c.At = proposedAt
		if _, ok := leader.stamp(&c); !ok {
			continue
		}
		entry, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var unaware map[string]json.RawMessage
		if err := json.Unmarshal(entry, &unaware); err != nil {
			t.Fatal(err)
		}
		delete(unaware, "agreed")
		asOldReads, err := json.Marshal(unaware)
		if err != nil {
			t.Fatal(err)
		}
		index := uint64(i + 1)
		if got, want := applyEntry(present, index, string(entry)), applyEntry(old, index, string(asOldReads)); !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: %+v, on an old member %+v", entry, got, want)
		}
	}
	if !reflect.DeepEqual(present.persistentState, old.persistentState) {
		t.Errorf("%+v\non an old member %+v", present.persistentState, old.persistentState)
	}
}

// If the agreed time lags behind all clocks, a purge is dated by the earliest of them. That date must not make the state
// machine drop claims.
func TestPurgeDateDropsNothing(t *testing.T) {
	clk := clock.Manual(startMS)
	a := &agreedClock{clock: clk}
	a.observe(startMS - hour) // all members were down for an hour
	s := newStateMachine()
	for i, c := range []command{
		{Op: "hold", Name: "a", Owner: "x", At: startMS, Until: startMS + minute},
		{Op: opPurge, Object: 5, At: startMS + hour},
		{Op: opPut, Name: "policy", At: startMS},
	} {
		if _, ok := a.stamp(&c); !ok {
			t.Fatalf("%+v: rejected", c)
		}
		at := distribution.Position{Revision: distribution.Revision(i + 1), Term: 1}
		if res, _ := s.applyCommand(at, c); !res.OK {
			t.Fatalf("%+v: %+v", c, res)
		}
	}
	if len(s.Claims) != 1 || len(s.Purges) != 1 || s.Purges[0].At != startMS || s.Latest != startMS-hour {
		t.Errorf("%+v", s.persistentState)
	}
}

// A member of an older version uses the date of a purge as the agreed time, while the agreed time of the group lags. When it
// is upgraded and becomes the leader, the agreed time jumps to that date at most, so no claim is dropped before its end.
func TestUpgradedMemberDropsNoClaim(t *testing.T) {
	for _, step := range []float64{hour, -hour, 0} {
		clk := clock.Manual(startMS)
		leader := &agreedClock{clock: clk}
		leader.observe(startMS - hour)
		clk.StepUnix(step)
		old, present := newStateMachine(), newStateMachine()
		apply := func(c command, by *agreedClock) (res result) {
			c.At += clk.Unix()
			if _, ok := by.stamp(&c); !ok {
				return result{}
			}
			res = present.applyLocked(c)
			c.Agreed = 0
			old.applyLocked(c)
			return res
		}
		until := clk.Now() + 30*minute
		apply(command{Op: "hold", Name: "a", Owner: "x", Until: until}, leader)
		apply(command{Op: "send", Name: "a", Owner: "x"}, leader)
		apply(command{Op: opPurge, Object: 5, At: hour}, leader)
		clk.Advance(20 * minute)
		upgraded := &agreedClock{clock: clk}
		upgraded.observe(old.Latest)
		apply(command{Op: opPut, Name: "policy", Value: json.RawMessage(`1`)}, upgraded)
		if apply(command{Op: "hold", Name: "a", Owner: "y", Until: until}, upgraded).OK {
			t.Errorf("stepped by %v: a single-use token was granted twice", step)
		}
	}
}

// A revocation by a gateway whose clock is behind lasts for its full duration.
func TestRevocationByLaggingClockHolds(t *testing.T) {
	c := newSteppedCluster(t)
	leader := c.leader()
	other := (leader + 1) % 3
	c.propose(leader)
	c.clocks[other].StepUnix(-hour)
	if err := c.stores[other].Revoke(testContext(t), "use", c.clocks[other].Unix()+10*minute); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		c.advance(2 * minute)
		c.propose(leader)
		if !c.stores[leader].Revoked("use") {
			t.Fatal("the revocation was dropped")
		}
	}
}

// simulatedMember is a member without a network.
type simulatedMember struct {
	clock *clock.Clock
	state *stateMachine
}

// simulation is a group of members whose clocks are stepped at random, and the tokens that they claim.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	members []simulatedMember
	stepped []float64
	leader  int
	index   uint64
	tokens  []string
	uses    map[string]int
	expires map[string]float64
}

const (
	simulatedLeeway = 10 * second
	simulatedMargin = minute
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 38)), uses: map[string]int{}, expires: map[string]float64{}}
	for range 3 {
		clk, member := clock.Manual(startMS), newStateMachine()
		member.agreedClock = &agreedClock{clock: clk}
		s.members = append(s.members, simulatedMember{clk, member})
	}
	s.stepped = make([]float64, len(s.members))
	// The agreed time may have started with another member's clock, or the group may have been down.
	if begins := []float64{0, -hour, -5 * hour, -24 * hour, hour}[s.random.IntN(5)]; begins != 0 {
		put := fmt.Sprintf(`{"op":"put","name":"policy","value":1,"at":%.0f}`, startMS+begins)
		for _, m := range s.members {
			applyEntry(m.state, 1, put)
		}
		s.index++
	}
	return s
}

// propose has the leader stamp a command, and all members apply it.
func (s *simulation) propose(member int, c command) (res result) {
	c.At = s.members[member].clock.Unix()
	if _, ok := s.members[s.leader].state.agreedClock.stamp(&c); !ok {
		return result{}
	}
	entry, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.index++
	for _, m := range s.members {
		res = applyEntry(m.state, s.index, string(entry))
	}
	return res
}

// use has a member claim a token, unless the token has expired by the member's clock.
func (s *simulation) use(member int, name string) {
	expires := s.expires[name]
	if s.members[member].clock.Unix() > expires+simulatedLeeway {
		return
	}
	owner := fmt.Sprint("request ", s.index)
	hold := command{Op: string(claims.Hold), Name: name, Owner: owner, Until: expires + 2*simulatedLeeway + simulatedMargin}
	if !s.propose(member, hold).OK {
		return
	}
	if s.propose(member, command{Op: string(claims.Send), Name: name, Owner: owner}).OK {
		s.uses[name]++
	}
}

// step steps one clock, or all by the same offset, to at most an hour off.
func (s *simulation) step() {
	offset := []float64{0, 0, hour, -hour, 7 * second, -40 * second}[s.random.IntN(6)]
	all, one := s.random.IntN(4) == 0, s.random.IntN(len(s.members))
	for i, m := range s.members {
		if all || i == one {
			m.clock.StepUnix(offset - s.stepped[i])
			s.stepped[i] = offset
		}
	}
}

// Whatever the steps of clocks and the changes of the leader, no single-use token is sent twice, and all claims are dropped
// eventually.
func TestRandomStepsGrantNoSecondUse(t *testing.T) {
	granted := 0
	for seed := range uint64(60) {
		s := newSimulation(t, seed)
		for i := range 2000 {
			member := s.random.IntN(len(s.members))
			switch s.random.IntN(8) {
			case 0:
				s.step()
			case 1:
				s.leader = s.random.IntN(len(s.members))
			case 2, 3:
				passes := s.random.Float64() * 5 * minute
				for _, m := range s.members {
					m.clock.Advance(passes)
				}
			case 4:
				s.propose(member, command{Op: opPut, Name: "policy", Value: json.RawMessage(`1`)})
			case 5:
				name := fmt.Sprint("token ", i)
				s.tokens = append(s.tokens, name)
				s.expires[name] = s.members[0].clock.Now() + second + s.random.Float64()*5*hour*float64(s.random.IntN(2))
			default:
				if len(s.tokens) > 0 {
					s.use(member, s.tokens[s.random.IntN(len(s.tokens))])
				}
			}
		}
		for name, n := range s.uses {
			granted++
			if n > 1 {
				t.Fatalf("seed %d: %s was used %d times", seed, name, n)
			}
		}
		for _, m := range s.members {
			m.clock.Advance(24 * hour)
		}
		s.propose(s.leader, command{Op: opPut, Name: "policy", Value: json.RawMessage(`1`)})
		if n := len(s.members[0].state.Claims); n != 0 {
			t.Errorf("seed %d: %d claims are kept after 24 h", seed, n)
		}
	}
	if granted < 1000 {
		t.Errorf("only %d uses were granted", granted)
	}
}

// A subscriber keeps a revocation for its full duration, whatever the steps of its wall clock.
func TestSubscriberDropsByMonotonicClock(t *testing.T) {
	for _, step := range []float64{hour, -hour} {
		clk, now := clock.Manual(startMS), time.Unix(1000, 0)
		s := &Subscriber{view: distribution.NewView(nil), opt: SubscriberOptions{
			Clock: clk, Now: func() time.Time { return now },
		}}
		position := distribution.Position{Revision: 1, Term: 1}
		err := s.view.Apply(&distribution.Batch{Changes: []distribution.Change{
			{Position: position, Kind: distribution.KindRevoke, Name: "use", At: startMS, Until: startMS + 60_000},
			{Position: distribution.Position{Revision: 2, Term: 1}, Kind: distribution.KindPut, Name: "policy", Value: []byte(`1`), At: startMS + 61_000},
		}})
		if err != nil {
			t.Fatal(err)
		}
		clk.StepUnix(step)
		for _, x := range []struct {
			elapsed float64
			revoked bool
		}{{2 * minute, true}, {10 * minute, false}} {
			clk.Advance(x.elapsed)
			now = now.Add(clock.Duration(x.elapsed))
			s.dropExpired()
			if s.view.Revoked("use") != x.revoked {
				t.Errorf("stepped by %v ms, %v ms later: revoked %v", step, x.elapsed, !x.revoked)
			}
		}
	}
}

// A leader that receives a proposal before it has applied the entries of earlier terms waits until it has: only then does it
// know the agreed time.
func TestLeaderAppliesLogBeforeStamping(t *testing.T) {
	c := newSteppedCluster(t)
	c.checkRecordsSurvive(c.leader(), func() {
		last := c.stores[c.leader()].raft.LastIndex()
		for voter := range c.stores {
			c.stop(voter)
			c.clocks[voter].StepUnix(hour)
		}
		for voter := range c.stores {
			c.start(voter, nil)
			c.stores[voter].state.mu.Lock() // blocks applying: nothing is applied before there is a leader
		}
		leader := c.stores[c.leader()]
		proposed := make(chan error, 1)
		go func() { proposed <- leader.Put(testContext(t), "policy", 1) }()
		eventually(t, "an entry after the leader's first one", func() bool { return leader.raft.LastIndex() >= last+2 })
		leader.agreedClock.mu.Lock()
		agreed := leader.agreedClock.value
		leader.agreedClock.mu.Unlock()
		if agreed != 0 {
			t.Errorf("the leader used an agreed time of %v before it applied the log", agreed)
		}
		for _, store := range c.stores {
			store.state.mu.Unlock()
		}
		if err := <-proposed; err != nil {
			t.Fatal(err)
		}
	})
}
