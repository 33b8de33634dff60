package replica

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	minRecoveryDelay = 50 * time.Millisecond // after a failed write; doubled after each failed recovery
	maxRecoveryDelay = time.Second

	rewriteBlockSize = 4096
)

// fail rejects writes from now on, and starts the recovery; s.writeMu is held.
func (s *storage) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = fmt.Errorf("%s: %w", s.path, err)
	s.recovered = make(chan struct{})
	s.log.Error().Err(s.failure).Msg("raft log write failed")
	s.recoveries.Add(1)
	go func() {
		defer s.recoveries.Done()
		s.recoverLoop()
	}()
}

// recoverLoop attempts a recovery until one succeeds or the storage is stopped.
func (s *storage) recoverLoop() {
	for delay := minRecoveryDelay; ; delay = min(2*delay, maxRecoveryDelay) {
		select {
		case <-s.closed:
			return
		case <-time.After(delay):
		}
		if s.tryRecover() {
			return
		}
	}
}

// tryRecover reopens the database, and reports whether the disk works.
func (s *storage) tryRecover() bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.isClosed() {
		return false
	}
	s.mu.Lock() // no read is in progress
	defer s.mu.Unlock()
	if err := s.reopen(); err != nil {
		s.failure = fmt.Errorf("%s: %w", s.path, err)
		return false
	}
	s.failure = nil
	close(s.recovered)
	s.recovered = nil
	s.log.Info().Str("file", s.path).Msg("raft log recovered")
	return true
}

// reopen closes the database, rewrites its file and opens it; s.writeMu and s.mu are held.
func (s *storage) reopen() error {
	if old := s.database; old != nil {
		s.database = nil
		if err := old.Close(); err != nil {
			return err
		}
	}
	database, stored, err := openVerified(s.path, s.open)
	if err != nil {
		return err
	}
	if !stored.covers(s.acknowledged) {
		return errors.Join(errAcknowledgedLost, database.Close())
	}
	s.database = database
	return database.DeleteRange(0, 0) // deletes nothing, but is written and synced like any change
}

// rewriteAndSync writes a file's content to it again and syncs it, so that the sync covers what a failed one may have
// dropped. Blocks of zeros are skipped, as the disk may have no space allocated for them.
func rewriteAndSync(f *os.File) error {
	var block, zeros [rewriteBlockSize]byte
	for at := int64(0); ; at += rewriteBlockSize {
		n, err := f.ReadAt(block[:], at)
		if n > 0 && !bytes.Equal(block[:n], zeros[:n]) {
			if _, err := f.WriteAt(block[:n], at); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return f.Sync()
		}
		if err != nil {
			return err
		}
	}
}
