package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/distribution"
)

// settings is a configuration value of the tests. A member that is nil is left as it is by a merge.
type settings struct {
	A *int `json:"a,omitempty"`
	B *int `json:"b,omitempty"`
	C *int `json:"c,omitempty"`
}

// merger is a member or a subscriber.
type merger interface {
	Merge(ctx context.Context, name string, changes, initial any) error
}

// expectSettings waits until every voter has a value of the configuration "settings".
func (c *cluster) expectSettings(want string) {
	c.t.Helper()
	for i, store := range c.stores {
		eventually(c.t, fmt.Sprintf("voter %d has %s", i, want), func() bool {
			value, _ := store.state.configValue("settings")
			return string(value) == want
		})
	}
}

// term returns the term of the present leader.
func (c *cluster) term() uint64 { return c.stores[c.leader()].raft.CurrentTerm() }

// latestSettings returns the value of the configuration "settings" at a leader behind a barrier: whatever was proposed before is
// applied there, or never will be. A member that has lost the lead may not have applied the latest changes yet.
func (c *cluster) latestSettings() (latest settings) {
	c.t.Helper()
	eventually(c.t, "a barrier at the leader", func() bool {
		store := c.stores[c.leader()]
		if store.raft.Barrier(0).Error() != nil {
			return false
		}
		if _, err := store.Get("settings", &latest); err != nil {
			c.t.Fatal(err)
		}
		return true
	})
	return latest
}

// A merge starts from the initial value only if the group has none, and replaces only what it names, from wherever it comes.
func TestMerge(t *testing.T) {
	c := newThreeVoters(t)
	s := c.subscriber("gateway", c.members, nil)
	for _, x := range []struct {
		by               merger
		changes, initial string
		want             string
	}{
		{c.stores[0], `{"a":1}`, `{"a":9,"b":{"x":9}}`, `{"a":1,"b":{"x":9}}`},
		{c.stores[1], `{"b":{"y":2}}`, `{"a":8,"b":8}`, `{"a":1,"b":{"y":2}}`},
		{s, `{"c":[3]}`, `{}`, `{"a":1,"b":{"y":2},"c":[3]}`},
		{c.stores[2], `{}`, `{"a":7}`, `{"a":1,"b":{"y":2},"c":[3]}`},
	} {
		if err := x.by.Merge(testContext(t), "settings", json.RawMessage(x.changes), json.RawMessage(x.initial)); err != nil {
			t.Fatal(err)
		}
		c.expectSettings(x.want)
	}
}

// A value that is no object is kept, and the merge fails at once.
func TestMergeIntoOtherValueFails(t *testing.T) {
	c := newThreeVoters(t)
	c.put("settings", []int{1})
	if err := c.stores[c.follower()].Merge(testContext(t), "settings", settings{}, settings{}); err == nil {
		t.Error("a merge into a list succeeded")
	}
	c.expectSettings(`[1]`)
}

// Of changes at once by different members, while the lead changes, no acknowledged one is lost.
func TestAcknowledgedMergesAreKept(t *testing.T) {
	c := newThreeVoters(t)
	c.put("settings", settings{})
	subscriber := c.subscriber("gateway", c.members, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var writers sync.WaitGroup
	type attempts struct{ acknowledged, last int }
	var done [3]attempts
	for i, by := range []merger{c.stores[0], c.stores[1], subscriber} {
		writers.Go(func() {
			for n := 1; ctx.Err() == nil; n++ {
				done[i].last = n
				changes := []settings{{A: &n}, {B: &n}, {C: &n}}[i]
				if by.Merge(ctx, "settings", changes, settings{}) == nil {
					done[i].acknowledged = n
				}
			}
		})
	}
	writers.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			c.stores[c.leader()].raft.LeadershipTransfer().Error()
		}
	})
	writers.Wait()
	final := c.latestSettings()
	for i, value := range []*int{final.A, final.B, final.C} {
		if value == nil || *value < done[i].acknowledged || *value > done[i].last || done[i].acknowledged == 0 {
			t.Errorf("writer %d: %+v in the end, %+v", i, value, done[i])
		}
	}
	t.Logf("%+v", done)
}

// A merge at the same time as a put is based on the value before or after it: it never sets back what the put sets.
func TestMergeDoesNotUndoPut(t *testing.T) {
	c := newThreeVoters(t)
	for n := 0; n < 200; {
		term := c.term()
		by := c.leader()
		var calls errgroup.Group
		calls.Go(func() error { return c.stores[by].Put(testContext(t), "settings", settings{A: &n, B: &n}) })
		calls.Go(func() error { return c.stores[n%3].Merge(testContext(t), "settings", settings{C: &n}, settings{}) })
		if err := calls.Wait(); err != nil {
			if c.term() == term {
				t.Fatal(err)
			}
			continue // the lead changed under the calls, whose outcome is unknown: once more
		}
		if got := c.latestSettings(); got.A == nil || *got.A != n || got.B == nil || *got.B != n {
			value, _ := json.Marshal(got)
			t.Fatalf("%s after a put of %d", value, n)
		}
		n++
	}
}

