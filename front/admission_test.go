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

// echo serves connections that ask with a byte and are answered with it. Where stopped is not nil, a reader that has
// answered an s stays there, as one does that gets no processor.
func echo(stopped <-chan struct{}) func(net.Conn, *Conn) {
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
			if b[0] == 'b' { // busy until its client leaves
				nc.Read(b)
				return
			}
			conn.Update(0, true, 0)
			if b[0] == 's' {
				<-stopped
			}
		}
	}
}

// echoServer serves echo until the test ends.
func echoServer(t *testing.T, places int, stopped <-chan struct{}) (s *Server, ask func(question byte) (net.Conn, error)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Max: places, Clock: clock.System(), Log: zerolog.Nop()}
	ctx, end := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(ctx, l, echo(stopped)) })
	t.Cleanup(func() {
		end()
		serving.Wait()
	})
	return s, func(question byte) (net.Conn, error) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = c.Write([]byte{question})
		return c, err
	}
}

// Readers that are stopped keep their places, and hold nobody else up: others are closed in their stead.
func TestStoppedReadersHoldNobodyUp(t *testing.T) {
	const places, stopped = 64, 24
	goOn := make(chan struct{})
	s, ask := echoServer(t, places, goOn)
	defer close(goOn)
	answered := func(question byte) {
		t.Helper()
		c, err := ask(question)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(c).ReadByte(); err != nil {
			t.Fatal(err)
		}
	}
	for range stopped { // the oldest, so that they are the first to be asked
		answered('s')
	}
	start := time.Now()
	for range 5 * places {
		answered('a')
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d connections took %v", 5*places, took)
	}
	if n := s.Conns(); n > places {
		t.Errorf("%d connections, %d places", n, places)
	}
}

// Where every place has a request open, several connections wait at once, each for its own time; and a place that becomes
// free goes to the first of them without delay.
func TestWaitingEndsByASignal(t *testing.T) {
	const places = 64
	s, ask := echoServer(t, places, nil)
	var busy []net.Conn
	for range s.capacity() {
		c, err := ask('b')
		if err != nil {
			t.Fatal(err)
		}
		busy = append(busy, c)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(100 * time.Microsecond) {
			if time.Now().After(limit) {
				t.Fatalf("never: %s", what)
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
	until("all places busy", allBusy)
	start := time.Now()
	var late []net.Conn
	for i := range 4 {
		c, err := ask('b')
		if err != nil {
			t.Fatal(err)
		}
		late = append(late, c)
		until("a connection waits", func() bool { return waiting() == i+1 })
	}
	busy[0].Close()
	if b, err := bufio.NewReader(late[0]).ReadByte(); err != nil || b != 'b' {
		t.Errorf("the first that waits: %q, %v", b, err)
	}
	if took := time.Since(start); took > admissionTimeout {
		t.Errorf("a free place was given after %v", took)
	}
	for _, c := range late[1:] {
		if b, err := bufio.NewReader(c).ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("one that found no place: %q, %v", b, err)
		}
	}
	if took := time.Since(start); took > 2*admissionTimeout {
		t.Errorf("those that waited at once ended after %v, one after the other", took)
	}
}
