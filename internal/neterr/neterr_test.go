package neterr

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// Each documented errno is classified as local or not, however the net package wraps it.
func TestLocal(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EADDRNOTAVAIL: true,
		syscall.EADDRINUSE: true, syscall.EAGAIN: true, syscall.ENETUNREACH: true, syscall.ENETDOWN: true, syscall.EPERM: true,
		syscall.EACCES: true, syscall.EINTR: true, syscall.EAFNOSUPPORT: true, syscall.EPROTONOSUPPORT: true,
		syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, syscall.EPIPE: false, syscall.ETIMEDOUT: false,
		syscall.EHOSTUNREACH: false, syscall.EHOSTDOWN: false, syscall.ECONNABORTED: false,
	} {
		for _, err := range []error{
			errno, os.NewSyscallError("connect", errno), fmt.Errorf("dial: %w", errno),
			&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)},
		} {
			if got := IsLocal(err); got != want {
				t.Errorf("%#v: local %t, want %t", err, got, want)
			}
		}
	}
}

// Errors without an errno are not local, except for a failed name lookup.
func TestLocalOfOtherErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{nil, false}, {io.EOF, false}, {net.ErrClosed, false}, {os.ErrDeadlineExceeded, false},
		{context.DeadlineExceeded, false}, {errors.New("too many open files"), false},
		{&net.OpError{Op: "dial", Err: &net.DNSError{Err: "server misbehaving", IsTemporary: true}}, true},
		{&net.OpError{Op: "dial", Err: &net.DNSError{Err: "no such host", IsNotFound: true}}, false},
	} {
		if got := IsLocal(c.err); got != c.want {
			t.Errorf("%v: local %t, want %t", c.err, got, c.want)
		}
	}
}

// A refused connection on a real socket is not a local error.
func TestConnectionRefusedIsNotLocal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err == nil {
		conn.Close()
		t.Fatal("another process listens on the port")
	}
	if IsLocal(err) {
		t.Errorf("%v counts as local", err)
	}
}
