// Package controlplane connects a gateway to the replicated state. It opens the state as the operator's file configures it (as
// a voter, as a subscriber or standalone) and applies its changes in the gateway: configuration goes to the signed frontend,
// and purges go to the core. While purges may be missing, it also bounds the age of the copies that the core requests.
package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/replica"
)

// Plane is a gateway's access to the replicated state. Its Control is nil until Open.
type Plane struct {
	replica.Control

	Timing distribution.Timing // of a subscriber; set before Open, the zero value takes the defaults
	Dial   replica.DialFunc    // opens a subscriber's connections to voters; nil: TCP

	// OpenLogs opens a voter's log file; nil: replica.OpenLogDatabase.
	OpenLogs func(path string) (replica.LogDatabase, error)

	operator   *config.Operator
	clock      *clock.Clock
	log        zerolog.Logger
	events     front.EventQueue[core.Event] // queues events, as callbacks of package replica must not block
	subscriber *replica.Subscriber          // nil: voter or standalone
	store      *replica.Store               // nil: subscriber or standalone

	mu            sync.Mutex
	onConfig      func(name string, value json.RawMessage)
	minRevocation func() time.Duration // nil: none
}

// New returns a Plane that Open starts. operator may be nil: the gateway is then standalone.
func New(operator *config.Operator, clk *clock.Clock, log zerolog.Logger) *Plane {
	return &Plane{operator: operator, clock: clk, log: log}
}

// isSubscriber reports whether the gateway follows the replicated state without voting.
func (p *Plane) isSubscriber() bool { return p.operator != nil && p.operator.Replica.Subscriber }

// isVoter reports whether the gateway is a voting member of a group.
func (p *Plane) isVoter() bool {
	return p.operator != nil && !p.operator.Replica.Subscriber && len(p.operator.Replica.Members) > 0
}

// CopyAgeBound returns a function for core.Options.MaxCopyAge: it bounds the age of copies unless the state is fresh. It is
// nil for a standalone gateway, which makes all changes of its state itself and can't miss a purge.
func (p *Plane) CopyAgeBound() func() time.Duration {
	if !p.isSubscriber() && !p.isVoter() {
		return nil
	}
	return func() time.Duration {
		if p.Control != nil && p.Fresh() {
			return 0
		}
		return p.Timing.StaleCopyAge()
	}
}

// Open opens the replicated state. Events are passed to post, which may block.
func (p *Plane) Open(post func(core.Event)) (err error) {
	p.events.Post = post
	switch {
	case p.isSubscriber():
		err = p.openSubscriber()
	case p.isVoter():
		err = p.openVoter()
	default:
		p.Control, err = replica.Open(p.storeOptions())
	}
	return err
}

// Close closes the replicated state, if it was opened.
func (p *Plane) Close() error {
	if p.Control == nil {
		return nil
	}
	return p.Control.Close()
}

func (p *Plane) openSubscriber() error {
	certificates, err := p.operator.TLS()
	if err != nil {
		return err
	}
	r := p.operator.Replica
	p.subscriber, err = replica.OpenSubscriber(replica.SubscriberOptions{
		Name: r.ID, Voters: r.Members, TLS: certificates, Clock: p.clock, Log: p.log, Effects: p,
		FreshnessChanged: p.freshnessChanged, Timing: p.Timing, Dial: p.Dial,
	})
	if err != nil {
		return err
	}
	p.Control = p.subscriber
	return nil
}

func (p *Plane) openVoter() error {
	certificates, err := p.operator.TLS()
	if err != nil {
		return err
	}
	r := p.operator.Replica
	listener, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return fmt.Errorf("replica.listen: %w", err)
	}
	opt := p.storeOptions()
	opt.ID, opt.Members, opt.Listener, opt.TLS, opt.Dir = r.ID, r.Members, listener, certificates, p.operator.Path(r.Dir)
	opt.Join = r.Joining
	opt.OwnLease, opt.FreshnessChanged = true, p.freshnessChanged
	opt.OpenLogs = p.OpenLogs
	p.store, err = replica.Open(opt)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	p.Control = p.store
	return nil
}

