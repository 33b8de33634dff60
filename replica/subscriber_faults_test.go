package replica

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// newSubscriberDigest returns the position and the digest of a new subscriber once it is fresh.
func (c *cluster) newSubscriberDigest(name string) (distribution.Position, uint64) {
	c.t.Helper()
	s := c.subscriber(name, c.members, nil)
	s.awaitFresh()
	status := s.Status()
	return status.Position, status.Digest
}

// checkEachOnceInOrder checks that each of want purges was received once, in the order of the log.
func checkEachOnceInOrder(t *testing.T, effects *recorder, want int) {
	t.Helper()
	effects.mu.Lock()
	defer effects.mu.Unlock()
	var last distribution.Revision
	seen := map[uint64]bool{}
	for _, purge := range effects.purged {
		if purge.Revision <= last {
			t.Errorf("purge of revision %d received after revision %d", purge.Revision, last)
		}
		if seen[purge.Object] {
			t.Errorf("purge of object %d received twice", purge.Object)
		}
		last, seen[purge.Object] = purge.Revision, true
	}
	if len(seen) != want {
		t.Errorf("%d purges received, want %d", len(seen), want)
	}
}

// A subscriber that was disconnected for longer than the journal reaches back resumes with a snapshot, and misses no change.
func TestResumeAtCompactedRevision(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{JournalChanges: 32}, nil)
	c.purge(1, 5)
	s := c.subscriber("gateway", c.members, nil)
	s.awaitFresh()
	before := s.Status().Snapshots
	s.relays((*relay).cut)
	c.purge(6, 200)
	c.put("policy", "after")
	s.relays((*relay).heal)
	s.awaitPosition(c.stores[c.leader()].Position())
	if after := s.Status().Snapshots; after != before+1 {
		t.Errorf("%d snapshots, want one more than %d", after, before)
	}
	checkEachOnceInOrder(t, s.effects, 205)
	if at, digest := c.newSubscriberDigest("another"); at != s.Status().Position || digest != s.Status().Digest {
		t.Error("the state differs from that of a new subscriber")
	}
}

// A voter is stopped when it has sent half of a batch. Its subscriber resumes at another voter and receives each change once, in
// order.
func TestVoterKilledInBatch(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	killed := c.follower()
	s := c.subscriber(c.gatewayPreferring(killed), c.members, nil)
	s.awaitFresh()
	c.purge(1, 20)
	s.awaitPosition(c.stores[c.leader()].Position())

	voterRelay := s.relay(killed)
	voterRelay.stallAfter(toDialer, 8<<10) // a batch of the purges below has about 40 kB
	c.purge(21, 400)
	eventually(t, "the batch to be half sent", func() bool { return voterRelay.stalled(toDialer) })
	c.stop(killed)
	voterRelay.cut()
	c.purge(421, 10)
	s.awaitPosition(c.stores[c.leader()].Position())
	checkEachOnceInOrder(t, s.effects, 430)
	if snapshots := s.Status().Snapshots; snapshots > 0 {
		t.Errorf("%d snapshots, but the journal reached back far enough", snapshots)
	}
}

// The leader is partitioned from the other voters while subscribers watch it. It issues no marks, so it makes no subscriber
// fresh once the others may have acknowledged changes. A subscriber that knows other voters connects to one of them and is
// fresh again, with the changes.
func TestLeaderPartitioned(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	old := c.leader()
	free := c.subscriber(c.gatewayPreferring(old), c.members, nil)
	bound := c.subscriber("bound", c.members[old:old+1], nil)
	free.awaitFresh()
	bound.awaitFresh()
	if voter := free.Status().Voter; voter != c.members[old].Addr {
		t.Fatalf("watches %s, not the leader", voter)
	}
	monitors := []*monitor{free.monitor(), bound.monitor()}

	c.betweenVoters(old, func(r *relay) { r.stall(toTarget, toDialer) })
	elected := c.leader(old)
	if err := c.stores[elected].Put(testContext(t), "policy", "after"); err != nil {
		t.Fatal(err)
	}
	for _, m := range monitors {
		m.recordAcknowledged(c.stores[elected])
	}
	acknowledgedAt := time.Now()
	eventually(t, "the subscriber of only the old leader to be stale", func() bool { return !bound.Fresh() })
	eventually(t, "the subscriber of all voters to be complete again", func() bool { return free.Status().CompleteAt.After(acknowledgedAt) })
	free.awaitFresh()
	var policy string
	if _, err := free.Get("policy", &policy); err != nil || policy != "after" {
		t.Errorf("policy %q, %v", policy, err)
	}
	if bound.Fresh() {
		t.Error("the partitioned leader made a subscriber fresh")
	}

	c.betweenVoters(old, (*relay).heal)
	bound.awaitFresh()
	if _, err := bound.Get("policy", &policy); err != nil || policy != "after" {
		t.Errorf("policy %q, %v", policy, err)
	}
}

