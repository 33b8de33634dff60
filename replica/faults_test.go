package replica

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/distribution"
)

// copyDirs copies the directories of all voters, which must be stopped.
func (c *cluster) copyDirs() (kept []string) {
	c.t.Helper()
	for _, dir := range c.dirs {
		to := filepath.Join(c.t.TempDir(), "kept")
		if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
			c.t.Fatal(err)
		}
		kept = append(kept, to)
	}
	return kept
}

func (c *cluster) stopAll() {
	for i := range c.stores {
		c.stop(i)
	}
}

func (c *cluster) startAll() {
	for i := range c.stores {
		c.start(i, nil)
	}
}

// All voters are restored from a backup, or lose all data. A subscriber whose position is later than theirs adopts their state,
// but keeps its revocations, so that it still rejects those tokens. It is notified that purges may be missing, so that it
// drops cached copies.
func TestVotersRestoredToOlderRevision(t *testing.T) {
	for _, test := range []struct {
		name    string
		restore func(c *cluster, kept []string) []string
		policy  string // afterwards; "": none
	}{
		{"backup", func(_ *cluster, kept []string) []string { return kept }, "old"},
		{"nothing", func(c *cluster, _ []string) []string {
			return []string{c.t.TempDir(), c.t.TempDir(), c.t.TempDir()}
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, distribution.Limits{}, nil)
			c.put("policy", "old")
			c.stopAll()
			kept := c.copyDirs()
			c.startAll()

			s := c.subscriber("gateway", c.members, nil)
			c.put("policy", "lost")
			c.purge(1, 100)
			if err := s.Revoke(testContext(t), "use", s.opt.Clock.Unix()+600000); err != nil {
				t.Fatal(err)
			}
			s.awaitPosition(c.stores[c.leader()].Position())
			before := s.Status().Position

			c.stopAll()
			c.dirs = test.restore(c, kept)
			c.startAll()
			leader := c.stores[c.leader()]
			if _, err := leader.verifyLeadership(testContext(t)); err != nil { // waits until the restored entries are applied
				t.Fatal(err)
			}
			restored := leader.Position()
			if restored.Revision >= before.Revision {
				t.Fatalf("restored to %v, not before %v", restored, before)
			}
			s.awaitPosition(restored)
			s.awaitFresh()
			var policy string
			if _, err := s.Get("policy", &policy); err != nil || policy != test.policy {
				t.Errorf("policy %q, %v", policy, err)
			}
			if !s.Revoked("use") {
				t.Error("the subscriber dropped a revocation that the voters lost")
			}
			s.effects.mu.Lock()
			if len(s.effects.missed) == 0 {
				t.Error("not notified that purges may be missing")
			}
			s.effects.mu.Unlock()
			c.put("policy", "new")
			s.awaitPosition(c.stores[c.leader()].Position())
			if _, err := s.Get("policy", &policy); err != nil || policy != "new" {
				t.Errorf("policy %q, %v", policy, err)
			}
		})
	}
}

var errDiskFull = errors.New("no space left on device")

// faultyLogs is a log store that can be made to fail as on a full disk.
type faultyLogs struct {
	raft.LogStore
	full *atomic.Bool
}

func (f *faultyLogs) StoreLog(log *raft.Log) error { return f.StoreLogs([]*raft.Log{log}) }

func (f *faultyLogs) StoreLogs(logs []*raft.Log) error {
	if f.full.Load() {
		return errDiskFull
	}
	return f.LogStore.StoreLogs(logs)
}

// newFaultyCluster starts three voters whose log stores can be made to fail as on a full disk.
func newFaultyCluster(t *testing.T) (*cluster, []*atomic.Bool) {
	full := []*atomic.Bool{{}, {}, {}}
	c := newCluster(t, 3, distribution.Limits{}, func(voter int, opt *Options) {
		opt.wrapLogs = func(logs raft.LogStore) raft.LogStore { return &faultyLogs{logs, full[voter]} }
	})
	return c, full
}

