package resp

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// Changes that become known while an attempt waits to be written must apply to it: the last check is made directly before the
// write. The attempt waits for a dial, or behind a request that fills the send buffer to an endpoint that reads slowly.
func TestLastCheckBeforeWrite(t *testing.T) {
	const target, source, other = 1, 2, 3
	type event struct {
		name   string
		notify func(b *testPool, addr string, s core.AttemptRequest)
		sent   bool // it does not keep the attempt from being sent
	}
	events := []event{
		{"nothing", func(*testPool, string, core.AttemptRequest) {}, true},
		{"another endpoint drains", func(b *testPool, addr string, _ core.AttemptRequest) { b.updateEndpoint(other, addr, control.Draining) }, true},
		{"the target drains", func(b *testPool, addr string, _ core.AttemptRequest) {
			b.updateEndpoint(target, addr, control.Draining)
		}, false},
		{"the target is gone", func(b *testPool, addr string, _ core.AttemptRequest) { b.updateEndpoint(target, addr, control.Gone) }, false},
		{"the source drains", func(b *testPool, addr string, _ core.AttemptRequest) {
			b.updateEndpoint(source, addr, control.Draining)
		}, false},
		{"the source is gone", func(b *testPool, addr string, _ core.AttemptRequest) { b.updateEndpoint(source, addr, control.Gone) }, false},
		{"a snapshot lacks the source", func(b *testPool, addr string, _ core.AttemptRequest) {
			b.pool.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: []core.Endpoint{{Addr: addr, Info: control.Endpoint{ID: target, State: control.Ready}}}})
		}, false},
		{"the target is excluded", func(b *testPool, _ string, _ core.AttemptRequest) { b.pool.Exclude(target, true) }, false},
		{"the source is excluded", func(b *testPool, _ string, _ core.AttemptRequest) { b.pool.Exclude(source, true) }, false},
		{"the client cancels", func(_ *testPool, _ string, s core.AttemptRequest) { s.Canceled.Store(true) }, false},
		{"the send deadline passes", func(b *testPool, _ string, _ core.AttemptRequest) { b.clock.Advance(1000) }, false},
		{"it is canceled if unsent", func(b *testPool, _ string, s core.AttemptRequest) { b.pool.CancelUnsent(s.AttemptKey) }, false},
		{"the object is purged", func(b *testPool, _ string, s core.AttemptRequest) { b.pool.LimitCopyAge(s.AttemptKey, 77) }, true},
	}
	for _, delay := range []string{"dial", "full socket"} {
		for _, ev := range events {
			t.Run(delay+"/"+ev.name, func(t *testing.T) {
				begun, resume := make(chan struct{}), make(chan struct{})
				s, err := fakestore.ListenWithHook("127.0.0.1:0", func(r *bufio.Reader) {
					r.Peek(1)
					close(begun)
					<-resume
				}, func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				dial := make(chan struct{})
				b := newTestPool(t)
				b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					<-dial
					c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					if err == nil {
						c.(*net.TCPConn).SetWriteBuffer(8 << 10)
					}
					return c, err
				}
				b.setEndpoints(s.Addr(), s.Addr(), s.Addr())
				first, second := newRequest(1, 0, target), newRequest(2, 0, target)
				first.Body = make([]byte, 1<<20) // more than the sockets take
				second.Fill, second.Source, second.MaxAge, second.SendDeadline = true, source, 0, b.clock.Now()+500
				second.Canceled = new(atomic.Bool)
				b.pool.Send(first)
				b.pool.Send(second)
				if delay == "full socket" { // the first request fills it, and the second is assigned to the same connection
					close(dial)
					<-begun
				}
				ev.notify(b, s.Addr(), second)
				if delay == "dial" {
					close(dial)
				}
				close(resume)
				e := b.awaitResult(second.AttemptKey)
				if want := map[bool]control.Outcome{true: control.OK, false: control.NotSent}[ev.sent]; e.Outcome != want || e.Unconfirmed {
					t.Errorf("ended as %+v, want %v and Unconfirmed false", e, want)
				}
				for _, c := range s.Commands("GET") {
					switch {
					case c.ID != second.Txn:
					case !ev.sent:
						t.Error("it reached the endpoint")
					case ev.name == "the object is purged" && c.Fields["fresh"] != "77":
						t.Errorf("maximum age of the copy is %q ms, want 77", c.Fields["fresh"])
					}
				}
			})
		}
	}
}

// An attempt that the endpoint may have received goes on.
func TestCancelUnsentKeepsSentAttempt(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		close(arrived)
		<-respond
		return "ACK", "tag=0a,minted=1", nil, true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := newTestPool(t, s.Addr())
	request := newRequest(1, 0, 1)
	b.pool.Send(request)
	<-arrived
	b.pool.CancelUnsent(request.AttemptKey)
	close(respond)
	if e := b.awaitResult(request.AttemptKey); e.Outcome != control.OK {
		t.Errorf("%+v", e)
	}
}