// Everything that the voter sends is delayed by more than the lease's TTL. Marks that arrive late do not make the state fresh:
// a mark renews the lease from the time at which its heartbeat was sent.
func TestDelayedMarksDoNotMakeFresh(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	voter := c.follower()
	s := c.subscriber("gateway", c.members[voter:voter+1], func(opt *SubscriberOptions) {
		opt.Timing.SilenceTimeout = 2 * testTiming.LeaseTTL // it keeps the connection, and receives what was delayed
	})
	s.awaitFresh()
	m := s.monitor()
	voterRelay := s.relay(voter)
	voterRelay.stall(toDialer)
	c.put("policy", "after")
	m.recordAcknowledged(c.stores[c.leader()])
	eventually(t, "stale", func() bool { return !s.Fresh() })
	voterRelay.slow(20 * time.Millisecond)
	voterRelay.release()
	s.awaitFresh()
	var policy string
	if _, err := s.Get("policy", &policy); err != nil || policy != "after" {
		t.Errorf("fresh with policy %q, %v", policy, err)
	}
	if status := s.Status(); status.Reconnects != 0 {
		t.Errorf("%d reconnects", status.Reconnects)
	}
}

// A subscriber is disconnected for longer than its lease's TTL. It becomes stale, begins no claims, and bounds the age of cached
// copies once a purge older than the purge deadline may be missing. It is fresh again only when its state is complete.
func TestDisconnectedLongerThanLease(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	c.put("policy", "before")
	s := c.subscriber("gateway", c.members, nil)
	s.awaitFresh()
	hold := claims.Step{Op: claims.Hold, Owner: "a", Until: 1e15}
	if _, ok, err := s.Step(testContext(t), "begun", hold); !ok || err != nil {
		t.Fatalf("hold: %v, %v", ok, err)
	}
	watch := s.monitor()

	s.relays(func(r *relay) { r.stall(toTarget, toDialer) })
	c.put("policy", "after")
	c.purge(1, 1)
	watch.recordAcknowledged(c.stores[c.leader()])
	eventually(t, "stale", func() bool { return !s.Fresh() })
	if _, _, err := s.Step(testContext(t), "new", hold); !errors.Is(err, ErrStale) {
		t.Errorf("hold while stale: %v", err)
	}
	eventually(t, "a bound for the age of copies", func() bool { return s.MaxCopyAge() != 0 })
	if status := s.Status(); status.CompleteAge < testTiming.PurgeDeadline {
		t.Errorf("the age of copies is bounded already %v after the state was complete", status.CompleteAge)
	}
	if age := s.MaxCopyAge(); age > testTiming.PurgeDeadline {
		t.Errorf("copies of age %v may be served", age)
	}

	s.relays((*relay).heal)
	s.awaitFresh()
	var policy string
	if _, err := s.Get("policy", &policy); err != nil || policy != "after" {
		t.Errorf("fresh with policy %q, %v", policy, err)
	}
	if objects := s.effects.objects(); !slices.Equal(objects, []uint64{1}) {
		t.Errorf("fresh with purges %v", objects)
	}
	if age := s.MaxCopyAge(); age != 0 {
		t.Errorf("the age of copies is bounded to %v although the state is fresh", age)
	}
	eventually(t, "notification of each change of freshness", func() bool { return slices.Equal(s.freshnessChanges(), []bool{true, false, true}) })
	if _, ok, err := s.Step(testContext(t), "begun", claims.Step{Op: claims.Send, Owner: "a"}); !ok || err != nil {
		t.Errorf("send of the claim begun before: %v, %v", ok, err)
	}
}

// A stale subscriber still performs the further steps of claims that it has begun, and begins no new ones. In this test only
// its watch is lost, not its connection to the leader.
func TestStaleSubscriberContinuesClaims(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	s := c.subscriber("gateway", c.members, nil)
	s.awaitFresh()
	if _, ok, err := s.Step(testContext(t), "k", claims.Step{Op: claims.Hold, Owner: "a", Until: 1e15}); !ok || err != nil {
		t.Fatalf("hold: %v, %v", ok, err)
	}
	s.cancel() // ends the watch; Step still makes one attempt, but no retries, as the subscriber counts as closed
	<-s.ended
	eventually(t, "stale", func() bool { return !s.Fresh() })
	if _, ok, err := s.Step(testContext(t), "k", claims.Step{Op: claims.Send, Owner: "a"}); !ok || err != nil {
		t.Errorf("send: %v, %v", ok, err)
	}
	if _, _, err := s.Step(testContext(t), "l", claims.Step{Op: claims.Hold, Owner: "a", Until: 1e15}); !errors.Is(err, ErrStale) {
		t.Errorf("hold: %v", err)
	}
}

