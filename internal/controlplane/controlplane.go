// Package controlplane is the control side of a gateway: it opens the replicated state that the operator's file names, as a
// voter, as a subscriber or alone, and brings what changes there into force. Configuration goes to the signed frontend; purges,
// and the bound on the age of copies while purges may be missing, go to the core.
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

// Plane is a gateway's control side. Its Control is nil until Open.
type Plane struct {
	replica.Control

	Timing distribution.Timing // of a subscriber; set before Open, the zero value takes the defaults
	Dial   replica.DialFunc    // opens a subscriber's connections; nil: TCP

	// OpenLogs opens a voter's file of the log; nil: replica.OpenLogDatabase.
	OpenLogs func(path string) (replica.LogDatabase, error)

	operator   *config.Operator
	clock      *clock.Clock
	log        zerolog.Logger
	events     front.EventQueue[core.Event] // a change must not wait for the core
	subscriber *replica.Subscriber          // nil: a voter, or alone
	store      *replica.Store               // nil: a subscriber, or alone

	mu        sync.Mutex
	configure func(name string, value json.RawMessage)
}

// New makes a control side that Open starts; operator may be nil.
func New(operator *config.Operator, clk *clock.Clock, log zerolog.Logger) *Plane {
	return &Plane{operator: operator, clock: clk, log: log}
}

// subscribes tells whether the gateway has a copy of the state without a vote.
func (p *Plane) subscribes() bool { return p.operator != nil && p.operator.Replica.Subscriber }

// votes tells whether the gateway is one of several members.
func (p *Plane) votes() bool {
	return p.operator != nil && !p.operator.Replica.Subscriber && len(p.operator.Replica.Members) > 0
}

// CopyAgeBound gives the core's bound on copies' age; nil where there is never one, as changes come from nowhere else.
func (p *Plane) CopyAgeBound() func() time.Duration {
	if !p.subscribes() && !p.votes() {
		return nil
	}
	return func() time.Duration {
		if p.Control != nil && p.Fresh() {
			return 0
		}
		return p.Timing.StaleCopyAge()
	}
}

// Open starts it. Events go to post, which may wait.
func (p *Plane) Open(post func(core.Event)) (err error) {
	p.events.Post = post
	switch {
	case p.subscribes():
		err = p.openSubscriber()
	case p.votes():
		err = p.openVoter()
	default:
		p.Control, err = replica.Open(p.storeOptions())
	}
	return err
}

// Close ends it, where it was opened.
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
		Clock: p.clock, Log: p.log, Changed: p.changed, Purged: p.Purged, Missed: p.PurgesMissed, Timing: p.Timing,
	}
}

// Configure names what takes configuration from now on, and gives it the present values of the names.
func (p *Plane) Configure(take func(name string, value json.RawMessage), names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock() // a change that comes meanwhile follows
	p.configure = take
	for _, name := range names {
		var value json.RawMessage
		if ok, err := p.Get(name, &value); ok && err == nil {
			take(name, value)
		}
	}
}

// changed takes a piece of configuration in.
func (p *Plane) changed(name string, value json.RawMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.configure != nil {
		p.configure(name, value)
	}
}

// Configured takes a change of configuration; one that is removed stays as it was until the next start.
func (p *Plane) Configured(name string, value []byte) {
	if value != nil {
		p.changed(name, value)
	}
}

// Purged hands a purge to the core, as made now: it was made before, and copies of then are void whatever clocks say.
func (p *Plane) Purged(c distribution.Change) {
	p.events.Push(core.Purge{Object: c.Object, Group: c.Group, At: p.clock.Unix()})
}

// PurgesMissed tells of purges that may never be known. This gateway keeps no copies of its own, and stores drop theirs by
// themselves.
func (p *Plane) PurgesMissed(before int64) {
	p.log.Info().Time("before", time.UnixMilli(before)).Msg("purges may have been missed: their stores have dropped the copies")
}

// freshnessChanged puts the bound on copies' age into effect, behind every purge that came before.
func (p *Plane) freshnessChanged(fresh bool) {
	if fresh {
		p.log.Info().Msg("the replicated state is complete")
		return
	}
	p.log.Warn().Dur("max_copy_age", p.Timing.StaleCopyAge()).
		Msg("the replicated state is stale: no single-use work is begun, and no older copies are asked for")
	p.events.Push(core.CopyAgeLimited{})
}

// Subscription tells how a subscriber or a voter stands; nil: the gateway is alone.
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

// StorageError tells what is wrong with a voter's disk; nil: nothing is known to be.
func (p *Plane) StorageError() error {
	if p.store == nil {
		return nil
	}
	return p.store.StorageError()
}