// A merge includes a put whose proposer has given up while its entry was on its way to the others.
func TestMergeAwaitsAbandonedPut(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, func(_ int, opt *Options) { opt.HeartbeatTimeout = 5 * time.Second })
	one, two := 1, 2
	c.put("settings", settings{A: &one})
	leader := c.leader()
	c.betweenVoters(leader, func(r *relay) { r.stall(0, 1) })
	brief, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := c.stores[leader].Put(brief, "settings", settings{A: &two}); err == nil {
		t.Fatal("a put succeeded without a majority")
	}
	merged := make(chan error, 1)
	go func() { merged <- c.stores[leader].Merge(testContext(t), "settings", settings{C: &one}, settings{}) }()
	time.Sleep(100 * time.Millisecond) // for the merge to begin
	c.betweenVoters(leader, (*relay).release)
	if err := <-merged; err != nil {
		t.Fatal(err)
	}
	c.expectSettings(`{"a":2,"c":1}`)
}

// recordedLogs records the entries that are written to a log.
type recordedLogs struct {
	raft.LogStore
	mu      sync.Mutex
	entries []string
}

// StoreLogs writes and records entries.
func (r *recordedLogs) StoreLogs(logs []*raft.Log) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range logs {
		if entry.Type == raft.LogCommand {
			r.entries = append(r.entries, string(entry.Data))
		}
	}
	return r.LogStore.StoreLogs(logs)
}

// StoreLog writes and records an entry.
func (r *recordedLogs) StoreLog(entry *raft.Log) error { return r.StoreLogs([]*raft.Log{entry}) }

// earlierCommand is a command as versions without merges read it.
type earlierCommand struct {
	Op    string          `json:"op"`
	Name  string          `json:"name"`
	At    float64         `json:"at"`
	Value json.RawMessage `json:"value"`
}

// Members of a version without merges apply the entries of a merge alike, as they are puts of the whole value.
func TestMergeIsLoggedAsPut(t *testing.T) {
	logs := make([]*recordedLogs, 3)
	c := newCluster(t, 3, distribution.Limits{}, func(voter int, opt *Options) {
		opt.wrapLogs = func(inner raft.LogStore) raft.LogStore {
			logs[voter] = &recordedLogs{LogStore: inner}
			return logs[voter]
		}
	})
	one, two := 1, 2
	for _, changes := range []settings{{A: &one}, {B: &two}, {A: &two}} {
		if err := c.stores[c.follower()].Merge(testContext(t), "settings", changes, settings{C: &one}); err != nil {
			t.Fatal(err)
		}
	}
	c.expectSettings(`{"a":2,"b":2,"c":1}`)
	for i, log := range logs {
		var present, earlier = newStateMachine(), newStateMachine()
		log.mu.Lock()
		entries := log.entries
		log.mu.Unlock()
		if len(entries) != 3 {
			t.Errorf("voter %d: %q", i, entries)
		}
		for index, entry := range entries {
			var read earlierCommand
			if err := json.Unmarshal([]byte(entry), &read); err != nil || read.Op != opPut {
				t.Errorf("voter %d: %s: %v", i, entry, err)
			}
			asRead, err := json.Marshal(read)
			if err != nil {
				t.Fatal(err)
			}
			applyEntry(present, uint64(index+1), entry)
			applyEntry(earlier, uint64(index+1), string(asRead))
		}
		if !reflect.DeepEqual(present.persistentState, earlier.persistentState) {
			t.Errorf("voter %d: %+v\nin an earlier version %+v", i, present.persistentState, earlier.persistentState)
		}
	}
}

// A leader of a version without merges appends a merge to the log as it is. Members of every version reject such an entry, so that
// their states stay alike, and its proposer gets the error.
func TestMergeInLogIsRejected(t *testing.T) {
	s := newStateMachine()
	applyEntry(s, 1, `{"op":"put","name":"settings","at":1,"value":{"a":1}}`)
	before := s.clone()
	res := applyEntry(s, 2, `{"op":"merge","name":"settings","at":1,"value":{"a":2},"initial":{"a":3}}`)
	if res.OK || res.Err == "" || !reflect.DeepEqual(s.persistentState, before) {
		t.Errorf("%+v: %+v, before %+v", res, s.persistentState, before)
	}
}
