package turnfork

import "turnfork.dev/turnfork/adminapi"

// Shares of the machine's file descriptors.
const (
	reservedDescriptors = 16       // for everything but admin callers, clients and endpoints
	adminShare          = 1.0 / 16 // of all, for the admin API
	frontendShare       = 0.58     // of the rest; typical clients hold at most a third of all
	upstreamShare       = 0.4      // of the rest

	minAdminConns  = 4
	minOtherConns  = 8
	defaultSockets = 1024
)

// connectionLimits are the limits on the number of connections of each kind, as each takes a descriptor.
type connectionLimits struct{ admin, frontend, upstream int }

// newConnectionLimits divides a process's descriptors among the kinds of connections.
func newConnectionLimits(sockets int) connectionLimits {
	admin := max(minAdminConns, min(adminapi.MaxConns, int(adminShare*float64(sockets))))
	rest := max(minOtherConns, float64(sockets-reservedDescriptors-admin))
	return connectionLimits{
		admin:    admin,
		frontend: int(frontendShare * rest),
		upstream: int(upstreamShare * rest),
	}
}
