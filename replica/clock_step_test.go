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
	second = 1000.0 // ms
	minute = 60 * second
	hour   = 60 * minute
	began  = 1e12 // Unix ms at which the clocks of these tests begin
)

// steppedCluster is three voters whose clocks the test leads.
type steppedCluster struct {
	*cluster
	clocks []*clock.Clock
}

func newSteppedCluster(t *testing.T) *steppedCluster {
	c := &steppedCluster{}
	for range 3 {
		c.clocks = append(c.clocks, clock.Manual(began))
	}
	c.cluster = newCluster(t, 3, distribution.Limits{}, func(voter int, opt *Options) { opt.Clock = c.clocks[voter] })
	return c
}

// advance has time pass for everybody.
func (c *steppedCluster) advance(ms float64) {
	for _, clk := range c.clocks {
		clk.Advance(ms)
	}
}

// use holds a token's claim and makes it sent, and reports whether that was granted.
func (c *steppedCluster) use(voter int, name, owner string, until float64) bool {
	c.t.Helper()
	for _, step := range []claims.Step{{Op: claims.Hold, Owner: owner, Until: until}, {Op: claims.Send, Owner: owner}} {
		_, ok, err := c.stores[voter].Step(patient(c.t), name, step)
		if err != nil {
			c.t.Fatal(err)
		}
		if !ok {
			return false
		}
	}
	return true
}

// propose has a voter propose something.
func (c *steppedCluster) propose(voter int) {
	c.t.Helper()
	if err := c.stores[voter].Put(patient(c.t), "policy", rand.Uint64()); err != nil {
		c.t.Fatal(err)
	}
}

// keepsToken checks that a use, a revocation and a purge outlive what a test does about clocks. Honest is a voter whose clock is
// right when the records are made.
func (c *steppedCluster) keepsToken(honest int, meanwhile func()) {
	c.t.Helper()
	until := c.clocks[honest].Unix() + minute
	if !c.use(honest, "token", "first", until) {
		c.t.Fatal("the first use was refused")
	}
	if err := c.stores[honest].Revoke(patient(c.t), "revoked", until); err != nil {
		c.t.Fatal(err)
	}
	if err := c.stores[honest].Purge(patient(c.t), 7, 0); err != nil {
		c.t.Fatal(err)
	}
	meanwhile()
	c.advance(second)
	leader := c.leader()
	if c.use(leader, "token", "second", until) {
		c.t.Error("a token of a single use was granted twice")
	}
	if !c.stores[leader].Revoked("revoked") {
		c.t.Error("the revocation is forgotten")
	}
	if purges := c.stores[leader].state.distributedState().Purges; len(purges) != 1 {
		c.t.Errorf("%d purges are kept, want 1", len(purges))
	}
}

