// Package kin lets the processes of one gateway know of each other while one replaces the other, and keeps what the
// operators' orders left: which stores are out, and whether the gateway is drained. All of it is files in one folder.
package kin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// State is what the operators' orders left.
type State struct {
	Format   int      `json:"format"`
	Change   uint64   `json:"change"` // counted up with each
	Disabled []uint32 `json:"disabled"`
	Draining bool     `json:"draining"`
}

// Errors of the file.
var (
	ErrDamaged = errors.New("the file of orders can't be read")
	errFormat  = errors.New("of another format")
)

const (
	format     = 1
	fileMost   = 1 << 20
	storesMost = 1 << 14 // stores that may be out at once
	stateName  = "orders.json"
	lockName   = "lock"
	living     = "p-" // before the name of a process's own file
	making     = "new-"
	handing    = "h-" // before the name of the socket at which a process takes connections over
	dialMost   = 500 * time.Millisecond
	nameLen    = 10 // a socket's path may have about 100 bytes
	lockRetry  = 2 * time.Millisecond

	serving = 's'
	leaving = 'l'
)

// Others counts the other processes of the gateway.
type Others struct{ Serving, Leaving int }

// Kin is this process among those of its gateway. A nil one stands alone and keeps nothing.
type Kin struct {
	dir  string
	name string
	own  *os.File // locked for as long as the process lives
}

// Open enters this process in a folder, which is made.
func Open(dir string) (*Kin, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	k := &Kin{dir: dir, name: living + rand.Text()[:nameLen]}
	// Guards against another one that finds the file not yet locked and takes its process for dead: it gets its
	// name once it is locked.
	first := filepath.Join(dir, making+rand.Text())
	f, err := os.OpenFile(first, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		if _, err = f.WriteAt([]byte{serving}, 0); err == nil {
			err = os.Rename(first, filepath.Join(dir, k.name))
		}
	}
	if err != nil {
		os.Remove(first)
		return nil, errors.Join(err, f.Close())
	}
	k.own = f
	return k, nil
}

// Leave tells the others that this process takes nothing new any more.
func (k *Kin) Leave() error {
	if k == nil {
		return nil
	}
	_, err := k.own.WriteAt([]byte{leaving}, 0)
	return err
}

// Close takes this process out of the folder.
func (k *Kin) Close() error {
	if k == nil {
		return nil
	}
	if err := os.Remove(k.socket(k.name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return errors.Join(os.Remove(filepath.Join(k.dir, k.name)), k.own.Close())
}

// socket is where the process of a name takes connections over.
func (k *Kin) socket(name string) string {
	return filepath.Join(k.dir, handing+strings.TrimPrefix(name, living))
}

// Listen has this process take connections over from others; nil, where it stands alone.
func (k *Kin) Listen() (*net.UnixListener, error) {
	if k == nil {
		return nil, nil
	}
	return net.ListenUnix("unix", &net.UnixAddr{Name: k.socket(k.name), Net: "unix"})
}

// Heir gives the way to a process that serves and takes connections over; nil: there is none.
func (k *Kin) Heir() func() (*net.UnixConn, error) {
	for _, name := range k.serving() {
		path := k.socket(name)
		if _, err := os.Stat(path); err == nil {
			return func() (*net.UnixConn, error) {
				c, err := (&net.Dialer{Timeout: dialMost}).Dial("unix", path)
				if err != nil {
					return nil, err
				}
				return c.(*net.UnixConn), nil
			}
		}
	}
	return nil
}

// Look counts the others that live, and clears away what dead ones left. A process that was killed no longer holds
// the lock on its file, whatever became of its number.
func (k *Kin) Look() (o Others, err error) {
	err = k.each(func(_ string, leaves bool) {
		if leaves {
			o.Leaving++
		} else {
			o.Serving++
		}
	})
	return o, err
}

// serving names the others that serve.
func (k *Kin) serving() (names []string) {
	k.each(func(name string, leaves bool) {
		if !leaves {
			names = append(names, name)
		}
	})
	return names
}

// each calls fn for every other process that lives.
func (k *Kin) each(fn func(name string, leaves bool)) error {
	if k == nil {
		return nil
	}
	list, err := os.ReadDir(k.dir)
	if err != nil {
		return err
	}
	for _, e := range list {
		if !strings.HasPrefix(e.Name(), living) || e.Name() == k.name {
			continue
		}
		path := filepath.Join(k.dir, e.Name())
		f, err := os.OpenFile(path, os.O_RDWR, 0)
		if err != nil {
			continue // it has just gone
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			os.Remove(path)
			os.Remove(k.socket(e.Name()))
		} else {
			var b [1]byte
			f.ReadAt(b[:], 0)
			fn(e.Name(), b[0] == leaving)
		}
		f.Close()
	}
	return nil
}

// Read gives the orders; those of a folder that holds none are empty.
func (k *Kin) Read() (s State, err error) {
	if k == nil {
		return s, nil
	}
	f, err := os.Open(filepath.Join(k.dir, stateName))
	if errors.Is(err, os.ErrNotExist) {
		return State{}, nil
	}
	if err != nil {
		return s, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err != nil {
		return s, err
	}
	if len(text) > fileMost {
		return s, fmt.Errorf("%w: more than %d bytes", ErrDamaged, fileMost)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if s.Format != format || len(s.Disabled) > storesMost {
		return State{}, fmt.Errorf("%w: %w", ErrDamaged, errFormat)
	}
	slices.Sort(s.Disabled)
	s.Disabled = slices.Compact(s.Disabled)
	return s, nil
}

// Change alters the orders, one process at a time. Where the file is damaged it starts from what this process
// holds. The file is put in place whole, so that a reader sees the old or the new one, also after a crash.
func (k *Kin) Change(ctx context.Context, held State, alter func(*State)) (s State, err error) {
	if k == nil {
		alter(&held)
		return held, nil
	}
	lock, err := os.OpenFile(filepath.Join(k.dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return s, err
	}
	defer lock.Close() // gives the lock back
	for {
		err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			break
		}
		if err != syscall.EWOULDBLOCK && err != syscall.EINTR {
			return s, err
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(lockRetry):
		}
	}
	if s, err = k.Read(); errors.Is(err, ErrDamaged) {
		s, err = held, nil
	}
	if err != nil {
		return s, err
	}
	alter(&s)
	s.Format = format
	s.Change = max(s.Change, held.Change) + 1
	text, err := json.Marshal(s)
	if err != nil {
		return s, err
	}
	next := filepath.Join(k.dir, making+rand.Text())
	if err := os.WriteFile(next, append(text, '\n'), 0o600); err != nil {
		os.Remove(next)
		return s, err
	}
	return s, os.Rename(next, filepath.Join(k.dir, stateName))
}
