package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// failingFileSystem is the system's file system, except that one kind of call fails.
type failingFileSystem struct {
	FileSystem
	call string
}

var errInjected = errors.New("injected failure")

func (r failingFileSystem) Create(path string, mode os.FileMode) (File, error) {
	if r.call == "create" {
		return nil, errInjected
	}
	f, err := r.FileSystem.Create(path, mode)
	return failingFile{f, r.call}, err
}

func (r failingFileSystem) Rename(from, to string) error {
	if r.call == "rename" {
		return errInjected
	}
	return r.FileSystem.Rename(from, to)
}

func (r failingFileSystem) SyncDir(path string) error {
	if r.call == "syncdir" {
		return errInjected
	}
	return r.FileSystem.SyncDir(path)
}

type failingFile struct {
	File
	call string
}

func (f failingFile) Write(b []byte) (int, error) {
	if f.call == "write" {
		f.File.Write(b[:1])
		return 1, errInjected
	}
	return f.File.Write(b)
}

func (f failingFile) Sync() error {
	if f.call == "sync" {
		return errInjected
	}
	return f.File.Sync()
}

func (f failingFile) Close() error {
	err := f.File.Close()
	if f.call == "close" {
		return errInjected
	}
	return err
}

// A file that is renamed into place before it is synced keeps its new content from then on, even if a later step fails.
func TestWriteFileSyncLast(t *testing.T) {
	for _, test := range []struct{ call, content string }{
		{"", "new"}, {"create", "old"}, {"write", "old"}, {"sync", "new"}, {"close", "new"}, {"rename", "old"}, {"syncdir", "new"},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "file")
		if err := WriteFile(OS, path, []byte("old"), 0o600); err != nil {
			t.Fatal(err)
		}
		placed := "old"
		err := WriteFileSyncLast(failingFileSystem{OS, test.call}, path, []byte("new"), 0o600, func() {
			content, err := os.ReadFile(path)
			if err != nil {
				t.Error(err)
			}
			placed = string(content)
		})
		if failed := errors.Is(err, errInjected); failed != (test.call != "") || placed != test.content {
			t.Errorf("%s: placed %q, %v", test.call, placed, err)
		}
		if content, err := os.ReadFile(path); err != nil || string(content) != test.content {
			t.Errorf("%s: %q %v", test.call, content, err)
		}
		if list, err := os.ReadDir(dir); err != nil || len(list) != 1 {
			t.Errorf("%s: %v %v", test.call, list, err)
		}
	}
}

// Whichever call fails, the file has its old or its new content, and no temporary file is left behind.
func TestWriteFile(t *testing.T) {
	for _, test := range []struct{ call, content string }{
		{"", "new"}, {"create", "old"}, {"write", "old"}, {"sync", "old"}, {"close", "old"}, {"rename", "old"}, {"syncdir", "new"},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "file")
		if err := WriteFile(OS, path, []byte("old"), 0o600); err != nil {
			t.Fatal(err)
		}
		err := WriteFile(failingFileSystem{OS, test.call}, path, []byte("new"), 0o600)
		if failed := errors.Is(err, errInjected); failed != (test.call != "") {
			t.Errorf("%s: %v", test.call, err)
		}
		if content, err := os.ReadFile(path); err != nil || string(content) != test.content {
			t.Errorf("%s: %q %v", test.call, content, err)
		}
		if list, err := os.ReadDir(dir); err != nil || len(list) != 1 {
			t.Errorf("%s: %v %v", test.call, list, err)
		}
	}
}
