package turnfork

import (
	"context"
	"time"

	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
)

// Time limits of a process that is asked to end. The platform kills a process 0.7 s after the longest deadline of its classes,
// of which it counts maxKillDeadline at most.
const (
	acceptWindow    = 1000 * time.Millisecond // after the signal: connections keep coming for a while
	maxKillDeadline = 3 * time.Second
	shutdownSlack   = 550 * time.Millisecond // beyond the longest deadline
	abortTimeout    = 100 * time.Millisecond // to write the responses to what is aborted then
	flushDelay      = 20 * time.Millisecond  // for the last response to leave

	drainPollInterval    = 10 * time.Millisecond
	handoverPollInterval = 5 * time.Millisecond
	abortPollInterval    = 2 * time.Millisecond
)

// shutdownTimeout is the time that a process has to answer its requests once it is asked to end.
func shutdownTimeout(node config.Node) time.Duration {
	return min(longestDeadline(node), maxKillDeadline) + shutdownSlack
}

// longestDeadline is the longest deadline of the classes.
func longestDeadline(node config.Node) (longest time.Duration) {
	for _, class := range node.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// shutDown shuts the process down gracefully: its requests are answered, as far as the platform's time allows.
func (gw *gateway) shutDown(ctx context.Context) {
	if gw.admin.beginShutdown() {
		gw.handOver(ctx)
	} else {
		gw.drain(ctx)
	}
	gw.abortOpenRequests(ctx)
}

// drain ends a process that no other one replaces: it accepts connections through acceptWindow, then waits until all requests
// are answered.
func (gw *gateway) drain(ctx context.Context) {
	gw.Log.Info().Msg("shutdown started")
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout(gw.node))
	defer cancel()
	wait(ctx, acceptWindow)
	gw.closeListeners()
	pollUntilZero(ctx, drainPollInterval, gw.openRequests)
	wait(ctx, flushDelay)
}

// handOver ends a process that a successor replaces: it accepts no connection any more, hands its connections over or closes
// each between requests, and waits until all requests are answered.
func (gw *gateway) handOver(ctx context.Context) {
	successor := gw.registry.Successor()
	gw.Log.Info().Msg("handover started")
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout(gw.node))
	defer cancel()
	gw.closeListeners()
	for _, f := range gw.frontends {
		f.HandOver(successor)
	}
	pollUntilZero(ctx, handoverPollInterval, func() (left int) {
		for _, f := range gw.frontends {
			left += f.Conns() + f.Open()
		}
		return left
	})
	wait(ctx, flushDelay)
}

// abortOpenRequests answers what is still open when the time of a process that ends is up: a client that waits longer than the
// platform lets the process live is told at once to retry, in place of a closed connection. What comes meanwhile is rejected,
// and each connection is closed by its reader once all that was read on it is answered.
func (gw *gateway) abortOpenRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	servers := gw.stoppableServers()
	for _, s := range servers {
		s.Stop()
	}
	if gw.core.Order(ctx, core.Abort{}) != nil {
		return
	}
	pollUntilZero(ctx, abortPollInterval, func() int {
		left := gw.openRequests()
		for _, s := range servers {
			left += s.Conns()
		}
		return left
	})
}

// stoppables are the servers of all listeners.
func (gw *gateway) stoppableServers() (servers []stoppableServer) {
	for _, f := range gw.frontends {
		servers = append(servers, f)
	}
	if gw.server != nil {
		servers = append(servers, gw.server)
	}
	return servers
}

func (gw *gateway) closeListeners() {
	for _, l := range gw.listeners {
		l.Close()
	}
}

// pollUntilZero waits until count returns 0, or ctx ends.
func pollUntilZero(ctx context.Context, interval time.Duration, count func() int) {
	for ctx.Err() == nil && count() > 0 {
		wait(ctx, interval)
	}
}

// stopRequested reports whether a process has been asked to end.
func stopRequested(ctx context.Context, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return ctx.Err() != nil
	}
}

// wait waits for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
