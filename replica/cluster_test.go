package replica

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
)

// testTiming is short, but long enough for a busy machine under the race detector.
var testTiming = distribution.Timing{
	BatchDelay:        10 * time.Millisecond,
	HeartbeatInterval: 100 * time.Millisecond,
	LeaseTTL:          1500 * time.Millisecond,
	SilenceTimeout:    700 * time.Millisecond,
	PurgeDeadline:     2 * time.Second,
}

// relaxedTimeouts adjusts the options of voters and subscribers in tests that check that a lease never expires: a busy machine
// alone does not exceed these time-outs.
var relaxedTimeouts = struct {
	voter      func(voter int, opt *Options)
	subscriber func(opt *SubscriberOptions)
}{
	func(_ int, opt *Options) { opt.HeartbeatTimeout = time.Second },
	func(opt *SubscriberOptions) {
		opt.Timing.LeaseTTL = distribution.DefaultLeaseTTL
		opt.Timing.SilenceTimeout = distribution.DefaultSilenceTimeout
	},
}

// eventuallyTimeout is how long a condition may take to come true.
const eventuallyTimeout = 20 * time.Second

// eventually waits for a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not in %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// cluster is a group of voters whose connections to each other go through relays.
type cluster struct {
	t       testing.TB
	members []Member
	dirs    []string
	certs   func() *tls.Config
	client  *tls.Config // of subscribers
	network *network
	limits  distribution.Limits
	adjust  func(voter int, opt *Options)
	stores  []*Store
	joining map[int]bool // voters that were not among the founders
}

// newCluster starts voters. Limits are those of each; adjust may change their options further, and be nil.
func newCluster(t testing.TB, voters int, limits distribution.Limits, adjust func(int, *Options)) *cluster {
	t.Helper()
	c := &cluster{t: t, joining: map[int]bool{}, certs: authority(t), network: newNetwork(t), limits: limits, adjust: adjust}
	c.client = c.certs()
	listeners := make([]net.Listener, voters)
	for i := range listeners {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		c.members = append(c.members, Member{ID: fmt.Sprint("m", i), Addr: listeners[i].Addr().String()})
		c.dirs = append(c.dirs, t.TempDir())
	}
	c.stores = make([]*Store, voters)
	t.Cleanup(c.close)
	for i, listener := range listeners {
		c.start(i, listener)
	}
	return c
}

// prepare gives a further voter an ID, an address and a directory. It is not started.
func (c *cluster) prepare() (voter int) {
	c.t.Helper()
	voter = len(c.members)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	addr := listener.Addr().String()
	if err := listener.Close(); err != nil {
		c.t.Fatal(err)
	}
	c.members = append(c.members, Member{ID: fmt.Sprint("m", voter), Addr: addr})
	c.dirs = append(c.dirs, c.t.TempDir())
	c.stores = append(c.stores, nil)
	c.joining[voter] = true
	return voter
}

// join starts a further voter, which the group has not added yet.
func (c *cluster) join() (voter int) {
	c.t.Helper()
	voter = c.prepare()
	c.start(voter, nil)
	return voter
}

// start starts a voter; with a nil listener, on its former address.
func (c *cluster) start(voter int, listener net.Listener) {
	c.t.Helper()
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.members[voter].Addr); err != nil {
			c.t.Fatal(err)
		}
	}
	opt := Options{
		ID: c.members[voter].ID, Members: c.members, Listener: listener, TLS: c.certs(), Dir: c.dirs[voter],
		Clock: clock.System(), Log: zerolog.Nop(), HeartbeatTimeout: 300 * time.Millisecond,
		Dial: c.network.dialFrom(c.members[voter].ID), Timing: testTiming, Limits: c.limits, Join: c.joining[voter],
	}
	if c.adjust != nil {
		c.adjust(voter, &opt)
	}
	store, err := Open(opt)
	if err != nil {
		c.t.Fatal(err)
	}
	c.stores[voter] = store
}

func (c *cluster) stop(voter int) {
	c.t.Helper()
	store := c.stores[voter]
	c.stores[voter] = nil
	if err := store.Close(); err != nil {
		c.t.Errorf("voter %d: close: %v", voter, err)
	}
}

func (c *cluster) close() {
	for i, store := range c.stores {
		if store != nil {
			c.stop(i)
		}
	}
}

