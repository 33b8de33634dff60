package replica

import (
	"fmt"
	"slices"
	"testing"

	"turnfork.dev/turnfork/distribution"
)

// leasedMember is a record of the notifications that a voter's gateway received.
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
		if voter < voters { // further ones join later
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

// A voter is partitioned from the others by stalled connections: the leader, which considers itself the leader for a while
// longer, or a follower. While the others commit changes its own state becomes stale at the end of the lease. It is fresh again
// only with all of the changes.
func TestPartitionedMemberIsStale(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			c, members := newLeasedCluster(t, 3)
			c.awaitAllFresh()
			partitioned := c.leader()
			if role == "follower" {
				partitioned = c.follower()
			}
			store := c.stores[partitioned]
			monitor := startMonitor(t, role, store.LeaseStatus)

			c.betweenVoters(partitioned, func(r *relay) { r.stall(toTarget, toDialer) })
			elected := c.leader(partitioned)
			if err := c.stores[elected].Purge(testContext(t), 7, 0); err != nil {
				t.Fatal(err)
			}
			monitor.recordAcknowledged(c.stores[elected])
			eventually(t, "the partitioned voter to be stale", func() bool { return !store.Fresh() })
			eventually(t, "a bound on the age of copies", func() bool { return store.MaxCopyAge() > 0 })
			eventually(t, "the notification of staleness", func() bool { return slices.Equal(members[partitioned].freshnessChanges(), []bool{true, false}) })
			if objects := members[partitioned].effects.objects(); len(objects) > 0 {
				t.Errorf("the partitioned voter received the purges %v", objects)
			}
			for i, other := range c.stores {
				if i != partitioned {
					eventually(t, "the other voters to be fresh", other.Fresh)
				}
			}

			c.betweenVoters(partitioned, (*relay).heal)
			eventually(t, "fresh again", store.Fresh)
			if objects := members[partitioned].effects.objects(); !slices.Equal(objects, []uint64{7}) {
				t.Errorf("fresh with the purges %v", objects)
			}
		})
	}
}

// The responses between members are delayed by more than the lease's TTL. They make no voter fresh when they arrive: a round
// renews the lease from the time at which the round began.
func TestDelayedConfirmationDoesNotMakeFresh(t *testing.T) {
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
		t.Errorf("fresh at %v, want %v", at, want)
	}
}

// A voter that restarts is stale until a majority has confirmed its leader, and remains stale without a majority.
func TestRestartedMemberIsStale(t *testing.T) {
	c, _ := newLeasedCluster(t, 3)
	c.awaitAllFresh()
	for voter := range 3 {
		c.stop(voter)
	}
	c.start(0, nil)
	if c.stores[0].Fresh() || c.stores[0].MaxCopyAge() == 0 {
		t.Error("a restarted voter without a majority is fresh or does not bound the age of copies")
	}
	c.start(1, nil)
	eventually(t, "fresh with a majority", c.stores[0].Fresh)
}
