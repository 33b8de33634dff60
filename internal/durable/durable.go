// Package durable writes small files that have to survive a crash of the process or the machine: each file is replaced
// atomically, and is synced before the write succeeds.
package durable

import (
	"crypto/rand"
	"errors"
	"io"
	"os"
	"path/filepath"
)

// TempPrefix is the name prefix of files that are still being written. A killed process may leave some behind.
const TempPrefix = "new-"

// File is a file that is being written.
type File interface {
	io.Writer
	// Sync returns once the data is on disk.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// FileSystem is the set of file system operations that WriteFile needs. Tests pass an implementation that fails.
type FileSystem interface {
	// Create creates a file, and fails if it exists.
	Create(path string, mode os.FileMode) (File, error)
	// Rename renames a file, and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir syncs the directory entries of a folder to disk.
	SyncDir(path string) error
}

// OS is the file system of the operating system.
var OS FileSystem = osFileSystem{}

type osFileSystem struct{}

// Create creates a file, and fails if it exists.
func (osFileSystem) Create(path string, mode os.FileMode) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
}

// Rename renames a file, and replaces an existing file of the new name.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir syncs the directory entries of a folder to disk.
func (osFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// WriteFile replaces a file's content. After an error the file has the old or the new content, and the new content may still be
// lost, so the caller has to write again. A retry writes a new file, because a sync that succeeds after a failed one does not
// guarantee that the earlier data is on disk.
func WriteFile(files FileSystem, path string, content []byte, mode os.FileMode) error {
	dir := filepath.Dir(path)
	temp := filepath.Join(dir, TempPrefix+rand.Text())
	if err := writeNew(files, temp, content, mode); err != nil {
		return errors.Join(err, removeTemp(files, temp))
	}
	if err := files.Rename(temp, path); err != nil {
		return errors.Join(err, removeTemp(files, temp))
	}
	return files.SyncDir(dir)
}

// writeNew creates a file, writes its content and syncs it.
func writeNew(files FileSystem, path string, content []byte, mode os.FileMode) error {
	f, err := files.Create(path, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// WriteFileSyncLast is like WriteFile, but renames the file into place before it is synced, and then calls placed: other
// processes can read the file even while the disk is slow. Until WriteFileSyncLast returns without an error, a crash of the
// machine may lose both the old and the new content, so the caller needs another copy.
func WriteFileSyncLast(files FileSystem, path string, content []byte, mode os.FileMode, placed func()) error {
	dir := filepath.Dir(path)
	temp := filepath.Join(dir, TempPrefix+rand.Text())
	f, err := files.Create(temp, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		return errors.Join(err, f.Close(), removeTemp(files, temp))
	}
	if err := files.Rename(temp, path); err != nil {
		return errors.Join(err, f.Close(), removeTemp(files, temp))
	}
	placed()
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return err
	}
	return files.SyncDir(dir)
}

// removeTemp removes a temporary file if it exists.
func removeTemp(files FileSystem, path string) error {
	if err := files.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}