// A subscriber stops reading. The voter disconnects it and serves its other subscribers as before. The subscriber resumes with a
// snapshot.
func TestSubscriberStopsReading(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{JournalBytes: 2 << 20}, relaxedTimeouts.voter)
	voter := c.follower()
	stopped := c.subscriber("stopped", c.members[voter:voter+1], nil)
	other := c.subscriber("other", c.members[voter:voter+1], relaxedTimeouts.subscriber)
	stopped.awaitFresh()
	other.awaitFresh()
	before := stopped.Status().Snapshots

	stopped.relay(voter).stall(toDialer)
	for i := range 3 {
		c.put(fmt.Sprint("large-", i), strings.Repeat("x", 1<<20-2))
		other.awaitPosition(c.stores[c.leader()].Position()) // the journal holds at most two of these values
	}
	eventually(t, "the subscriber to be disconnected", func() bool {
		subscribers, _ := c.stores[voter].Subscribers()
		return subscribers == 1
	})
	if changes := other.freshnessChanges(); !slices.Equal(changes, []bool{true}) {
		t.Errorf("the other subscriber's freshness changed to %v", changes)
	}
	stopped.relay(voter).heal()
	stopped.awaitPosition(c.stores[c.leader()].Position())
	if after := stopped.Status().Snapshots; after <= before {
		t.Errorf("%d snapshots, %d before", after, before)
	}
	if stopped.Status().Digest != other.Status().Digest {
		t.Error("the states differ")
	}
}

// A subscriber never reads, but keeps sending heartbeats. The voter disconnects it, and serves its other subscribers meanwhile.
func TestWatchThatNeverReads(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, relaxedTimeouts.voter)
	voter := c.follower()
	other := c.subscriber("other", c.members[voter:voter+1], relaxedTimeouts.subscriber)
	other.awaitFresh()
	conn, err := newDialer(c.client, nil).dial(testContext(t), c.members[voter].Addr, connWatch)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(conn)
	ended := make(chan error, 1)
	go func() { ended <- heartbeatsOnly(conn) }()
	eventually(t, "two subscribers", func() bool {
		subscribers, _ := c.stores[voter].Subscribers()
		return subscribers == 2
	})
	for i := 0; ; i++ {
		c.put("large", fmt.Sprint(i, strings.Repeat("x", 1<<19)))
		c.awaitVoter(voter) // it sends only what it has applied
		if subscribers, _ := c.stores[voter].Subscribers(); subscribers == 1 {
			break
		}
		if i == 40 {
			t.Fatal("not disconnected after 20 MiB")
		}
	}
	if err := <-ended; err == nil {
		t.Error("its connection was not closed")
	}
	other.awaitPosition(c.stores[c.leader()].Position())
	other.awaitFresh()
	if changes := other.freshnessChanges(); !slices.Equal(changes, []bool{true}) {
		t.Errorf("the other subscriber's freshness changed to %v", changes)
	}
}

// heartbeatsOnly subscribes and sends heartbeats until its connection ends. It reads nothing.
func heartbeatsOnly(conn net.Conn) error {
	message, err := encodeBlock(subscribeRequest{Name: "never reads", Heartbeat: 1})
	if err != nil {
		return nil
	}
	for number := uint64(2); ; number++ {
		if _, err := conn.Write(message); err != nil {
			return err
		}
		if message, err = encodeBlock(heartbeatMessage{Heartbeat: number}); err != nil {
			return nil
		}
		time.Sleep(testTiming.HeartbeatInterval)
	}
}

// The state changes while a snapshot of it is being sent: the changes are sent after the snapshot.
func TestStateChangesDuringSnapshotTransfer(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{JournalChanges: 64}, func(_ int, opt *Options) {
		opt.Timing.SilenceTimeout = 5 * time.Second // the stall below must not end the connection
	})
	for i := range 3 {
		c.put(fmt.Sprint("large-", i), strings.Repeat("x", 1<<20-2))
	}
	c.purge(1, 70) // the journal no longer reaches back to the beginning
	voter := c.follower()
	c.awaitVoter(voter)
	s := c.subscriber("gateway", c.members[voter:voter+1], func(opt *SubscriberOptions) {
		opt.RetryMin, opt.RetryMax = time.Millisecond, time.Millisecond
		opt.Timing.SilenceTimeout = 5 * time.Second
	})
	voterRelay := s.relay(voter)
	voterRelay.stallAfter(toDialer, 256<<10)
	eventually(t, "a snapshot transfer to be in progress", func() bool {
		_, snapshots := c.stores[voter].Subscribers()
		return snapshots == 1 && voterRelay.stalled(toDialer)
	})
	c.put("large-0", "changed")
	c.put("new", "new")
	c.purge(71, 5)
	if _, snapshots := c.stores[voter].Subscribers(); snapshots != 1 {
		t.Fatal("the snapshot was sent before the state changed")
	}
	voterRelay.heal()
	s.awaitPosition(c.stores[c.leader()].Position())
	s.awaitFresh()
	if snapshots := s.Status().Snapshots; snapshots != 1 {
		t.Errorf("%d snapshots", snapshots)
	}
	checkEachOnceInOrder(t, s.effects, 75)
	var value string
	if _, err := s.Get("large-0", &value); err != nil || value != "changed" {
		t.Errorf("value of %d bytes, %v", len(value), err)
	}
	if at, digest := c.newSubscriberDigest("another"); at != s.Status().Position || digest != s.Status().Digest {
		t.Error("the state differs from that of a new subscriber")
	}
}

