package turnfork

import (
	"context"
	"time"

	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
)

// Time limits of a shutdown. The platform kills a process 0.7 s after the longest deadline of its classes, of which it counts at
// most maxKillDeadline.
const (
	acceptWindow    = 1000 * time.Millisecond // after the signal, new connections still arrive for a while
	maxKillDeadline = 3 * time.Second
	shutdownSlack   = 550 * time.Millisecond // beyond the longest deadline
	abortTimeout    = 100 * time.Millisecond // to write the responses to aborted requests
	flushDelay      = 20 * time.Millisecond  // for the last response to be sent

	drainPollInterval    = 10 * time.Millisecond
	handoverPollInterval = 5 * time.Millisecond
	abortPollInterval    = 2 * time.Millisecond
)

// shutdownTimeout returns the time that a process has to answer its requests once it is asked to stop.
func shutdownTimeout(node config.Node) time.Duration {
	return min(longestDeadline(node), maxKillDeadline) + shutdownSlack
}

// longestDeadline returns the longest deadline of the classes.
func longestDeadline(node config.Node) (longest time.Duration) {
	for _, class := range node.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// shutDown shuts the process down gracefully: requests are answered within the time that the platform allows, and those left
// over are aborted.
func (gw *gateway) shutDown(ctx context.Context) {
	if gw.admin.beginShutdown() {
		gw.handOver(ctx)
	} else {
		gw.drain(ctx)
	}
	gw.abortOpenRequests(ctx)
}

// drain prepares the exit of a process that no other one replaces: it accepts connections for acceptWindow, then waits until all
// requests are answered.
func (gw *gateway) drain(ctx context.Context) {
	gw.Log.Info().Msg("shutdown started")
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout(gw.node))
	defer cancel()
	wait(ctx, acceptWindow)
	gw.closeListeners()
	pollUntilZero(ctx, drainPollInterval, gw.openRequests)
	wait(ctx, flushDelay)
}

// handOver prepares the exit of a process that a successor replaces: it stops accepting connections, hands its connections over
// or closes each between requests, and waits until all requests are answered.
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
			left += f.Conns() + f.OpenRequests()
		}
		return left
	})
	wait(ctx, flushDelay)
}

// abortOpenRequests aborts the requests that are still open at the end of the shutdown time. A client with a longer deadline
// gets a response at once, in place of a closed connection. Requests that arrive meanwhile are rejected, and each connection's
// reader closes it once all requests read from it are answered.
func (gw *gateway) abortOpenRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	servers := gw.stoppableServers()
	for _, s := range servers {
		s.Stop()
	}
	if gw.core.PostUrgent(ctx, core.Abort{}) != nil {
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

// stoppableServers returns the servers of all listeners.
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

// stopRequested reports whether the process has been asked to stop, or ctx has ended.
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
