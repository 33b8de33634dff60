package replica

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"

	"turnfork.dev/turnfork/distribution"
)

// savedBySink is a snapshot's sink in memory.
type savedBySink struct{ bytes.Buffer }

func (*savedBySink) ID() string    { return "" }
func (*savedBySink) Cancel() error { return nil }
func (*savedBySink) Close() error  { return nil }

// A snapshot carries all that is distributed, and its position.
func TestSnapshotCarriesDistribution(t *testing.T) {
	before := newState()
	for i, c := range []command{
		{Op: opPut, Name: "policy", Value: []byte(`{"a":1}`), At: 1000},
		{Op: opRevoke, Name: "use", Until: 9000.5, At: 1001},
		{Op: opPurge, Object: 5, Group: 2, At: 1002},
		{Op: opPurge, Group: 3, At: 1003},
		{Op: "hold", Name: "k", Owner: "a", Until: 9000, At: 1004}, // is not distributed
	} {
		if res, _ := before.applyAt(distribution.Position{Revision: distribution.Revision(10 + i), Term: 3}, c); !res.OK {
			t.Fatalf("%+v: %+v", c, res)
		}
	}
	taken, err := before.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink savedBySink
	if err := taken.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	after := newState()
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
		t.Errorf("the feed goes on after %v", last)
	}
}

// A snapshot from before there were positions still loads. A subscriber without anything does not pass for one that holds
// what it holds.
func TestOldSnapshotLoads(t *testing.T) {
	for encoded, want := range map[string]distribution.Admission{
		`{"claims":{},"revoked":{},"config":{},"latest":5}`:                  distribution.AdmitResume,
		`{"claims":{},"revoked":{},"config":{"policy":1},"latest":5}`:        distribution.AdmitSnapshot,
		`{"claims":{},"revoked":{"use":1e15},"config":{},"latest":5}`:        distribution.AdmitSnapshot,
		`{"claims":{"k":{"owner":"a"}},"revoked":{},"config":{},"latest":5}`: distribution.AdmitResume,
	} {
		s := newState()
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
