package front

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// eventually waits until ok returns true. Its timeout is long enough to be reached only by a program that hangs.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// write sends segments, each after the previous one has arrived in the peer's socket.
func write(t *testing.T, near, far net.Conn, segments ...string) {
	t.Helper()
	for _, s := range segments {
		_, before := lastDataReceived(far)
		if _, err := near.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
		eventually(t, "arrival of the segment", func() bool { _, now := lastDataReceived(far); return now > before })
	}
}

// trackReads registers a connection as if it were accepted now, and returns its state and its counted reader.
func trackReads(clk *clock.Clock, nc net.Conn) (*Conn, io.Reader) {
	conn := (&Server{Max: 1, Clock: clk, Log: zerolog.Nop()}).add(nc)
	return conn, conn.CountReads(nc)
}

// ArrivedAt returns the time at which the bytes arrived at this machine, however late they are read.
func TestArrivedAtIsIndependentOfReadTime(t *testing.T) {
	const wait = 300.0 // ms
	read := func(t *testing.T, r io.Reader, want string) {
		t.Helper()
		got := make([]byte, len(want))
		if n, err := r.Read(got); err != nil || string(got[:n]) != want {
			t.Errorf("read %q, error %v", got[:n], err)
		}
	}
	t.Run("one segment, as reported by the kernel", func(t *testing.T) {
		near, far := pair(t)
		write(t, near, far, "a")
		eventually(t, "a wait of 60 ms", func() bool { age, _ := lastDataReceived(far); return age >= 60 })
		clk := clock.Manual(1e12)
		conn, r := trackReads(clk, far) // accepted after the bytes arrived
		read(t, r, "a")
		if at := conn.ArrivedAt(); at > clk.Now()-60 || at < clk.Now()-20000 {
			t.Errorf("arrived %v ms ago, want 60", clk.Now()-at)
		}
	})
	t.Run("several segments between two reads", func(t *testing.T) {
		near, far := pair(t)
		clk := clock.Manual(1e12)
		conn, r := trackReads(clk, far)
		write(t, near, far, "a", "b", "c")
		clk.Advance(wait)
		for _, want := range []string{"a", "bc"} { // both from the same backlog
			read(t, r, want)
			if at := conn.ArrivedAt(); at > 1e12 {
				t.Errorf("%q arrived %v ms ago, want %v", want, clk.Now()-at, wait)
			}
		}
		write(t, near, far, "d")
		read(t, r, "d")
		if at := conn.ArrivedAt(); at < 1e12+wait/2 {
			t.Errorf("the bytes after the backlog arrived %v ms ago", clk.Now()-at)
		}
	})
	t.Run("a blocked read", func(t *testing.T) {
		near, far := pair(t)
		clk := clock.Manual(1e12)
		conn, r := trackReads(clk, far)
		started, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			close(started)
			read(t, r, "ab")
		}()
		<-started
		clk.Advance(wait)
		if _, err := near.Write([]byte("ab")); err != nil {
			t.Fatal(err)
		}
		<-done
		if at := conn.ArrivedAt(); at < 1e12+wait/2 {
			t.Errorf("arrived %v ms ago, want 0", clk.Now()-at)
		}
	})
	t.Run("a connection without a descriptor", func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		clk := clock.Manual(1e12)
		conn, r := trackReads(clk, far)
		clk.Advance(wait)
		go near.Write([]byte("a"))
		read(t, r, "a")
		if at := conn.ArrivedAt(); at != clk.Now() {
			t.Errorf("arrived %v ms ago, want 0", clk.Now()-at)
		}
	})
}

// Bytes that arrive while their connection waits for a slot count as having arrived at the accept.
func TestArrivedIncludesWaitForSlot(t *testing.T) {
	clk := clock.Manual(1e12)
	s := &Server{Max: 1, Clock: clk, Log: zerolog.Nop()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy, free, arrived := make(chan struct{}), make(chan struct{}), make(chan float64, 1)
	served, ctx, cancel := make(chan struct{}), context.Background(), func() {}
	ctx, cancel = context.WithCancel(ctx)
	go func() {
		defer close(served)
		first := true
		s.Serve(ctx, l, func(nc net.Conn, conn *Conn) {
			if first {
				first = false
				conn.Update(1, true, 0)
				close(busy)
				<-free
				return
			}
			conn.CountReads(nc).Read(make([]byte, 2))
			arrived <- conn.ArrivedAt()
		})
	}()
	defer func() { cancel(); <-served }()
	admitted, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer admitted.Close()
	<-busy
	waiting, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	var far net.Conn
	eventually(t, "a waiting connection", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.waiters) > 0 {
			far = s.waiters[0].conn
		}
		return far != nil
	})
	write(t, waiting, far, "a", "b")
	clk.Advance(300)
	close(free)
	if at := <-arrived; at > 1e12 {
		t.Errorf("arrived %v ms ago, want 300", clk.Now()-at)
	}
}

// gate is a connection whose read blocks, as in a stalled process.
type gate struct {
	net.Conn
	started, resume chan struct{}
}

func (g gate) Read(b []byte) (int, error) {
	close(g.started)
	<-g.resume
	return g.Conn.Read(b)
}

// If several segments arrive while the process is stalled, all of them may have arrived at the start of the stall.
func TestArrivedInStalledProcess(t *testing.T) {
	const interval = 100.0 // ms between heartbeats
	for _, x := range []struct {
		name     string
		segments []string
		stall    float64 // ms without a heartbeat
		beat     bool    // the heartbeat resumes before the reader
		delay    float64 // ms from then until the reader resumes
		early    bool    // the bytes count as having arrived at the last heartbeat before the stall
	}{
		{"the reader resumes first", []string{"a", "b"}, 300, false, 0, true},
		{"the heartbeat resumes first", []string{"a", "b"}, 300, true, 0, true},
		{"the reader resumes late", []string{"a", "b"}, 300, true, maxStallReadDelay, true},
		{"the reader resumes too late to attribute the bytes to the stall", []string{"a", "b"}, 300, true, maxStallReadDelay + 1, false},
		{"one segment", []string{"ab"}, 300, true, 0, false},
		{"no stall", []string{"a", "b"}, interval + minStall, true, 0, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			near, far := pair(t)
			clk := clock.Manual(1e12)
			s := &Server{Max: 1, Clock: clk, Log: zerolog.Nop()}
			conn, g := s.add(far), gate{far, make(chan struct{}), make(chan struct{})}
			r, done := conn.CountReads(g), make(chan struct{})
			go func() {
				defer close(done)
				if n, err := r.Read(make([]byte, 8)); n != 2 || err != nil {
					t.Errorf("%d bytes, error %v", n, err)
				}
			}()
			<-g.started
			clk.Advance(interval)
			s.stalls.heartbeat(clk.Now())
			last := clk.Now()
			write(t, near, far, x.segments...)
			clk.Advance(x.stall)
			if x.beat {
				s.stalls.heartbeat(clk.Now())
			}
			clk.Advance(x.delay)
			close(g.resume)
			<-done
			if at := conn.ArrivedAt(); (at <= last) != x.early {
				t.Errorf("arrived %v ms ago, %v ms after the heartbeat", clk.Now()-at, at-last)
			}
		})
	}
}
