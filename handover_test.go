package turnfork

import (
	"context"
	"net"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"turnfork.dev/turnfork/internal/faultnet"
)

// failingHandoverListener fails with each of errs in turn before it accepts a connection.
type failingHandoverListener struct {
	*net.UnixListener
	errs   []syscall.Errno
	failed atomic.Int64
}

func (l *failingHandoverListener) AcceptUnix() (*net.UnixConn, error) {
	if n := int(l.failed.Load()); n < len(l.errs) {
		l.failed.Add(1)
		return nil, faultnet.Error("accept", l.errs[n])
	}
	return l.UnixListener.AcceptUnix()
}

// After any accept error the process keeps accepting handover connections.
func TestAcceptErrorsDoNotStopHandover(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingHandoverListener{UnixListener: listener, errs: []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EINTR,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	adopted, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		acceptHandovers(ctx, failing, func(c *net.UnixConn) {
			c.Close()
			close(adopted)
		})
	}()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-adopted
	if n := failing.failed.Load(); n != int64(len(failing.errs)) {
		t.Errorf("accept failed %d times", n)
	}
	cancel()
	<-ended
}
