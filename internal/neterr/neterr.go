// Package neterr distinguishes failures of this host's own network system calls from failures of an endpoint or the path to
// it. Local failures, such as a lack of descriptors, ports, memory or routes, are no evidence against the endpoint.
package neterr

import (
	"errors"
	"net"
	"syscall"
)

// localErrnos lists the errors of socket(2), bind(2), connect(2), accept(2), read(2) and write(2) that are caused by this host.
// These are not in the list, because the endpoint or the path to it causes them: ECONNREFUSED, ECONNRESET, EPIPE, ETIMEDOUT,
// EHOSTUNREACH, EHOSTDOWN.
var localErrnos = []syscall.Errno{
	syscall.EMFILE,        // process descriptor limit reached
	syscall.ENFILE,        // system descriptor limit reached
	syscall.ENOBUFS,       // no buffer space
	syscall.ENOMEM,        // out of memory
	syscall.EADDRNOTAVAIL, // no free local port for this address
	syscall.EADDRINUSE,    // the port chosen by the system is in use
	syscall.EAGAIN,        // no free local port, or routing cache full
	syscall.ENETUNREACH,   // no route from this host
	syscall.ENETDOWN,      // network interface down
	syscall.EPERM,         // rejected by this host's firewall
	syscall.EACCES,        // rejected by this host's firewall or policy
	syscall.EINTR,         // interrupted by a signal
	syscall.EAFNOSUPPORT,
	syscall.EPROTONOSUPPORT,
}

// IsLocal reports whether an error is caused by this host, and not by an endpoint. A failed name lookup is local too, because no
// endpoint was contacted, unless the response was that the name does not exist.
func IsLocal(err error) bool {
	if err == nil {
		return false
	}
	for _, errno := range localErrnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	var lookup *net.DNSError
	return errors.As(err, &lookup) && !lookup.IsNotFound
}
