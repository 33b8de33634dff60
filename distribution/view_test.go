package distribution

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// viewNowMs is the current time in the cases, in Unix ms.
const viewNowMs = 1_000_000_000

// effectRecorder records the notifications as text.
type effectRecorder struct{ calls []string }

func (r *effectRecorder) Configured(name string, value []byte) {
	if value == nil {
		r.calls = append(r.calls, name+" gone")
		return
	}
	r.calls = append(r.calls, name+"="+string(value))
}

func (r *effectRecorder) Purged(c Change) {
	r.calls = append(r.calls, fmt.Sprintf("purge %d/%d at %d", c.Object, c.Group, c.At-viewNowMs))
}

func (r *effectRecorder) PurgesMissed(before int64) {
	r.calls = append(r.calls, fmt.Sprintf("missed before %d", before-viewNowMs))
}

func at(revision Revision, term uint64) Position { return Position{Revision: revision, Term: term} }

func put(revision Revision, term uint64, name, value string) Change {
	return Change{Position: at(revision, term), Kind: KindPut, Name: name, Value: json.RawMessage(value), At: viewNowMs}
}

func revoke(revision Revision, name string, until int64) Change {
	return Change{Position: at(revision, 1), Kind: KindRevoke, Name: name, Until: viewNowMs + until, At: viewNowMs}
}

func purge(revision Revision, object uint64, proposed int64) Change {
	return Change{Position: at(revision, 1), Kind: KindPurge, Object: object, Group: 7, At: viewNowMs + proposed}
}

func batch(after Position, changes ...Change) *Batch { return &Batch{After: after, Changes: changes} }

// viewStep is one operation on a View (apply, restore or, if neither is set, DropExpired) and its expected results.
type viewStep struct {
	apply       *Batch
	restore     *Snapshot
	dropExpired time.Duration // after viewNowMs
	err         string        // of apply
	calls       []string
	at          Position
}

