package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/distribution"
)

const (
	// maxVerifications bounds the verifications under way at a leader. One that hangs, such as on a full disk, keeps its
	// place until Raft gives it up.
	maxVerifications = 16
	// minRoundTimeout is the least that a round may take, however short its interval is: it may have to dial first.
	minRoundTimeout = 500 * time.Millisecond
	// urgentRounds is how many rounds an interval may have where new subscribers wait for their first.
	urgentRounds = 4
)

// errNoLeader tells that no leader is known at present.
var errNoLeader = errors.New("no leader")

// urgency says how soon a round is needed.
type urgency int

const (
	periodic urgency = iota // once the interval since the last has passed
	urgent                  // sooner: somebody waits for the first
)

// confirmer has the leader confirmed by a majority, so that marks may be issued: one round at a time, at most one in each
// heartbeat interval or a few where subscribers are new. It runs only while something wants marks: a subscriber, or the member's
// own lease.
type confirmer struct {
	store    *Store
	feed     *feed
	lease    *memberLease // nil: the member keeps none
	interval time.Duration

	mu     sync.Mutex
	users  int
	cancel context.CancelFunc // of the run under way
	ended  chan struct{}      // closed at the end of the newest run

	requests [2]chan struct{} // by urgency

	roundMu sync.Mutex
	abandon context.CancelFunc // of the round under way; nil: there is none
}

func newConfirmer(s *Store, f *feed, lease *memberLease, interval time.Duration) *confirmer {
	c := &confirmer{store: s, feed: f, lease: lease, interval: interval}
	for i := range c.requests {
		c.requests[i] = make(chan struct{}, 1)
	}
	return c
}

// acquire has rounds made on request until release.
func (c *confirmer) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	if c.users > 1 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	before, ended := c.ended, make(chan struct{})
	c.cancel, c.ended = cancel, ended
	go func() {
		defer close(ended)
		if before != nil {
			<-before // one round at a time
		}
		c.run(ctx)
	}()
}

// release ends a use.
func (c *confirmer) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.cancel()
	}
}

// wait waits for the last run to end, after its last release.
func (c *confirmer) wait() {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// request asks for a round. It doesn't block.
func (c *confirmer) request(how urgency) {
	select {
	case c.requests[how] <- struct{}{}:
	default:
	}
}

// run makes the rounds.
func (c *confirmer) run(ctx context.Context) {
	link := &confirmLink{store: c.store}
	defer link.close()
	go c.watchLeader(ctx)
	var last time.Time
	for c.awaitRequest(ctx, last) {
		last = time.Now()
		if err := c.round(ctx, link); err != nil {
			c.store.opt.Log.Debug().Err(err).Msg("leader not confirmed")
			c.request(urgent) // the heartbeats that it was for still wait: after an election they need not longer
		}
		if c.lease != nil {
			c.request(periodic)
		}
	}
}

// awaitRequest waits until a round is asked for and the last is long enough ago.
func (c *confirmer) awaitRequest(ctx context.Context, last time.Time) bool {
	how := periodic
	select {
	case <-ctx.Done():
		return false
	case <-c.requests[periodic]:
	case <-c.requests[urgent]:
		how = urgent
	}
	if how == periodic {
		timer := time.NewTimer(time.Until(last.Add(c.interval)))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-c.requests[urgent]:
		}
	}
	timer := time.NewTimer(time.Until(last.Add(c.interval / urgentRounds)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// round has the leader confirmed once. One that fails confirms nothing.
//
// Its order is that of the read-index protocol. Let a change be acknowledged before the round began. It is in the log of a
// majority, so the log of every later leader has it. The leader that is asked writes a barrier to its log after the round
// began, and answers once a majority holds that, so that no member of this majority had voted for a later leader before the
// round began. The change was hence acknowledged by this leader or an earlier one, and it stands before the barrier in the
// leader's log. Its state has it by the time the barrier is applied, and so its last distributed revision, which is read
// after that, is at or above the change's.
func (c *confirmer) round(ctx context.Context, link *confirmLink) error {
	ctx, cancel := context.WithTimeout(ctx, max(c.interval, minRoundTimeout))
	defer cancel()
	c.setAbandon(cancel)
	defer c.setAbandon(nil)
	round := c.feed.beginConfirmation()
	var heartbeat uint64
	if c.lease != nil {
		heartbeat = c.lease.beginRound()
	}
	through, leader, err := c.store.confirmLeader(ctx, link)
	if err != nil {
		return err
	}
	c.feed.confirm(round, through, leader)
	if c.lease != nil {
		c.lease.confirmed(heartbeat, through)
	}
	return nil
}

func (c *confirmer) setAbandon(abandon context.CancelFunc) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.abandon = abandon
}

// watchLeader has a round abandoned, and another made soon, when this member learns that another leads or that none does.
// A question to a leader that was cut off would otherwise wait for its time to end, while subscribers wait for marks.
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
			c.abandonRound()
		}
	}
}

func (c *confirmer) abandonRound() {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	if c.abandon != nil {
		c.abandon() // the round fails, and has the next one requested
	}
}

// confirmLeader confirms this member where it leads, and else asks the leader to confirm itself.
func (s *Store) confirmLeader(ctx context.Context, link *confirmLink) (through distribution.Revision, leader string, err error) {
	if s.Leads() {
		through, err = s.verifyLeadership(ctx)
		return through, s.address(), err
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return 0, "", errNoLeader
	}
	through, err = link.ask(ctx, string(addr))
	return through, string(addr), err
}

// verifyLeadership has a majority show that this member leads now, and gives the revision of the last distributed change
// in the state since then.
//
// It goes by a barrier in the log. raft.VerifyLeader is not enough, in spite of its name: it counts every positive answer
// of a member that comes in, also to heartbeats and to pipelined entries that were sent before it was called. A leader whose
// answers were held up could so pass for confirmed after another was elected. The barrier also has everything applied here
// that earlier leaders acknowledged, and a leader whose disk takes no more is not confirmed.
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

// untilDeadline is the time until a context's deadline, and at least a little.
func untilDeadline(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return minRoundTimeout
	}
	return max(time.Until(at), time.Millisecond)
}

// address is this member's own, as the others know it.
func (s *Store) address() string {
	for _, m := range s.opt.Members {
		if m.ID == s.opt.ID {
			return m.Addr
		}
	}
	return ""
}

// isShutDown tells whether Raft has ended here.
func (s *Store) isShutDown() bool { return s.raft.State() == raft.Shutdown }
