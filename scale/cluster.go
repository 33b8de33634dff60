package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/replica"
)

const (
	startTimeout        = 90 * time.Second
	pollInterval        = 200 * time.Millisecond
	gatewaysPerProcess  = 500
	minGatewayProcesses = 2 // so that a fault in one process leaves other gateways unaffected
	maxGatewayProcesses = 12
)

var errNoRelay = errors.New("scale: the cluster has no relay")

// clusterOptions configure a cluster.
type clusterOptions struct {
	topology  Topology
	voters    int
	endpoints int
	seed      uint64
	relay     bool      // between gateways and voters, for network faults
	dir       string    // for the voters' files
	log       io.Writer // for the children's standard error
}

// cluster is the set of child processes of a run.
type cluster struct {
	options   clusterOptions
	authority *Authority
	members   []replica.Member
	relay     *Process
	gateways  []*gatewayProcess

	mu     sync.Mutex
	voters []*voterProcess
}

// voterProcess is a voter with its process, which is nil while the voter is down.
type voterProcess struct {
	id      string
	setup   voterSetup
	process *Process
}

// gatewayProcess is a process that runs some of the gateways.
type gatewayProcess struct {
	process *Process
	numbers []int // its gateways' numbers in the topology
}

// startCluster starts all processes and waits until every gateway is fresh. On failure it stops all processes.
func startCluster(ctx context.Context, options clusterOptions, progress *progress) (c *cluster, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c = &cluster{options: options}
	defer func() {
		if err != nil {
			c.stop()
		}
	}()
	var addresses []net.IP
	for voter := range options.voters {
		addresses = append(addresses, net.ParseIP(voterIP(voter)), net.ParseIP(relayIP(voter)))
	}
	if c.authority, err = NewAuthority(addresses); err != nil {
		return c, err
	}
	if err = c.startVoters(ctx); err != nil {
		return c, err
	}
	progress.print("%d voters run", options.voters)
	routes, err := c.startRelay(ctx)
	if err != nil {
		return c, err
	}
	if err = c.startGateways(ctx, routes); err != nil {
		return c, err
	}
	progress.print("%d gateways in %d processes started", options.topology.Gateways, len(c.gateways))
	if err = c.awaitFresh(ctx, progress); err != nil {
		return c, err
	}
	return c, nil
}

// voterIP and relayIP are the loopback addresses of a voter and of the relay in front of it. They differ from the source
// address of outgoing connections, so that no such connection can occupy a voter's port while the voter is down.
func voterIP(voter int) string { return fmt.Sprintf("127.0.1.%d", voter+1) }
func relayIP(voter int) string { return fmt.Sprintf("127.0.2.%d", voter+1) }