func TestView(t *testing.T) {
	two := batch(at(0, 0), put(1, 1, "a", "1"), put(3, 1, "b", "2"))
	cases := []struct {
		name        string
		steps       []viewStep
		config      map[string]string
		revoked     []string
		notRevoked  []string
		purgesKnown int
	}{
		{
			name: "changes are applied once, in order",
			steps: []viewStep{
				{apply: two, calls: []string{"a=1", "b=2"}, at: at(3, 1)},
				{apply: two, at: at(3, 1)},
				{apply: batch(at(0, 0), put(1, 1, "a", "1")), at: at(3, 1)},
				{apply: batch(at(1, 1), put(3, 1, "b", "2"), put(4, 1, "a", "3")), calls: []string{"a=3"}, at: at(4, 1)},
				{apply: batch(at(4, 1), put(6, 2, "a", "")), calls: []string{"a gone"}, at: at(6, 2)},
				{apply: batch(at(6, 2), put(7, 2, "b", "null")), calls: []string{"b gone"}, at: at(7, 2)},
				{apply: batch(at(7, 2)), at: at(7, 2)},
			},
			config: map[string]string{},
		},
		{
			name: "a batch that does not follow is rejected completely",
			steps: []viewStep{
				{apply: batch(at(1, 1), put(3, 1, "b", "2")), err: "gap"},
				{apply: two, calls: []string{"a=1", "b=2"}, at: at(3, 1)},
				{apply: batch(at(4, 1), put(5, 1, "c", "1")), err: "gap", at: at(3, 1)},
				{apply: batch(at(3, 2), put(5, 2, "c", "1")), err: "gap", at: at(3, 1)},
				{apply: batch(at(1, 1), put(3, 2, "c", "1"), put(4, 2, "c", "1")), err: "gap", at: at(3, 1)},
				{apply: batch(at(1, 1), put(2, 1, "c", "1"), put(4, 1, "c", "1")), err: "gap", at: at(3, 1)},
				{apply: batch(at(3, 1), put(5, 1, "c", "1"), put(4, 1, "c", "2")), err: "gap", at: at(3, 1)},
				{apply: batch(at(3, 1), put(3, 1, "c", "1")), err: "gap", at: at(3, 1)},
			},
			config: map[string]string{"a": "1", "b": "2"},
		},
		{
			name: "a snapshot notifies an empty view of everything",
			steps: []viewStep{
				{
					restore: &Snapshot{
						At:          at(9, 1),
						Config:      map[string]json.RawMessage{"b": []byte("2"), "a": []byte("1"), "none": []byte("null")},
						Revocations: map[string]int64{"x": viewNowMs + 5},
						Purges:      []Change{purge(8, 5, -100)},
						PurgesSince: viewNowMs - 60_000,
					},
					calls: []string{"missed before -60000", "purge 5/7 at -100", "a=1", "b=2"},
					at:    at(9, 1),
				},
				{apply: batch(at(3, 1), put(4, 1, "a", "0"), put(9, 1, "a", "0"), put(10, 1, "a", "2")), calls: []string{"a=2"}, at: at(10, 1)},
			},
			config:      map[string]string{"a": "2", "b": "2"},
			revoked:     []string{"x"},
			notRevoked:  []string{"y"},
			purgesKnown: 1,
		},
		{
			name: "a snapshot notifies of the differences, and revocations and purges that it lacks are kept",
			steps: []viewStep{
				{
					apply: batch(at(0, 0), put(1, 1, "a", "1"), put(2, 1, "b", "2"), put(3, 1, "c", "3"),
						revoke(4, "x", 5), purge(5, 11, -50), purge(6, 12, 0)),
					calls: []string{"a=1", "b=2", "c=3", "purge 11/7 at -50", "purge 12/7 at 0"},
					at:    at(6, 1),
				},
				{
					restore: &Snapshot{
						At:          at(20, 1),
						Config:      map[string]json.RawMessage{"a": []byte("1"), "b": []byte("5"), "d": []byte("4")},
						Purges:      []Change{purge(6, 12, 0), purge(19, 13, 10)},
						PurgesSince: viewNowMs - 60_000,
					},
					calls: []string{"purge 13/7 at 10", "b=5", "c gone", "d=4"},
					at:    at(20, 1),
				},
			},
			config:      map[string]string{"a": "1", "b": "5", "d": "4"},
			revoked:     []string{"x"},
			purgesKnown: 3,
		},
		{
			name: "purges are missed if changes since the view may be older than the snapshot's purges",
			steps: []viewStep{
				{apply: batch(at(0, 0), purge(1, 1, 0)), calls: []string{"purge 1/7 at 0"}, at: at(1, 1)},
				{restore: &Snapshot{At: at(2, 1), PurgesSince: viewNowMs - 10_000}, at: at(2, 1)},
				{restore: &Snapshot{At: at(3, 1), PurgesSince: viewNowMs - 10_000, LatestAt: viewNowMs}, calls: []string{"missed before -10000"}, at: at(3, 1)},
				{restore: &Snapshot{At: at(4, 1), PurgesSince: viewNowMs - 10_000}, at: at(4, 1)},
				{restore: &Snapshot{At: at(4, 1), PurgesSince: viewNowMs}, at: at(4, 1)},
				{restore: &Snapshot{At: at(4, 2), PurgesSince: viewNowMs}, calls: []string{"missed before 0"}, at: at(4, 2)},
				{restore: &Snapshot{At: at(3, 3), PurgesSince: viewNowMs - 99_999}, calls: []string{"missed before -99999"}, at: at(3, 3)},
			},
			purgesKnown: 1,
		},
		{
			name: "purges are missed if the history was lost",
			steps: []viewStep{
				{apply: batch(at(0, 0), purge(5, 1, 0)), calls: []string{"purge 1/7 at 0"}, at: at(5, 1)},
				{
					restore: &Snapshot{At: at(3, 2), PurgesSince: viewNowMs - 60_000, LatestAt: viewNowMs},
					calls:   []string{"missed before -60000"},
					at:      at(3, 2),
				},
				{
					restore: &Snapshot{At: at(3, 3), PurgesSince: viewNowMs - 60_000, LatestAt: viewNowMs},
					calls:   []string{"missed before -60000"},
					at:      at(3, 3),
				},
				{restore: &Snapshot{At: at(4, 3), PurgesSince: viewNowMs - 60_000, LatestAt: viewNowMs}, at: at(4, 3)},
			},
			purgesKnown: 1,
		},
		{
			name: "expired revocations and purges are dropped",
			steps: []viewStep{
				{
					apply: batch(at(0, 0), revoke(1, "x", -1), revoke(2, "y", 60_000), revoke(3, "z", 1), purge(4, 1, -2000), purge(5, 2, 10)),
					calls: []string{"purge 1/7 at -2000", "purge 2/7 at 10"},
					at:    at(5, 1),
				},
				{dropExpired: DefaultPurgeRetention, at: at(5, 1)},
				{dropExpired: revocationRetention + time.Second, at: at(5, 1)},
			},
			revoked:     []string{"y"},
			notRevoked:  []string{"x", "z"},
			purgesKnown: 0,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			effects := &effectRecorder{}
			view := NewView(effects)
			for i, step := range test.steps {
				effects.calls = nil
				if got := step.run(view); got != step.err {
					t.Fatalf("step %d: error %q, want %q", i, got, step.err)
				}
				if !slices.Equal(effects.calls, step.calls) {
					t.Fatalf("step %d: effects %q, want %q", i, effects.calls, step.calls)
				}
				if view.Position() != step.at {
					t.Fatalf("step %d: at %v, want %v", i, view.Position(), step.at)
				}
			}
			if test.config != nil {
				got := map[string]string{}
				for name := range view.config {
					value, _ := view.Get(name)
					got[name] = string(value)
				}
				if !reflect.DeepEqual(got, test.config) {
					t.Errorf("config %v, want %v", got, test.config)
				}
			}
			for _, name := range test.revoked {
				if !view.Revoked(name) {
					t.Errorf("%s is not revoked", name)
				}
			}
			for _, name := range test.notRevoked {
				if view.Revoked(name) {
					t.Errorf("%s is revoked", name)
				}
			}
			if len(view.purges) != test.purgesKnown {
				t.Errorf("%d purges known, want %d", len(view.purges), test.purgesKnown)
			}
		})
	}
}