// A request that is partly written when the send buffer is full never reaches its endpoint completely if its client cancels
// it then.
func TestClientCancelsDuringWrite(t *testing.T) {
	for _, completes := range []bool{true, false} {
		begun, resume := make(chan struct{}), make(chan struct{})
		s, err := fakestore.ListenWithHook("127.0.0.1:0", func(r *bufio.Reader) {
			r.Peek(1)
			close(begun)
			<-resume
		}, func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		b := newTestPool(t)
		b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err == nil {
				c.(*net.TCPConn).SetWriteBuffer(8 << 10)
			}
			return c, err
		}
		b.setEndpoints(s.Addr())
		request := newRequest(1, 0, 1)
		request.Body, request.Canceled = make([]byte, 1<<20), new(atomic.Bool) // more than the sockets take
		b.pool.Send(request)
		<-begun
		request.Canceled.Store(!completes)
		close(resume)
		if e := b.awaitResult(request.AttemptKey); completes != (e.Outcome == control.OK) || e.Unconfirmed {
			t.Errorf("completes %t: ended as %+v", completes, e)
		}
		if got := len(s.Commands("GET")) == 1; got != completes {
			t.Errorf("completes %t: arrived completely: %t", completes, got)
		}
	}
}

// An ID is not reused on a connection as long as a response to an earlier attempt may still arrive: at least for the longest
// request duration of the settings.
func TestIDsAreNotReusedWithinLongestRequest(t *testing.T) {
	for _, c := range []struct {
		maxDuration, after float64
		used               bool
	}{{500, 9999, true}, {500, 10001, false}, {60000, 10001, true}, {60000, 59999, true}, {60000, 60001, false}} {
		b := newTestPool(t)
		b.pool.opt.MaxRequestDuration = c.maxDuration
		near, far := net.Pipe()
		defer far.Close()
		conn := newConn(b.pool, &peer{}, near)
		conn.retireID("a")
		conn.forgetExpiredIDs(b.clock.Now() + c.after)
		if conn.idInUse("a") != c.used {
			t.Errorf("longest %v, after %v: in use %t", c.maxDuration, c.after, !c.used)
		}
	}
}

// Guards against ever new IDs that fill the memory: each connection kept thousands of them for 10 s. Beyond a number on all
// connections, a connection takes no new attempts and forgets its IDs.
func TestRetiredIDsAreBounded(t *testing.T) {
	b := newTestPool(t)
	var conns []*conn
	for range 40 {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		conns = append(conns, newConn(b.pool, &peer{}, near))
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	for i := range 2 * maxPoolIDs {
		conns[i%len(conns)].retireID(strconv.Itoa(i))
	}
	held, draining := 0, 0
	for _, c := range conns {
		held += len(c.retiredIDs)
		if c.draining {
			draining++
		}
	}
	if held > maxPoolIDs || held != b.pool.retiredIDs || draining == 0 || draining == len(conns) {
		t.Errorf("%d IDs are held and %d counted, %d of %d connections drain", held, b.pool.retiredIDs, draining, len(conns))
	}
	b.clock.Advance(retiredIDTTL + 1)
	for _, c := range conns {
		c.forgetExpiredIDs(b.clock.Now())
	}
	if b.pool.retiredIDs != 0 {
		t.Errorf("%d IDs are counted after their expiry", b.pool.retiredIDs)
	}
}

// A connection that its endpoint may be closing takes no new attempts, even before the next sweep.
func TestIdleConnectionTakesNoAttempts(t *testing.T) {
	conns := make(chan struct{}, 8)
	s, err := fakestore.ListenWithHook("127.0.0.1:0", func(*bufio.Reader) { conns <- struct{}{} },
		func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := newTestPool(t)
	b.pool.opt.IdleClose, b.pool.opt.MaxConns = 1000, 10 // two connections to an endpoint
	b.setEndpoints(s.Addr())
	for i, wait := range []float64{0, 799, 801} { // ms since the previous response
		b.clock.Advance(wait)
		b.pool.Send(newRequest(i+1, 0, 1))
		if e := b.awaitResult(core.AttemptKey{ID: control.RequestID(i + 1)}); e.Outcome != control.OK {
			t.Fatalf("%+v", e)
		}
	}
	if n := len(conns); n != 2 {
		t.Errorf("%d connections for a first request, one within the idle time and one after it, want 2", n)
	}
}

// newBlockingEndpoint starts an endpoint that responds to request 1 once hold is closed, and to all others immediately.
func newBlockingEndpoint(t *testing.T) (s *fakestore.Endpoint, hold chan struct{}) {
	hold = make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		if c.ID == newRequest(1, 0, 1).Txn {
			<-hold
		}
		return "ACK", "tag=0a,minted=1", nil, true
	})
	if err != nil {
		t.Fatal(err)
	}
	return s, hold
}

