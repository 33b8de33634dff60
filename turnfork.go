// Package turnfork is a cache gateway: fronts take requests, a core with the decision module says
// which store each goes to, and an upstream speaks with the stores. [Run] is the whole of it; the
// packages below can also be put together in other ways.
package turnfork

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/changelog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front/fastcgi"
	"turnfork.dev/turnfork/upstream/resp"
)

// Config is what a gateway is made of.
type Config struct {
	Node  config.Node
	Log   zerolog.Logger
	Clock *clock.Clock    // nil: the system's
	Stop  <-chan struct{} // closed: end in good order; the end of Run's context ends at once
	Ready chan<- net.Addr // told the front's address once it listens; nil: nobody asks
}

const (
	probeTimeout  = 240.0                   // ms
	stopAccepting = 1000 * time.Millisecond // after the signal; connections keep coming for a while
	stopSlack     = 550 * time.Millisecond  // beyond the longest deadline, before the platform kills
	memoryPart    = 0.6                     // of the memory limit, for the collector to aim at
	frontPart     = 0.4                     // of the descriptors
	upstreamPart  = 0.4
)

// Limit sets the runtime to a machine of so many cores and MB.
func Limit(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(cores))))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memoryMB) * (1 << 20)))
	}
}

// Run serves until ctx ends, or until Stop is closed and what was taken is answered.
func Run(ctx context.Context, cfg Config) error {
	node := cfg.Node
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	if node.Sockets <= 0 {
		node.Sockets = 1024
	}
	var up *resp.Pool
	gate := &lateUpstream{}
	c, err := core.New(core.Options{
		Settings: node.Settings, Classes: node.Classes, Seed: node.Seed, MaxOpen: node.MaxOpen, Clock: cfg.Clock,
		Log: cfg.Log,
	}, gate)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	up = resp.New(resp.Options{
		DialTimeout: node.DialTimeout, IdleClose: node.IdleClose, ProbeTimeout: probeTimeout, Streams: node.Streams,
		MaxConns: int(upstreamPart * float64(node.Sockets)), Clock: cfg.Clock, Log: cfg.Log,
	}, c.Post)
	defer up.Close()
	gate.Upstream = up

	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", node.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer l.Close()
	front := fastcgi.New(fastcgi.Options{
		Post: c.Post, Clock: cfg.Clock, Log: cfg.Log, MaxConns: int(frontPart * float64(node.Sockets)),
	})
	for _, ev := range node.Known {
		c.Handle(ev) // nothing else runs yet
	}

	ctx, end := context.WithCancel(ctx)
	defer end()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.Run(ctx) })
	if node.Changelog != "" {
		feed := &changelog.Feed{Addr: node.Changelog, Seq: node.Seq, Post: c.Post, Log: cfg.Log}
		g.Go(func() error { return feed.Run(ctx) })
	}
	g.Go(func() error { return front.Serve(ctx, l) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-cfg.Stop:
			drain(ctx, cfg, l, front, c, longest(node))
			end()
		}
		return nil
	})
	if cfg.Ready != nil {
		cfg.Ready <- l.Addr()
	}
	cfg.Log.Info().Str("name", node.Name).Stringer("listen", l.Addr()).Msg("serving")
	return g.Wait()
}

// drain takes requests through the stated window, then waits until all are answered and written, as
// long as the platform allows.
func drain(ctx context.Context, cfg Config, l net.Listener, front *fastcgi.Front, c *core.Core, most time.Duration) {
	cfg.Log.Info().Msg("asked to stop")
	ctx, cancel := context.WithTimeout(ctx, most+stopSlack)
	defer cancel()
	wait(ctx, stopAccepting)
	l.Close()
	for ctx.Err() == nil && front.Open() > 0 {
		wait(ctx, 10*time.Millisecond)
	}
	wait(ctx, 20*time.Millisecond) // the last answer's way out
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func longest(n config.Node) (most time.Duration) {
	for _, c := range n.Settings.Classes {
		most = max(most, c.Deadline)
	}
	return max(most, 3*time.Second)
}

// lateUpstream stands in until the pool is made, which needs the core first.
type lateUpstream struct{ core.Upstream }
