package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// diskFault is how a disk fails. If the sync fails, the write has been made and is then dropped from the page cache: the data
// is missing when the file is opened again.
type diskFault struct {
	name string
	err  error
	sync bool
}

var diskFaults = []diskFault{
	{name: "full", err: syscall.ENOSPC},
	{name: "input/output error", err: syscall.EIO},
	{name: "failing sync", err: syscall.EIO, sync: true},
}

// faultyDisk opens databases whose writes can be made to fail.
type faultyDisk struct {
	mu       sync.Mutex
	injected *diskFault // nil: it works
	times    int        // remaining failures; negative: unlimited
	opens    int
	fails    int
}

// set makes all writes fail from now on, or with nil none.
func (d *faultyDisk) set(fault *diskFault) { d.setTimes(fault, -1) }

// setTimes makes the next writes fail, as many as times.
func (d *faultyDisk) setTimes(fault *diskFault, times int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.injected, d.times = fault, times
}

func (d *faultyDisk) counts() (opens, fails int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opens, d.fails
}

func (d *faultyDisk) open(path string) (LogDatabase, error) {
	if fault := d.next(); fault != nil {
		return nil, fault.err // opening a database writes to it
	}
	database, err := OpenLogDatabase(path)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opens++
	return &faultyDatabase{LogDatabase: database, disk: d, path: path}, nil
}

// next returns the fault of the next write; nil if it succeeds.
func (d *faultyDisk) next() *diskFault {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.injected == nil || d.times == 0 {
		return nil
	}
	d.times--
	d.fails++
	return d.injected
}

// faultyDatabase is a database on a faultyDisk.
type faultyDatabase struct {
	LogDatabase
	disk   *faultyDisk
	path   string
	synced []byte // the file before the write whose sync failed; nil: all is synced
}

func (f *faultyDatabase) write(do func() error) error {
	fault := f.disk.next()
	if fault == nil {
		return do()
	}
	if !fault.sync {
		return fault.err
	}
	if f.synced == nil {
		var err error
		if f.synced, err = os.ReadFile(f.path); err != nil {
			return err
		}
	}
	return errors.Join(do(), fault.err)
}

func (f *faultyDatabase) StoreLog(entry *raft.Log) error { return f.StoreLogs([]*raft.Log{entry}) }

func (f *faultyDatabase) StoreLogs(entries []*raft.Log) error {
	return f.write(func() error { return f.LogDatabase.StoreLogs(entries) })
}

func (f *faultyDatabase) DeleteRange(first, last uint64) error {
	return f.write(func() error { return f.LogDatabase.DeleteRange(first, last) })
}

func (f *faultyDatabase) Set(key, value []byte) error {
	return f.write(func() error { return f.LogDatabase.Set(key, value) })
}

func (f *faultyDatabase) SetUint64(key []byte, value uint64) error {
	return f.write(func() error { return f.LogDatabase.SetUint64(key, value) })
}

func (f *faultyDatabase) Close() error {
	err := f.LogDatabase.Close()
	if f.synced != nil {
		err = errors.Join(err, os.WriteFile(f.path, f.synced, 0o600))
	}
	return err
}

// newFaultyDisks starts voters on disks that can be made to fail.
func newFaultyDisks(t *testing.T, voters int) (*cluster, []*faultyDisk) {
	disks := make([]*faultyDisk, voters)
	for i := range disks {
		disks[i] = &faultyDisk{}
	}
	c := newCluster(t, voters, distribution.Limits{}, func(voter int, opt *Options) { opt.OpenLogs = disks[voter].open })
	return c, disks
}

// tryClaim tries to claim a token, for 300 ms.
func tryClaim(s *Store, name string) (granted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, granted, err = s.Step(ctx, name, claims.Step{Op: claims.Hold, Owner: "owner", Until: s.opt.Clock.Unix() + 60000})
	return granted, err
}