// A follower whose disk is full receives no further changes. It issues no marks after the next change, and a subscriber that
// knows other voters connects to another one.
func TestFollowerDiskFull(t *testing.T) {
	c, full := newFaultyCluster(t)
	faulty := c.follower()
	bound := c.subscriber("bound", c.members[faulty:faulty+1], nil)
	free := c.subscriber(c.gatewayPreferring(faulty), c.members, nil)
	bound.awaitFresh()
	free.awaitFresh()
	monitors := []*monitor{bound.monitor(), free.monitor()}

	full[faulty].Store(true)
	c.put("policy", "after")
	for _, m := range monitors {
		m.recordAcknowledged(c.stores[c.leader()])
	}
	acknowledgedAt := time.Now()
	free.awaitPosition(c.stores[c.leader()].Position())
	eventually(t, "the subscriber of all voters to be complete", func() bool { return free.Status().CompleteAt.After(acknowledgedAt) })
	eventually(t, "the subscriber of the faulty voter to be stale", func() bool { return !bound.Fresh() })

	full[faulty].Store(false)
	bound.awaitFresh()
	var policy string
	if _, err := bound.Get("policy", &policy); err != nil || policy != "after" {
		t.Errorf("policy %q, %v", policy, err)
	}
}

// A leader whose disk is full can't append the barrier of a confirmation, so it is not confirmed, and another leader is elected.
func TestLeaderDiskFull(t *testing.T) {
	c, full := newFaultyCluster(t)
	old := c.leader()
	s := c.subscriber(c.gatewayPreferring(old), c.members, nil)
	s.awaitFresh()
	m := s.monitor()
	full[old].Store(true)
	next := c.leader(old)
	eventually(t, "a change to be acknowledged", func() bool {
		return c.stores[next].Put(testContext(t), "policy", "after") == nil
	})
	m.recordAcknowledged(c.stores[next])
	acknowledgedAt := time.Now()
	eventually(t, "the subscriber to be complete", func() bool { return s.Status().CompleteAt.After(acknowledgedAt) })
	var policy string
	if _, err := s.Get("policy", &policy); err != nil || policy != "after" {
		t.Errorf("policy %q, %v", policy, err)
	}
	full[old].Store(false)
	s.awaitFresh()
}

// Purges are kept for purgeRetention by the times in the log, and a snapshot states the time since which it has all purges.
func TestPurgeRetention(t *testing.T) {
	const minute = 60 * 1000.0
	s := newStateMachine()
	revision := distribution.Revision(1)
	apply := func(c command) {
		revision++
		if res, _ := s.applyCommand(distribution.Position{Revision: revision, Term: 1}, c); !res.OK {
			t.Fatalf("%+v: %+v", c, res)
		}
	}
	objects := func() (objects []uint64) {
		for _, c := range s.distributedState().Purges {
			objects = append(objects, c.Object)
		}
		return objects
	}
	apply(command{Op: opPurge, Object: 1, At: 10 * minute})
	apply(command{Op: opPurge, Object: 2, At: 10*minute + 500})
	apply(command{Op: opPurge, Object: 3, At: 11*minute - 1})
	if got := objects(); !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Errorf("kept %v", got)
	}
	if since := s.distributedState().PurgesSince; since != 0 {
		t.Errorf("PurgesSince is %d, but none was dropped", since)
	}
	apply(command{Op: opPut, Name: "a", Value: []byte("1"), At: 11*minute + 100})
	if got := objects(); !slices.Equal(got, []uint64{2, 3}) {
		t.Errorf("kept %v", got)
	}
	if since := s.distributedState().PurgesSince; since != 10*minute+1 {
		t.Errorf("PurgesSince is %d", since)
	}
}

// The number of purges in the state is bounded.
func TestPurgesBounded(t *testing.T) {
	s := newStateMachine()
	for i := range maxPurges + 1 {
		at := distribution.Position{Revision: distribution.Revision(i + 2), Term: 1}
		s.applyCommand(at, command{Op: opPurge, Object: uint64(i), At: 1000 + float64(i/8)}) // within the retention
	}
	snapshot := s.distributedState()
	if len(snapshot.Purges) != maxPurges/2+1 {
		t.Errorf("%d purges kept", len(snapshot.Purges))
	}
	if first := snapshot.Purges[0]; snapshot.PurgesSince != first.At { // the last dropped purge was 1 ms earlier
		t.Errorf("PurgesSince is %d, but the first purge is of %d", snapshot.PurgesSince, first.At)
	}
}
