package fastcgi

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/core"
)

// unixPair returns both ends of a Unix connection.
func unixPair(t *testing.T) (near, far *net.UnixConn) {
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "h"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.DialUnix("unix", nil, l.Addr().(*net.UnixAddr)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = l.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// If the new process ends before it has received the complete state of a connection, before the first byte or in the middle, the
// connection stays at the old process, and the requests that were read from it are answered there.
func TestFailedHandoverLosesNoRequest(t *testing.T) {
	large := append(beginRecord(2), appendRecord(nil, typeParams, 2, nil)...) // a partial body, too large for a socket buffer
	large = append(large, appendRecord(nil, typeStdin, 2, make([]byte, 60000))...)
	for name, end := range map[string]func(t *testing.T, far *net.UnixConn){
		"before the first byte": nil,
		"in the middle": func(t *testing.T, far *net.UnixConn) {
			oob := make([]byte, syscall.CmsgSpace(4))
			_, n, _, _, err := far.ReadMsgUnix(make([]byte, 1), oob)
			if err != nil {
				t.Error(err)
				return
			}
			messages, err := syscall.ParseSocketControlMessage(oob[:n])
			if err != nil || len(messages) != 1 {
				t.Errorf("%d messages, error %v", len(messages), err)
				return
			}
			fds, err := syscall.ParseUnixRights(&messages[0])
			if err != nil {
				t.Error(err)
			}
			for _, fd := range fds {
				os.NewFile(uintptr(fd), "passed").Close()
			}
			far.Close()
		},
		"with the state unread": func(t *testing.T, far *net.UnixConn) {
			for deadline := time.Now().Add(20 * time.Second); unreadBytes(t, far) < len(large); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Error("timed out waiting for the state")
					return
				}
			}
			far.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan core.Request, 1)
			f := newTestFrontend(func(ev core.Event) {
				if a, ok := ev.(core.Request); ok {
					requests <- a
				}
			})
			near, far := tcpPair(t)
			var serving sync.WaitGroup
			serving.Go(func() { f.Handle(far) })
			defer serving.Wait()
			defer near.Close()
			cl := newClient(near)
			near.Write(append(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...), large...))
			first := <-requests
			for deadline := time.Now().Add(20 * time.Second); f.OpenRequests() < 2; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("timed out waiting for the second request to be read")
				}
			}
			to, from := unixPair(t)
			if name == "in the middle" {
				to.SetWriteBuffer(1)
			}
			called, ended := make(chan struct{}), make(chan struct{})
			if end == nil {
				from.Close()
				close(ended)
			} else {
				serving.Go(func() { defer close(ended); end(t, from) })
			}
			f.HandOver(func() (*net.UnixConn, error) {
				select {
				case <-called:
					return nil, net.ErrClosed // the new process has ended
				default:
					close(called)
					return to, nil
				}
			})
			<-called
			<-ended
			near.Write(append(beginRecord(3), paramsAndStdin(3, "/v1/firmware", "3")...)) // read after the handover has failed
			select {
			case last := <-requests:
				last.Frontend.Answer(last.RequestTag, core.Answer{Verdict: core.Served, Body: []byte("c")})
			case <-cl.done:
				t.Fatal("the connection was closed")
			}
			cl.wait(t, 3)
			first.Frontend.Answer(first.RequestTag, core.Answer{Verdict: core.Served, Body: []byte("a")})
			if e := cl.wait(t, 1); !strings.HasPrefix(e.stdout.String(), "Status: 200 OK") {
				t.Errorf("%q", e.stdout.String())
			}
			f.server.Stop()
			cl.wait(t, 2) // rejected, as it is partial
			<-cl.done
		})
	}
}

// checkCancelDelay measures several times how long it takes until a request is canceled after its client has disconnected. The
// median must be at most 0.1 s; single values may be higher on a busy machine.
func checkCancelDelay(t *testing.T, measure func() time.Duration) {
	const times = 5
	var took []time.Duration
	for range times {
		took = append(took, measure())
	}
	slices.Sort(took)
	if median := took[times/2]; median > 100*time.Millisecond {
		t.Errorf("canceled %v (median) after the client disconnected", median)
	}
}

