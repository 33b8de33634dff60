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

// ErrStale tells that a claim was not begun, as this gateway does not know at present whether what it holds is complete.
var ErrStale = fmt.Errorf("replica: stale: %w", claims.ErrNotProposed)

// SubscriberOptions are what a subscriber is made of.
type SubscriberOptions struct {
	Name   string // of the gateway; its voter is chosen by it
	Voters []Member
	TLS    *tls.Config // with a certificate of the members' own authority
	Clock  *clock.Clock
	Log    zerolog.Logger

	// Effects is notified of changes, in order; nil: nobody. Its methods must not block, nor call the Subscriber.
	Effects distribution.Effects
	// FreshnessChanged is notified when the state becomes fresh or stale; it begins as stale. It must not block, nor close the
	// Subscriber.
	FreshnessChanged func(fresh bool)

	Timing   distribution.Timing
	RetryMin time.Duration    // pause between attempts to connect; 0: 100 ms
	RetryMax time.Duration    // 0: 5 s
	Random   *rand.Rand       // for the pauses; the Subscriber alone uses it; nil: seeded by the system
	Now      func() time.Time // for the lease, monotonic; nil: time.Now
	Dial     DialFunc         // opens connections; nil: TCP
}

// Defaults of SubscriberOptions.
const (
	defaultRetryMin = 100 * time.Millisecond
	defaultRetryMax = 5 * time.Second
)

// forgetInterval is how often a subscriber drops what no longer counts.
const forgetInterval = 30 * time.Second

// Subscriber is a gateway's copy of the replicated state, kept by a voter's watch. It does not vote. Commands go to the
// leader.
//
// It costs one goroutine that reads, a timer for heartbeats and one for the end of its lease.
type Subscriber struct {
	opt      SubscriberOptions
	timing   distribution.Timing
	dialer   dialer
	commands *commandLinks
	proposer proposer
	backoff  *distribution.Backoff
	traffic  traffic

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}

	mu          sync.RWMutex
	voters      []string // addresses, the preferred one first
	view        *distribution.View
	lease       *distribution.Lease
	leader      string    // address that commands go to; "": not known
	voter       string    // address of the voter that is watched; "": none
	connections uint64    // watches begun
	snapshots   uint64    // received
	forgotAt    time.Time // when Forget was last called

	digest   atomic.Pointer[knownDigest] // nil: none since a snapshot was received
	fallback atomic.Uint32               // index into voters of the one for commands while the leader is not known

	notifier freshnessNotifier
}

// OpenSubscriber starts a subscriber. It is stale until it has received all from a voter.
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
	s.commands = &commandLinks{dialer: s.dialer}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.proposer = proposer{attempt: s.attempt, closed: s.isClosed, unixMS: opt.Clock.Unix, pause: growingPause}
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

// voterOrder gives the voters' addresses in the order in which a gateway turns to them.
func voterOrder(gateway string, voters []Member) []string {
	addrs := make([]string, 0, len(voters))
	for _, voter := range voters {
		addrs = append(addrs, voter.Addr)
	}
	return distribution.VoterOrder(gateway, addrs)
}

// updateVoters takes over the voters that the replicated state names, and gives the present order. Changed tells that it is a
// new one.
func (s *Subscriber) updateVoters() (order []string, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.view.Get(ConfigMembers)
	if !ok {
		return s.voters, false
	}
	members := membersOf(value)
	if len(members) == 0 {
		return s.voters, false
	}
	order = voterOrder(s.opt.Name, members)
	changed = !slices.Equal(order, s.voters)
	s.voters = order
	return order, changed
}

// Close ends the subscriber. It doesn't tell FreshnessChanged any more afterwards.
func (s *Subscriber) Close() error {
	s.cancel()
	<-s.ended
	s.commands.close()
	s.notifier.close()
	return nil
}

func (s *Subscriber) isClosed() bool { return s.ctx.Err() != nil }

// Get reads a piece of the operator's configuration as this gateway knows it.
func (s *Subscriber) Get(name string, into any) (ok bool, err error) {
	s.mu.RLock()
	value, ok := s.view.Get(name)
	s.mu.RUnlock()
	if !ok {
		return false, nil
	}
	return true, json.Unmarshal(value, into) // a value is replaced as a whole, never changed
}

// Revoked tells whether this gateway knows a token's use as revoked.
func (s *Subscriber) Revoked(name string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view.Revoked(name)
}

// Fresh tells whether the state is known to be complete but for the last seconds.
func (s *Subscriber) Fresh() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lease.Fresh(s.opt.Now())
}

// timeLeft is the time until the end of the lease.
func (s *Subscriber) timeLeft() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.timing.LeaseTTL - s.opt.Now().Sub(s.lease.CompleteAt())
}

// MaxCopyAge bounds the age of copies that may be served now; 0: no bound.
func (s *Subscriber) MaxCopyAge() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lease.MaxCopyAge(s.opt.Now())
}

// Step makes a step of a name's claim, as Store's does. While the state is stale no claim is begun: claims.Hold gives
// ErrStale. Steps that end work in hand still go.
func (s *Subscriber) Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error) {
	if step.Op == claims.Hold && !s.Fresh() {
		return claims.Record{}, false, ErrStale
	}
	return s.proposer.step(ctx, name, step)
}

// Revoke refuses a token's use from now on, until a time in Unix ms.
func (s *Subscriber) Revoke(ctx context.Context, name string, until float64) error {
	return s.proposer.revoke(ctx, name, until)
}

// Put sets a piece of the operator's configuration.
func (s *Subscriber) Put(ctx context.Context, name string, value any) error {
	return s.proposer.put(ctx, name, value)
}

// Purge makes copies of an object, or with object 0 of a group, void that are older than now.
func (s *Subscriber) Purge(ctx context.Context, object uint64, group uint16) error {
	return s.proposer.purge(ctx, object, group)
}

// attempt makes a proposal once: at the leader, or at any voter to learn who leads.
func (s *Subscriber) attempt(ctx context.Context, p proposal) (res result, sure bool, err error) {
	addr := s.commandAddress()
	res, sure, err = s.commands.forward(ctx, addr, p)
	var elsewhere *notLeaderError
	switch {
	case errors.As(err, &elsewhere):
		s.leads(elsewhere.leader)
	case err != nil:
		s.leads("")
	}
	return res, sure, err
}

// commandAddress is where the next command goes.
func (s *Subscriber) commandAddress() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.leader != "" {
		return s.leader
	}
	return s.voters[int(s.fallback.Load())%len(s.voters)]
}

// leads enters who leads. Where nobody is known to, commands try the voters in turn.
func (s *Subscriber) leads(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = addr
	if addr == "" {
		s.fallback.Add(1)
	}
}
