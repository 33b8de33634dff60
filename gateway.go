package turnfork

import (
	"context"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/discovery"
	"turnfork.dev/turnfork/internal/controlplane"
	"turnfork.dev/turnfork/internal/handover"
	"turnfork.dev/turnfork/limits"
	"turnfork.dev/turnfork/upstream/httpstore"
	"turnfork.dev/turnfork/upstream/mux"
	"turnfork.dev/turnfork/upstream/resp"
)

const (
	healthCheckTimeout   = 240.0 // ms
	connsPerHTTPEndpoint = 16
)

// gateway holds the parts that Run assembles. newGateway creates all of them; run then starts their goroutines.
type gateway struct {
	Config
	node   config.Node
	limits connectionLimits
	memory memoryLimits
	core   *core.Core
	pool   *resp.Pool
	plane  *controlplane.Plane

	upstreamBudget *limits.ByteBudget // for responses of endpoints; nil: no memory limit is set

	registry   *handover.Registry
	requestIDs *handover.RequestIDs // nil: not shared with other processes
	admin      *adminState

	frontends      []frontend
	listeners      []net.Listener // of the frontends, in the same order
	addrs          Addrs
	acceptHandover func(*net.UnixConn)          // receives the connections that another process hands over; nil: unsupported
	adminListener  net.Listener                 // nil: no admin API
	server         *adminapi.Server             // serves adminListener
	addressChanges chan discovery.AddressChange // new addresses of the endpoint list, from reloads to its watcher

	closers []func() // in the order in which the parts were opened
}

// newGateway creates a gateway whose core does not run yet. Its listeners are opened under ctx. If a part fails to open, the
// parts that were opened before it are closed again.
func newGateway(ctx context.Context, cfg Config) (*gateway, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	if cfg.Node.Sockets <= 0 {
		cfg.Node.Sockets = defaultSockets
	}
	gw := &gateway{
		Config:         cfg,
		node:           cfg.Node,
		limits:         newConnectionLimits(cfg.Node.Sockets),
		memory:         newMemoryLimits(cfg.Node, frontendCount(cfg)),
		addressChanges: make(chan discovery.AddressChange),
	}
	if gw.memory.upstreamResponses > 0 {
		gw.upstreamBudget = limits.NewByteBudget(gw.memory.upstreamResponses)
	}
	gw.logSettings()
	for _, open := range []func(context.Context) error{
		gw.openSharedFolder, gw.openCore, gw.openSharedState, gw.openPlane, gw.openFastCGI, gw.openSigned, gw.openProcessLimits, gw.openAdminAPI,
	} {
		if err := open(ctx); err != nil {
			gw.close()
			return nil, err
		}
	}
	return gw, nil
}

// frontendCount returns the number of frontends that a configuration has.
func frontendCount(cfg Config) (count int) {
	if cfg.Node.Listen != "" {
		count++
	}
	if cfg.Operator != nil {
		count++
	}
	return count
}

func (gw *gateway) logSettings() {
	gw.Log.Debug().
		Interface("settings", gw.node.Settings).
		Strs("classes", gw.node.Classes).
		Int("sockets", gw.node.Sockets).
		Float64("dial_timeout_ms", gw.node.DialTimeoutMs).
		Float64("idle_close_ms", gw.node.IdleTimeoutMs).
		Msg("settings loaded")
}

// close closes the opened parts in reverse order.
func (gw *gateway) close() {
	for i := len(gw.closers) - 1; i >= 0; i-- {
		gw.closers[i]()
	}
}

// addCloser registers a function for close.
func (gw *gateway) addCloser(closer func()) { gw.closers = append(gw.closers, closer) }

// upstreamSlot is a placeholder for the core's upstream. The core and the upstream refer to each other: the core is created
// first, and the upstream, which posts to the core, is filled in afterwards.
type upstreamSlot struct{ core.Upstream }

