package front

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/internal/faultnet"
)

// acceptErrors are the errors that accept4(2) documents, other than that of a closed listener.
var acceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EINTR,
	syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
}

// An error of accept must not end Serve: pending connections are accepted after it. Serve is shared by the admin API and both
// frontends.
func TestServeContinuesAfterAcceptErrors(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			failed := faultnet.Error("accept", errno)
			faulty := &faultnet.Listener{Listener: listener, Errors: []error{failed, failed, failed}}
			s := &Server{Max: 4, FirstByteTimeout: 60000, IdleTimeout: 60000, ReadTimeout: 60000, RequestTimeout: 60000,
				Clock: clock.System(), Log: zerolog.Nop()}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() {
				ended <- s.Serve(ctx, faulty, func(c net.Conn, _ *Conn) { io.WriteString(c, "served") })
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if got, err := io.ReadAll(conn); err != nil || string(got) != "served" {
				t.Errorf("the connection received %q, error %v", got, err)
			}
			if n := faulty.FailedAccepts(); n != 3 {
				t.Errorf("accept failed %d times", n)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