// A voter's disk fails when the voter has to write a term and a vote. The voter keeps running and reading, reports the error,
// and grants no vote: the group has no majority and rejects claims. Once the disk works the group recovers without a restart,
// and has all acknowledged changes, also after a later restart.
func TestDiskFailsAtElection(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			c, disks := newFaultyDisks(t, 3)
			c.put("policy", "before")
			stopped := c.leader()
			faulty := (stopped + 1) % 3
			eventually(t, "the follower to have the change", func() bool {
				return c.stores[faulty].Position() == c.stores[stopped].Position()
			})
			disks[faulty].set(&fault)
			c.stop(stopped)
			eventually(t, "the voter to write", func() bool { return c.stores[faulty].StorageError() != nil })
			if err := c.stores[faulty].StorageError(); !errors.Is(err, fault.err) {
				t.Errorf("%v", err)
			}
			for i, s := range c.stores {
				if s == nil {
					continue
				}
				if granted, err := tryClaim(s, "token"); granted || !errors.Is(err, ErrNoQuorum) {
					t.Errorf("voter %d: a claim without a majority: %t, %v", i, granted, err)
				}
			}
			var policy string
			if ok, err := c.stores[faulty].Get("policy", &policy); !ok || err != nil || policy != "before" {
				t.Errorf("read while the disk fails: %q, %v", policy, err)
			}

			disks[faulty].set(nil)
			c.leader()
			c.put("policy", "after")
			eventually(t, "no storage error", func() bool { return c.stores[faulty].StorageError() == nil })
			mustClaim(t, c.stores[faulty], "token", "owner", true)
			c.stop(faulty)
			c.start(faulty, nil)
			c.start(stopped, nil)
			mustClaim(t, c.stores[faulty], "token", "other", false)
			eventually(t, "the change after a restart", func() bool { return c.hasPolicy(faulty, "after") })
		})
	}
}

// The leader's disk fails: the leader steps down, and another one is elected that has all acknowledged changes. Once the disk
// works the member recovers without a restart.
func TestLeaderDiskFails(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			c, disks := newFaultyDisks(t, 3)
			mustClaim(t, c.stores[c.leader()], "token", "owner", true)
			old := c.leader()
			disks[old].set(&fault)
			tryClaim(c.stores[old], "another") // makes it write
			next := c.leader(old)
			if c.stores[old].StorageError() == nil {
				t.Error("the failure of the disk is not reported")
			}
			mustClaim(t, c.stores[next], "token", "other", false)
			c.put("policy", "after")
			disks[old].set(nil)
			eventually(t, "the member to recover", func() bool {
				return c.hasPolicy(old, "after") && c.stores[old].StorageError() == nil
			})
		})
	}
}

// A voter starts although its disk rejects writes, reports the error, and takes part in the group once the disk works.
func TestStartOnFailingDisk(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			c, disks := newFaultyDisks(t, 3)
			c.put("policy", "before")
			faulty := c.follower()
			c.stop(faulty)
			disks[faulty].set(&fault)
			c.start(faulty, nil)
			if err := c.stores[faulty].StorageError(); !errors.Is(err, fault.err) {
				t.Errorf("%v", err)
			}
			c.put("policy", "after")
			disks[faulty].set(nil)
			eventually(t, "the member to take part", func() bool {
				return c.hasPolicy(faulty, "after") && c.stores[faulty].StorageError() == nil
			})
		})
	}
}

// A member can be closed while the write of a term is blocked on the disk, and starts again once the disk works.
func TestCloseWhileTermWriteBlocks(t *testing.T) {
	c, disks := newFaultyDisks(t, 1)
	c.put("policy", "before")
	c.stop(0)
	c.start(0, nil) // it has not elected itself yet
	disks[0].set(&diskFaults[0])
	eventually(t, "the member to write", func() bool { return c.stores[0].StorageError() != nil })
	c.stop(0)
	disks[0].set(nil)
	c.start(0, nil)
	c.put("policy", "after")
}

