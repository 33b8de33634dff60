package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
)

// echo serves connections whose requests are one byte each and are answered with the same byte. A reader that has answered an
// 's' then blocks until resume is closed, like one whose goroutine is not scheduled.
func echo(resume <-chan struct{}) func(net.Conn, *Conn) {
	return func(nc net.Conn, conn *Conn) {
		conn.CloseWhenIdle()
		conn.Update(0, false, 0)
		for b := make([]byte, 1); ; {
			if _, err := nc.Read(b); errors.Is(err, os.ErrDeadlineExceeded) && !conn.ShouldClose() {
				nc.SetReadDeadline(time.Time{})
				continue
			} else if err != nil {
				return
			}
			conn.Update(1, true, 0)
			nc.Write(b)
			if b[0] == 'b' { // busy until the client closes the connection
				nc.Read(b)
				return
			}
			conn.Update(0, true, 0)
			if b[0] == 's' {
				<-resume
			}
		}
	}
}

// echoServer serves echo until the test ends. send opens a connection and sends a request on it.
func echoServer(t *testing.T, maxConns int, resume <-chan struct{}) (s *Server, send func(request byte) (net.Conn, error)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Max: maxConns, Clock: clock.System(), Log: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(ctx, l, echo(resume)) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	return s, func(request byte) (net.Conn, error) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = c.Write([]byte{request})
		return c, err
	}
}

// Blocked readers do not close their connections when asked to. New connections must not be delayed by them: others are
// evicted instead.
func TestBlockedReadersDelayNoNewConnections(t *testing.T) {
	const maxConns, blocked = 64, 24
	resume := make(chan struct{})
	s, send := echoServer(t, maxConns, resume)
	defer close(resume)
	exchange := func(request byte) {
		t.Helper()
		c, err := send(request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(c).ReadByte(); err != nil {
			t.Fatal(err)
		}
	}
	for range blocked { // the oldest, so that they are the first to be evicted
		exchange('s')
	}
	start := time.Now()
	for range 5 * maxConns {
		exchange('a')
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d connections took %v", 5*maxConns, took)
	}
	if n := s.Conns(); n > maxConns {
		t.Errorf("%d connections, limit %d", n, maxConns)
	}
}

// If every slot has an open request, several connections wait at the same time, each with its own timeout, and a freed slot is
// assigned to the first of them without delay.
func TestFreedSlotIsAssignedToFirstWaiter(t *testing.T) {
	const maxConns = 64
	s, send := echoServer(t, maxConns, nil)
	var busy []net.Conn
	for range s.capacity() {
		c, err := send('b')
		if err != nil {
			t.Fatal(err)
		}
		busy = append(busy, c)
	}
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(100 * time.Microsecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for: %s", what)
			}
		}
	}
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiters)
	}
	allBusy := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		open := 0
		for x := range s.conns {
			open += x.openRequests
		}
		return open == s.capacity()
	}
	waitFor("all slots busy", allBusy)
	start := time.Now()
	var queued []net.Conn
	for i := range 4 {
		c, err := send('b')
		if err != nil {
			t.Fatal(err)
		}
		queued = append(queued, c)
		waitFor("a connection waits", func() bool { return waiting() == i+1 })
	}
	busy[0].Close()
	if b, err := bufio.NewReader(queued[0]).ReadByte(); err != nil || b != 'b' {
		t.Errorf("the first waiting connection: %q, %v", b, err)
	}
	if took := time.Since(start); took > admissionTimeout {
		t.Errorf("the freed slot was assigned after %v", took)
	}
	for _, c := range queued[1:] {
		if b, err := bufio.NewReader(c).ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection without a slot: %q, %v", b, err)
		}
	}
	if took := time.Since(start); took > 2*admissionTimeout {
		t.Errorf("the waiting connections were closed after %v, one after the other", took)
	}
}
