package replica

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"turnfork.dev/turnfork/internal/durable"
)

// newSuffix is the suffix of a log file that is being created.
const newSuffix = ".new"

// durableState is what a storage has acknowledged, as far as it is compared after a failure.
type durableState struct {
	term, voteTerm uint64
	candidate      []byte
	lastIndex      uint64
}

// covers reports whether nothing that was acknowledged is missing. There may be more: a failed write may have been performed.
func (d durableState) covers(acknowledged durableState) bool {
	sameVote := d.voteTerm == acknowledged.voteTerm && bytes.Equal(d.candidate, acknowledged.candidate)
	return d.term >= acknowledged.term &&
		d.lastIndex >= acknowledged.lastIndex &&
		(sameVote || d.voteTerm > acknowledged.voteTerm)
}

// openLog opens a log file. If its disk rejects writes it opens the file read-only, and returns the rejection as writeErr.
func openLog(
	path string, open func(path string) (LogDatabase, error),
) (database LogDatabase, stored durableState, writeErr, err error) {
	database, stored, writeErr = openVerified(path, open)
	if writeErr == nil {
		return database, stored, nil, nil
	}
	if errors.Is(writeErr, errCorrupted) || errors.Is(writeErr, os.ErrNotExist) {
		return nil, stored, nil, fmt.Errorf("%s: %w", path, writeErr)
	}
	if database, stored, err = openVerifiedReadOnly(path); err != nil {
		return nil, stored, nil, fmt.Errorf("%s: %w", path, errors.Join(writeErr, err))
	}
	return database, stored, writeErr, nil
}

// openVerified opens the database in a file, unless it is damaged, and reads the state to compare. It rewrites and syncs the file
// first: a sync may have failed in an earlier process that was killed before it rewrote the file.
func openVerified(path string, open func(path string) (LogDatabase, error)) (LogDatabase, durableState, error) {
	if err := verifyLogFile(path, true); err != nil {
		return nil, durableState{}, err
	}
	return openAndRead(path, open)
}

// openVerifiedReadOnly opens the database in a file read-only, unless it is damaged, and reads the state to compare.
func openVerifiedReadOnly(path string) (LogDatabase, durableState, error) {
	if err := verifyLogFile(path, false); err != nil {
		return nil, durableState{}, err
	}
	return openAndRead(path, openReadOnly)
}

func openAndRead(path string, open func(string) (LogDatabase, error)) (database LogDatabase, stored durableState, err error) {
	if database, err = open(path); err != nil {
		return nil, stored, err
	}
	if stored, err = readDurableState(database); err == nil {
		err = verifyEntries(database, stored)
	}
	if err != nil {
		return nil, stored, errors.Join(err, database.Close())
	}
	return database, stored, nil
}

// createLog creates the database in a member's directory if there is none, and calls fill, which may be nil, to write its
// initial content. The file gets its final name only when it is complete, so an incomplete file of that name is known to be
// damaged.
func createLog(dir string, open func(path string) (LogDatabase, error), fill func(LogDatabase) error) error {
	path := filepath.Join(dir, logFile)
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	temp := path + newSuffix
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if open == nil {
		open = OpenLogDatabase
	}
	database, err := open(temp)
	if err != nil {
		return fmt.Errorf("%s: %w", temp, err)
	}
	if fill != nil {
		err = fill(database)
	}
	if err := errors.Join(err, database.Close()); err != nil {
		return fmt.Errorf("%s: %w", temp, err)
	}
	if err := os.Rename(temp, path); err != nil {
		return err
	}
	return durable.OS.SyncDir(dir)
}

// readDurableState reads the state to compare from a database.
func readDurableState(database LogDatabase) (stored durableState, err error) {
	if stored.lastIndex, err = database.LastIndex(); err != nil {
		return stored, err
	}
	if stored.term, err = optionalUint64(database, keyCurrentTerm); err != nil {
		return stored, err
	}
	if stored.voteTerm, err = optionalUint64(database, keyLastVoteTerm); err != nil {
		return stored, err
	}
	stored.candidate, err = database.Get(keyLastVoteCandidate)
	if errors.Is(err, boltdb.ErrKeyNotFound) {
		err = nil
	}
	return stored, err
}

// optionalUint64 reads a number; 0 if there is none.
func optionalUint64(database raft.StableStore, key []byte) (uint64, error) {
	value, err := database.GetUint64(key)
	if errors.Is(err, boltdb.ErrKeyNotFound) {
		return 0, nil
	}
	return value, err
}
