package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/distribution"
)

const (
	// maxVerifications bounds the barriers in progress at a leader. One that hangs, as on a full disk, counts until Raft
	// fails it.
	maxVerifications = 16
	// minRoundTimeout is the lower bound of a round's time-out, which otherwise is the interval: a round may have to dial first.
	minRoundTimeout = 500 * time.Millisecond
	// urgentRoundsPerInterval is how many rounds an interval may have while new subscribers wait for their first mark.
	urgentRoundsPerInterval = 4
)

// urgency states how soon a round is needed.
type urgency int

const (
	periodic urgency = iota // once the interval since the last round has passed
	urgent                  // sooner: a subscriber is waiting for its first mark
)

// confirmer has a majority confirm the leader, which a voter needs for issuing marks. It runs one round at a time, at most one in
// each heartbeat interval or a few while subscribers are new. It runs only while it has users: subscribers, or the member's own
// lease.
type confirmer struct {
	store    *Store
	feed     *feed
	lease    *memberLease // nil: the member has none
	interval time.Duration

	mu     sync.Mutex
	users  int
	cancel context.CancelFunc // of the current run
	done   chan struct{}      // closed at the end of the latest run

	requests [2]chan struct{} // by urgency

	roundMu     sync.Mutex
	cancelRound context.CancelFunc // of the current round; nil: there is none
}

func newConfirmer(s *Store, f *feed, lease *memberLease, interval time.Duration) *confirmer {
	c := &confirmer{store: s, feed: f, lease: lease, interval: interval}
	for i := range c.requests {
		c.requests[i] = make(chan struct{}, 1)
	}
	return c
}

// acquire adds a user. The first one starts a run.
func (c *confirmer) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	if c.users > 1 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	previous, done := c.done, make(chan struct{})
	c.cancel, c.done = cancel, done
	go func() {
		defer close(done)
		if previous != nil {
			<-previous // one round at a time
		}
		c.run(ctx)
	}()
}

// release removes a user. The last one ends the run.
func (c *confirmer) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.cancel()
	}
}

// wait waits for the end of the last run, after the last release.
func (c *confirmer) wait() {
	c.mu.Lock()
	done := c.done
	c.mu.Unlock()
	if done != nil {
		<-done
	}
}

// request requests a round. It does not block.
func (c *confirmer) request(how urgency) {
	select {
	case c.requests[how] <- struct{}{}:
	default:
	}
}

// run makes a round for each request, until ctx ends.
func (c *confirmer) run(ctx context.Context) {
	conn := &confirmConn{store: c.store}
	defer conn.close()
	go c.watchLeader(ctx)
	var last time.Time
	for c.awaitRequest(ctx, last) {
		last = time.Now()
		if err := c.round(ctx, conn); err != nil {
			c.store.opt.Log.Debug().Err(err).Msg("leader not confirmed")
			c.request(urgent) // pending heartbeats need a round, and after an election should not wait a full interval
		}
		if c.lease != nil {
			c.request(periodic)
		}
	}
}

