package front

import (
	"net"
	"syscall"
)

// unread tells whether bytes wait in the machine for this side to read them. A connection that can't tell, such
// as a stand-in or one that is recorded, counts as read.
func unread(c net.Conn) (waits bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err == nil && n > 0
	})
	return waits
}