// openCore creates the core and its upstreams.
func (gw *gateway) openCore(context.Context) (err error) {
	gw.plane = controlplane.New(gw.Operator, gw.Clock, gw.Log)
	gw.plane.Timing = gw.Distribution
	gw.plane.OpenLogs = gw.openLogs
	upstream := &upstreamSlot{}
	gw.core, err = core.New(gw.coreOptions(), upstream)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if gw.Operator == nil {
		gw.openPool(gw.core.Post)
		upstream.Upstream = gw.pool
		return nil
	}
	router := &mux.Upstream{}
	post := router.TrackResults(gw.core.Post)
	gw.openPool(post)
	router.Primary = gw.openHTTPEndpoints(post)
	router.Fallback = gw.pool
	upstream.Upstream = router
	return nil
}

func (gw *gateway) coreOptions() core.Options {
	options := core.Options{
		Settings:             gw.node.Settings,
		Classes:              gw.node.Classes,
		Seed:                 gw.node.Seed,
		MaxOpen:              gw.node.MaxOpen,
		Clock:                gw.Clock,
		ClientBytesPerSecond: gw.node.ClientBytesPerSecond,
		Log:                  gw.Log,
		MaxCopyAge:           gw.plane.CopyAgeBound(),
	}
	if gw.Operator != nil {
		options.TraceShare = gw.Operator.TraceShare
	}
	if gw.requestIDs != nil {
		options.SharedIDs = gw.requestIDs
	}
	return options
}

// openPool opens the pool of connections to RESP endpoints.
func (gw *gateway) openPool(post func(core.Event)) {
	gw.pool = resp.New(resp.Options{
		DialTimeout:         gw.node.DialTimeoutMs,
		IdleClose:           gw.node.IdleTimeoutMs,
		HealthCheckTimeout:  healthCheckTimeout,
		MaxAttemptsPerConn:  gw.node.StreamsPerConn,
		MaxConns:            gw.limits.upstream,
		MaxRequestDuration:  clock.Ms(longestDeadline(gw.node)),
		DisableHealthChecks: !gw.node.Settings.CanCheckHealth,
		DisableCancel:       !gw.node.Settings.CanCancel,
		ResponseBudget:      gw.upstreamBudget,
		Clock:               gw.Clock,
		Log:                 gw.Log,
	}, post)
	gw.addCloser(func() { gw.pool.Close() })
}

// openHTTPEndpoints opens the upstream for HTTP endpoints.
func (gw *gateway) openHTTPEndpoints(post func(core.Event)) *httpstore.Upstream {
	httpUpstream := httpstore.New(httpstore.Options{
		Endpoints:      gw.Operator.HTTPEndpoints(),
		DialTimeout:    gw.node.DialTimeoutMs,
		IdleClose:      gw.node.IdleTimeoutMs,
		MaxConns:       connsPerHTTPEndpoint,
		ResponseBudget: gw.upstreamBudget,
		Clock:          gw.Clock,
		Log:            gw.Log,
	}, post)
	gw.addCloser(func() { httpUpstream.Close() })
	return httpUpstream
}

// openSharedFolder registers this process with its siblings in the folder that they share.
func (gw *gateway) openSharedFolder(context.Context) error {
	suffix := ""
	if gw.Operator != nil {
		suffix = "_" + gw.Operator.Listen
	}
	gw.registry = openRegistry(gw.SharedDir, gw.files, gw.node, suffix, gw.Log)
	gw.addCloser(func() { gw.registry.Close() })
	gw.openRequestIDs()
	return nil
}

// openRequestIDs opens the table of the request IDs that this process shares with its siblings. Only processes that share an
// inherited listening socket serve side by side.
func (gw *gateway) openRequestIDs() {
	if gw.registry == nil || gw.node.SocketFD == 0 {
		return
	}
	ids, err := gw.registry.OpenRequestIDs()
	if err != nil {
		gw.Log.Error().Err(err).Msg("request IDs can't be shared")
		return
	}
	gw.requestIDs = ids
	gw.addCloser(func() { ids.Close() })
}

// openSharedState applies the stored overrides, and passes the events of the configuration to the core.
func (gw *gateway) openSharedState(context.Context) error {
	gw.admin = newAdminState(gw.core, gw.registry, gw.Log)
	if gw.node.DiscoveryAddr != "" {
		gw.admin.markNotReady(endpointsUnsynced)
	}
	if err := gw.admin.loadOverrides(); err != nil { // before any request is sent
		return err
	}
	for _, event := range gw.node.KnownEvents {
		gw.core.Handle(event) // nothing else runs yet
	}
	return nil
}

