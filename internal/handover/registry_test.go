package handover

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
)

func open(t *testing.T, dir string) *Registry {
	t.Helper()
	registry, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return registry
}

// Each process sees the state of the others: serving, shutting down, closed, or killed, which leaves the entry file behind
// but releases its lock.
func TestSiblings(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "n1")
	a, b := open(t, dir), open(t, dir)
	defer a.Close()
	for _, step := range []struct {
		do   func() error
		want SiblingCount
	}{
		{func() error { return nil }, SiblingCount{Serving: 1}},
		{b.StopServing, SiblingCount{ShuttingDown: 1}},
		{b.entry.Close, SiblingCount{}}, // killed
		{func() error { b = open(t, dir); return nil }, SiblingCount{Serving: 1}},
		{func() error { return b.Close() }, SiblingCount{}},
	} {
		if err := step.do(); err != nil {
			t.Fatal(err)
		}
		if got, err := a.Siblings(); err != nil || got != step.want {
			t.Errorf("%+v, not %+v: %v", got, step.want, err)
		}
	}
	if list, _ := filepath.Glob(filepath.Join(dir, entryPrefix+"*")); len(list) != 1 {
		t.Errorf("files of a killed process are not removed: %v", list)
	}
}

// Concurrent updates by two processes are all kept, a reader never sees a partial file, and an update of a damaged file
// keeps the overrides in force.
func TestOverrides(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir), open(t, dir)
	defer a.Close()
	defer b.Close()
	ctx := context.Background()
	var wg sync.WaitGroup
	for i, registry := range []*Registry{a, b} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 40 {
				if _, err := registry.Update(ctx, Overrides{}, func(s *Overrides) { s.Disabled = append(s.Disabled, uint32(2*n+i)) }); err != nil {
					t.Error(err)
				}
				if _, err := registry.Read(); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	s, err := a.Read()
	if err != nil || len(s.Disabled) != 80 || !slices.IsSorted(s.Disabled) || s.Revision != 80 {
		t.Fatalf("%+v %v", s, err)
	}
	for _, text := range []string{"", "{", `{"format":2}`, "null"} {
		os.WriteFile(filepath.Join(dir, overridesName), []byte(text), 0o600)
		if _, err := a.Read(); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if got, err := a.Update(ctx, s, func(s *Overrides) { s.Draining = true }); err != nil || len(got.Disabled) != 80 || got.Revision != 81 {
		t.Errorf("%+v %v", got, err)
	}
	if got, err := b.Read(); err != nil || !got.Draining {
		t.Errorf("%+v %v", got, err)
	}
	var none *Registry // no siblings, and nothing is stored
	if o, err := none.Siblings(); err != nil || o != (SiblingCount{}) || none.StopServing() != nil || none.Close() != nil {
		t.Errorf("%+v %v", o, err)
	}
	if s, err := none.Update(ctx, Overrides{}, func(s *Overrides) { s.Draining = true }); err != nil || !s.Draining {
		t.Errorf("%+v %v", s, err)
	}
}
