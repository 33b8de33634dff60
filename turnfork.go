// Package turnfork is a cache gateway: fronts take requests, a core with the decision module says
// which store each goes to, and upstreams speak with the stores. [Run] is the whole of it; the
// packages below can also be put together in other ways.
package turnfork

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/changelog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/console"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/fastcgi"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/controlplane"
	"turnfork.dev/turnfork/upstream/both"
	"turnfork.dev/turnfork/upstream/resp"
	"turnfork.dev/turnfork/upstream/web"
)

// Config is what a gateway is made of.
type Config struct {
	Node     config.Node
	Operator *config.Operator // the second front and what goes with it; nil on the platform
	Log      zerolog.Logger
	Clock    *clock.Clock                            // nil: the system's
	Shared   string                                  // a folder that the processes of this gateway share; "": this one stands alone
	Stop     <-chan struct{}                         // closed: end in good order; the end of Run's context ends at once
	Reload   <-chan config.Node                      // a configuration read anew; nil: none comes
	Ready    func(Addrs)                             // told once the fronts listen; nil: nobody asks
	Tap      func(front string, c net.Conn) net.Conn // wraps the fronts' connections, for recording; nil: none

	Distribution distribution.Timing // of the replicated state's way here; the zero value takes the defaults
}

// Addrs are the addresses that the fronts listen on, nil where one is off.
type Addrs struct {
	FastCGI, Signed, Console net.Addr
	Fronts                   Fronts
}

// Fronts take connections from elsewhere than their listener.
type Fronts struct {
	FastCGI, Signed func(net.Conn) // each returns when the connection has ended; nil: off
	Open            func() int     // the requests that are not yet answered, of both
}

const (
	probeTimeout  = 240.0                   // ms
	stopAccepting = 1000 * time.Millisecond // after the signal; connections keep coming for a while
	killLongest   = 3 * time.Second         // for which the platform takes a longer deadline when it asks a process to end
	stopSlack     = 550 * time.Millisecond  // beyond that; the platform kills 0.7 s beyond it
	stopWritten   = 100 * time.Millisecond  // for the answers to what is given up then
	memoryPart    = 0.6                     // of the memory limit, for the collector to aim at
	ownSockets    = 16                      // descriptors for all but callers, clients and stores
	callerPart    = 1.0 / 16                // of the descriptors, for operators' calls
	frontPart     = 0.58                    // of the others; usual clients hold a third of all at most
	upstreamPart  = 0.4
	unwrittenPart = 0.15 // of the memory, for answers that wait to be written
	takenPart     = 0.05 // for requests without an answer
	connsPerStore = 16
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

// debugLimit aims the collector at this process's part of the memory.
func debugLimit(n config.Node, processes int) {
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(n.MemoryMB) / float64(processes) * (1 << 20)))
	}
}

// bytesOf gives a part of the node's memory; 0 where that is not told.
func bytesOf(part float64, n config.Node) int64 { return int64(part * float64(n.MemoryMB) * (1 << 20)) }

// serving is a front that can be served and asked what it still owes.
type serving interface {
	Serve(ctx context.Context, l net.Listener) error
	Open() int
	Conns() int
	Drain(on bool)
	Leave(heir func() (*net.UnixConn, error))
	Share(parts, conns int)
}

// places are a process's parts of the descriptors.
type places struct{ callers, front, upstream int }

