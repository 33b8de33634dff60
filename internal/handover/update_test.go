package handover

import (
	"os"
	"slices"
	"testing"

	"turnfork.dev/turnfork/internal/durable"
)

// Guards against an update that loses acknowledged overrides, because it starts from a copy that is older than another one: from no
// overrides where the file is missing, or from those of this process where the backup has what a sibling process wrote since.
func TestUpdateStartsFromTheLatestCopy(t *testing.T) {
	missing := func(path string) error { return os.Remove(path) }
	damaged := func(path string) error { return os.WriteFile(path, []byte("{"), 0o600) }
	outdated := func(path string) error {
		return os.WriteFile(path, []byte(`{"format":1,"change":1,"disabled":[1]}`), 0o600)
	}
	intact := func(string) error { return nil }
	for name, x := range map[string]struct {
		file, backup func(path string) error
		inForce      Overrides // of the process that updates
		want         []uint32
	}{
		"intact":                       {intact, intact, Overrides{Revision: 1, Disabled: []uint32{1}}, []uint32{1, 2, 9}},
		"file missing":                 {missing, intact, Overrides{Revision: 1, Disabled: []uint32{1}}, []uint32{1, 2, 9}},
		"file damaged":                 {damaged, intact, Overrides{Revision: 1, Disabled: []uint32{1}}, []uint32{1, 2, 9}},
		"file outdated":                {outdated, missing, Overrides{Revision: 2, Disabled: []uint32{1, 2}}, []uint32{1, 2, 9}},
		"both missing":                 {missing, missing, Overrides{Revision: 2, Disabled: []uint32{1, 2}}, []uint32{1, 2, 9}},
		"both damaged":                 {damaged, damaged, Overrides{Revision: 2, Disabled: []uint32{1, 2}}, []uint32{1, 2, 9}},
		"file missing, backup damaged": {missing, damaged, Overrides{Revision: 2, Disabled: []uint32{1, 2}}, []uint32{1, 2, 9}},
		"file damaged, backup missing": {damaged, missing, Overrides{Revision: 2, Disabled: []uint32{1, 2}}, []uint32{1, 2, 9}},
		"file damaged, backup old":     {damaged, outdated, Overrides{Revision: 2, Disabled: []uint32{1, 2}}, []uint32{1, 2, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(t.TempDir(), durable.OS)
			disable := func(id uint32) func(*Overrides) {
				return func(o *Overrides) { o.Disabled = append(o.Disabled, id) }
			}
			for _, id := range []uint32{1, 2} {
				if _, err := r.Update(t.Context(), Overrides{}, disable(id)); err != nil {
					t.Fatal(err)
				}
			}
			if err := x.file(r.path(overridesName)); err != nil {
				t.Fatal(err)
			}
			if err := x.backup(r.path(backupName)); err != nil {
				t.Fatal(err)
			}
			written, err := r.Update(t.Context(), x.inForce, disable(9))
			if err != nil {
				t.Fatal(err)
			}
			stored, incomplete, err := r.Load()
			if err != nil || incomplete != nil || !slices.Equal(stored.Disabled, x.want) || stored.Revision != 3 || written.Revision != 3 {
				t.Errorf("%+v, %v, %v, want %v", stored, incomplete, err, x.want)
			}
		})
	}
}
