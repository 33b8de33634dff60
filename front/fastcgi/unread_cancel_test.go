package fastcgi

import (
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
)

// tcpPair returns both ends of a TCP connection that is not served yet.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	ac, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ac.Close() })
	return nc.(*net.TCPConn), ac.(*net.TCPConn)
}

// waitForArrival waits until the given number of bytes is in the socket's receive buffer or, with closed, until the close by
// the peer has arrived. A frontend that serves the connection may have noticed that before, and closed the socket.
func waitForArrival(t *testing.T, c *net.TCPConn, bytes int, closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		unread := 0
		controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		if closed && errors.Is(controlErr, net.ErrClosed) {
			return
		}
		if err == nil && (unread >= bytes || closed) && front.PeerClosed(c) == closed {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes arrived, error %v", unread, bytes, errors.Join(err, controlErr))
		}
	}
}

// A request that the client cancels before the frontend reads it must not be passed to the core: a close, a reset or
// ABORT_REQUEST may be unread behind the request, and behind other bytes, while the connection waits to be served.
func TestCancelReceivedBehindUnreadRequest(t *testing.T) {
	request := append(beginRecord(1), paramsAndStdin(1, "/v1/tile", "0a")...)
	abort := appendRecord(nil, typeAbort, 1, nil)
	large := append(beginRecord(2), appendRecord(nil, typeParams, 2, make([]byte, 3*(4<<10)))...) // more than the reader's buffer
	join := func(parts ...[]byte) (b []byte) {
		for _, p := range parts {
			b = append(b, p...)
		}
		return b
	}
	for name, c := range map[string]struct {
		sent       []byte
		disconnect func(c *net.TCPConn)
		passedOn   bool // the request is passed to the core
	}{
		"no cancel":                        {request, nil, true},
		"close":                            {request, func(c *net.TCPConn) { c.Close() }, false},
		"close of the write side":          {request, func(c *net.TCPConn) { c.CloseWrite() }, false},
		"close behind a partial request":   {join(request, large), func(c *net.TCPConn) { c.Close() }, false},
		"reset":                            {request, func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		"abort":                            {join(request, abort), nil, false},
		"abort behind a partial request":   {join(request, large, abort), nil, false},
		"no cancel, and a partial request": {join(request, large), nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := tcpPair(t)
			near.Write(c.sent)
			if c.disconnect != nil {
				c.disconnect(near)
			}
			waitForArrival(t, far, len(c.sent), c.disconnect != nil)
			requests, served, flushed := make(chan core.Request, 1), make(chan struct{}), make(chan struct{})
			f := newTestFrontend(func(ev core.Event) {
				switch ev := ev.(type) {
				case core.Request:
					requests <- ev
				case core.GetStats:
					close(flushed)
				}
			})
			go func() { defer close(served); f.Handle(far) }()
			if c.passedOn {
				<-requests
			}
			if c.disconnect == nil && !c.passedOn { // after END_REQUEST, the aborted request is not passed on any more
				head := make([]byte, headerLen)
				if _, err := near.Read(head); err != nil || head[1] != typeEnd {
					t.Errorf("response %v, error %v", head, err)
				}
			}
			near.Close()
			<-served
			f.events.Push(core.GetStats{})
			<-flushed // the queue to the core is empty
			if len(requests) > 0 {
				t.Errorf("passed to the core after the client had canceled it: %+v", <-requests)
			}
		})
	}
}
