package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The simulation runs voters, gateways and the connections between them in virtual time, from a seed. The replicated log is a
// model (cluster); Publisher, View, Lease, MemberLease, Backoff, VoterOrder and VoterChoice are the real ones. A checker
// watches every step.

// Sizes and times of a simulation.
const (
	simVoters   = 3
	simGateways = 10

	simFaultsStart = 2 * time.Second
	simFaultsEnd   = 22 * time.Second
	// simMaxRecovery is the time within which every gateway is fresh after the faults have ended. It has to cover a silence
	// timeout, one or two rejections by each voter, an election, a snapshot and a confirmation round.
	simMaxRecovery = 12 * time.Second
	simEnd         = simFaultsEnd + simMaxRecovery + 5*time.Second

	simTick = 50 * time.Millisecond

	// The retention of purges in snapshots is between these, and short, so that some purges are missed.
	simMinPurgeRetention = 5 * time.Second
	simMaxPurgeRetention = 30 * time.Second
)

// simLimits are small, so that simulations reach them.
var simLimits = Limits{JournalChanges: 48, Subscribers: 7, ConcurrentSnapshots: 2, BatchBytes: 8 * changeOverhead}

// simEpoch is the start of a simulation by the clock of the voters.
var simEpoch = time.Unix(1_700_000_000, 0)

// simulation is the state of a simulation. Its events run sequentially.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence uint64

	mutation       mutation
	purgeRetention time.Duration
	cluster        *cluster
	voters         []*voter
	gateways       []*gateway
	checker        *checker
}

// newSimulation sets up a simulation with the faults of a seed.
func newSimulation(seed uint64, m mutation) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), mutation: m}
	s.purgeRetention = s.randomBetween(simMinPurgeRetention, simMaxPurgeRetention)
	s.cluster = newCluster(s)
	s.checker = newChecker(s)
	for i := range simVoters {
		s.voters = append(s.voters, newVoter(s, fmt.Sprintf("voter-%d", i)))
	}
	for i := range simGateways {
		s.gateways = append(s.gateways, newGateway(s, fmt.Sprintf("gateway-%d", i)))
	}
	s.cluster.start()
	for _, v := range s.voters {
		v.start()
	}
	for _, g := range s.gateways {
		g.start()
	}
	s.scheduleFaults()
	s.checker.start()
	return s
}

// run runs the events until the end or the first violation, which it returns.
func (s *simulation) run() error {
	for s.now < simEnd && s.checker.violation == nil {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.run()
	}
	return s.checker.violation
}

// after runs a function after a delay.
func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, &event{at: s.now + delay, sequence: s.sequence, run: run})
}

// every runs a function at an interval, starting at a random time within the first interval.
func (s *simulation) every(interval time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		s.after(interval, repeat)
	}
	s.after(s.randomUpTo(interval), repeat)
}

// clock returns the time of the voters.
func (s *simulation) clock() time.Time { return simEpoch.Add(s.now) }

// randomBetween returns a uniformly distributed duration.
func (s *simulation) randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + s.randomUpTo(longest-shortest)
}

func (s *simulation) randomUpTo(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest) + 1))
}

// chance returns true with a probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// event is a function to run at a time.
type event struct {
	at       time.Duration
	sequence uint64 // events of the same time run in the order in which they were scheduled
	run      func()
}

// eventQueue is a heap of events.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
