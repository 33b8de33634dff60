// Package hollow runs the control plane of a production gateway without its data plane: the subscription to the
// replicated log, the production core with its decision module and timers, and the production key ring and policy. It
// accepts no client connections and opens none to endpoints, so that thousands of gateways fit into a few processes.
// Package scale uses it for its measurements.
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

// Observer is notified when purges and configuration take effect at a gateway. Its methods must not block for long.
type Observer interface {
	// PurgeApplied reports that the core has handled a purge.
	PurgeApplied(object uint64, group uint16, at time.Time)
	// ConfigApplied reports that a configuration value has been applied.
	ConfigApplied(name string, value []byte, at time.Time)
}

// Options configure a hollow gateway.
type Options struct {
	Operator *config.Operator // as for a production gateway
	Seed     uint64
	Clock    *clock.Clock
	Log      zerolog.Logger
	Observer Observer // optional
}

// Gateway is a hollow gateway.
type Gateway struct {
	observer Observer
	log      zerolog.Logger
	plane    *controlplane.Plane
	core     *core.Core
	frontend *signed.Frontend
	cancel   context.CancelFunc
	done     chan struct{}

	mu          sync.Mutex
	checkpoints []func(at time.Time) // callbacks of checkpoint purges queued in the plane, oldest first

	callbacks chan func(at time.Time) // callbacks of the GetStats events queued in the core, in the same order
	replies   chan core.Stats
}

// maxPendingCallbacks limits the GetStats events that the core has not answered yet.
const maxPendingCallbacks = 256

// checkpointObject is the object of the purges that mark checkpoints in the plane's event queue. It is reserved for them.
const checkpointObject = math.MaxUint64

// New starts a gateway with the endpoints listed in its operator configuration.
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
	for _, event := range node.KnownEvents {
		gatewayCore.Handle(event) // called directly, as the core is not running yet
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		observer: opt.Observer, log: opt.Log, plane: plane, core: gatewayCore, cancel: cancel, done: make(chan struct{}),
		callbacks: make(chan func(time.Time), maxPendingCallbacks), replies: make(chan core.Stats, maxPendingCallbacks),
	}
	g.frontend = signed.New(signed.Options{
		Post: gatewayCore.Post, Clock: opt.Clock, Log: opt.Log, Ring: ring, Claims: plane, Scheme: opt.Operator.Scheme,
		MaxClockSkew: opt.Operator.LeewayS * 1000, MaxTokenSeconds: opt.Operator.TokenS, Limits: opt.Operator.Limit.Options(),
	})
	go g.run(ctx)
	if err := plane.Open(g.post); err != nil {
		return nil, errors.Join(fmt.Errorf("hollow: control side: %w", err), g.Close())
	}
	plane.OnConfigChange(g.applyConfig, signed.ConfigKeys, signed.ConfigPolicy)
	return g, nil
}

func (g *Gateway) run(ctx context.Context) {
	defer close(g.done)
	callbacksDone := make(chan struct{})
	go func() {
		defer close(callbacksDone)
		g.runCallbacks(ctx)
	}()
	g.core.Run(ctx) // returns when ctx is canceled, without an error
	<-callbacksDone
}

// Close stops the gateway.
func (g *Gateway) Close() error {
	err := g.plane.Close()
	g.cancel()
	<-g.done
	return err
}

// Subscriber returns the gateway's subscriber, or nil if its operator configuration lists no voters to subscribe to.
func (g *Gateway) Subscriber() *replica.Subscriber {
	subscriber, _ := g.plane.Control.(*replica.Subscriber)
	return subscriber
}

// applyConfig applies a configuration value in the same way as the signed frontend of a production gateway.
func (g *Gateway) applyConfig(name string, value json.RawMessage) {
	if name == ConfigEndpoints {
		g.updateEndpoints(value)
	} else {
		g.frontend.ApplyConfig(name, value)
	}
	if g.observer != nil {
		g.observer.ConfigApplied(name, value, time.Now())
	}
}

// post forwards an event of the plane to the core. For a purge it also queues a GetStats event, whose reply shows that
// the core has handled the purge. Calls must not overlap.
func (g *Gateway) post(event core.Event) {
	purge, isPurge := event.(core.Purge)
	if isPurge && purge.Object == checkpointObject {
		g.callWhenProcessed(g.popCheckpoint())
		return
	}
	g.core.Post(event)
	if isPurge && g.observer != nil {
		g.callWhenProcessed(func(at time.Time) { g.observer.PurgeApplied(purge.Object, purge.Group, at) })
	}
}

// Checkpoint calls the callback once the core has handled every change that the gateway received before this call.
func (g *Gateway) Checkpoint(callback func(at time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock() // held during Purged, so that the callbacks are in the order of their purges
	g.checkpoints = append(g.checkpoints, callback)
	g.plane.Purged(distribution.Change{Kind: distribution.KindPurge, Object: checkpointObject})
}

// popCheckpoint removes the callback of the oldest checkpoint and returns it.
func (g *Gateway) popCheckpoint() (callback func(at time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	callback = g.checkpoints[0]
	g.checkpoints = g.checkpoints[1:]
	return callback
}

// callWhenProcessed calls the callback once the core has handled all events posted to it so far.
func (g *Gateway) callWhenProcessed(callback func(at time.Time)) {
	select {
	case g.callbacks <- callback:
		g.core.Post(core.GetStats{Reply: g.replies})
	case <-g.done:
	}
}

// runCallbacks runs the oldest pending callback for each reply of the core, until ctx is canceled.
func (g *Gateway) runCallbacks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.replies:
			callback := <-g.callbacks // queued before its GetStats event was posted
			callback(time.Now())
		}
	}
}

// Flush waits until the core has handled every change that the gateway received before this call. It returns false if
// ctx is canceled or the gateway is closed first.
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
