package replica

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// forwardingFollower is a follower that forwards commands to the leader through a relay.
type forwardingFollower struct {
	*Store
	t     *testing.T
	relay *relay // to the leader
}

func newForwardingFollower(t *testing.T) *forwardingFollower {
	// The heartbeat timeout is long, so that no other leader is elected during the test.
	c := newCluster(t, 3, distribution.Limits{}, func(_ int, opt *Options) { opt.HeartbeatTimeout = 2 * time.Second })
	leader := c.leader()
	follower := c.follower()
	c.awaitVoter(follower)
	eventually(t, "the follower to know the leader", func() bool {
		addr, _ := c.stores[follower].raft.LeaderWithID()
		return string(addr) == c.members[leader].Addr
	})
	return &forwardingFollower{
		Store: c.stores[follower], t: t, relay: c.network.between(c.members[follower].ID, c.members[leader].Addr),
	}
}

// hold makes the first step of a claim.
func (c *forwardingFollower) hold(name string) {
	c.t.Helper()
	if _, ok, err := c.Step(testContext(c.t), name, claims.Step{Op: claims.Hold, Owner: "o", Until: 1e15}); !ok || err != nil {
		c.t.Fatalf("%s: %v, %v", name, ok, err)
	}
}

// connectionsOpened returns the number of connections to the leader that are opened during do.
func (c *forwardingFollower) connectionsOpened(do func()) int {
	before, _ := c.relay.count()
	do()
	after, _ := c.relay.count()
	return after - before
}

// idleConns returns the number of pooled connections.
func (c *forwardingFollower) idleConns() int {
	c.leaderConns.mu.Lock()
	defer c.leaderConns.mu.Unlock()
	return len(c.leaderConns.idle)
}

// Consecutive steps of claims reuse a connection to the leader. Proposals that are not idempotent use a new one each.
func TestClaimStepsReuseConnection(t *testing.T) {
	c := newForwardingFollower(t)
	steps := c.connectionsOpened(func() {
		for i := range 20 {
			c.hold(fmt.Sprint("use-", i))
		}
	})
	if steps != 1 {
		t.Errorf("20 steps used %d connections", steps)
	}
	puts := c.connectionsOpened(func() {
		for i := range 3 {
			if err := c.Put(testContext(t), "policy", i); err != nil {
				t.Fatal(err)
			}
		}
	})
	if puts != 3 {
		t.Errorf("3 values used %d connections", puts)
	}
}

// A pooled connection is lost: it was closed, or it stops delivering data while new connections work. The next step uses a
// new connection, and is granted to its owner.
func TestReusedConnectionIsLost(t *testing.T) {
	for name, lose := range map[string]func(r *relay){
		"closed":  func(r *relay) { r.cut(); r.heal() },
		"stalled": (*relay).freeze,
	} {
		t.Run(name, func(t *testing.T) {
			c := newForwardingFollower(t)
			c.hold("use")
			lose(c.relay)
			begun := time.Now()
			c.hold("use")
			if took := time.Since(begun); took > forwardResponseTimeout {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// The pool of connections is bounded, whatever the number of concurrent proposals. Idle connections are closed after
// idleConnTTL, and none is pooled after close.
func TestIdleConnectionsAreBounded(t *testing.T) {
	c := newForwardingFollower(t)
	var steps sync.WaitGroup
	for i := range 40 {
		steps.Go(func() {
			if _, ok, err := c.Step(testContext(t), fmt.Sprint("use-", i), claims.Step{Op: claims.Hold, Owner: "o", Until: 1e15}); !ok || err != nil {
				t.Errorf("%d: %v, %v", i, ok, err)
			}
		})
	}
	steps.Wait()
	if kept := c.idleConns(); kept == 0 || kept > maxIdleConns {
		t.Errorf("%d connections are pooled", kept)
	}
	c.leaderConns.mu.Lock()
	for i := range c.leaderConns.idle {
		c.leaderConns.idle[i].since = time.Now().Add(-idleConnTTL)
	}
	c.leaderConns.mu.Unlock()
	if conn := c.leaderConns.takeIdle(c.leaderConns.addr); conn != nil {
		t.Error("a connection that was idle for idleConnTTL is reused")
	}
	if kept := c.idleConns(); kept != 0 {
		t.Errorf("%d connections are still pooled after idleConnTTL", kept)
	}
	c.hold("last")
	c.leaderConns.close()
	if kept := c.idleConns(); kept != 0 {
		t.Errorf("%d connections are left after close", kept)
	}
	c.hold("after close") // is still executed, and pools nothing
	if kept := c.idleConns(); kept != 0 {
		t.Errorf("%d connections are pooled after close", kept)
	}
}

// A leader without a slot for idle connections executes a proposal and closes the connection. A leader without a slot for
// proposals rejects one on a reused connection, and the proposal is retried.
func TestLeaderHasNoFreeSlots(t *testing.T) {
	// A leader elected meanwhile would have free slots.
	c := newCluster(t, 3, distribution.Limits{}, func(_ int, opt *Options) { opt.HeartbeatTimeout = 2 * time.Second })
	leader := c.stores[c.leader()]
	follower := c.stores[c.follower()]
	hold := func(name string) {
		t.Helper()
		if _, ok, err := follower.Step(testContext(t), name, claims.Step{Op: claims.Hold, Owner: "o", Until: 1e15}); !ok || err != nil {
			t.Fatalf("%s: %v, %v", name, ok, err)
		}
	}
	hold("first")
	forwards := leader.transport.slots[connForward]
	// The leader releases the slot after its response.
	eventually(t, "an idle connection to occupy no slot for proposals", func() bool { return len(forwards) == 0 })
	for range maxForwardConns {
		if !forwards.tryAcquire() {
			t.Fatal("a slot is occupied without a proposal")
		}
	}
	done := make(chan error, 1)
	go func() {
		_, _, err := follower.Step(testContext(t), "second", claims.Step{Op: claims.Hold, Owner: "o", Until: 1e15})
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("executed without a slot: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	for range maxForwardConns {
		forwards.release()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}

	kept := 0
	for leader.transport.idleForwardSlots.tryAcquire() {
		kept++
	}
	hold("third")
	hold("fourth")
	for range kept {
		leader.transport.idleForwardSlots.release()
	}
}