// freeAddresses returns an address with a free port for each IP address. All ports stay open until the last one is found,
// so that they differ.
func freeAddresses(ips []string) (addresses []string, err error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			err = errors.Join(err, listener.Close())
		}
	}()
	for _, ip := range ips {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("scale: find a free port: %w", err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (c *cluster) startVoters(ctx context.Context) error {
	var ips []string
	for voter := range c.options.voters {
		ips = append(ips, voterIP(voter))
	}
	addresses, err := freeAddresses(ips)
	if err != nil {
		return err
	}
	for voter, address := range addresses {
		c.members = append(c.members, replica.Member{ID: voterID(voter), Addr: address})
	}
	for _, member := range c.members {
		identity, err := c.authority.Issue(member.ID)
		if err != nil {
			return err
		}
		c.voters = append(c.voters, &voterProcess{id: member.ID, setup: voterSetup{
			LocalIDs: []string{member.ID}, Members: c.members, Dir: c.options.dir, Identity: identity,
		}})
	}
	var group errgroup.Group
	for voter := range c.voters {
		group.Go(func() error { return c.startVoter(ctx, voter) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	_, err = c.awaitLeader(ctx)
	return err
}

// startVoter starts a voter for the first time, or restarts it with its existing files. The voter counts as down until its
// process has answered the start, since other requests must not come before that.
func (c *cluster) startVoter(ctx context.Context, voter int) error {
	process, err := StartProcess(RoleVoters, c.options.log)
	if err != nil {
		return err
	}
	if err := process.Call(ctx, methodStart, c.voters[voter].setup, nil); err != nil {
		process.Stop()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters[voter].process = process
	return nil
}

// killVoter kills a voter's process, as in a crash.
func (c *cluster) killVoter(voter int) {
	if process := c.voterProcess(voter); process != nil {
		c.mu.Lock()
		c.voters[voter].process = nil
		c.mu.Unlock()
		process.Kill()
	}
}

// voterProcess returns a voter's process, or nil while the voter is down.
func (c *cluster) voterProcess(voter int) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voters[voter].process
}

// awaitLeader waits until a voter leads and returns its index.
func (c *cluster) awaitLeader(ctx context.Context) (int, error) {
	for {
		for voter := range c.voters {
			process := c.voterProcess(voter)
			if process == nil {
				continue
			}
			var leads leadership
			if process.Call(ctx, methodLeads, empty{}, &leads) == nil && leads.Leader != "" {
				return voter, nil
			}
		}
		if !sleep(ctx, pollInterval) {
			return 0, fmt.Errorf("scale: no leader elected: %w", ctx.Err())
		}
	}
}

// startRelay starts the relay if the run uses one, and returns the addresses at which each site reaches the voters.
func (c *cluster) startRelay(ctx context.Context) (routes relayRoutes, err error) {
	if !c.options.relay {
		for range c.options.topology.Sites {
			routes.Sites = append(routes.Sites, c.members)
		}
		return routes, nil
	}
	if c.relay, err = StartProcess(RoleRelay, c.options.log); err != nil {
		return routes, err
	}
	setup := relaySetup{Sites: c.options.topology.Sites, Voters: c.members}
	for voter := range c.members {
		setup.IPs = append(setup.IPs, relayIP(voter))
	}
	err = c.relay.Call(ctx, methodStart, setup, &routes)
	return routes, err
}

func (c *cluster) startGateways(ctx context.Context, routes relayRoutes) error {
	topology := c.options.topology
	processes := (topology.Gateways + gatewaysPerProcess - 1) / gatewaysPerProcess
	processes = min(max(processes, minGatewayProcesses), maxGatewayProcesses)
	var group errgroup.Group
	for part, numbers := range topology.split(processes) {
		process, err := StartProcess(RoleGateways, c.options.log)
		if err != nil {
			return errors.Join(err, group.Wait())
		}
		c.gateways = append(c.gateways, &gatewayProcess{process: process, numbers: numbers})
		identity, err := c.authority.Issue(fmt.Sprintf("gateways-%d", part))
		if err != nil {
			return errors.Join(err, group.Wait())
		}
		setup := gatewaysSetup{
			Endpoints: c.options.endpoints, Seed: c.options.seed + uint64(numbers[0]), Identity: identity,
			Dir: filepath.Join(c.options.dir, fmt.Sprintf("gateways-%d", part)),
		}
		for _, number := range numbers {
			site := topology.Site(number)
			setup.Gateways = append(setup.Gateways, gatewaySpec{Name: gatewayName(number), Voters: routes.Sites[site]})
		}
		group.Go(func() error { return process.Call(ctx, methodStart, setup, nil) })
	}
	return group.Wait()
}

// states returns the replicated state of all gateways.
func (c *cluster) states(ctx context.Context) ([]State, error) {
	parts := make([][]State, len(c.gateways))
	var group errgroup.Group
	for i, part := range c.gateways {
		group.Go(func() error { return part.process.Call(ctx, methodStates, empty{}, &parts[i]) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []State
	for _, part := range parts {
		all = append(all, part...)
	}
	return all, nil
}

// lastPosition returns the highest position among the running voters.
func (c *cluster) lastPosition(ctx context.Context) (last distribution.Position, err error) {
	for voter := range c.voters {
		process := c.voterProcess(voter)
		if process == nil {
			continue
		}
		var states []State
		if err := process.Call(ctx, methodStates, empty{}, &states); err != nil {
			return last, err
		}
		for _, state := range states {
			if state.Position.Revision > last.Revision {
				last = state.Position
			}
		}
	}
	return last, nil
}

// awaitFresh waits until every gateway is fresh, which means that it holds a lease.
func (c *cluster) awaitFresh(ctx context.Context, progress *progress) error {
	for {
		states, err := c.states(ctx)
		if err != nil {
			return err
		}
		fresh := 0
		for _, state := range states {
			if state.Fresh {
				fresh++
			}
		}
		progress.print("%d of %d gateways are fresh", fresh, c.options.topology.Gateways)
		if fresh == c.options.topology.Gateways {
			return nil
		}
		if !sleep(ctx, time.Second) {
			return fmt.Errorf("scale: %d of %d gateways are fresh: %w", fresh, c.options.topology.Gateways, ctx.Err())
		}
	}
}

// restartGateways restarts the given gateways concurrently.
func (c *cluster) restartGateways(ctx context.Context, numbers []int) error {
	selected := map[int]bool{}
	for _, number := range numbers {
		selected[number] = true
	}
	var group errgroup.Group
	for _, part := range c.gateways {
		var restarts restartRequest
		for index, number := range part.numbers {
			if selected[number] {
				restarts.Gateways = append(restarts.Gateways, index)
			}
		}
		if len(restarts.Gateways) > 0 {
			group.Go(func() error { return part.process.Call(ctx, methodRestart, restarts, nil) })
		}
	}
	return group.Wait()
}

// setLink sets the condition of the network between sites and voters.
func (c *cluster) setLink(ctx context.Context, condition linkCondition) error {
	if c.relay == nil {
		return errNoRelay
	}
	return c.relay.Call(ctx, methodLink, condition, nil)
}

// stop stops all processes. It keeps the files, as the directory belongs to the caller.
func (c *cluster) stop() {
	var processes []*Process
	for _, part := range c.gateways {
		processes = append(processes, part.process)
	}
	if c.relay != nil {
		processes = append(processes, c.relay)
	}
	for voter := range c.voters {
		if process := c.voterProcess(voter); process != nil {
			processes = append(processes, process)
		}
	}
	var stopping sync.WaitGroup
	for _, process := range processes {
		stopping.Go(process.Stop)
	}
	stopping.Wait()
}

// makeTempDir creates a temporary directory for a run.
func makeTempDir() (string, error) {
	dir, err := os.MkdirTemp("", "turnfork-scale-")
	if err != nil {
		return "", fmt.Errorf("scale: create temporary directory: %w", err)
	}
	return filepath.Clean(dir), nil
}

// sleep waits for the duration. It returns false if ctx is canceled first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// progress prints progress messages with the time since the run began.
type progress struct {
	begin time.Time
	out   io.Writer
}

func newProgress(out io.Writer) *progress { return &progress{begin: time.Now(), out: out} }

func (p *progress) print(format string, values ...any) {
	fmt.Fprintf(p.out, "%6.1f s  %s\n", time.Since(p.begin).Seconds(), fmt.Sprintf(format, values...))
}