// run executes a step and returns the text of its error.
func (s viewStep) run(v *View) string {
	switch {
	case s.apply != nil:
		if err := v.Apply(s.apply); err != nil {
			return errorText(err)
		}
	case s.restore != nil:
		v.Restore(s.restore, time.UnixMilli(viewNowMs))
	default:
		v.DropExpired(time.UnixMilli(viewNowMs).Add(s.dropExpired))
	}
	return ""
}

func TestViewGetUnknownName(t *testing.T) {
	if value, ok := NewView(nil).Get("a"); ok || value != nil {
		t.Errorf("got %q, %v", value, ok)
	}
}

func TestDigest(t *testing.T) {
	base := []Change{put(1, 1, "a", "1"), put(2, 1, "b", "2"), revoke(3, "x", 60_000), revoke(4, "old", -60_000), put(5, 1, "c", "3")}
	apply := func(changes ...Change) *View {
		v := NewView(nil)
		if err := v.Apply(batch(Position{}, changes...)); err != nil {
			t.Fatal(err)
		}
		return v
	}
	want := apply(base...).Digest()

	restored := NewView(nil)
	if err := restored.Apply(batch(Position{}, put(1, 9, "z", "9"), revoke(2, "lost", 99_999))); err != nil {
		t.Fatal(err)
	}
	restored.Restore(&Snapshot{
		At:          at(5, 1),
		Config:      map[string]json.RawMessage{"c": []byte("3"), "b": []byte("2"), "a": []byte("1"), "gone": []byte("null")},
		Revocations: map[string]int64{"x": viewNowMs + 60_000},
		LatestAt:    viewNowMs,
	}, time.UnixMilli(viewNowMs))
	if restored.Digest() != want {
		t.Error("a view restored from a snapshot has a different digest than one that applied the changes")
	}
	expired := apply(base...)
	expired.DropExpired(time.UnixMilli(viewNowMs).Add(24 * time.Hour))
	if expired.Digest() != want {
		t.Error("the digest depends on the expired entries that were dropped")
	}

	different := map[string][]Change{
		"value":      append(slices.Clone(base[:4]), put(5, 1, "c", "4")),
		"name":       append(slices.Clone(base[:4]), put(5, 1, "cc", "3")),
		"bounds":     append(slices.Clone(base[:4]), put(5, 1, "", "c3")),
		"missing":    append(slices.Clone(base[:4]), put(5, 1, "c", "")),
		"revocation": append(slices.Clone(base[:4]), revoke(5, "c", 3)),
		"until":      append(slices.Clone(base[:4]), revoke(4, "x", 60_001), base[4]),
		"position":   append(slices.Clone(base), put(6, 1, "c", "3")),
		"term":       append(slices.Clone(base[:4]), put(5, 2, "c", "3")),
	}
	different["until"] = append(slices.Clone(base[:3]), revoke(4, "x", 60_001), base[4])
	for name, changes := range different {
		if apply(changes...).Digest() == want {
			t.Errorf("%s: the digest does not change", name)
		}
	}
}

func TestBatchJSON(t *testing.T) {
	before := batch(at(1, 1), put(2, 1, "a", `{"b":1}`), purge(3, 4, 5))
	calls := 0
	encode := func(b *Batch) ([]byte, error) {
		calls++
		return json.Marshal(b)
	}
	encoded, err := before.Encoded(encode)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := before.Encoded(encode)
	if calls != 1 || &again[0] != &encoded[0] {
		t.Error("the batch was encoded twice")
	}
	var after Batch
	if err := json.Unmarshal(encoded, &after); err != nil {
		t.Fatal(err)
	}
	if after.After != before.After || !reflect.DeepEqual(after.Changes, before.Changes) {
		t.Errorf("%s does not decode to the encoded batch", encoded)
	}
	if strings.Contains(string(encoded), "encoded") {
		t.Errorf("%s contains the cached encoding", encoded)
	}
}