func placesOf(sockets int) (p places) {
	p.callers = max(4, min(console.MaxConns, int(callerPart*float64(sockets))))
	rest := max(8, float64(sockets-ownSockets-p.callers))
	p.front, p.upstream = int(frontPart*rest), int(upstreamPart*rest)
	return p
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
	room := placesOf(node.Sockets)
	cfg.Log.Debug().Interface("settings", node.Settings).Strs("classes", node.Classes).Int("sockets", node.Sockets).
		Float64("dial_timeout_ms", node.DialTimeout).Float64("idle_close_ms", node.IdleClose).Msg("the module's settings")
	// The upstreams post to the core and the core sends by the upstreams: the core is made first.
	up := &struct{ core.Upstream }{}
	plane := controlplane.New(cfg.Operator, cfg.Clock, cfg.Log)
	plane.Timing = cfg.Distribution
	c, err := core.New(core.Options{
		Settings: node.Settings, Classes: node.Classes, Seed: node.Seed, MaxOpen: node.MaxOpen, Clock: cfg.Clock, Flow: node.Flow,
		Log: cfg.Log, MaxCopyAge: plane.CopyAgeBound(),
	}, up)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	mix := &both.Upstream{}
	post := c.Post
	if cfg.Operator != nil {
		post = mix.Seen(post)
	}
	pool := resp.New(resp.Options{
		DialTimeout: node.DialTimeout, IdleClose: node.IdleClose, ProbeTimeout: probeTimeout, Streams: node.Streams,
		MaxConns: room.upstream, Longest: clock.Ms(longest(node)), NoProbes: !node.Settings.CanProbe,
		NoDrops: !node.Settings.CanCancel, Clock: cfg.Clock, Log: cfg.Log,
	}, post)
	defer pool.Close()
	up.Upstream = pool
	if cfg.Operator != nil {
		stores := web.New(web.Options{
			Stores: cfg.Operator.HTTPStores(), DialTimeout: node.DialTimeout, IdleClose: node.IdleClose,
			MaxConns: connsPerStore, Clock: cfg.Clock, Log: cfg.Log,
		}, post)
		defer stores.Close()
		mix.First, mix.Rest = stores, pool
		up.Upstream = mix
	}
	more := ""
	if cfg.Operator != nil {
		more = "_" + cfg.Operator.Listen
	}
	relatives := openKin(cfg.Shared, node, more, cfg.Log)
	defer relatives.Close()
	own := newOperated(c, relatives, cfg.Log)
	if node.Changelog != "" {
		own.waits[waitLog] = struct{}{}
	}
	own.inherit() // before anything is sent
	for _, ev := range node.Known {
		c.Handle(ev) // nothing else runs yet
	}

	ctx, end := context.WithCancel(ctx)
	defer end()
	g, ctx := errgroup.WithContext(ctx)
	var (
		fronts    []serving
		listeners []net.Listener
		addrs     Addrs
	)
	listen := func(field, addr string, fd int, f serving) (net.Addr, error) {
		l, err := listenOn(ctx, field, addr, fd)
		if err != nil {
			return nil, err
		}
		fronts, listeners = append(fronts, f), append(listeners, l)
		return l.Addr(), nil
	}
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	tap := func(name string) func(net.Conn) net.Conn {
		if cfg.Tap == nil {
			return nil
		}
		return func(nc net.Conn) net.Conn { return cfg.Tap(name, nc) }
	}

	var adopt func(*net.UnixConn)
	if err := plane.Open(c.Post); err != nil {
		return err
	}
	defer plane.Close()
	own.subscription = plane.Subscription

	if node.Listen != "" {
		f := fastcgi.New(fastcgi.Options{
			Post: c.Post, Clock: cfg.Clock, Log: cfg.Log, MaxConns: room.front, Tap: tap("fastcgi"), RetryAfter: retryAfter(node),
			MaxBytes: bytesOf(unwrittenPart, node), MaxTaken: bytesOf(takenPart, node),
		})
		if addrs.FastCGI, err = listen("listen", node.Listen, node.SocketFD, f); err != nil {
			return err
		}
		addrs.Fronts.FastCGI = f.Handle
		adopt = f.Adopt
	}
	if o := cfg.Operator; o != nil {
		ring, err := o.Ring()
		if err != nil {
			return err
		}
		fd := node.SocketFD // the platform's front comes first
		if node.Listen != "" {
			room.front /= 2
			fd = 0
		}
		f := signed.New(signed.Options{
			Post: c.Post, Clock: cfg.Clock, Log: cfg.Log, Classes: classes(node), Ring: ring, Claims: plane,
			Leeway: o.LeewayS * 1000, Scheme: o.Scheme, Operator: o.OperatorSecret, TokenMost: o.TokenS,
			MaxConns: room.front, Tap: tap("signed"), Limits: o.Limit.Options(), CORS: signed.CORS{Origins: o.Cors.Origins, Headers: o.Cors.Headers, MaxAge: o.Cors.MaxAgeS}, RetryAfter: retryAfter(node), MaxBytes: bytesOf(unwrittenPart, node),
		})
		plane.Configure(f.Changed, signed.ConfigKeys, signed.ConfigPolicy)
		if addrs.Signed, err = listen("listen", o.Listen, fd, f); err != nil {
			return err
		}
		addrs.Fronts.Signed = f.Handle
	}

	addrs.Fronts.Open = func() (n int) {
		for _, f := range fronts {
			n += f.Open()
		}
		return n
	}
	own.fronts, own.open = fronts, addrs.Fronts.Open
	own.share = func(processes int) {
		debugLimit(node, processes)
		part := placesOf(node.Sockets / processes)
		pool.Limit(part.upstream)
		for _, f := range fronts {
			f.Share(processes, part.front/len(fronts))
		}
		go c.Post(core.Share{Processes: processes})
	}
	own.hold(own.held)
	own.share(1 + own.others.Serving + own.others.Leaving)
	if node.Console != "" {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", node.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		addrs.Console = l.Addr()
		desk := console.New(console.Options{Gateway: own, MaxConns: room.callers, Clock: cfg.Clock, Log: cfg.Log})
		g.Go(func() error { return desk.Serve(ctx, l) })
	}
	g.Go(func() error { return c.Run(ctx) })
	moves := make(chan changelog.Move)
	if node.Changelog != "" {
		feed := &changelog.Feed{Addr: node.Changelog, Seq: node.Seq, Moves: moves, Post: c.Post, Log: cfg.Log}
		var once sync.Once
		feed.Caught = func() { // the core holds what came before once it has taken a question that follows
			once.Do(func() {
				reply := make(chan core.Stats, 1)
				c.Post(core.Query{Reply: reply})
				select {
				case <-reply:
					own.done(waitLog)
				case <-ctx.Done():
				}
			})
		}
		g.Go(func() error { return feed.Run(ctx) })
	}
	g.Go(func() error { reloads(ctx, cfg, c.Post, moves); return nil })
	g.Go(func() error { own.watch(ctx); return nil })
	g.Go(func() error { own.write(ctx); return nil })
	// Connections are taken over only where another process can share the listening socket, which it inherits; a
	// gateway started alone opens no Unix socket, which the fleet's bench forbids (docs/fleet.md).
	if adopt != nil && node.SocketFD != 0 {
		if l, err := relatives.Listen(); err != nil { // such as a path too long for a socket
			cfg.Log.Warn().Err(err).Msg("no connections can be taken over from another process")
		} else if l != nil {
			g.Go(func() error { inherit(ctx, l, adopt); return nil })
		}
	}
	g.Go(func() error {
		// A process that replaces another one takes nothing before it is ready, unless the other one takes
		// nothing any more.
		for !own.ready() && !own.alone() && !ended(ctx, cfg.Stop) {
			wait(ctx, lookEvery/5)
		}
		for i, f := range fronts {
			g.Go(func() error { return f.Serve(ctx, listeners[i]) })
		}
		own.done(waitFront)
		for _, l := range listeners {
			cfg.Log.Info().Str("name", node.Name).Stringer("listen", l.Addr()).Msg("serving")
		}
		if cfg.Ready != nil {
			cfg.Ready(addrs)
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-cfg.Stop:
			if own.stop() {
				leave(ctx, cfg, listeners, fronts, relatives.Heir(), stopWithin(node))
			} else {
				drain(ctx, cfg, listeners, addrs.Fronts.Open, stopWithin(node))
			}
			giveUp(ctx, c, addrs.Fronts.Open)
			end()
		}
		return nil
	})
	if addrs.Console != nil {
		cfg.Log.Info().Stringer("console", addrs.Console).Msg("operators' calls are taken")
	}
	return g.Wait()
}