// awaitRequest waits until a round is requested and due. It reports false at the end of ctx.
func (c *confirmer) awaitRequest(ctx context.Context, last time.Time) bool {
	urgentAt := last.Add(c.interval / urgentRoundsPerInterval)
	select {
	case <-ctx.Done():
		return false
	case <-c.requests[urgent]:
		return sleepUntil(ctx, urgentAt)
	case <-c.requests[periodic]:
	}
	timer := time.NewTimer(time.Until(last.Add(c.interval)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-c.requests[urgent]:
		return sleepUntil(ctx, urgentAt)
	}
}

// sleepUntil waits until a time. It reports false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// round has a majority confirm the leader once. A failed round confirms nothing.
//
// It follows the ReadIndex protocol (Ongaro's dissertation, 6.4). Let a change be acknowledged before the round began. It is
// in the log of a majority, so the log of every later leader has it. The leader that is asked appends a barrier to its log
// after the round began, and answers once a majority has stored that, so that no member of this majority had voted for a
// later leader before the round began. The change was hence acknowledged by this leader or an earlier one, and it precedes
// the barrier in the leader's log. The leader has applied it by the time it has applied the barrier, and so its last
// distributed revision, which is read after that, is at or above the change's.
func (c *confirmer) round(ctx context.Context, conn *confirmConn) error {
	ctx, cancel := context.WithTimeout(ctx, max(c.interval, minRoundTimeout))
	defer cancel()
	c.setCancelRound(cancel)
	defer c.setCancelRound(nil)
	round := c.feed.beginConfirmation()
	var heartbeat uint64
	if c.lease != nil {
		heartbeat = c.lease.beginRound()
	}
	through, leader, err := c.store.confirmLeader(ctx, conn)
	if err != nil {
		return err
	}
	c.feed.confirm(round, through, leader)
	if c.lease != nil {
		c.lease.confirm(heartbeat, through)
	}
	return nil
}

func (c *confirmer) setCancelRound(cancel context.CancelFunc) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.cancelRound = cancel
}

// watchLeader cancels the current round, which then requests another one, when this member learns of a new leader or that the
// leader is lost. A request to a partitioned leader would otherwise wait for its time-out, while subscribers wait for marks.
func (c *confirmer) watchLeader(ctx context.Context) {
	changes := make(chan raft.Observation, 1)
	observer := raft.NewObserver(changes, false, func(o *raft.Observation) bool {
		_, ok := o.Data.(raft.LeaderObservation)
		return ok
	})
	c.store.raft.RegisterObserver(observer)
	defer c.store.raft.DeregisterObserver(observer)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
			c.abortRound()
		}
	}
}

// abortRound cancels the current round, which fails and requests the next one.
func (c *confirmer) abortRound() {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	if c.cancelRound != nil {
		c.cancelRound()
	}
}

// confirmLeader confirms this member if it is the leader, and otherwise asks the leader to confirm itself. It returns the
// leader's last distributed revision, and its address.
func (s *Store) confirmLeader(ctx context.Context, conn *confirmConn) (distribution.Revision, string, error) {
	if s.Leads() {
		through, err := s.verifyLeadership(ctx)
		return through, s.advertisedAddr(), err
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return 0, "", errNoLeader
	}
	through, err := conn.confirm(ctx, string(addr))
	return through, string(addr), err
}

// verifyLeadership has a majority show that this member is the leader now, and returns the revision of the last distributed
// change that it has applied by then.
//
// It appends a barrier to the log. raft.VerifyLeader is not enough, in spite of its name: it counts every positive response of a
// member that arrives, also those to heartbeats and to pipelined entries that were sent before it was called. A leader whose
// responses were delayed could thus be confirmed after another was elected. The barrier also ensures that everything is applied
// here that earlier leaders acknowledged, and that a leader whose disk rejects writes is not confirmed.
func (s *Store) verifyLeadership(ctx context.Context) (distribution.Revision, error) {
	select {
	case s.verifications <- struct{}{}:
	default:
		return 0, fmt.Errorf("replica: %d verifications under way", maxVerifications)
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-s.verifications }()
		done <- s.raft.Barrier(untilDeadline(ctx)).Error()
	}()
	select {
	case err := <-done:
		if err != nil {
			return 0, err
		}
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return s.state.position().Revision, nil
}

// untilDeadline returns the time until a context's deadline, and at least a millisecond.
func untilDeadline(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return minRoundTimeout
	}
	return max(time.Until(at), time.Millisecond)
}

// advertisedAddr returns this member's address in the list of members.
func (s *Store) advertisedAddr() string {
	for _, m := range s.opt.Members {
		if m.ID == s.opt.ID {
			return m.Addr
		}
	}
	return ""
}

// isShutDown reports whether Raft is shut down on this member.
func (s *Store) isShutDown() bool { return s.raft.State() == raft.Shutdown }
