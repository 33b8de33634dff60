package front

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
)

// FuzzAdmission checks the server against a model: the connection limit is never exceeded; a connection with an open request
// is never evicted; a new connection is admitted if another one without an open request can be evicted; and each timeout
// holds.
func FuzzAdmission(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 3, 0, 0})
	f.Add([]byte{0, 1, 0, 1, 0, 1, 0, 1, 0, 2, 0, 0, 7, 3, 11, 19})
	f.Add([]byte("0100010y020"))
	f.Add([]byte{0, 0, 0, 255, 0, 1, 9, 0, 0, 67, 0, 4, 12, 255, 255})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const maxConns, firstByteTimeout, idleTimeout, requestTimeout, readTimeout = 6, 2500.0, 4500.0, 8000.0, 2000.0
		clk := clock.Manual(1e6)
		s := &Server{
			Max: maxConns, FirstByteTimeout: firstByteTimeout, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
			RequestTimeout: requestTimeout, Clock: clk, Log: zerolog.Nop(),
		}
		type model struct {
			*Conn
			accepted, idleSince, deadline, lastRead float64
			open                                    int
			hadRequest                              bool
		}
		var live []*model
		ended := func(m *model) bool { return m.conn.(*testConn).closed }
		for _, step := range steps {
			now := clk.Now()
			pick := int(step / 4)
			var m *model
			if len(live) > 0 {
				m = live[pick%len(live)]
			}
			switch {
			case step%4 == 0:
				evictableConns := 0
				for _, x := range live {
					partial := x.deadline > 0
					if x.open == 0 && (partial && now-x.lastRead >= partialGrace || !partial && (x.hadRequest || now-x.idleSince >= silentGrace)) {
						evictableConns++
					}
				}
				conn := s.tryAdmit(&testConn{})
				if full := len(live) >= maxConns; (conn == nil) != (full && evictableConns == 0) {
					t.Fatalf("admitted %v with %d of %d connections, %d of them evictable", conn, len(live), maxConns, evictableConns)
				}
				if conn != nil {
					live = append(live, &model{Conn: conn, accepted: now, idleSince: now})
				}
			case step%4 == 1 && m != nil: // a request begins or becomes complete
				if m.deadline > 0 {
					m.deadline, m.hadRequest = 0, true
					m.open++
				} else {
					m.deadline = now + requestTimeout
				}
				m.CountReads(strings.NewReader("x")).Read(make([]byte, 1))
				m.lastRead = now
				m.Update(m.open, m.hadRequest, m.deadline)
			case step%4 == 2 && m != nil && m.open > 0: // its response is written
				if m.open--; m.open == 0 {
					m.idleSince = now
				}
				m.Update(m.open, true, m.deadline) // a partial request continues
			case step%4 == 3:
				clk.Advance(float64(pick * 20))
				s.Sweep()
				for _, x := range live {
					now := clk.Now()
					timedOut := x.deadline > 0 && (now > x.deadline || now > x.lastRead+readTimeout) ||
						!x.hadRequest && x.deadline == 0 && now > x.accepted+firstByteTimeout ||
						!x.hadRequest && x.deadline > 0 && now > x.accepted+requestTimeout ||
						x.hadRequest && x.open == 0 && x.deadline == 0 && now > x.idleSince+idleTimeout
					if timedOut != x.conn.(*testConn).closed {
						t.Fatalf("timed out %t, closed %t: %+v at %v", timedOut, !timedOut, *x, now)
					}
				}
			}
			kept := live[:0]
			for _, x := range live {
				if !ended(x) {
					kept = append(kept, x)
				} else if x.open > 0 && step%4 == 0 {
					t.Fatalf("a connection with an open request was evicted: %+v", *x)
				}
			}
			if live = kept; len(live) != len(s.conns) || len(live) > maxConns {
				t.Fatalf("%d connections in the model, %d in the server", len(live), len(s.conns))
			}
		}
	})
}

type testConn struct {
	net.Conn
	closed bool
}

func (c *testConn) Close() error                    { c.closed = true; return nil }
func (c *testConn) SetReadDeadline(time.Time) error { return nil }

// Hundreds of connections that never send a request must not cause the eviction of connections that did.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	clk := clock.Manual(1e6)
	s := &Server{Max: 40, FirstByteTimeout: 2500, IdleTimeout: 4500, Clock: clk, Log: zerolog.Nop()}
	idle := make([]*Conn, 20)
	for i := range idle {
		idle[i] = s.tryAdmit(&testConn{})
		idle[i].Update(1, true, 0)
		idle[i].Update(0, true, 0)
	}
	for range 300 {
		clk.Advance(10)
		if s.tryAdmit(&testConn{}) == nil {
			t.Fatal("not admitted")
		}
	}
	for _, x := range idle {
		if x.conn.(*testConn).closed {
			t.Fatal("a connection that sent a request was evicted before a silent one")
		}
	}
}