// A tenth of the subscribers reconnects at once and needs snapshots, of which only two may be sent at a time. All become fresh,
// and the freshness of the others does not change.
func TestManySubscribersReconnectAtOnce(t *testing.T) {
	const all, back, transfers = 200, 20, 2
	// The default timing, as a busy machine serves this number of subscribers slowly under the race detector.
	c := newCluster(t, 3, distribution.Limits{JournalChanges: 64, ConcurrentSnapshots: transfers}, func(_ int, opt *Options) {
		opt.Timing, opt.HeartbeatTimeout = distribution.Timing{}, 2*time.Second
	})
	c.put("large", strings.Repeat("x", 256<<10))
	subscribers := make([]*testSubscriber, all)
	for i := range subscribers {
		subscribers[i] = c.subscriber(fmt.Sprint("gateway-", i), c.members, func(opt *SubscriberOptions) {
			opt.Timing = distribution.Timing{}
		})
	}
	for _, s := range subscribers {
		s.awaitFresh()
	}
	watched := make([]*monitor, back)
	for i, s := range subscribers[:back] {
		s.relays((*relay).cut)
		watched[i] = s.monitor()
	}
	steady := make([]int, all)
	for i, s := range subscribers[back:] {
		steady[back+i] = len(s.freshnessChanges())
	}
	// The purges are made in groups that the others receive before the journal, which holds 64 changes, drops them.
	const groups, group = 6, 30
	for i := range uint64(groups) {
		c.purge(1+i*group, group)
		target := c.stores[c.leader()].Position()
		eventually(t, "the others to receive the purges", func() bool {
			time.Sleep(20 * time.Millisecond) // polling all subscribers takes CPU time itself
			return !slices.ContainsFunc(subscribers[back:], func(s *testSubscriber) bool { return s.Status().Position != target })
		})
	}
	target := c.stores[c.leader()].Position()
	for _, m := range watched {
		m.recordAcknowledged(c.stores[c.leader()])
	}
	for _, s := range subscribers[:back] {
		s.relays((*relay).heal)
	}
	term := c.stores[0].raft.CurrentTerm()
	eventually(t, "all to be fresh again", func() bool {
		time.Sleep(20 * time.Millisecond) // polling all subscribers takes CPU time itself
		for _, store := range c.stores {
			if _, snapshots := store.Subscribers(); snapshots > transfers {
				t.Errorf("%d snapshots are being sent", snapshots)
			}
		}
		for _, s := range subscribers {
			if s.Status().Position != target || !s.Fresh() {
				return false
			}
		}
		return true
	})
	digest := subscribers[0].Status().Digest
	for i, s := range subscribers {
		if s.Status().Digest != digest {
			t.Errorf("%s: its digest differs", s.name)
		}
		if i >= back && len(s.freshnessChanges()) != steady[i] {
			t.Errorf("%s: freshness changed to %v; term %d, %d before", s.name, s.freshnessChanges(), c.stores[0].raft.CurrentTerm(), term)
		}
	}
}

// A change of almost 1 MiB among small ones is delivered in the order of the log.
func TestLargeChangeKeepsOrder(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	s := c.subscriber("gateway", c.members, nil)
	s.awaitFresh()
	large := strings.Repeat("<", 1<<17) // escaped for HTML by Put: six bytes each
	var want []string
	for i := range 30 {
		name := fmt.Sprint("piece-", i)
		if i%10 == 5 {
			c.put(name, large)
		} else {
			c.put(name, i)
		}
		want = append(want, name)
	}
	s.awaitPosition(c.stores[c.leader()].Position())
	s.awaitFresh()
	s.effects.mu.Lock()
	defer s.effects.mu.Unlock()
	var got []string
	for _, configured := range s.effects.configured {
		name, _, _ := strings.Cut(configured, "=")
		got = append(got, name)
	}
	if !slices.Equal(got, want) {
		t.Errorf("configured %v, want %v", got, want)
	}
	var value string
	if _, err := s.Get("piece-5", &value); err != nil || value != large {
		t.Errorf("a value of %d bytes, %v", len(value), err)
	}
}
