// Package hollow is the control side of a gateway as it ships, without its data plane: the subscription to the
// replicated log, the real core with its decision module and timers, and the real key ring and policy. It takes no
// client and dials no store, so thousands fit into a few processes. The rig of package scale measures with it.
package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/controlplane"
	"turnfork.dev/turnfork/replica"
)

// Observer is told what has come into force at a gateway. Its methods must not block for long.
type Observer interface {
	// PurgeInForce tells that the core holds a purge.
	PurgeInForce(object uint64, group uint16, at time.Time)
	// ConfigInForce tells that a piece of configuration was taken in.
	ConfigInForce(name string, value []byte, at time.Time)
}

// Options are what a hollow gateway is made of.
type Options struct {
	Operator *config.Operator // as for a whole gateway
	Seed     uint64
	Clock    *clock.Clock
	Log      zerolog.Logger
	Observer Observer // nil: nobody is told
}

// Gateway is a hollow gateway.
type Gateway struct {
	observer Observer
	log      zerolog.Logger
	plane    *controlplane.Plane
	core     *core.Core
	frontend *signed.Front
	cancel   context.CancelFunc
	done     chan struct{}

	mu          sync.Mutex
	checkpoints []func(at time.Time) // on their way through the plane's queue of events

	callbacks chan func(at time.Time) // on their way through the core's, in order
	replies   chan core.Stats
}

// maxAsked bounds the questions to the core that are under way.
const maxPendingCallbacks = 256

// checkpointObject is the object of the purges that carry checkpoints through the plane's queue. No other purge has it.
const checkpointObject = math.MaxUint64

// New starts a gateway, with the stores of its operator's file.
func New(opt Options) (*Gateway, error) {
	node := opt.Operator.Node(opt.Seed)
	plane := controlplane.New(opt.Operator, opt.Clock, opt.Log)
	upstream := &nullUpstream{}
	gatewayCore, err := core.New(core.Options{
		Settings: node.Settings, Classes: node.Classes, Seed: node.Seed, MaxOpen: node.MaxOpen, Clock: opt.Clock, Log: opt.Log,
		MaxCopyAge: plane.CopyAgeBound(),
	}, upstream)
	if err != nil {
		return nil, fmt.Errorf("hollow: core: %w", err)
	}
	upstream.post = gatewayCore.Post
	ring, err := opt.Operator.Ring()
	if err != nil {
		return nil, fmt.Errorf("hollow: keys: %w", err)
	}
	for _, event := range node.Known {
		gatewayCore.Handle(event) // nothing else runs yet
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		observer: opt.Observer, log: opt.Log, plane: plane, core: gatewayCore, cancel: cancel, done: make(chan struct{}),
		callbacks: make(chan func(time.Time), maxPendingCallbacks), replies: make(chan core.Stats, maxPendingCallbacks),
	}
	g.frontend = signed.New(signed.Options{
		Post: gatewayCore.Post, Clock: opt.Clock, Log: opt.Log, Ring: ring, Claims: plane, Scheme: opt.Operator.Scheme,
		Leeway: opt.Operator.LeewayS * 1000, TokenMost: opt.Operator.TokenS, Limits: opt.Operator.Limit.Options(),
	})
	go g.run(ctx)
	if err := plane.Open(g.post); err != nil {
		return nil, errors.Join(fmt.Errorf("hollow: control side: %w", err), g.Close())
	}
	plane.Configure(g.applyConfig, signed.ConfigKeys, signed.ConfigPolicy)
	return g, nil
}

func (g *Gateway) run(ctx context.Context) {
	defer close(g.done)
	callbacksDone := make(chan struct{})
	go func() {
		defer close(callbacksDone)
		g.runCallbacks(ctx)
	}()
	g.core.Run(ctx) // it ends with ctx and returns no error
	<-callbacksDone
}

// Close ends the gateway.
func (g *Gateway) Close() error {
	err := g.plane.Close()
	g.cancel()
	<-g.done
	return err
}

// Subscriber gives the gateway's subscription; nil: its operator's file names no voters to subscribe to.
func (g *Gateway) Subscriber() *replica.Subscriber {
	subscriber, _ := g.plane.Control.(*replica.Subscriber)
	return subscriber
}

// configure takes a piece of configuration in, as a whole gateway's signed front does.
func (g *Gateway) applyConfig(name string, value json.RawMessage) {
	if name == ConfigStores {
		g.updateEndpoints(value)
	} else {
		g.frontend.Changed(name, value)
	}
	if g.observer != nil {
		g.observer.ConfigInForce(name, value, time.Now())
	}
}

// post hands an event of the plane to the core. Behind a purge goes a question, whose answer shows that the core has
// handled it. It is called for one event after the other.
func (g *Gateway) post(event core.Event) {
	purge, isPurge := event.(core.Purge)
	if isPurge && purge.Object == checkpointObject {
		g.callWhenProcessed(g.popCheckpoint())
		return
	}
	g.core.Post(event)
	if isPurge && g.observer != nil {
		g.callWhenProcessed(func(at time.Time) { g.observer.PurgeInForce(purge.Object, purge.Group, at) })
	}
}

// Checkpoint has reached called once the core has handled every change that the gateway had received before.
func (g *Gateway) Checkpoint(callback func(at time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock() // keeps the checkpoints in the order of their purges
	g.checkpoints = append(g.checkpoints, callback)
	g.plane.Purged(distribution.Change{Kind: distribution.KindPurge, Object: checkpointObject})
}

// nextCheckpoint takes out the oldest checkpoint.
func (g *Gateway) popCheckpoint() (callback func(at time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	callback = g.checkpoints[0]
	g.checkpoints = g.checkpoints[1:]
	return callback
}

// ask has reached called once the core has handled all that was posted to it so far.
func (g *Gateway) callWhenProcessed(callback func(at time.Time)) {
	select {
	case g.callbacks <- callback:
		g.core.Post(core.GetStats{Reply: g.replies})
	case <-g.done:
	}
}

// report follows the core's answers.
func (g *Gateway) runCallbacks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.replies:
			callback := <-g.callbacks // queued ahead of its question
			callback(time.Now())
		}
	}
}

// Flush waits until the core has handled all that the gateway had received before, and tells whether it did before ctx
// ended.
func (g *Gateway) Flush(ctx context.Context) bool {
	flushed := make(chan struct{})
	g.Checkpoint(func(time.Time) { close(flushed) })
	select {
	case <-flushed:
		return true
	case <-ctx.Done():
	case <-g.done:
	}
	return false
}