// A gateway whose wall clock is stepped makes no member drop a claim, a revocation or a purge: whether it is a follower that
// proposes or the leader itself, and whether another member is the leader afterwards.
func TestSteppedClockForgetsNothing(t *testing.T) {
	for _, x := range []struct {
		name      string
		leader    bool // whether it is the leader's clock
		step      float64
		newLeader bool
	}{
		{"a follower's, ahead", false, hour, false},
		{"a follower's, back", false, -hour, false},
		{"the leader's, ahead", true, hour, false},
		{"the leader's, back", true, -hour, false},
		{"the leader's, ahead, and the leader goes", true, hour, true},
		{"the next leader's, ahead", false, hour, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newSteppedCluster(t)
			leader := c.leader()
			stepped := (leader + 1) % 3
			if x.leader {
				stepped = leader
			}
			c.keepsToken((leader+2)%3, func() {
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

// The clock that the group begins with may be wrong: what is kept for a span is kept for that span.
func TestFirstLeadersClockForgetsNothing(t *testing.T) {
	for _, step := range []float64{hour, -hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			c := newSteppedCluster(t)
			leader := c.leader()
			c.clocks[leader].StepUnix(step)
			c.propose(leader)
			honest := (leader + 1) % 3
			until := c.clocks[honest].Unix() + 10*minute
			if !c.use(honest, "token", "first", until) {
				t.Fatal("the first use was refused")
			}
			for range 4 { // past the interval of sweeps
				c.advance(2 * minute)
				c.propose(leader)
			}
			if c.use(honest, "token", "second", until) {
				t.Error("a token of a single use was granted twice")
			}
		})
	}
}

// All members restart with their clocks stepped ahead: the agreed time continues from the log, not from the clocks.
func TestRestartWithSteppedClocksForgetsNothing(t *testing.T) {
	c := newSteppedCluster(t)
	c.keepsToken(c.leader(), func() {
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

// A gateway whose clock is stepped back takes a token for valid again that has expired long ago, and whose claim is
// forgotten. The group refuses it: it may have been used.
func TestSteppedBackClockRevivesNoToken(t *testing.T) {
	for _, leads := range []bool{false, true} {
		c := newSteppedCluster(t)
		leader := c.leader()
		stepped := (leader + 1) % 3
		if leads {
			stepped = leader
		}
		until := began + minute
		if !c.use(stepped, "token", "first", until) {
			t.Fatal("the first use was refused")
		}
		c.advance(20 * minute)
		c.propose(leader)
		if n := len(c.stores[leader].state.clone().Claims); n != 0 {
			t.Fatalf("%d claims are kept 19 minutes after their end", n)
		}
		c.clocks[stepped].StepUnix(-hour)
		if c.use(stepped, "token", "second", until) {
			t.Errorf("the leader's clock %v: a token of a single use was granted twice", leads)
		}
		if !c.use(stepped, "other", "third", c.clocks[leader].Now()+minute) {
			t.Error("a valid token is refused")
		}
	}
}

// A record's age is told in the clock of who asks, so that a wrong clock doesn't take an end for lost that is on its way, nor
// wait for one for long.
func TestRecordsAgeIsToldInTheProposersClock(t *testing.T) {
	for _, step := range []float64{hour, -hour} {
		c := newSteppedCluster(t)
		leader := c.leader()
		other := (leader + 1) % 3
		c.clocks[other].StepUnix(step)
		until := began + 10*minute
		if !c.use(leader, "token", "first", until) {
			t.Fatal("the first use was refused")
		}
		for _, x := range []struct {
			after   float64
			pending bool
		}{{second, true}, {minute, false}} {
			c.advance(x.after)
			r, ok, err := c.stores[other].Step(patient(t), "token", claims.Step{Op: claims.Hold, Owner: "second", Until: until})
			if ok || err != nil {
				t.Fatal(ok, err)
			}
			if r.Pending(c.clocks[other].Unix(), 2*second) != x.pending {
				t.Errorf("stepped by %v ms, %v ms later: pending %v", step, x.after, !x.pending)
			}
		}
	}
}

// The agreed time advances as time passes, whatever the wall clocks say, and makes up for a lag slowly.
func TestAgreedTimeIsBounded(t *testing.T) {
	clk := clock.Manual(began)
	a := &agreedClock{clock: clk}
	if got := a.advance(began); got != began {
		t.Errorf("it begins with %v", got)
	}
	for _, x := range []struct {
		name                 string
		step, pass           float64
		proposedAhead        float64 // of the leader's wall clock
		advanced, maxAdvance float64
	}{
		{"no step", 0, second, 0, second, second},
		{"the proposer is ahead", 0, second, hour, second, second},
		{"the proposer is behind", 0, second, -hour, second, second},
		{"the leader's clock is stepped back", -hour, second, 0, second, second},
		{"and again", hour, second, 0, second, second},
		{"the leader's alone is ahead", hour, minute, -hour, minute, minute},
		{"all are ahead", 0, minute, 0, minute, minute + minute/catchUpDivisor},
		{"at once", 0, 0, 0, 0, 0},
	} {
		before := a.advance(0)
		clk.StepUnix(x.step)
		clk.Advance(x.pass)
		advanced := a.advance(clk.Unix()+x.proposedAhead) - before
		if advanced < x.advanced || advanced > x.maxAdvance {
			t.Errorf("%s: it advances by %v ms in %v, want %v to %v", x.name, advanced, x.pass, x.advanced, x.maxAdvance)
		}
	}
}

// A lag is made up for in the end, and the agreed time does not go beyond the wall clocks for that.
func TestAgreedTimeCatchesUp(t *testing.T) {
	clk := clock.Manual(began)
	a := &agreedClock{clock: clk}
	a.observe(began - minute)
	for range 32 * 60 {
		clk.Advance(second)
		a.advance(clk.Unix())
	}
	if lag := clk.Unix() - a.advance(clk.Unix()); lag < 0 || lag > 1 {
		t.Errorf("after %d times the lag it still lags by %v ms", catchUpDivisor, lag)
	}
}

// A lag is never longer than maxLag by all clocks: what is held stays bounded. Single clocks that are ahead don't count.
func TestLagIsBounded(t *testing.T) {
	for _, x := range []struct {
		name                string
		lag                 float64
		step, proposedAhead float64
		want                float64 // the lag afterwards
	}{
		{"within the bound", 5 * hour, 0, 0, 5 * hour},
		{"away for a month", 30 * 24 * hour, 0, 0, maxLag},
		{"away, the leader's clock ahead", 30 * 24 * hour, hour, 0, maxLag},
		{"away, the leader's clock behind", 30 * 24 * hour, -hour, 0, maxLag + hour},
		{"away, a proposer's clock ahead", 30 * 24 * hour, 0, hour, maxLag},
		{"away, a proposer's clock behind", 30 * 24 * hour, 0, -hour, maxLag + hour},
		{"all ahead, within the bound", 5 * hour, hour, 0, 5 * hour},
	} {
		clk := clock.Manual(began)
		a := &agreedClock{clock: clk}
		a.observe(began - x.lag)
		clk.StepUnix(x.step)
		if got := began - a.advance(clk.Unix()+x.proposedAhead); got != x.want {
			t.Errorf("%s: a lag of %v ms, want %v", x.name, got, x.want)
		}
	}
}

// A new leader advances the agreed time that it has applied by its own monotonic clock.
func TestAgreedTimeGoesOnAtTheNextLeader(t *testing.T) {
	clk := clock.Manual(began)
	a := &agreedClock{clock: clk}
	a.observe(5000)
	clk.Advance(minute)
	a.observe(5000) // a snapshot, or an entry that was under way for long
	clk.StepUnix(hour)
	clk.Advance(minute)
	if got := a.advance(0); got != 5000+2*minute {
		t.Errorf("%v, want %v", got, 5000+2*minute)
	}
	a.observe(5000 + 10*minute) // of a leader that is ahead
	if got := a.advance(0); got != 5000+10*minute {
		t.Errorf("%v after another leader's %v", got, 5000+10*minute)
	}
}

// A command's ends move with its proposer's clock, and only to later; a purge keeps a later date.
func TestStamp(t *testing.T) {
	for name, x := range map[string]struct{ in, want command }{
		"right":               {command{Op: "hold", At: 1000, Until: 5000}, command{Op: "hold", At: 1000, Until: 5000}},
		"proposer ahead":      {command{Op: "hold", At: 3000, Until: 5000}, command{Op: "hold", At: 1000, Until: 5000}},
		"both before agreed":  {command{Op: "hold", At: 900, Until: 5000}, command{Op: "hold", At: 1000, Until: 5100}},
		"proposer behind":     {command{Op: "hold", At: 400, Until: 5000}, command{Op: "hold", At: 1000, Until: 5600}},
		"proposer in 1970":    {command{Op: "hold", At: -9e9, Until: 5000}, command{Op: "hold", At: 1000, Until: 5000 + maxProposerLag}},
		"no end":              {command{Op: opPut, At: 400}, command{Op: opPut, At: 1000}},
		"purge, all later":    {command{Op: opPurge, At: 1700}, command{Op: opPurge, At: 1700, Agreed: 1000}},
		"purge, from ahead":   {command{Op: opPurge, At: 3000}, command{Op: opPurge, At: 2000, Agreed: 1000}},
		"purge, from behind":  {command{Op: opPurge, At: 400}, command{Op: opPurge, At: 1000}},
		"a proposer's agreed": {command{Op: opPut, At: 400, Agreed: 9000}, command{Op: opPut, At: 1000}},
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

// An old log is applied as before: its proposers' times count, and the agreed time continues from the highest.
func TestOldLogMeansWhatItMeant(t *testing.T) {
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
		{`{"op":"hold","name":"b","owner":"y","at":605000,"until":700000}`, false, 2}, // kept for forgetAfter
		{`{"op":"put","name":"policy","at":1300000,"value":1}`, true, 0},
		{`{"op":"hold","name":"b","owner":"y","at":2000,"until":5000}`, true, 1}, // behind the highest time: swept with the next
	} {
		if res := applyEntry(s, uint64(i+1), x.entry); res.OK != x.ok || len(s.Claims) != x.claims {
			t.Errorf("%s: %+v and %d claims, want %v and %d", x.entry, res, len(s.Claims), x.ok, x.claims)
		}
	}
	if s.Latest != 1300000 || s.agreedClock.advance(0) != 1300000 {
		t.Errorf("the agreed time is %v, and %v at the next leader", s.Latest, s.agreedClock.advance(0))
	}
}

// Members of before there was an agreed time, which don't know its field, come to the same state by a new leader's entries.
func TestOldMembersComeToTheSame(t *testing.T) {
	leader := &agreedClock{clock: clock.Manual(began)}
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

// If the agreed time lags, a purge is dated by the clocks that agree on a later time, and its date drops nothing.
func TestDateOfAPurgeForgetsNothing(t *testing.T) {
	clk := clock.Manual(began)
	a := &agreedClock{clock: clk}
	a.observe(began - hour) // all members were away for an hour
	s := newStateMachine()
	for i, c := range []command{
		{Op: "hold", Name: "a", Owner: "x", At: began, Until: began + minute},
		{Op: opPurge, Object: 5, At: began + hour},
		{Op: opPut, Name: "policy", At: began},
	} {
		if _, ok := a.stamp(&c); !ok {
			t.Fatalf("%+v: refused", c)
		}
		at := distribution.Position{Revision: distribution.Revision(i + 1), Term: 1}
		if res, _ := s.applyCommand(at, c); !res.OK {
			t.Fatalf("%+v: %+v", c, res)
		}
	}
	if len(s.Claims) != 1 || len(s.Purges) != 1 || s.Purges[0].At != began || s.Latest != began-hour {
		t.Errorf("%+v", s.persistentState)
	}
}

// An older member that took a lagging group's purge for the time, and leads once it is upgraded, has the agreed time jump to
// the date of that purge at most, and so forgets no claim before its date.
func TestUpgradedMemberForgetsNothing(t *testing.T) {
	for _, step := range []float64{hour, -hour, 0} {
		clk := clock.Manual(began)
		leader := &agreedClock{clock: clk}
		leader.observe(began - hour)
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
			t.Errorf("stepped by %v: a token of a single use was granted twice", step)
		}
	}
}

// A revocation that lasts for a span from now lasts that long, though its gateway's clock is behind.
func TestRevocationFromBehindHolds(t *testing.T) {
	c := newSteppedCluster(t)
	leader := c.leader()
	other := (leader + 1) % 3
	c.propose(leader)
	c.clocks[other].StepUnix(-hour)
	if err := c.stores[other].Revoke(patient(t), "use", c.clocks[other].Unix()+10*minute); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		c.advance(2 * minute)
		c.propose(leader)
		if !c.stores[leader].Revoked("use") {
			t.Fatal("the revocation is forgotten")
		}
	}
}

// simulated is a member without a network.
type simulated struct {
	clock *clock.Clock
	state *stateMachine
}

// simulation is a group of members whose clocks are stepped at random, and the tokens that they take.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	members []simulated
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
		clk, member := clock.Manual(began), newStateMachine()
		member.agreedClock = &agreedClock{clock: clk}
		s.members = append(s.members, simulated{clk, member})
	}
	s.stepped = make([]float64, len(s.members))
	// It may begin with another's clock, or after it was away.
	if begins := []float64{0, -hour, -5 * hour, -24 * hour, hour}[s.random.IntN(5)]; begins != 0 {
		put := fmt.Sprintf(`{"op":"put","name":"policy","value":1,"at":%.0f}`, began+begins)
		for _, m := range s.members {
			applyEntry(m.state, 1, put)
		}
		s.index++
	}
	return s
}

// propose has the leader give a command its times, and all apply it.
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

// use has a member take a token if its clock lets it.
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

// step steps clocks: one, or all alike, to at most an hour off.
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

// However clocks are stepped and whoever leads, no token of a single use is sent twice, and nothing is kept for ever.
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
			t.Errorf("seed %d: %d claims are kept", seed, n)
		}
	}
	if granted < 1000 {
		t.Errorf("only %d uses were granted", granted)
	}
}

// A subscriber keeps a revocation for its span, whatever its wall clock says.
func TestSubscriberForgetsByTheEvenClock(t *testing.T) {
	for _, step := range []float64{hour, -hour} {
		clk, now := clock.Manual(began), time.Unix(1000, 0)
		s := &Subscriber{view: distribution.NewView(nil), opt: SubscriberOptions{
			Clock: clk, Now: func() time.Time { return now },
		}}
		position := distribution.Position{Revision: 1, Term: 1}
		err := s.view.Apply(&distribution.Batch{Changes: []distribution.Change{
			{Position: position, Kind: distribution.KindRevoke, Name: "use", At: began, Until: began + 60_000},
			{Position: distribution.Position{Revision: 2, Term: 1}, Kind: distribution.KindPut, Name: "policy", Value: []byte(`1`), At: began + 61_000},
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

// A leader that is asked for something before it has applied the log of before waits for that: only then it knows the agreed
// time.
func TestLeaderAppliesTheLogBeforeItStamps(t *testing.T) {
	c := newSteppedCluster(t)
	c.keepsToken(c.leader(), func() {
		last := c.stores[c.leader()].raft.LastIndex()
		for voter := range c.stores {
			c.stop(voter)
			c.clocks[voter].StepUnix(hour)
		}
		for voter := range c.stores {
			c.start(voter, nil)
			c.stores[voter].state.mu.Lock() // holds up what is applied: nothing is before there is a leader
		}
		leader := c.stores[c.leader()]
		proposed := make(chan error, 1)
		go func() { proposed <- leader.Put(patient(t), "policy", 1) }()
		eventually(t, "an entry beyond the leader's own first", func() bool { return leader.raft.LastIndex() >= last+2 })
		leader.agreedClock.mu.Lock()
		agreed := leader.agreedClock.value
		leader.agreedClock.mu.Unlock()
		if agreed != 0 {
			t.Errorf("it went by an agreed time of %v", agreed)
		}
		for _, store := range c.stores {
			store.state.mu.Unlock()
		}
		if err := <-proposed; err != nil {
			t.Fatal(err)
		}
	})
}