// A drain closes no connection before the platform can have noticed the drain, then the idle ones, and a busy one after its
// last response. Later it rejects new requests, and after that partial ones. Once it is ended, it closes no connection.
func TestDrain(t *testing.T) {
	clk := clock.Manual(1e6)
	s := &Server{Max: 40, FirstByteTimeout: 60000, IdleTimeout: 60000, Clock: clk, Log: zerolog.Nop()}
	closed := func(x *Conn) bool { return x.conn.(*testConn).closed }
	conn := func(open int, deadline float64) *Conn {
		x := s.tryAdmit(&testConn{})
		x.Update(open, true, deadline)
		return x
	}
	idle, busy, partial := conn(0, 0), conn(1, 0), conn(0, 1e9)
	shed := 0
	partial.OnShedPartial(func() { shed++; partial.Update(0, true, 0) })
	s.Drain(true)
	step := func(ms float64) {
		clk.Advance(ms)
		s.Drain(true) // has no effect in a drain
		s.Sweep()
	}
	step(drainCloseIdleAfter - 1)
	if closed(idle) || closed(busy) {
		t.Error("closed before the platform can have noticed the drain")
	}
	step(1)
	fresh := s.tryAdmit(&testConn{})
	if !closed(idle) || closed(busy) || closed(fresh) {
		t.Error("the idle connection is not closed, or another one is")
	}
	if _, reject := s.Draining(); reject {
		t.Error("requests are rejected too early")
	}
	if busy.Update(0, true, 0); !closed(busy) {
		t.Error("a busy connection is not closed after its last response")
	}
	step(drainRejectAfter - drainCloseIdleAfter)
	if _, reject := s.Draining(); !reject || !closed(fresh) {
		t.Error("requests are not rejected, or a new silent connection is not closed")
	}
	if step(drainRejectPartialAfter - drainRejectAfter); shed != 1 || !closed(partial) {
		t.Errorf("the partial request was rejected %d times, or its connection was not closed", shed)
	}
	last := s.tryAdmit(&testConn{})
	s.Drain(false)
	clk.Advance(5000)
	s.Sweep()
	if draining, reject := s.Draining(); draining || reject || closed(last) {
		t.Error("the drain does not end")
	}
}

// A connection whose partial request is in progress, however slowly, stays open until RequestTimeout. One whose partial
// request has stalled is evicted for a new connection, or closed at ReadTimeout. If it has other open requests, only the
// partial one is rejected.
func TestPartialRequests(t *testing.T) {
	clk := clock.Manual(1e6)
	s := &Server{Max: 2, FirstByteTimeout: 2500, IdleTimeout: 4500, ReadTimeout: 2000, RequestTimeout: 8000, Clock: clk, Log: zerolog.Nop()}
	slow, stalled := s.tryAdmit(&testConn{}), s.tryAdmit(&testConn{})
	shed := 0
	slow.OnShedPartial(func() { shed++ })
	readByte := func(x *Conn) { x.CountReads(strings.NewReader("x")).Read(make([]byte, 1)) }
	for _, x := range []*Conn{slow, stalled} {
		readByte(x)
		x.Update(0, false, clk.Now()+8000)
	}
	closed := func(x *Conn) bool { return x.conn.(*testConn).closed }
	for range 39 { // over 3 s, a byte at a time
		clk.Advance(100)
		readByte(slow)
		s.Sweep()
		if clk.Now() == 1e6+partialGrace {
			if s.tryAdmit(&testConn{}) == nil || !closed(stalled) {
				t.Fatal("a connection with a stalled partial request was not evicted")
			}
		}
	}
	if closed(slow) {
		t.Error("the connection with a slow partial request was closed")
	}
	slow.Update(1, true, clk.Now()+4000) // it is complete; another partial request follows and stalls
	clk.Advance(2001)
	if s.Sweep(); closed(slow) || shed != 1 {
		t.Errorf("closed %t, partial request rejected %d times", closed(slow), shed)
	}
	slow.Update(0, true, clk.Now()+4000)
	if s.Sweep(); !closed(slow) {
		t.Error("a connection with only a stalled partial request was not closed")
	}
}

