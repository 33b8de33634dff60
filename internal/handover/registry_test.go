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
	k, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Each process sees the others as they are: serving, leaving, gone in good order, or killed, which leaves its file
// behind but not the lock on it.
func TestWhoLives(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "n1")
	a, b := open(t, dir), open(t, dir)
	defer a.Close()
	for _, step := range []struct {
		do   func() error
		want SiblingCount
	}{
		{func() error { return nil }, SiblingCount{Serving: 1}},
		{b.Leave, SiblingCount{Leaving: 1}},
		{b.own.Close, SiblingCount{}}, // killed
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
	if list, _ := filepath.Glob(filepath.Join(dir, livePrefix+"*")); len(list) != 1 {
		t.Errorf("what a killed process left is not cleared away: %v", list)
	}
}

// Orders given to two processes at once are all kept, a reader never sees half a file, and a damaged file costs
// nothing that is held.
func TestOrders(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir), open(t, dir)
	defer a.Close()
	defer b.Close()
	ctx := context.Background()
	var wg sync.WaitGroup
	for i, k := range []*Registry{a, b} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 40 {
				if _, err := k.Change(ctx, State{}, func(s *State) { s.Disabled = append(s.Disabled, uint32(2*n+i)) }); err != nil {
					t.Error(err)
				}
				if _, err := k.Read(); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	s, err := a.Read()
	if err != nil || len(s.Disabled) != 80 || !slices.IsSorted(s.Disabled) || s.Change != 80 {
		t.Fatalf("%+v %v", s, err)
	}
	for _, text := range []string{"", "{", `{"format":2}`, "null"} {
		os.WriteFile(filepath.Join(dir, stateName), []byte(text), 0o600)
		if _, err := a.Read(); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if got, err := a.Change(ctx, s, func(s *State) { s.Draining = true }); err != nil || len(got.Disabled) != 80 || got.Change != 81 {
		t.Errorf("%+v %v", got, err)
	}
	if got, err := b.Read(); err != nil || !got.Draining {
		t.Errorf("%+v %v", got, err)
	}
	var none *Registry // alone, nothing is kept
	if o, err := none.Siblings(); err != nil || o != (SiblingCount{}) || none.Leave() != nil || none.Close() != nil {
		t.Errorf("%+v %v", o, err)
	}
	if s, err := none.Change(ctx, State{}, func(s *State) { s.Draining = true }); err != nil || !s.Draining {
		t.Errorf("%+v %v", s, err)
	}
}
