package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// shutdownTimeout limits the wait for Raft's shutdown, which may be blocked on a log file that can't be reopened.
const shutdownTimeout = 5 * time.Second

// errShutdownTimeout is returned by Close if Raft is still blocked on the disk after shutdownTimeout. Its goroutines remain.
var errShutdownTimeout = errors.New("replica: Raft did not shut down in time: it is blocked on the disk")

// Store is a member of the group that votes. Without other members it is standalone.
type Store struct {
	opt           Options
	raft          *raft.Raft
	state         *stateMachine
	agreedClock   *agreedClock
	transport     *transport     // nil: standalone
	storage       *storage       // nil: standalone
	raftTransport *raftTransport // nil: standalone

	proposer
	leaderConns   *leaderConns // nil: standalone
	feed          *feed        // nil: standalone, without subscribers
	confirmer     *confirmer   // nil: standalone
	lease         *memberLease // nil: the member keeps none
	stopLease     func()
	verifications chan struct{} // semaphore of verifyLeadership
	caughtUpTerm  atomic.Uint64 // the term in which, as the leader, it has applied all entries of earlier terms
	replacementMu sync.Mutex    // held during a replacement that this member leads
	configChange  chan struct{} // semaphore of changeConfig
}

// Open starts a member.
func Open(opt Options) (*Store, error) {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	s := &Store{
		opt: opt, state: newStateMachine(), agreedClock: &agreedClock{clock: opt.Clock}, configChange: make(chan struct{}, 1),
	}
	s.state.agreedClock = s.agreedClock
	s.state.onPut = opt.Changed
	s.state.onPurge = opt.Purged
	s.state.onPurgesMissed = opt.Missed
	s.proposer = proposer{
		propose: s.attempt, stopped: s.isShutDown, unixMS: opt.Clock.Unix, retryDelay: fixedRetryDelay,
	}
	parts, err := s.newRaftParts()
	if err == nil {
		err = s.startRaft(parts)
	}
	if err != nil {
		s.release()
		return nil, fmt.Errorf("replica: %w", err)
	}
	if s.transport != nil {
		s.transport.start()
	}
	s.startLease()
	return s, nil
}

// startLease starts renewing the member's own lease, if it keeps one, until stopLease.
func (s *Store) startLease() {
	s.stopLease = func() {}
	if s.lease == nil {
		return
	}
	s.confirmer.acquire()
	s.confirmer.request(urgent)
	s.stopLease = sync.OnceFunc(func() {
		s.lease.notifier.close()
		s.confirmer.release()
	})
}

// Close shuts the member down.
func (s *Store) Close() error {
	s.stopLease()
	return errors.Join(s.shutDownRaft(), s.release())
}

// shutDownRaft shuts Raft down, even if it is blocked on the disk.
func (s *Store) shutDownRaft() error {
	shutdown := s.raft.Shutdown()
	if s.storage == nil {
		return shutdown.Error()
	}
	s.storage.stop() // after raft.Shutdown: a write that this unblocks must find Raft shutting down
	s.raftTransport.closePipelines()
	done := make(chan error, 1)
	go func() { done <- shutdown.Error() }()
	select {
	case err := <-done:
		return err
	case <-time.After(shutdownTimeout):
		return errShutdownTimeout
	}
}

// release closes the connections and the storage.
func (s *Store) release() error {
	if s.transport != nil {
		s.transport.Close()
		s.leaderConns.close()
		s.confirmer.wait()
	}
	if s.storage != nil {
		return s.storage.Close()
	}
	return nil
}

// Step performs a step of the claim of a name. It reports whether the step was granted, and returns the claim's record
// afterwards. After an error the outcome is unknown, unless the error is claims.ErrNotProposed. Step retries until ctx ends,
// as the owner of a claim may repeat a step.
func (s *Store) Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error) {
	return s.claimStep(ctx, name, step)
}

// Get decodes a value of the operator's configuration as known here. It reports whether there is one.
func (s *Store) Get(name string, into any) (ok bool, err error) {
	value, ok := s.state.configValue(name)
	if !ok {
		return false, nil
	}
	return true, json.Unmarshal(value, into)
}

// Revoked reports whether a token's use is known here as revoked.
func (s *Store) Revoked(name string) bool { return s.state.revoked(name) }

// Fresh reports whether the state is known to have been complete within the lease's TTL. Without a lease it counts as complete.
func (s *Store) Fresh() bool { return s.lease == nil || s.lease.fresh() }

// MaxCopyAge returns the greatest age of a cached copy that may be served now; 0: no bound.
func (s *Store) MaxCopyAge() time.Duration { return s.LeaseStatus().MaxCopyAge }

// LeaseStatus returns the status of the member's own lease.
func (s *Store) LeaseStatus() LeaseStatus {
	if s.lease == nil {
		return LeaseStatus{Position: s.Position(), Fresh: true}
	}
	return s.lease.status()
}

// Subscribers returns the number of this voter's subscribers, and of snapshots being sent to them.
func (s *Store) Subscribers() (subscribers, snapshots int) {
	if s.feed == nil {
		return 0, 0
	}
	return s.feed.subscribers()
}

// StorageError returns the error of the member's disk; nil if none is known.
func (s *Store) StorageError() error {
	if s.storage == nil {
		return nil
	}
	return s.storage.err()
}

// Position returns the position of the last distributed change that this member has applied.
func (s *Store) Position() distribution.Position { return s.state.position() }

// Leads reports whether this member considers itself the leader.
func (s *Store) Leads() bool { return s.raft.State() == raft.Leader }

// Snapshot writes a snapshot of the state now.
func (s *Store) Snapshot() error { return s.raft.Snapshot().Error() }
