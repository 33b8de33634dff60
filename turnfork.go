// Package turnfork is a cache gateway. Frontends accept requests, a core with the decision module (package control) selects the
// endpoint for each request, and upstreams communicate with the endpoints. [Run] assembles these parts and serves; the packages
// can also be combined in other ways.
//
// This package owns the lifecycle of a process: the assembly (gateway.go, frontends.go), its shares of descriptors and memory
// (connection_limits.go), readiness and the operators' overrides (admin.go and the files that it names), configuration reloads
// (reload.go), and shutdown, by a drain or by a handover to a successor (shutdown.go, handover.go).
package turnfork

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/internal/durable"
	"turnfork.dev/turnfork/replica"
)

// Config configures a gateway.
type Config struct {
	Node     config.Node
	Operator *config.Operator // the signed frontend and its settings; nil on the platform
	Log      zerolog.Logger
	Clock    *clock.Clock // nil: the system clock

	SharedDir string             // folder shared by the processes of this gateway; "": single process
	Stop      <-chan struct{}    // closed: shut down gracefully; cancelling Run's context stops at once
	Reload    <-chan config.Node // reloaded configurations; nil: no reloads
	Ready     func(Addrs)        // called once the frontends listen; nil: not called

	// WrapConn wraps the frontends' connections in order to record them; nil: no recording.
	WrapConn func(frontend string, conn net.Conn) net.Conn

	Distribution distribution.Timing // timing of the replicated state's distribution; zero value: defaults

	files    durable.FileSystem                             // stores the overrides in SharedDir; nil: the system's
	openLogs func(path string) (replica.LogDatabase, error) // opens a voter's log; nil: replica.OpenLogDatabase
}

// Addrs are the addresses that the gateway listens on; the address of a disabled listener is nil.
type Addrs struct {
	FastCGI, Signed, Admin net.Addr
	Frontends              FrontendHandlers
}

// FrontendHandlers let a caller pass connections to the frontends directly, without their listeners.
type FrontendHandlers struct {
	FastCGI, Signed func(net.Conn) // each returns when the connection has closed; nil: frontend disabled
	OpenRequests    func() int     // number of unanswered requests of both frontends
}

// Run serves until ctx ends, or until Stop is closed and the shutdown that follows has completed.
func Run(ctx context.Context, cfg Config) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	gw, err := newGateway(ctx, cfg)
	if err != nil {
		return err
	}
	defer gw.close()
	return gw.run(ctx, end)
}