// newStorage opens a storage on a disk that can be made to fail, and stores a term and an entry.
func newStorage(t *testing.T) (*storage, *faultyDisk) {
	t.Helper()
	disk := &faultyDisk{}
	dir := t.TempDir()
	if err := createLog(dir, nil, nil); err != nil {
		t.Fatal(err)
	}
	s, err := openStorage(dir, disk.open, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	if err := errors.Join(s.SetUint64(keyCurrentTerm, 1), s.StoreLog(&raft.Log{Index: 1, Term: 1})); err != nil {
		t.Fatal(err)
	}
	return s, disk
}

// One write fails, and the next would succeed: nothing is acknowledged before the file has been rewritten and reopened. A term
// that is waiting is then written, whether or not its first attempt was performed. An entry that was rejected is not in the
// log.
func TestFailedWriteIsNotTrusted(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			s, disk := newStorage(t)
			disk.setTimes(&fault, 1)
			if err := s.StoreLog(&raft.Log{Index: 2, Term: 1}); !errors.Is(err, fault.err) {
				t.Fatalf("storing an entry on a failing disk: %v", err)
			}
			if err := s.StoreLog(&raft.Log{Index: 3, Term: 1}); !errors.Is(err, fault.err) {
				t.Fatalf("storing an entry before the recovery: %v", err)
			}
			if err := s.SetUint64(keyCurrentTerm, 2); err != nil { // blocks until the recovery
				t.Fatal(err)
			}
			if opens, fails := disk.counts(); opens != 2 || fails != 1 {
				t.Errorf("opened %d times after %d failures", opens, fails)
			}
			disk.setTimes(&fault, 1)
			if err := s.SetUint64(keyCurrentTerm, 3); err != nil {
				t.Fatal(err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			reopened, err := openStorage(filepath.Dir(s.path), nil, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			defer reopened.Close()
			if reopened.acknowledged.term != 3 || reopened.acknowledged.lastIndex != 1 {
				t.Errorf("on disk: %+v", reopened.acknowledged)
			}
		})
	}
}

// A disk that has lost an acknowledged entry: the storage remains in the failed state, and reports the loss.
func TestLostAcknowledgedEntry(t *testing.T) {
	s, disk := newStorage(t)
	before, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.StoreLog(&raft.Log{Index: 2, Term: 1}); err != nil {
		t.Fatal(err)
	}
	database := s.database.(*faultyDatabase)
	database.synced = before // Close restores this content
	disk.setTimes(&diskFaults[2], 1)
	if err := s.StoreLog(&raft.Log{Index: 3, Term: 1}); err == nil {
		t.Fatal("the injected fault was not returned")
	}
	eventually(t, "the loss to be reported", func() bool { return errors.Is(s.err(), errAcknowledgedLost) })
	if err := s.StoreLog(&raft.Log{Index: 2, Term: 2}); !errors.Is(err, errAcknowledgedLost) {
		t.Errorf("%v", err)
	}
}

// While a database can't be reopened, reads block instead of failing: the Raft library panics if a read fails.
func TestReadsWaitForReopening(t *testing.T) {
	s, disk := newStorage(t)
	aside := fmt.Sprint(s.path, ".aside")
	disk.setTimes(&diskFaults[1], 1)
	s.writeMu.Lock() // delays the recovery
	if err := os.Rename(s.path, aside); err != nil {
		t.Fatal(err)
	}
	s.fail(syscall.EIO)
	s.writeMu.Unlock()
	eventually(t, "the database to be closed", func() bool {
		s.mu.RLock()
		defer s.mu.RUnlock()
		return s.database == nil
	})
	read := make(chan error, 1)
	go func() {
		var entry raft.Log
		read <- s.GetLog(1, &entry)
	}()
	if err := os.Rename(aside, s.path); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-read:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(eventuallyTimeout):
		t.Fatal("the read did not return after the recovery")
	}
}
