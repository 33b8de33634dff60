package handover

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// An entry that can't be opened must not be taken for that of a dead process: otherwise that process and this one would each
// use the limits of the whole gateway. The other entries are counted nevertheless.
func TestUnreadableEntryIsNotTakenForDead(t *testing.T) {
	dir := t.TempDir()
	own, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	other, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	blocked := filepath.Join(dir, entryPrefix+"0") // a folder can't be opened for writing: EISDIR
	if err := os.Mkdir(blocked, 0o700); err != nil {
		t.Fatal(err)
	}
	if got, err := own.Siblings(); err == nil || errors.Is(err, os.ErrNotExist) || got.Serving != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	if got, err := own.Siblings(); err != nil || got.Serving != 1 {
		t.Errorf("after its removal: %+v, %v", got, err)
	}
}
