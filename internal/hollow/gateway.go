// Package hollow is the control side of a gateway as it ships, without its data plane: the subscription to the
// replicated log, the real core with its decision module and timers, and the real key ring and policy. It takes no
// client and dials no store, so thousands fit into a few processes. The rig of package scale measures with it.
package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
)

// Observer is told what has come into force at a gateway. Its methods must not block for long.
type Observer interface {
	// PurgeInForce tells that the core holds a purge.
	PurgeInForce(object uint64, group uint16, at time.Time)
	// ConfigInForce tells that a piece of configuration was taken in.
	ConfigInForce(name string, value []byte, at time.Time)
	// PurgesMissed tells that purges before a Unix time in ms may never be known.
	PurgesMissed(before int64)
}

// Options are what a hollow gateway is made of.
type Options struct {
	Operator *config.Operator // as for a whole gateway; several may share one
	Seed     uint64
	Clock    *clock.Clock
	Log      zerolog.Logger
	Claims   signed.Claims // of single-use tokens; nil, as no client asks here
	Observer Observer
}

// Gateway is a hollow gateway. It implements distribution.Effects.
type Gateway struct {
	opt    Options
	core   *core.Core
	front  *signed.Front
	cancel context.CancelFunc
	done   chan struct{}

	posting  sync.Mutex // keeps checkpoints in the order of their questions to the core
	awaited  chan checkpoint
	answered chan core.Stats
}

var _ distribution.Effects = (*Gateway)(nil)

// checkpoint is a place in the core's queue of events: reached is called once the core has handled all before it.
type checkpoint struct {
	reached func(at time.Time)
}

// maxCheckpoints bounds the checkpoints under way.
const maxCheckpoints = 256

// New starts a gateway's core with the stores of its operator's file.
func New(opt Options) (*Gateway, error) {
	node := opt.Operator.Node(opt.Seed)
	upstream := &nullUpstream{}
	gatewayCore, err := core.New(core.Options{
		Settings: node.Settings, Classes: node.Classes, Seed: node.Seed, MaxOpen: node.MaxOpen, Clock: opt.Clock, Log: opt.Log,
	}, upstream)
	if err != nil {
		return nil, fmt.Errorf("hollow: core: %w", err)
	}
	upstream.post = gatewayCore.Post
	ring, err := opt.Operator.Ring()
	if err != nil {
		return nil, fmt.Errorf("hollow: keys: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		opt: opt, core: gatewayCore, cancel: cancel, done: make(chan struct{}),
		awaited: make(chan checkpoint, maxCheckpoints), answered: make(chan core.Stats, maxCheckpoints),
	}
	g.front = signed.New(signed.Options{
		Post: gatewayCore.Post, Clock: opt.Clock, Log: opt.Log, Ring: ring, Claims: opt.Claims, Scheme: opt.Operator.Scheme,
		Leeway: opt.Operator.LeewayS * 1000, TokenMost: opt.Operator.TokenS, Limits: opt.Operator.Limit.Options(),
	})
	for _, event := range node.Known {
		gatewayCore.Handle(event) // nothing else runs yet
	}
	go g.run(ctx)
	return g, nil
}

func (g *Gateway) run(ctx context.Context) {
	defer close(g.done)
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		g.report(ctx)
	}()
	g.core.Run(ctx) // it ends with ctx and returns no error
	<-reported
}

// report follows the core's answers and calls the checkpoint of each.
func (g *Gateway) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.answered:
			reached := <-g.awaited // queued ahead of its question
			reached.reached(time.Now())
		}
	}
}

// Checkpoint has reached called once the core has handled all that was posted so far.
func (g *Gateway) Checkpoint(reached func(at time.Time)) {
	g.posting.Lock()
	defer g.posting.Unlock()
	select {
	case g.awaited <- checkpoint{reached}:
		g.core.Post(core.Query{Reply: g.answered})
	case <-g.done:
	}
}

// Close ends the gateway.
func (g *Gateway) Close() {
	g.cancel()
	<-g.done
}

// Configured takes a piece of configuration in, as the signed front does.
func (g *Gateway) Configured(name string, value []byte) {
	if value == nil {
		return
	}
	switch name {
	case ConfigStores:
		g.takeStores(value)
	default:
		g.front.Changed(name, json.RawMessage(value))
	}
	if g.opt.Observer != nil {
		g.opt.Observer.ConfigInForce(name, value, time.Now())
	}
}

// Purged hands a purge to the core, and tells the observer once the core has handled it.
func (g *Gateway) Purged(c distribution.Change) {
	g.core.Post(core.Purge{Object: c.Object, Group: c.Group, At: float64(c.At)})
	if g.opt.Observer != nil {
		g.Checkpoint(func(at time.Time) { g.opt.Observer.PurgeInForce(c.Object, c.Group, at) })
	}
}

// PurgesMissed tells the observer alone: a gateway without a data plane keeps no copies.
func (g *Gateway) PurgesMissed(before int64) {
	if g.opt.Observer != nil {
		g.opt.Observer.PurgesMissed(before)
	}
}

// Flush waits until the core has handled all that was posted before, and tells whether it did before ctx ended.
func (g *Gateway) Flush(ctx context.Context) bool {
	reached := make(chan struct{})
	g.Checkpoint(func(time.Time) { close(reached) })
	select {
	case <-reached:
		return true
	case <-ctx.Done():
	case <-g.done:
	}
	return false
}