func (p *Plane) storeOptions() replica.Options {
	return replica.Options{
		Clock: p.clock, Log: p.log, Changed: p.applyConfig, Purged: p.Purged, Missed: p.PurgesMissed, Timing: p.Timing,
		MinRevocation: p.leastRevocation,
	}
}

// OnConfigChange sets the function that is called with each change of the configuration, and calls it with the current values
// of the given names.
func (p *Plane) OnConfigChange(apply func(name string, value json.RawMessage), names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock() // a concurrent change is passed on afterwards
	p.onConfig = apply
	for _, name := range names {
		var value json.RawMessage
		if ok, err := p.Get(name, &value); ok && err == nil {
			apply(name, value)
		}
	}
}

// SetMinRevocation sets the function that returns the least time for which revocations are kept while this gateway leads.
func (p *Plane) SetMinRevocation(least func() time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minRevocation = least
}

// leastRevocation returns the least time for which revocations are kept.
func (p *Plane) leastRevocation() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.minRevocation == nil {
		return 0
	}
	return p.minRevocation()
}

// applyConfig passes a configuration value to the function set by OnConfigChange.
func (p *Plane) applyConfig(name string, value json.RawMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.onConfig != nil {
		p.onConfig(name, value)
	}
}

// Configured applies a changed configuration value. A deleted value stays in force until the next start.
func (p *Plane) Configured(name string, value []byte) {
	if value != nil {
		p.applyConfig(name, value)
	}
}

// Purged passes a purge to the core, dated with the time of its receipt. The purge was made before that, so that the copies
// it invalidates are all older than this date; the proposer's date would be too early if its clock is behind.
func (p *Plane) Purged(c distribution.Change) {
	p.events.Push(core.Purge{Object: c.Object, Group: c.Group, At: p.clock.Unix()})
}

// PurgesMissed logs that purges proposed before a Unix time in ms may never be received. There are no copies to drop here: the
// gateway keeps none, and endpoints drop invalidated copies by themselves.
func (p *Plane) PurgesMissed(before int64) {
	p.log.Info().Time("before", time.UnixMilli(before)).Msg("purges may have been missed")
}

// freshnessChanged logs that the state became fresh or stale. While it is stale, copies older than the log field max_copy_age
// are not requested, and a subscriber begins no claims (a voter's fail without a majority). The event that makes the core apply
// the bound on copies is queued after the purges received before.
func (p *Plane) freshnessChanged(fresh bool) {
	if fresh {
		p.log.Info().Msg("replicated state became fresh")
		return
	}
	p.log.Warn().Dur("max_copy_age", p.Timing.StaleCopyAge()).Msg("replicated state became stale")
	p.events.Push(core.CopyAgeLimited{})
}

// Subscription returns the status of a subscriber's or a voter's copy of the state; nil: the gateway is standalone.
func (p *Plane) Subscription() *adminapi.Subscription {
	var status replica.SubscriberStatus
	switch {
	case p.subscriber != nil:
		status = p.subscriber.Status()
	case p.store != nil:
		status.LeaseStatus = p.store.LeaseStatus()
	default:
		return nil
	}
	out := &adminapi.Subscription{
		Fresh: status.Fresh, AgeMS: -1, MaxCopyAgeMS: clock.Ms(p.CopyAgeBound()()),
		Revision: uint64(status.Position.Revision), IsVoter: p.store != nil, Voter: status.Voter, Reconnects: status.Reconnects,
	}
	if !status.CompleteAt.IsZero() {
		out.AgeMS = clock.Ms(status.CompleteAge)
	}
	return out
}

// StorageError returns the error of a voter's disk; nil: none is known, or the gateway is not a voter.
func (p *Plane) StorageError() error {
	if p.store == nil {
		return nil
	}
	return p.store.StorageError()
}
