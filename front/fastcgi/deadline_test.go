package fastcgi

import (
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
)

// eventually waits until ok returns true. Its timeout is long enough to be reached only by a program that hangs.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// timeSinceData returns the time in ms since data last arrived on a connection, as reported by the kernel.
func timeSinceData(t *testing.T, c *net.TCPConn) (age uint32) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = info.Last_data_recv
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return age
}

// forwardingFront returns a frontend that sends the requests for the core to a channel.
func forwardingFront(clk *clock.Clock, requests chan<- core.Request) *Frontend {
	return New(Options{Clock: clk, Log: zerolog.Nop(), Post: func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			requests <- a
		}
	}})
}

// X-Ttl-Ms counts from the arrival of the request's last byte at this machine, wherever the request has waited since.
func TestDeadlineCountsFromLastByte(t *testing.T) {
	const (
		wait  = 300.0 // ms by the frontends' clock
		slack = 190.0 // ms; as reported by the kernel, the bytes arrived a little before they were read
	)
	request := append(beginRecord(1), paramsAndStdin(1, "/v1/tile", "0a")...)
	head, end := request[:len(request)-headerLen], request[len(request)-headerLen:] // the end of its body
	expectReceivedAt := func(t *testing.T, requests <-chan core.Request, earliest, latest float64) {
		t.Helper()
		if a := <-requests; a.ReceivedAt > latest || a.ReceivedAt < earliest || a.Remaining != 1500 {
			t.Errorf("received at %v, want %v to %v; %v ms remaining from then", a.ReceivedAt, earliest, latest, a.Remaining)
		}
	}
	t.Run("unread in the socket", func(t *testing.T) {
		near, far := tcpPair(t)
		near.Write(request)
		eventually(t, "a wait of 60 ms", func() bool { return timeSinceData(t, far) >= 60 })
		requests, clk := make(chan core.Request, 1), clock.Manual(1e12)
		go forwardingFront(clk, requests).Handle(far)
		expectReceivedAt(t, requests, 1e12-20000, 1e12-60)
	})
	t.Run("the end of the body arrives late", func(t *testing.T) {
		near, far := tcpPair(t)
		requests, clk := make(chan core.Request, 1), clock.Manual(1e12)
		f := forwardingFront(clk, requests)
		go f.Handle(far)
		near.Write(head)
		eventually(t, "the beginning of the request", func() bool { return f.OpenRequests() == 1 })
		clk.Advance(wait)
		near.Write(end)
		expectReceivedAt(t, requests, 1e12+wait-slack, 1e12+wait)
	})
	t.Run("handed over twice before it is complete", func(t *testing.T) {
		near, far := tcpPair(t)
		path := filepath.Join(t.TempDir(), "h")
		u, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		defer u.Close()
		successor := func() (*net.UnixConn, error) {
			return net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
		}
		requests, clk := make(chan core.Request, 1), clock.Manual(1e12)
		frontends := []*Frontend{forwardingFront(clk, requests), forwardingFront(clk, requests), forwardingFront(clk, requests)}
		var served sync.WaitGroup
		served.Go(func() { frontends[0].Handle(far) })
		near.Write(head)
		for i, f := range frontends[:2] {
			eventually(t, "the beginning of the request", func() bool { return f.OpenRequests() == 1 })
			clk.Advance(wait)
			f.HandOver(successor)
			from, err := u.AcceptUnix()
			if err != nil {
				t.Fatal(err)
			}
			served.Go(func() { frontends[i+1].Adopt(from) })
		}
		eventually(t, "the beginning of the request", func() bool { return frontends[2].OpenRequests() == 1 })
		near.Write(end)
		expectReceivedAt(t, requests, 1e12+2*wait-slack, 1e12+2*wait)
		near.Close()
		served.Wait()
	})
}
