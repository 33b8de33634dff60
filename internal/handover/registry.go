// Package handover lets the processes of one gateway find each other while one replaces the other, and stores the operators'
// overrides that they share: the excluded endpoints, and whether the gateway is drained. All of this is kept in files in one
// folder.
//
// Each process has an entry file in the folder, which it keeps locked (flock) for as long as it lives. The lock of a killed process
// is released, even if its process ID is in use again. The file's first byte marks the process as serving or shutting down. The
// package names and opens the Unix socket on which a successor receives connections; the frontends hand them over.
package handover

import (
	"crypto/rand"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"turnfork.dev/turnfork/internal/durable"
)

const (
	entryPrefix  = "p-" // of a process's entry file
	socketPrefix = "h-" // of the socket on which a process receives connections
	tempPrefix   = durable.TempPrefix
	nameLen      = 10 // of the random part; short, as a Unix socket path is limited to about 100 bytes
	dialTimeout  = 500 * time.Millisecond
)

// Values of the first byte of an entry file.
const (
	servingMark      = 's'
	shuttingDownMark = 'l'
)

var errNotEntered = errors.New("process not entered in the shared folder")

// SiblingCount counts the other processes of the gateway.
type SiblingCount struct{ Serving, ShuttingDown int }

// Registry registers this process and finds its siblings. A nil Registry has no siblings and stores nothing.
type Registry struct {
	dir   string
	name  string
	files durable.FileSystem // of the overrides

	mu    sync.Mutex
	entry *os.File // this process's entry file, locked while the process lives; nil: not entered
}

// New creates a registry for a folder. The overrides can be read at once; siblings see this process after Enter.
func New(dir string, files durable.FileSystem) *Registry {
	return &Registry{dir: dir, name: entryPrefix + rand.Text()[:nameLen], files: files}
}

// Open creates a registry and enters this process in its folder, which is created if it does not exist.
func Open(dir string) (*Registry, error) {
	r := New(dir, durable.OS)
	if err := r.Enter(); err != nil {
		return nil, err
	}
	return r, nil
}

// Enter enters this process in the folder, which is created if it does not exist. It may be called repeatedly.
func (r *Registry) Enter() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry != nil {
		return nil
	}
	if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return err
	}
	// The file gets its final name only once it is locked: a sibling that found it unlocked would take this process for dead.
	temp := filepath.Join(r.dir, tempPrefix+rand.Text())
	file, err := os.OpenFile(temp, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err = tryLock(file); err == nil {
		file.WriteAt([]byte{servingMark}, 0) // may fail on a full disk; an empty file counts as serving too
		err = os.Rename(temp, filepath.Join(r.dir, r.name))
	}
	if err != nil {
		os.Remove(temp)
		return errors.Join(err, file.Close())
	}
	r.entry = file
	return nil
}

// tryLock locks a file without waiting, and fails if another open file holds the lock.
func tryLock(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// Entered reports whether siblings see this process.
func (r *Registry) Entered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry != nil
}

// StopServing announces to the siblings that this process is shutting down and accepts no new connections.
func (r *Registry) StopServing() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry == nil {
		return errNotEntered
	}
	_, err := r.entry.WriteAt([]byte{shuttingDownMark}, 0)
	return err
}

// Close removes this process's socket and entry from the folder.
func (r *Registry) Close() error {
	if r == nil {
		return nil
	}
	if err := os.Remove(r.socketPath(r.name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry == nil {
		return nil
	}
	return errors.Join(os.Remove(filepath.Join(r.dir, r.name)), r.entry.Close())
}

// socketPath returns the path of the socket on which the named process receives connections.
func (r *Registry) socketPath(name string) string {
	return filepath.Join(r.dir, socketPrefix+strings.TrimPrefix(name, entryPrefix))
}

// Listen opens the socket on which this process receives connections from siblings. It returns nil for a nil Registry.
func (r *Registry) Listen() (*net.UnixListener, error) {
	if r == nil {
		return nil, nil
	}
	return net.ListenUnix("unix", &net.UnixAddr{Name: r.socketPath(r.name), Net: "unix"})
}

// Successor returns a function that dials a serving sibling which can receive connections; nil: there is none.
func (r *Registry) Successor() func() (*net.UnixConn, error) {
	for _, name := range r.servingSiblings() {
		path := r.socketPath(name)
		if _, err := os.Stat(path); err == nil {
			return func() (*net.UnixConn, error) { return dialUnix(path) }
		}
	}
	return nil
}

func dialUnix(path string) (*net.UnixConn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("unix", path)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// Siblings counts the other live processes, and removes the files of dead processes.
func (r *Registry) Siblings() (count SiblingCount, err error) {
	err = r.forEachSibling(func(_ string, shuttingDown bool) {
		if shuttingDown {
			count.ShuttingDown++
		} else {
			count.Serving++
		}
	})
	return count, err
}

// servingSiblings returns the names of the siblings that serve.
func (r *Registry) servingSiblings() (names []string) {
	r.forEachSibling(func(name string, shuttingDown bool) {
		if !shuttingDown {
			names = append(names, name)
		}
	})
	return names
}

// forEachSibling calls visit for every other live process. An error means that some may have been missed.
func (r *Registry) forEachSibling(visit func(name string, shuttingDown bool)) (failed error) {
	if r == nil {
		return nil
	}
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasPrefix(name, entryPrefix) || name == r.name {
			continue
		}
		if err := r.visitSibling(name, visit); err != nil {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// visitSibling calls visit for the process with this entry file, or removes the file if the process is dead. After an error, such
// as a lack of descriptors, it is unknown whether that process is alive.
func (r *Registry) visitSibling(name string, visit func(name string, shuttingDown bool)) error {
	path := filepath.Join(r.dir, name)
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil // removed since the folder was read
	}
	if err != nil {
		return err
	}
	defer file.Close()
	if tryLock(file) == nil {
		os.Remove(path)
		os.Remove(r.socketPath(name))
		return nil
	}
	var mark [1]byte
	file.ReadAt(mark[:], 0)
	visit(name, mark[0] == shuttingDownMark)
	return nil
}
