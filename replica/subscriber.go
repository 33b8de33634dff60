package replica

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
)

// SubscriberOptions configures a subscriber.
type SubscriberOptions struct {
	Name   string // of the gateway; the order in which it tries the voters depends on it
	Voters []Member
	TLS    *tls.Config // with a certificate issued by the members' authority
	Clock  *clock.Clock
	Log    zerolog.Logger

	// Effects is notified of changes, in order. It may be nil. Its methods must not block, nor call the Subscriber.
	Effects distribution.Effects
	// FreshnessChanged is called when the state becomes fresh or stale; it is stale at first. It may be nil. It must not
	// block, nor close the Subscriber.
	FreshnessChanged func(fresh bool)

	Timing   distribution.Timing
	RetryMin time.Duration    // least delay between attempts to connect; 0: 100 ms
	RetryMax time.Duration    // greatest delay; 0: 5 s
	Random   *rand.Rand       // for the jitter; used by the Subscriber alone; nil: seeded by the system
	Now      func() time.Time // for the lease, monotonic; nil: time.Now
	Dial     DialFunc         // opens connections; nil: TCP
}

// Defaults of SubscriberOptions.
const (
	defaultRetryMin = 100 * time.Millisecond
	defaultRetryMax = 5 * time.Second
)

// dropInterval is how often a subscriber drops expired revocations and purges.
const dropInterval = 30 * time.Second

// Subscriber is the copy of the replicated state of a gateway that does not vote. It watches one voter at a time, and sends
// proposals to the leader.
//
// It uses one goroutine, which reads, a timer for heartbeats and one for the end of its lease.
type Subscriber struct {
	opt         SubscriberOptions
	timing      distribution.Timing
	dialer      dialer
	leaderConns *leaderConns
	proposer
	backoff *distribution.Backoff
	traffic traffic

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}

	mu          sync.RWMutex
	voters      []string // addresses, in the order of preference
	view        *distribution.View
	lease       *distribution.Lease
	leader      string    // address of the leader; "": unknown
	voter       string    // address of the watched voter; "": none
	connections uint64    // number of watches begun
	snapshots   uint64    // number of snapshots received
	lastDropAt  time.Time // when dropExpired last dropped expired entries

	digest    atomic.Pointer[cachedDigest] // cached; nil: none since the last snapshot
	nextVoter atomic.Uint32                // index into voters of the one to send proposals to while the leader is unknown

	notifier freshnessNotifier
}

// OpenSubscriber starts a subscriber. Its state is stale until a voter has sent it and confirmed it as complete.
func OpenSubscriber(opt SubscriberOptions) (*Subscriber, error) {
	if len(opt.Voters) == 0 || opt.TLS == nil || opt.Clock == nil {
		return nil, errors.New("replica: a subscriber needs voters, certificates and a clock")
	}
	if len(opt.Name) > maxGatewayName {
		return nil, fmt.Errorf("replica: name: %d bytes at most", maxGatewayName)
	}
	setSubscriberDefaults(&opt)
	s := &Subscriber{
		opt:    opt,
		timing: opt.Timing.WithDefaults(),
		voters: voterOrder(opt.Name, opt.Voters),
		view:   distribution.NewView(opt.Effects),
		ended:  make(chan struct{}),
	}
	s.lease = distribution.NewLease(s.timing)
	s.notifier = freshnessNotifier{changed: opt.FreshnessChanged, fresh: s.Fresh, timeLeft: s.timeLeft}
	s.backoff = distribution.NewBackoff(opt.RetryMin, opt.RetryMax, opt.Random)
	s.dialer = newDialer(opt.TLS, s.traffic.count(opt.Dial))
	s.leaderConns = &leaderConns{dialer: s.dialer}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.proposer = proposer{
		propose: s.attempt, stopped: s.isClosed, unixMS: opt.Clock.Unix, retryDelay: growingRetryDelay,
	}
	go s.run()
	return s, nil
}