// Commands that the settings disable are not written: no PING without health checks, and no DROP without cancellation.
func TestDisabledCommandsAreNotWritten(t *testing.T) {
	for _, x := range []struct {
		disableHealthChecks, disableCancel bool
		pings, drops                       int
	}{{false, false, 1, 1}, {true, false, 0, 1}, {false, true, 0, 0}, {true, true, 0, 0}} {
		s, hold := newBlockingEndpoint(t)
		b := newTestPool(t, s.Addr())
		b.pool.opt.DisableHealthChecks, b.pool.opt.DisableCancel, b.pool.opt.MaxConns = x.disableHealthChecks, x.disableCancel, 1
		k := newRequest(1, 0, 1).AttemptKey
		b.pool.Send(newRequest(1, 0, 1))
		b.waitUntil("the attempt arrives", func() bool { return len(s.Commands("GET")) == 1 })
		b.pool.Cancel(k, control.TimedOut)
		if e := b.awaitResult(k); e.Outcome != control.TimedOut || !e.Unconfirmed {
			t.Errorf("%+v: %+v", x, e)
		}
		b.pool.Send(newRequest(1, 1, 1)) // the same ID: a response may be that of the first attempt
		if e := b.awaitResult(newRequest(1, 1, 1).AttemptKey); e.Outcome != control.NotSent {
			t.Errorf("%+v: the next attempt ended as %v on the connection of the first", x, e.Outcome)
		}
		close(hold)
		b.pool.Send(newRequest(2, 0, 1)) // the endpoint reads it after all that was written before
		if e := b.awaitResult(newRequest(2, 0, 1).AttemptKey); e.Outcome != control.OK {
			t.Errorf("%+v: %+v", x, e)
		}
		if p, d := len(s.Commands("PING")), len(s.Commands("DROP")); p != x.pings || d != x.drops {
			t.Errorf("%+v: %d PINGs and %d DROPs", x, p, d)
		}
		if got := b.pool.ConfirmCancel(core.AttemptKey{ID: 9}, 1); got == x.disableHealthChecks {
			t.Errorf("%+v: cancellations can be confirmed: %t", x, got)
		}
		b.pool.Close()
		s.Close()
	}
}

// All calls of ConfirmCancel made before the PING is sent share it, and each of them gets its result.
func TestConfirmCancelSharesPing(t *testing.T) {
	answers := func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true }
	for name, silent := range map[string]bool{"it responds": false, "it refuses connections": true, "it drains": true, "it is not listed": true} {
		t.Run(name, func(t *testing.T) {
			s, err := fakestore.Listen("127.0.0.1:0", answers)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			b, up := newTestPool(t), make(chan struct{})
			b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				<-up
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
			if name != "it is not listed" {
				b.setEndpoints(s.Addr())
			}
			for id := range control.RequestID(3) {
				if !b.pool.ConfirmCancel(core.AttemptKey{ID: id}, 1) {
					t.Fatal("ConfirmCancel returned false")
				}
			}
			switch name {
			case "it refuses connections":
				s.Close()
			case "it drains":
				b.updateEndpoint(1, s.Addr(), control.Draining)
			}
			close(up)
			results := map[core.AttemptKey]bool{}
			b.waitUntil("a result for each call", func() bool {
				for _, ev := range b.events {
					if c, ok := ev.(core.BarrierResult); ok {
						for _, k := range c.Keys {
							results[k] = c.NoResponse
						}
					}
				}
				return len(results) == 3
			})
			for k, got := range results {
				if got != silent {
					t.Errorf("%v: silent %t, want %t", k, got, silent)
				}
			}
			if n := len(s.Commands("PING")); n > 1 || n == 0 && !silent {
				t.Errorf("%d PINGs", n)
			}
		})
	}
}

// gatedConn is a connection that blocks its writer while that holds the file descriptor, and signals calls of Close.
type gatedConn struct {
	*net.TCPConn
	armed                     atomic.Bool
	held, resume, closeCalled chan struct{}
}

func (w *gatedConn) Close() error {
	select {
	case w.closeCalled <- struct{}{}:
	default:
	}
	return w.TCPConn.Close()
}

func (w *gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := w.TCPConn.SyscallConn()
	return gatedRawConn{raw, w}, err
}

type gatedRawConn struct {
	syscall.RawConn
	conn *gatedConn
}

func (w gatedRawConn) Write(f func(fd uintptr) bool) error {
	return w.RawConn.Write(func(fd uintptr) bool {
		if w.conn.armed.CompareAndSwap(true, false) {
			close(w.conn.held)
			<-w.conn.resume
		}
		return f(fd)
	})
}