// A connection that has been idle for too long, but whose reader holds a few bytes, is closed once these have stalled for
// ReadTimeout, and not before. Only the reader knows of such bytes.
func TestIdleConnectionWithStalledBytesTimesOut(t *testing.T) {
	clk := clock.Manual(1e6)
	s := &Server{Max: 1, IdleTimeout: 4500, ReadTimeout: 2000, Clock: clk, Log: zerolog.Nop()}
	near, far := connected(t)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer near.Close()
	received, checked, ended := make(chan struct{}), make(chan bool), make(chan struct{})
	serving.Go(func() {
		defer close(ended)
		s.Handle(far, func(nc net.Conn, conn *Conn) {
			conn.CloseWhenIdle()
			conn.Update(1, true, 0)
			conn.Update(0, true, 0)
			in, b := conn.CountReads(nc), make([]byte, 1)
			if _, err := in.Read(b); err != nil {
				t.Error(err)
			}
			close(received)
			for {
				if _, err := in.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error(err)
				}
				shouldClose := conn.ShouldClosePartial()
				nc.SetReadDeadline(time.Time{})
				if checked <- shouldClose; shouldClose {
					return
				}
			}
		})
	})
	near.SetDeadline(time.Now().Add(20 * time.Second))
	for s.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	clk.Advance(5000)
	near.Write([]byte("x"))
	<-received
	for _, x := range []struct {
		ms     float64
		closed bool
	}{{0, false}, {1900, false}, {200, true}} {
		clk.Advance(x.ms)
		s.Sweep()
		if shouldClose := <-checked; shouldClose != x.closed {
			t.Fatalf("%v ms later: closed %t", x.ms, shouldClose)
		}
	}
	<-ended
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read returned %v, want EOF", err)
	}
}

// connected returns both ends of a TCP connection.
func connected(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// A connection that was handed over by another process is admitted even beyond the limit, and is not closed before its
// frontend has reported its open requests: requests that were read from it may be unanswered.
func TestAdoptedConnectionIsNotClosed(t *testing.T) {
	clk := clock.Manual(1e6)
	s := &Server{Max: 1, FirstByteTimeout: 2500, IdleTimeout: 4500, ReadTimeout: 2000, RequestTimeout: 8000, Clock: clk, Log: zerolog.Nop()}
	if conn := s.tryAdmit(&testConn{}); conn == nil {
		t.Fatal("not admitted")
	} else {
		conn.Update(1, true, 0)
	}
	near, far := connected(t)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer near.Close()
	started, resume := make(chan struct{}), make(chan struct{})
	serving.Go(func() {
		s.Adopt(far, func(nc net.Conn, conn *Conn) {
			close(started)
			<-resume
			conn.CloseWhenIdle()
			conn.Update(1, true, 0)
			nc.Write([]byte("a"))
		})
	})
	<-started
	clk.Advance(10000)
	s.Sweep()
	s.Retire(false)
	s.Stop()
	if s.tryAdmit(&testConn{}) != nil {
		t.Error("its slot was assigned to another connection")
	}
	close(resume)
	near.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Errorf("read returned %v instead of the response", err)
	}
}

// A request that the reader has read, but not yet reported, at the time at which its connection is to be closed by the idle
// timeout or an eviction must be answered. The connection is closed after that.
func TestRequestReadBeforeIdleClose(t *testing.T) {
	for reason, closeIdle := range map[string]func(s *Server){
		"idle timeout": (*Server).Sweep,
		"eviction": func(s *Server) {
			if conn := s.tryAdmit(&testConn{}); conn != nil {
				t.Error("a connection with an open request was evicted")
			}
		},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		clk := clock.Manual(1e6)
		s := &Server{Max: 1, IdleTimeout: 4500, Clock: clk, Log: zerolog.Nop()}
		read, resume := make(chan struct{}), make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			s.Serve(ctx, l, func(nc net.Conn, conn *Conn) {
				conn.CloseWhenIdle()
				conn.Update(0, true, 0)
				for b := make([]byte, 1); ; {
					if _, err := nc.Read(b); errors.Is(err, os.ErrDeadlineExceeded) && !conn.ShouldClose() {
						nc.SetReadDeadline(time.Time{})
						continue
					} else if err != nil {
						return
					}
					read <- struct{}{}
					<-resume
					conn.Update(1, true, 0)
					nc.Write([]byte("a"))
					conn.Update(0, true, 0)
					<-resume
				}
			})
		})
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write([]byte("r"))
		<-read
		clk.Advance(5000)
		closeIdle(s)
		resume <- struct{}{}
		var b [1]byte
		if _, err := c.Read(b[:]); err != nil || b[0] != 'a' {
			t.Errorf("%s: read returned %q, %v instead of the response", reason, b, err)
		}
		resume <- struct{}{}
		clk.Advance(5000)
		closeIdle(s) // if the reader has not handled the first interruption yet, the next sweep closes the connection
		if _, err := c.Read(b[:]); err != io.EOF {
			t.Errorf("%s: read returned %v, want EOF", reason, err)
		}
		c.Close()
		cancel()
		wg.Wait()
	}
}