// timeUntilCanceled waits until a request is marked as canceled, and returns how long that took.
func timeUntilCanceled(t *testing.T, request core.Request) time.Duration {
	start := time.Now()
	for !request.Canceled.Load() {
		if time.Since(start) > 5*time.Second {
			t.Fatal("timed out waiting for the request to be canceled")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// unreadBytes returns the number of bytes in the socket's receive buffer.
func unreadBytes(t *testing.T, c *net.UnixConn) (bytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if err != nil {
		t.Error(err)
	}
	return bytes
}

// If the client disconnects during the handover, before the new process has received the connection, its requests are canceled
// at once.
func TestClientDisconnectsBeforeConnectionIsReceived(t *testing.T) {
	ways := map[string]func(c *net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for way, disconnect := range ways {
		t.Run(way, func(t *testing.T) {
			checkCancelDelay(t, func() time.Duration {
				requests := make(chan core.Request, 1)
				f := newTestFrontend(func(ev core.Event) {
					if a, ok := ev.(core.Request); ok {
						requests <- a
					}
				})
				near, far := tcpPair(t)
				var serving sync.WaitGroup
				serving.Go(func() { f.Handle(far) })
				defer serving.Wait()
				near.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
				request := <-requests
				to, from := unixPair(t)
				defer from.Close()
				f.HandOver(func() (*net.UnixConn, error) { return to, nil })
				for deadline := time.Now().Add(20 * time.Second); unreadBytes(t, from) == 0; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("timed out waiting for the handover")
					}
				}
				disconnect(near)
				return timeUntilCanceled(t, request)
			})
		})
	}
}

// A connection that is handed over while the old process still answers its requests is served even at the connection limit.
func TestAdoptAtConnectionLimit(t *testing.T) {
	requests := make(chan core.Request, 1)
	f := newTestFrontend(func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			requests <- a
		}
	})
	f.server.SetMaxConns(1)
	var serving sync.WaitGroup
	defer serving.Wait()
	busy, farBusy := tcpPair(t)
	defer busy.Close()
	serving.Go(func() { f.Handle(farBusy) })
	busy.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
	<-requests
	near, far := tcpPair(t)
	defer near.Close()
	cl := newClient(near)
	oldProcess, from := unixPair(t)
	defer oldProcess.Close()
	serving.Go(func() { f.Adopt(from) })
	if err := sendState(oldProcess, far, []byte{0, 7}, nil); err != nil {
		t.Fatal(err)
	}
	far.Close()
	select {
	case <-cl.done:
		t.Fatal("closed with an open request")
	case <-time.After(2 * time.Second): // longer than a new connection waits for a slot
	}
	oldProcess.Write(appendStdout(nil, 7, []byte("Status: 200 OK\r\n\r\n"), nil))
	if e := cl.wait(t, 7); !strings.HasPrefix(e.stdout.String(), "Status: 200") {
		t.Errorf("%q", e.stdout.String())
	}
}

// If the client disconnects or aborts a request after the handover, the old process, which still has the request, is notified.
func TestCancelAfterHandover(t *testing.T) {
	ways := map[string]func(c *net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"abort": func(c *net.TCPConn) { c.Write(appendRecord(nil, typeAbort, 1, nil)) },
	}
	for way, cancel := range ways {
		t.Run(way, func(t *testing.T) {
			checkCancelDelay(t, func() time.Duration {
				requests := make(chan core.Request, 2)
				post := func(ev core.Event) {
					if a, ok := ev.(core.Request); ok {
						requests <- a
					}
				}
				oldFrontend, newFrontend := newTestFrontend(post), newTestFrontend(post)
				near, far := tcpPair(t)
				var serving sync.WaitGroup
				serving.Go(func() { oldFrontend.Handle(far) })
				defer serving.Wait()
				defer near.Close()
				near.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
				first := <-requests
				to, from := unixPair(t)
				serving.Go(func() { newFrontend.Adopt(from) })
				oldFrontend.HandOver(func() (*net.UnixConn, error) { return to, nil })
				near.Write(append(beginRecord(2), paramsAndStdin(2, "/v1/firmware", "2")...))
				second := <-requests // read by the new process, the only one that now reads the connection
				cancel(near)
				took := timeUntilCanceled(t, first)
				if way == "abort" && second.Canceled.Load() {
					t.Error("another request was canceled, too")
				}
				return took
			})
		})
	}
}