// Close waits until the writer releases the file descriptor, and the writer may wait for the pool's lock. The lock must not be
// held during Close, or both deadlock.
func TestCloseDoesNotHoldPoolLock(t *testing.T) {
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for how, shut := range map[string]func(p *Pool){
		"a connection is done": func(p *Pool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.peers[1].conns[0].draining = true
			p.peers[1].conns[0].closeIfDone()
		},
		"the endpoint is removed": func(p *Pool) { p.UpdateEndpoints(core.EndpointList{Snapshot: true}) },
		"the pool is closed":      (*Pool).Close,
	} {
		w := &gatedConn{held: make(chan struct{}), resume: make(chan struct{}), closeCalled: make(chan struct{}, 1)}
		ended := make(chan core.Event, 8)
		p := New(Options{DialTimeout: 5000, MaxAttemptsPerConn: 100, MaxConns: 40, Clock: clock.Manual(1e12), Log: zerolog.Nop(),
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				w.TCPConn, _ = c.(*net.TCPConn)
				return w, err
			}}, func(ev core.Event) { ended <- ev })
		p.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: []core.Endpoint{{Addr: s.Addr(), Info: control.Endpoint{ID: 1, State: control.Ready}}}})
		p.Send(newRequest(1, 0, 1))
		<-ended
		p.mu.Lock()
		w.armed.Store(true)
		p.peers[1].conns[0].wake <- struct{}{} // with an empty write queue, as after a queued attempt was canceled
		p.mu.Unlock()
		<-w.held
		done := make(chan struct{})
		go func() { shut(p); p.Close(); close(done) }()
		<-w.closeCalled
		close(w.resume)
		select {
		case <-done:
		case <-time.After(10 * time.Second): // reached only if the program hangs
			t.Errorf("%s: deadlock of Close and the writer", how)
		}
	}
}

// If a request is canceled during its dial, nothing of it is written on the new connection. That serves the next request, unless
// it was dialed for the canceled request only.
func TestCancelDuringDial(t *testing.T) {
	for _, dedicated := range []bool{false, true} {
		conns := make(chan struct{}, 8)
		s, err := fakestore.ListenWithHook("127.0.0.1:0", func(*bufio.Reader) { conns <- struct{}{} },
			func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
		if err != nil {
			t.Fatal(err)
		}
		b, up := newTestPool(t), make(chan struct{})
		b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			<-up
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		b.setEndpoints(s.Addr())
		first, next := newRequest(1, 0, 1), newRequest(2, 0, 1)
		first.NonIdempotent = dedicated
		b.pool.Send(first)
		b.pool.Cancel(first.AttemptKey, control.TimedOut)
		close(up)
		if e := b.awaitResult(first.AttemptKey); e.Outcome != control.NotSent && e.Outcome != control.ConnectFailed || e.Unconfirmed {
			t.Errorf("dedicated %t: canceled during its dial, it ended as %+v", dedicated, e)
		}
		<-conns
		b.pool.Send(next)
		if e := b.awaitResult(next.AttemptKey); e.Outcome != control.OK {
			t.Errorf("dedicated %t: %+v", dedicated, e)
		}
		for _, c := range append(s.Commands("GET"), s.Commands("DROP")...) {
			if c.ID == first.Txn {
				t.Errorf("dedicated %t: %s of the canceled request was sent", dedicated, c.Verb)
			}
		}
		s.Close()
	}
}

// A connection whose idle time ends while an attempt on it is in flight takes no new attempts and stays open until that ends.
func TestIdleCloseWaitsForResponse(t *testing.T) {
	s, hold := newBlockingEndpoint(t)
	defer s.Close()
	b := newTestPool(t)
	b.pool.opt.IdleClose = 1000
	b.setEndpoints(s.Addr())
	b.pool.Send(newRequest(1, 0, 1))
	b.waitUntil("the attempt arrives", func() bool { return len(s.Commands("GET")) == 1 })
	b.pool.mu.Lock()
	c := b.pool.peers[1].conns[0]
	b.pool.mu.Unlock()
	b.clock.Advance(1000)
	b.waitUntil("a sweep finds the connection idle", func() bool {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return c.draining
	})
	b.pool.Send(newRequest(2, 0, 1))
	if e := b.awaitResult(newRequest(2, 0, 1).AttemptKey); e.Outcome != control.OK {
		t.Errorf("on another connection: %+v", e)
	}
	close(hold)
	if e := b.awaitResult(newRequest(1, 0, 1).AttemptKey); e.Outcome != control.OK {
		t.Errorf("%+v instead of the response", e)
	}
	b.waitUntil("the connection is closed", func() bool {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return c.broken && b.pool.conns == 1
	})
}