// reloads puts configurations that were read anew into effect, without a request noticing: the change log is
// followed at its new address from the last number held, a list of stores that no change log tells replaces
// the old one, and the limits are set again. What else the file says counts from the next start.
func reloads(ctx context.Context, cfg Config, post func(core.Event), moves chan<- changelog.Move) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-cfg.Reload:
			Limit(n.Cores, n.MemoryMB)
			switch {
			case cfg.Node.Changelog == "":
				for _, ev := range n.Known {
					post(ev)
				}
			case n.Changelog == "":
				cfg.Log.Error().Msg("config: changelog: missing in the new file; the old one stays")
				continue
			default:
				select {
				case moves <- changelog.Move{Addr: n.Changelog}:
				case <-ctx.Done():
					return
				}
			}
			cfg.Log.Info().Str("changelog", n.Changelog).Msg("configuration read again")
		}
	}
}

func classes(n config.Node) (out []signed.Class) {
	for i, c := range n.Settings.Classes {
		out = append(out, signed.Class{Name: n.Classes[i], Deadline: clock.Ms(c.Deadline), Fresh: clock.Ms(c.Fresh), Write: c.Write})
	}
	return out
}

// drain takes requests through the stated window, then waits until all are answered and written, as
// long as the platform allows.
func drain(ctx context.Context, cfg Config, listeners []net.Listener, open func() int, most time.Duration) {
	cfg.Log.Info().Msg("asked to stop")
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	wait(ctx, stopAccepting)
	for _, l := range listeners {
		l.Close()
	}
	for ctx.Err() == nil && open() > 0 {
		wait(ctx, 10*time.Millisecond)
	}
	wait(ctx, 20*time.Millisecond) // the last answer's way out
}

