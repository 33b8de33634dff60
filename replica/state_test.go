package replica

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// A snapshot contains everything that is distributed to gateways, and the position.
func TestSnapshotContainsDistributedState(t *testing.T) {
	before := newStateMachine()
	for i, c := range []command{
		{Op: opPut, Name: "policy", Value: []byte(`{"a":1}`), At: 1000},
		{Op: opRevoke, Name: "use", Until: 9000.5, At: 1001},
		{Op: opPurge, Object: 5, Group: 2, At: 1002},
		{Op: opPurge, Group: 3, At: 1003},
		{Op: "hold", Name: "k", Owner: "a", Until: 9000, At: 1004}, // not distributed
	} {
		if res, _ := before.applyCommand(distribution.Position{Revision: distribution.Revision(10 + i), Term: 3}, c); !res.OK {
			t.Fatalf("%+v: %+v", c, res)
		}
	}
	taken, err := before.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink memorySink
	if err := taken.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	after := newStateMachine()
	after.feed = newFeed(distribution.Limits{}, testTiming)
	if err := after.Restore(io.NopCloser(&sink)); err != nil {
		t.Fatal(err)
	}
	want, got := before.distributedState(), after.distributedState()
	if !reflect.DeepEqual(want, got) {
		t.Errorf("restored %+v, want %+v", got, want)
	}
	if want.At != (distribution.Position{Revision: 13, Term: 3}) || want.Revocations["use"] != 9001 || want.LatestAt != 1003 {
		t.Errorf("%+v", want)
	}
	if last := after.feed.publisher.Last(); last != want.At {
		t.Errorf("the feed continues after %v, want %v", last, want.At)
	}
}

// A snapshot of a version that recorded no positions can be restored. A subscriber without any state must then be sent a
// snapshot if there is something to distribute: it must not be mistaken for one that has this state.
func TestOldSnapshotLoads(t *testing.T) {
	for encoded, want := range map[string]distribution.Admission{
		`{"claims":{},"revoked":{},"config":{},"latest":5}`:                  distribution.AdmitResume,
		`{"claims":{},"revoked":{},"config":{"policy":1},"latest":5}`:        distribution.AdmitSnapshot,
		`{"claims":{},"revoked":{"use":1e15},"config":{},"latest":5}`:        distribution.AdmitSnapshot,
		`{"claims":{"k":{"owner":"a"}},"revoked":{},"config":{},"latest":5}`: distribution.AdmitResume,
	} {
		s := newStateMachine()
		s.feed = newFeed(distribution.Limits{}, testTiming)
		if err := s.Restore(io.NopCloser(strings.NewReader(encoded))); err != nil {
			t.Fatal(err)
		}
		decision, _ := s.feed.subscribe(distribution.Position{})
		if decision.Admission != want {
			t.Errorf("%s: %+v, want %s", encoded, decision, want)
		}
	}
}

// A snapshot holds the state at the time of the call of Snapshot, although it is encoded while further entries are applied.
func TestSnapshotIsPointInTime(t *testing.T) {
	s := newStateMachine()
	revision := distribution.Revision(0)
	apply := func(c command) {
		t.Helper()
		revision++
		c.At = 1000 + float64(revision)
		if res, _ := s.applyCommand(distribution.Position{Revision: revision, Term: 1}, c); !res.OK {
			t.Fatalf("%+v: %+v", c, res)
		}
	}
	apply(command{Op: opPut, Name: "policy", Value: []byte(`1`)})
	apply(command{Op: opRevoke, Name: "use", Until: 1e15})
	apply(command{Op: opPurge, Object: 5})
	apply(command{Op: "hold", Name: "k", Owner: "a", Until: 1e15})
	want := s.clone()
	taken, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	apply(command{Op: opPut, Name: "policy", Value: []byte(`2`)})
	apply(command{Op: opPut, Name: "keys", Value: []byte(`2`)})
	apply(command{Op: opRevoke, Name: "other", Until: 1e15})
	apply(command{Op: opPurge, Object: 6})
	apply(command{Op: "send", Name: "k", Owner: "a"})
	apply(command{Op: "hold", Name: "l", Owner: "a", Until: 1e15})
	var sink memorySink
	if err := taken.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	restored := newStateMachine()
	if err := restored.Restore(io.NopCloser(&sink)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored.persistentState, want) {
		t.Errorf("restored %+v, want %+v", restored.persistentState, want)
	}
}

// Raft applies no entries during Snapshot, so the encoding, which takes most of the time, is done later, by Persist.
func TestSnapshotEncodingIsDeferred(t *testing.T) {
	s := newStateMachine()
	for i := range 100_000 {
		name := fmt.Sprint("url-1/", i)
		s.Claims[name] = claims.Record{Owner: name, Until: 1e15, Stage: claims.Ran, Outcome: "served 64 bytes"}
	}
	var copying, encoding time.Duration
	for range 3 { // the minimum of each is compared, as other processes may slow down single runs
		begun := time.Now()
		taken, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		took := time.Since(begun)
		var sink memorySink
		begun = time.Now()
		if err := taken.Persist(&sink); err != nil {
			t.Fatal(err)
		}
		wrote := time.Since(begun)
		if copying == 0 || took < copying {
			copying = took
		}
		if encoding == 0 || wrote < encoding {
			encoding = wrote
		}
	}
	if copying > encoding/2 {
		t.Errorf("Snapshot takes %v, want at most half of the %v of Persist", copying, encoding)
	}
}