// openPlane opens the control plane, which holds the replicated state.
func (gw *gateway) openPlane(context.Context) error {
	if err := gw.plane.Open(gw.core.Post); err != nil {
		return err
	}
	gw.addCloser(func() { gw.plane.Close() })
	gw.admin.subscription = gw.plane.Subscription
	gw.admin.replicaStorage = gw.plane.StorageError
	return nil
}

// openProcessLimits divides the gateway's limits among its processes, now and whenever their number changes.
func (gw *gateway) openProcessLimits(context.Context) error {
	gw.addrs.Frontends.OpenRequests = gw.openRequests
	gw.admin.frontends = gw.frontends
	gw.admin.openRequests = gw.openRequests
	gw.admin.setProcessCount = gw.setProcessCount
	gw.admin.setOverrides(gw.admin.overrides)
	gw.setProcessCount(gw.admin.processCount())
	return nil
}

// setProcessCount limits this process to its share of the gateway's limits, given the number of processes.
func (gw *gateway) setProcessCount(processes int) {
	setHeapLimit(gw.node.MemoryMB, processes)
	gw.setUpstreamBudget(processes)
	limits := newConnectionLimits(gw.node.Sockets / processes)
	gw.pool.SetMaxConns(limits.upstream)
	for _, f := range gw.frontends {
		f.SetProcessShare(processes, limits.frontend/len(gw.frontends))
	}
	go gw.core.Post(core.ProcessCount{Processes: processes})
}

// setUpstreamBudget limits the responses of endpoints to this process's share of the memory.
func (gw *gateway) setUpstreamBudget(processes int) {
	if gw.upstreamBudget != nil {
		gw.upstreamBudget.SetLimit(gw.memory.upstreamResponses / int64(processes))
	}
}

// openAdminAPI listens for admin calls if an address is configured.
func (gw *gateway) openAdminAPI(ctx context.Context) (err error) {
	if gw.node.AdminAddr == "" {
		return nil
	}
	gw.adminListener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", gw.node.AdminAddr)
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	gw.addCloser(func() { gw.adminListener.Close() })
	gw.addrs.Admin = gw.adminListener.Addr()
	return nil
}

// run serves until ctx ends. It calls end, which is to cancel ctx, once a shutdown has completed.
func (gw *gateway) run(ctx context.Context, end func()) error {
	group, ctx := errgroup.WithContext(ctx)
	if gw.adminListener != nil {
		gw.server = adminapi.New(adminapi.Options{
			Gateway: gw.admin, MaxConns: gw.limits.admin, Clock: gw.Clock, Log: gw.Log,
		})
		group.Go(func() error { return gw.server.Serve(ctx, gw.adminListener) })
	}
	group.Go(func() error { return gw.core.Run(ctx) })
	if gw.node.DiscoveryAddr != "" {
		watcher := gw.newWatcher(ctx)
		group.Go(func() error { return watcher.Run(ctx) })
	}
	background := []func(context.Context){
		gw.watchReloads, gw.admin.watchSiblings, gw.admin.runWriter, gw.admin.enterRegistry, gw.watchMemory,
	}
	if l := gw.listenForHandover(); l != nil {
		background = append(background, func(ctx context.Context) { acceptHandovers(ctx, l, gw.acceptHandover) })
	}
	background = append(background,
		func(ctx context.Context) { gw.serveFrontends(ctx, group) },
		func(ctx context.Context) { gw.awaitStop(ctx, end) },
	)
	for _, task := range background {
		group.Go(func() error { task(ctx); return nil })
	}
	if gw.addrs.Admin != nil {
		gw.Log.Info().Stringer("addr", gw.addrs.Admin).Msg("admin API serving")
	}
	return group.Wait()
}

// awaitStop waits for Stop, shuts the process down, and then calls end.
func (gw *gateway) awaitStop(ctx context.Context, end func()) {
	select {
	case <-ctx.Done():
	case <-gw.Stop:
		gw.shutDown(ctx)
		end()
	}
}