// giveUp answers what is still in hand when the time of a process that ends is up: who waits longer than the platform
// lets it live hears at once that it may come again, and not the end of its connection.
func giveUp(ctx context.Context, c *core.Core, open func() int) {
	if open() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopWritten)
	defer cancel()
	if c.Order(ctx, core.GiveUp{}) != nil {
		return
	}
	for ctx.Err() == nil && open() > 0 {
		wait(ctx, 2*time.Millisecond)
	}
}

// inherit takes the connections that another process hands over, until ctx ends.
func inherit(ctx context.Context, l *net.UnixListener, adopt func(*net.UnixConn)) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor is free
			wait(ctx, 5*time.Millisecond)
			continue
		}
		go adopt(c)
	}
}

// leave ends a process that another one replaces: it takes no connection any more, closes each between requests,
// and is done once all it took is answered.
func leave(
	ctx context.Context, cfg Config, listeners []net.Listener, fronts []serving, heir func() (*net.UnixConn, error), most time.Duration,
) {
	cfg.Log.Info().Msg("asked to stop; another process serves")
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for _, l := range listeners {
		l.Close()
	}
	for _, f := range fronts {
		f.Leave(heir)
	}
	left := func() (n int) {
		for _, f := range fronts {
			n += f.Conns() + f.Open()
		}
		return n
	}
	for ctx.Err() == nil && left() > 0 {
		wait(ctx, 5*time.Millisecond)
	}
	wait(ctx, 20*time.Millisecond) // the last answer's way out
}

// ended tells whether a process has been told to stop.
func ended(ctx context.Context, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return ctx.Err() != nil
	}
}

// listenOn listens at an address, or on an inherited descriptor where one is told.
func listenOn(ctx context.Context, field, addr string, fd int) (net.Listener, error) {
	if fd == 0 {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", field, err)
		}
		return l, nil
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: %d is no descriptor", fd)
	}
	// The listener has a copy of its own; ours is closed. Neither close ends the socket, which others hold too.
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: %w", err)
	}
	return l, nil
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// retryAfter is the advice that the settings allow for a client refused in a drain.
func retryAfter(n config.Node) float64 {
	if !n.Settings.CanRetryAfter {
		return 0
	}
	return clock.Ms(n.Settings.MaxRetryAfter)
}

// stopWithin is the time that a process has to answer what it took once it is asked to end.
func stopWithin(n config.Node) time.Duration { return min(longest(n), killLongest) + stopSlack }

// longest is the longest deadline of the classes.
func longest(n config.Node) (most time.Duration) {
	for _, c := range n.Settings.Classes {
		most = max(most, c.Deadline)
	}
	return most
}
