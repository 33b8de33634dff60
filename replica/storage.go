package replica

import (
	"bytes"
	"errors"
	"io"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"
)

// logFile is the file in a member's directory that holds Raft's log, its term and its vote.
const logFile = "raft.db"

// The keys of Raft's stable store.
var (
	keyCurrentTerm       = []byte("CurrentTerm")
	keyLastVoteTerm      = []byte("LastVoteTerm")
	keyLastVoteCandidate = []byte("LastVoteCand")
)

var (
	errStorageClosed = errors.New("the member ends")
	// errAcknowledgedLost is returned for a file that lacks what was acknowledged before a failure.
	errAcknowledgedLost = errors.New("the disk has lost what it had acknowledged")
)

// LogDatabase stores a member's log, its term and its vote on disk.
type LogDatabase interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// OpenLogDatabase opens the database in a file, and creates the file if there is none.
func OpenLogDatabase(path string) (LogDatabase, error) { return boltdb.NewBoltStore(path) }

// openReadOnly opens the database in a file on a disk that rejects writes.
func openReadOnly(path string) (LogDatabase, error) {
	return boltdb.New(boltdb.Options{Path: path, BoltOptions: &bbolt.Options{ReadOnly: true}})
}

// storage is a member's log and stable store, on a disk that may fail for a while. After a failed write no write is performed
// until the file has been rewritten, synced, reopened and compared with what was acknowledged: a sync that succeeds after a
// failed one does not prove that the data of the failed one is on disk.
//
// Meanwhile log entries are rejected, so that a leader steps down and a follower acknowledges nothing. Terms and votes block,
// as the Raft library panics if a term is rejected: a blocked member sends no heartbeats and grants no votes, and the others
// elect a leader.
type storage struct {
	path string
	open func(path string) (LogDatabase, error)
	log  zerolog.Logger

	writeMu      sync.Mutex // held during a write and a recovery; locked before mu
	acknowledged durableState

	mu        sync.RWMutex
	database  LogDatabase   // replaced with writeMu held; nil: it could not be reopened yet
	failure   error         // of the latest write or recovery; nil: the disk works
	recovered chan struct{} // closed once the disk works again; nil while it works

	closed     chan struct{}
	closeOnce  sync.Once
	recoveries sync.WaitGroup
}

// openStorage opens the storage in a member's directory. On a disk that rejects writes the storage begins in the failed state.
func openStorage(dir string, open func(path string) (LogDatabase, error), log zerolog.Logger) (*storage, error) {
	if open == nil {
		open = OpenLogDatabase
	}
	s := &storage{path: filepath.Join(dir, logFile), open: open, log: log, closed: make(chan struct{})}
	database, stored, writeErr, err := openLog(s.path, s.open)
	if err != nil {
		return nil, err
	}
	s.database, s.acknowledged = database, stored
	if writeErr != nil {
		s.fail(writeErr)
	}
	return s, nil
}

// err returns the error of the disk; nil if none is known.
func (s *storage) err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failure
}

// FirstIndex returns the log's first index; 0 if the log is empty.
func (s *storage) FirstIndex() (index uint64, err error) {
	err = s.read(func(database LogDatabase) error {
		index, err = database.FirstIndex()
		return err
	})
	return index, err
}

// LastIndex returns the log's last index; 0 if the log is empty.
func (s *storage) LastIndex() (index uint64, err error) {
	err = s.read(func(database LogDatabase) error {
		index, err = database.LastIndex()
		return err
	})
	return index, err
}

// GetLog reads an entry.
func (s *storage) GetLog(index uint64, entry *raft.Log) error {
	return s.read(func(database LogDatabase) error {
		err := database.GetLog(index, entry)
		stripChecksum(entry) // verified when the file was opened
		return err
	})
}

// StoreLog appends an entry.
func (s *storage) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs appends entries. On a failed disk it returns the failure at once.
func (s *storage) StoreLogs(entries []*raft.Log) error {
	checksummed := make([]*raft.Log, len(entries))
	for i, entry := range entries {
		checksummed[i] = withChecksum(entry)
	}
	return s.write(func(database LogDatabase) error {
		if err := database.StoreLogs(checksummed); err != nil {
			return err
		}
		if len(entries) > 0 {
			s.acknowledged.lastIndex = entries[len(entries)-1].Index
		}
		return nil
	})
}

