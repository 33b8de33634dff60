package replica

import (
	"fmt"
	"slices"
	"testing"

	"turnfork.dev/turnfork/distribution"
)

// leasedMember is a member of a cluster with what its gateway was notified of.
type leasedMember struct {
	effects recorder
	freshnessLog
}

// newLeasedCluster starts voters that each keep a lease on their own state.
func newLeasedCluster(t *testing.T, voters int) (*cluster, []*leasedMember) {
	t.Helper()
	members := make([]*leasedMember, voters)
	for i := range members {
		members[i] = &leasedMember{}
	}
	c := newCluster(t, voters, distribution.Limits{}, func(voter int, opt *Options) {
		opt.OwnLease = true
		if voter < voters { // others join later
			opt.FreshnessChanged = members[voter].recordFreshness
			opt.Purged = members[voter].effects.Purged
		}
	})
	return c, members
}

// awaitAllFresh waits until every voter is fresh.
func (c *cluster) awaitAllFresh() {
	c.t.Helper()
	for i, store := range c.stores {
		eventually(c.t, fmt.Sprintf("voter %d fresh", i), store.Fresh)
	}
}

// A voter is cut off from the others by silence: the leader, which considers itself the leader for a while, or one that
// follows. Its own gateway does not rely on its copy beyond the lease, while the others agree on changes; it is fresh again only
// with all of them.
func TestMemberCutOffIsStale(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			c, members := newLeasedCluster(t, 3)
			c.awaitAllFresh()
			cutOff := c.leader()
			if role == "follower" {
				cutOff = c.follower()
			}
			store := c.stores[cutOff]
			monitor := startMonitor(t, role, store.LeaseStatus)

			c.betweenVoters(cutOff, func(r *relay) { r.stall(toTarget, toDialer) })
			elected := c.leader(cutOff)
			if err := c.stores[elected].Purge(testContext(t), 7, 0); err != nil {
				t.Fatal(err)
			}
			monitor.recordAcknowledged(c.stores[elected])
			eventually(t, "the voter that is cut off to be stale", func() bool { return !store.Fresh() })
			eventually(t, "a bound on the age of copies", func() bool { return store.MaxCopyAge() > 0 })
			eventually(t, "notified of it", func() bool { return slices.Equal(members[cutOff].freshnessChanges(), []bool{true, false}) })
			if objects := members[cutOff].effects.objects(); len(objects) > 0 {
				t.Errorf("it knows the purge, so it is not cut off: %v", objects)
			}
			for i, other := range c.stores {
				if i != cutOff {
					eventually(t, "the others fresh", other.Fresh)
				}
			}

			c.betweenVoters(cutOff, (*relay).heal)
			eventually(t, "fresh again", store.Fresh)
			if objects := members[cutOff].effects.objects(); !slices.Equal(objects, []uint64{7}) {
				t.Errorf("fresh with the purges %v", objects)
			}
		})
	}
}

// The responses between members are delayed by more than the lease. They make no voter fresh when they arrive: a round counts
// from its beginning.
func TestMemberConfirmationHeldUp(t *testing.T) {
	c, _ := newLeasedCluster(t, 3)
	c.awaitAllFresh()
	follower := c.follower()
	store := c.stores[follower]
	monitor := startMonitor(t, "follower", store.LeaseStatus)

	c.betweenVoters(follower, func(r *relay) { r.stall(toTarget, toDialer) })
	elected := c.leader(follower)
	for object := range uint64(20) {
		if err := c.stores[elected].Purge(testContext(t), object, 0); err != nil {
			t.Fatal(err)
		}
		monitor.recordAcknowledged(c.stores[elected])
	}
	eventually(t, "stale", func() bool { return !store.Fresh() })
	c.betweenVoters(follower, (*relay).heal)
	eventually(t, "fresh again", store.Fresh)
	if at, want := store.LeaseStatus().Position, c.stores[elected].Position(); at != want {
		t.Errorf("fresh at %v, not at %v", at, want)
	}
}

// A voter that starts again is stale until a majority has confirmed its leader, and stays so without one.
func TestMemberStartsStale(t *testing.T) {
	c, _ := newLeasedCluster(t, 3)
	c.awaitAllFresh()
	for voter := range 3 {
		c.stop(voter)
	}
	c.start(0, nil)
	if c.stores[0].Fresh() || c.stores[0].MaxCopyAge() == 0 {
		t.Error("a voter without a majority relies on what it had on disk")
	}
	c.start(1, nil)
	eventually(t, "fresh with a majority", c.stores[0].Fresh)
}
