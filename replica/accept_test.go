package replica

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/internal/faultnet"
)

// Only the error of a closed listener ends the accept loop. Other errors of Accept, such as a lack of file descriptors, are
// temporary.
func TestAcceptLoopSurvivesErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	faulty := &faultnet.Listener{Listener: listener}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EINTR,
	} {
		faulty.Errors = append(faulty.Errors, faultnet.Error("accept", errno))
	}
	c := newThreeVoters(t)
	l := newTransport(Options{Members: c.members, Listener: faulty, TLS: c.certs(), Log: zerolog.Nop()}, nil, nil)
	l.start()
	defer l.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "no TLS\n") // rejected, so that the connection is closed
	io.Copy(io.Discard, conn)
	if n := faulty.FailedAccepts(); n != len(faulty.Errors) {
		t.Errorf("accept failed %d times, want %d", n, len(faulty.Errors))
	}
}
