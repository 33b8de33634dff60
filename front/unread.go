package front

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with a connection's descriptor. It returns false if the connection does not provide one, such as a test
// double or a connection that is recorded.
func withDescriptor(c net.Conn, f func(fd int)) (ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// retryOnEINTR repeats a system call while it fails with EINTR.
func retryOnEINTR(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// hasUnread reports whether there are bytes in the socket's receive buffer. It returns false if the connection provides no
// descriptor.
func hasUnread(c net.Conn) (found bool) {
	withDescriptor(c, func(fd int) {
		var b [1]byte
		n, err := retryOnEINTR(func() (int, error) {
			n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
		found = err == nil && n > 0
	})
	return found
}

// PeerClosed reports whether the peer has closed or reset the connection, even if unread bytes precede that. It returns false
// if the connection provides no descriptor.
func PeerClosed(c net.Conn) bool {
	_, closed := PollConn(c)
	return closed
}

// PollConn reports whether a read would not block, and whether the peer has closed or reset the connection, even if unread
// bytes precede that. Both are false if the connection provides no descriptor.
func PollConn(c net.Conn) (readable, closed bool) {
	withDescriptor(c, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if n, err := retryOnEINTR(func() (int, error) { return unix.Poll(p, 0) }); err != nil || n == 0 {
			return
		}
		readable = p[0].Revents&unix.POLLIN != 0
		closed = p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return readable, closed
}