// leader waits for a leader other than some voters, and returns it.
func (c *cluster) leader(except ...int) (leader int) {
	c.t.Helper()
	eventually(c.t, "a leader", func() bool {
		for i, store := range c.stores {
			if store != nil && store.Leads() && !slices.Contains(except, i) {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// follower returns a voter that is not the leader.
func (c *cluster) follower() int { return (c.leader() + 1) % len(c.stores) }

// betweenVoters calls do for the relays between a voter and the others, in both directions.
func (c *cluster) betweenVoters(voter int, do func(*relay)) {
	for i, m := range c.members {
		if i == voter {
			continue
		}
		do(c.network.between(c.members[voter].ID, m.Addr))
		do(c.network.between(m.ID, c.members[voter].Addr))
	}
}

// subscriber opens a subscriber whose connections go through relays of its name.
func (c *cluster) subscriber(name string, voters []Member, adjust func(*SubscriberOptions)) *testSubscriber {
	c.t.Helper()
	s := &testSubscriber{t: c.t, cluster: c, name: name, effects: &recorder{}}
	opt := SubscriberOptions{
		Name: name, Voters: voters, TLS: c.client, Clock: clock.System(), Log: zerolog.Nop(), Effects: s.effects,
		FreshnessChanged: s.recordFreshness, Timing: testTiming, RetryMin: 5 * time.Millisecond, RetryMax: 100 * time.Millisecond,
		Dial: c.network.dialFrom(name),
	}
	if adjust != nil {
		adjust(&opt)
	}
	var err error
	if s.Subscriber, err = OpenSubscriber(opt); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { s.Close() })
	return s
}

// testSubscriber is a subscriber with a record of its notifications.
type testSubscriber struct {
	*Subscriber
	t       testing.TB
	cluster *cluster
	name    string
	effects *recorder
	freshnessLog
}

// freshnessLog records the calls of FreshnessChanged.
type freshnessLog struct {
	mu      sync.Mutex
	changes []bool
}

func (l *freshnessLog) recordFreshness(fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, fresh)
}

// freshnessChanges returns the arguments of the calls so far.
func (l *freshnessLog) freshnessChanges() []bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.changes)
}

// monitor checks continuously that a copy of the state is never reported as complete at a time after the acknowledgement of a
// change that the copy does not contain. recordAcknowledged adds such a change. The check runs until the end of the test.
type monitor struct {
	t      testing.TB
	name   string
	status func() LeaseStatus
	mu     sync.Mutex
	acks   []acknowledgedChange
	stop   chan struct{}
	done   chan struct{}
}

// acknowledgedChange is a change that had been acknowledged to its proposer at a time.
type acknowledgedChange struct {
	revision distribution.Revision
	at       time.Time
}

func (s *testSubscriber) monitor() *monitor {
	return startMonitor(s.t, s.name, func() LeaseStatus { return s.Status().LeaseStatus })
}

func startMonitor(t testing.TB, name string, status func() LeaseStatus) *monitor {
	m := &monitor{t: t, name: name, status: status, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		for {
			m.check()
			select {
			case <-m.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(m.end)
	return m
}

// recordAcknowledged adds the last change of a store, which was acknowledged before the call.
func (m *monitor) recordAcknowledged(by *Store) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acks = append(m.acks, acknowledgedChange{by.Position().Revision, time.Now()})
}

func (m *monitor) check() {
	m.mu.Lock()
	acks := m.acks
	m.mu.Unlock()
	status := m.status()
	for _, a := range acks {
		if status.CompleteAt.After(a.at) && status.Position.Revision < a.revision {
			m.t.Errorf("%s reports to be complete at %v after the acknowledgement of revision %d, but is at %d",
				m.name, status.CompleteAt.Sub(a.at), a.revision, status.Position.Revision)
		}
	}
}

func (m *monitor) end() {
	close(m.stop)
	<-m.done
}

// gatewayPreferring returns a name of a gateway that tries a given voter first.
func (c *cluster) gatewayPreferring(voter int) string {
	var addrs []string
	for _, m := range c.members {
		addrs = append(addrs, m.Addr)
	}
	for i := 0; ; i++ {
		name := fmt.Sprint("gateway-", i)
		if distribution.VoterOrder(name, addrs)[0] == c.members[voter].Addr {
			return name
		}
	}
}

// put sets a configuration value through the leader.
func (c *cluster) put(name string, value any) {
	c.t.Helper()
	if err := c.stores[c.leader()].Put(testContext(c.t), name, value); err != nil {
		c.t.Fatal(err)
	}
}

// hasPolicy reports whether a voter has a value of the configuration "policy".
func (c *cluster) hasPolicy(voter int, want string) bool {
	var policy string
	_, err := c.stores[voter].Get("policy", &policy)
	return err == nil && policy == want
}

// awaitVoter waits until a voter has reached the leader's position.
func (c *cluster) awaitVoter(voter int) {
	c.t.Helper()
	at := c.stores[c.leader()].Position()
	eventually(c.t, fmt.Sprintf("voter %d at %v", voter, at), func() bool { return c.stores[voter].Position() == at })
}

// purge purges consecutive objects through the leader, up to 32 at a time.
func (c *cluster) purge(first, count uint64) {
	c.t.Helper()
	leader := c.stores[c.leader()]
	var group errgroup.Group
	group.SetLimit(32)
	for object := first; object < first+count; object++ {
		group.Go(func() error { return leader.Purge(testContext(c.t), object, 0) })
	}
	if err := group.Wait(); err != nil {
		c.t.Fatal(err)
	}
}

// relay returns the relay from the subscriber to a voter.
func (s *testSubscriber) relay(voter int) *relay {
	return s.cluster.network.between(s.name, s.cluster.members[voter].Addr)
}

// relays calls do for the relays from the subscriber to all voters.
func (s *testSubscriber) relays(do func(*relay)) {
	for i := range s.cluster.members {
		do(s.relay(i))
	}
}

// awaitPosition waits until the subscriber has reached a voter's position.
func (s *testSubscriber) awaitPosition(at distribution.Position) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("%s at %v", s.name, at), func() bool { return s.Status().Position == at })
}

// awaitFresh waits until the subscriber is fresh.
func (s *testSubscriber) awaitFresh() {
	s.t.Helper()
	eventually(s.t, s.name+" fresh", s.Fresh)
}

// recorder records effects.
type recorder struct {
	mu         sync.Mutex
	configured []string
	purged     []distribution.Change
	missed     []int64
}

func (r *recorder) Configured(name string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configured = append(r.configured, name+"="+string(value))
}

func (r *recorder) Purged(c distribution.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purged = append(r.purged, c)
}

func (r *recorder) PurgesMissed(before int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missed = append(r.missed, before)
}

// objects returns the objects of the purges, in order.
func (r *recorder) objects() (objects []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.purged {
		objects = append(objects, c.Object)
	}
	return objects
}

// receiveMessage reads and decodes a voter's message.
func receiveMessage(t testing.TB, conn net.Conn) (message voterMessage) {
	t.Helper()
	block, err := readBlock(conn, maxVoterMessage)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(block, &message); err != nil {
		t.Fatal(err)
	}
	return message
}