func setSubscriberDefaults(opt *SubscriberOptions) {
	opt.RetryMin = cmp.Or(opt.RetryMin, defaultRetryMin)
	opt.RetryMax = cmp.Or(opt.RetryMax, defaultRetryMax)
	if opt.Random == nil {
		opt.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
}

// voterOrder returns the voters' addresses in a gateway's order of preference.
func voterOrder(gateway string, voters []Member) []string {
	addrs := make([]string, 0, len(voters))
	for _, voter := range voters {
		addrs = append(addrs, voter.Addr)
	}
	return distribution.VoterOrder(gateway, addrs)
}

// updateVoters adopts the voters that the replicated state lists, if it lists any, and returns the current order of
// preference. It reports whether that has changed.
func (s *Subscriber) updateVoters() (order []string, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.view.Get(ConfigMembers)
	if !ok {
		return s.voters, false
	}
	voters := decodeVoters(value)
	if len(voters) == 0 {
		return s.voters, false
	}
	order = voterOrder(s.opt.Name, voters)
	changed = !slices.Equal(order, s.voters)
	s.voters = order
	return order, changed
}

// Close closes the subscriber. FreshnessChanged is not called afterwards.
func (s *Subscriber) Close() error {
	s.cancel()
	<-s.ended
	s.leaderConns.close()
	s.notifier.close()
	return nil
}

func (s *Subscriber) isClosed() bool { return s.ctx.Err() != nil }

// Get decodes a value of the operator's configuration as known here. It reports whether there is one.
func (s *Subscriber) Get(name string, into any) (ok bool, err error) {
	s.mu.RLock()
	value, ok := s.view.Get(name)
	s.mu.RUnlock()
	if !ok {
		return false, nil
	}
	return true, json.Unmarshal(value, into) // values are replaced, never modified
}

// Revoked reports whether a token's use is known here as revoked.
func (s *Subscriber) Revoked(name string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view.Revoked(name)
}

// Fresh reports whether the state is known to have been complete within the lease's TTL.
func (s *Subscriber) Fresh() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lease.Fresh(s.opt.Now())
}

// timeLeft returns the time until the end of the lease.
func (s *Subscriber) timeLeft() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.timing.LeaseTTL - s.opt.Now().Sub(s.lease.CompleteAt())
}

// MaxCopyAge returns the greatest age of a cached copy that may be served now; 0: no bound.
func (s *Subscriber) MaxCopyAge() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lease.MaxCopyAge(s.opt.Now())
}

// Step performs a step of the claim of a name, as Store.Step does. While the state is stale no claim is begun: claims.Hold
// returns ErrStale. The steps of claims that were begun before are still performed.
func (s *Subscriber) Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error) {
	if step.Op == claims.Hold && !s.Fresh() {
		return claims.Record{}, false, ErrStale
	}
	return s.claimStep(ctx, name, step)
}

// attempt makes one attempt at a proposal: at the leader, or at any voter to learn which is the leader.
func (s *Subscriber) attempt(ctx context.Context, p proposal) (result, error) {
	res, err := s.leaderConns.forward(ctx, s.proposalAddr(), p)
	var notLeader *notLeaderError
	switch {
	case errors.As(err, &notLeader):
		s.setLeader(notLeader.leader)
	case err != nil:
		s.setLeader("")
	}
	return res, err
}

// proposalAddr returns the address for the next proposal.
func (s *Subscriber) proposalAddr() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.leader != "" {
		return s.leader
	}
	return s.voters[int(s.nextVoter.Load())%len(s.voters)]
}

// setLeader sets the leader's address. While it is unknown, proposals try the voters in turn.
func (s *Subscriber) setLeader(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = addr
	if addr == "" {
		s.nextVoter.Add(1)
	}
}

// dropExpired drops expired revocations and purges, once in each dropInterval; s.mu is held.
func (s *Subscriber) dropExpired() {
	now := s.opt.Now()
	if now.Sub(s.lastDropAt) < dropInterval {
		return
	}
	s.lastDropAt = now
	s.view.DropExpired(s.steadyTime())
}

// steadyTime returns the time by which revocations and purges expire: Unix time as of the start, advanced by the monotonic clock.
func (s *Subscriber) steadyTime() time.Time { return time.UnixMilli(int64(s.opt.Clock.Now())) }