// DeleteRange deletes entries. On a failed disk it returns the failure at once.
func (s *storage) DeleteRange(first, last uint64) error {
	return s.write(func(database LogDatabase) error {
		if err := database.DeleteRange(first, last); err != nil {
			return err
		}
		if first <= s.acknowledged.lastIndex && s.acknowledged.lastIndex <= last {
			s.acknowledged.lastIndex = first - 1 // the tail after a conflict, or the whole log before a snapshot is installed
		}
		return nil
	})
}

// Set writes a value. On a failed disk it blocks until the disk works.
func (s *storage) Set(key, value []byte) error {
	return s.writeWhenRecovered(func(database LogDatabase) error {
		if err := database.Set(key, value); err != nil {
			return err
		}
		if bytes.Equal(key, keyLastVoteCandidate) {
			s.acknowledged.candidate = bytes.Clone(value)
		}
		return nil
	})
}

// SetUint64 writes a number. On a failed disk it blocks until the disk works. The current term is not written again if it is
// stored already, as at each start, which therefore does not block.
//
// On shutdown a blocked write of a term reports success, as the Raft library panics on an error. Nothing depends on that
// term: votes and entries are rejected from then on, and Raft is shutting down.
func (s *storage) SetUint64(key []byte, value uint64) error {
	isTerm := bytes.Equal(key, keyCurrentTerm)
	if isTerm && s.hasTerm(value) {
		return nil
	}
	err := s.writeWhenRecovered(func(database LogDatabase) error {
		if err := database.SetUint64(key, value); err != nil {
			return err
		}
		switch {
		case isTerm:
			s.acknowledged.term = value
		case bytes.Equal(key, keyLastVoteTerm):
			s.acknowledged.voteTerm = value
		}
		return nil
	})
	if isTerm && errors.Is(err, errStorageClosed) {
		return nil
	}
	return err
}

// hasTerm reports whether a term is stored already.
func (s *storage) hasTerm(term uint64) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return s.acknowledged.term == term
}

// Get reads a value.
func (s *storage) Get(key []byte) (value []byte, err error) {
	err = s.read(func(database LogDatabase) error {
		value, err = database.Get(key)
		return err
	})
	return value, err
}

// GetUint64 reads a number.
func (s *storage) GetUint64(key []byte) (value uint64, err error) {
	err = s.read(func(database LogDatabase) error {
		value, err = database.GetUint64(key)
		return err
	})
	return value, err
}

// read reads from the database. While the database can't be reopened it blocks, as the Raft library panics if an entry can't
// be read; on shutdown it blocks forever.
func (s *storage) read(do func(LogDatabase) error) error {
	for {
		s.mu.RLock()
		if s.database != nil {
			defer s.mu.RUnlock()
			return do(s.database)
		}
		recovered := s.recovered
		s.mu.RUnlock()
		<-recovered
	}
}

// write writes to the database, unless the disk has failed. Reads are possible meanwhile.
func (s *storage) write(do func(LogDatabase) error) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.isClosed() {
		return errStorageClosed
	}
	s.mu.RLock()
	database, failure := s.database, s.failure
	s.mu.RUnlock()
	if failure != nil {
		return failure
	}
	err := do(database)
	if err != nil {
		s.fail(err)
	}
	return err
}

// writeWhenRecovered writes to the database, and on a failed disk waits until it works. It fails only on shutdown.
func (s *storage) writeWhenRecovered(do func(LogDatabase) error) error {
	for {
		err := s.write(do)
		if err == nil || errors.Is(err, errStorageClosed) {
			return err
		}
		s.mu.RLock()
		recovered := s.recovered
		s.mu.RUnlock()
		if recovered == nil {
			continue // the disk has recovered already
		}
		select {
		case <-recovered:
		case <-s.closed:
			return errStorageClosed
		}
	}
}

func (s *storage) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// stop unblocks the waiting writes, which fail, and rejects all further ones.
func (s *storage) stop() { s.closeOnce.Do(func() { close(s.closed) }) }

// Close stops the storage and closes the file.
func (s *storage) Close() error {
	s.stop()
	s.recoveries.Wait()
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.database == nil {
		return nil
	}
	return s.database.Close()
}
