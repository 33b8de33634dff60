// Package neterr tells the failures of this host's own network system calls from those of an endpoint and of the way to
// it. The former say nothing of the endpoint: the host is short of descriptors, ports, memory or routes.
package neterr

import (
	"errors"
	"net"
	"syscall"
)

// local lists what socket(2), bind(2), connect(2), accept(2), read(2) and write(2) report of this host. Not in the list,
// as they tell of the endpoint or of the way to it: ECONNREFUSED, ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN.
var localErrnos = []syscall.Errno{
	syscall.EMFILE,        // the process has no descriptor left
	syscall.ENFILE,        // the system has none left
	syscall.ENOBUFS,       // no buffer
	syscall.ENOMEM,        // no memory
	syscall.EADDRNOTAVAIL, // no port left towards this address
	syscall.EADDRINUSE,    // the port that the system chose is taken
	syscall.EAGAIN,        // no port left, or no room in the routing cache
	syscall.ENETUNREACH,   // this host has no route
	syscall.ENETDOWN,      // this host's interface is down
	syscall.EPERM,         // this host's firewall
	syscall.EACCES,        // this host's firewall or policy
	syscall.EINTR,         // a signal ended the call
	syscall.EAFNOSUPPORT,
	syscall.EPROTONOSUPPORT,
}

// Local tells whether an error is one of this host, so that no endpoint is to blame. A name that could not be looked up
// is local too, unless the answer was that there is none: no endpoint was asked.
func Local(err error) bool {
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
