package resp

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/internal/faultnet"
)

func acknowledge(fakestore.Command) (string, string, []byte, bool) {
	return "ACK", "tag=0a,minted=1,why=local", nil, true
}

// newFaultTestPool returns a test pool with one endpoint, whose dials and connections can be made to fail.
func newFaultTestPool(t *testing.T, handle func(fakestore.Command) (string, string, []byte, bool)) (*testPool, *fakestore.Endpoint, *faultnet.Dialer) {
	s, err := fakestore.Listen("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	b, dialer := newTestPool(t), &faultnet.Dialer{}
	b.pool.opt.Dial = dialer.DialContext
	b.setEndpoints(s.Addr())
	return b, s, dialer
}

// awaitHealthCheck waits for the result of a health check, and deletes it from the record.
func (b *testPool) awaitHealthCheck() (result control.Outcome) {
	b.t.Helper()
	b.waitUntil("the result of a health check", func() bool {
		for i, ev := range b.events {
			if p, ok := ev.(core.HealthCheckResult); ok {
				result = p.Outcome
				b.events = append(b.events[:i], b.events[i+1:]...)
				return true
			}
		}
		return false
	})
	return result
}

// A dial that fails for a reason local to this host must not be counted against the endpoint, whether an attempt, an attempt
// with a dedicated connection or a health check waits for it. The next dial is made as usual.
func TestFailedDials(t *testing.T) {
	for errno, want := range map[syscall.Errno]control.Outcome{
		syscall.EMFILE: control.LocalFailure, syscall.ENFILE: control.LocalFailure, syscall.ENOBUFS: control.LocalFailure,
		syscall.ENOMEM: control.LocalFailure, syscall.EADDRNOTAVAIL: control.LocalFailure, syscall.EAGAIN: control.LocalFailure,
		syscall.ENETUNREACH: control.LocalFailure, syscall.ENETDOWN: control.LocalFailure, syscall.EPERM: control.LocalFailure,
		syscall.EACCES: control.LocalFailure, syscall.EADDRINUSE: control.LocalFailure,
		syscall.ECONNREFUSED: control.ConnectFailed, syscall.ECONNRESET: control.ConnectFailed, syscall.ETIMEDOUT: control.ConnectFailed,
		syscall.EHOSTUNREACH: control.ConnectFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b, s, dialer := newFaultTestPool(t, acknowledge)
			dialer.Fail(faultnet.Error("connect", errno), 3)
			first, dedicated, later := newRequest(1, 0, 1), newRequest(2, 0, 1), newRequest(3, 0, 1)
			dedicated.NonIdempotent = true
			for _, a := range []core.AttemptRequest{first, dedicated} {
				b.pool.Send(a)
				if e := b.awaitResult(a.AttemptKey); e.Outcome != want || e.Unconfirmed {
					t.Errorf("non-idempotent %t: ended as %+v, want %v and Unconfirmed false", a.NonIdempotent, e, want)
				}
			}
			b.pool.CheckHealth(1)
			if got := b.awaitHealthCheck(); got != want {
				t.Errorf("health check ended as %v, want %v", got, want)
			}
			if n := len(s.Commands("GET")) + len(s.Commands("LOAD")); n != 0 {
				t.Errorf("%d commands reached the endpoint", n)
			}
			b.pool.Send(later)
			if e := b.awaitResult(later.AttemptKey); e.Outcome != control.OK {
				t.Errorf("after dials work again: %+v", e)
			}
		})
	}
}

// After a failed read the attempts on the connection may have run. The failure is counted against the endpoint unless it is
// caused by a shortage or fault of this host.
func TestFailedReads(t *testing.T) {
	for errno, want := range map[syscall.Errno]control.Outcome{
		syscall.ECONNRESET: control.ConnectionLost, syscall.ETIMEDOUT: control.ConnectionLost, syscall.EHOSTUNREACH: control.ConnectionLost,
		syscall.ENOBUFS: control.Canceled, syscall.ENOMEM: control.Canceled, syscall.ENETUNREACH: control.Canceled,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			hold := make(chan struct{})
			b, s, dialer := newFaultTestPool(t, func(c fakestore.Command) (string, string, []byte, bool) {
				<-hold
				return acknowledge(c)
			})
			defer close(hold)
			var faulty atomic.Pointer[faultnet.Conn]
			dialer.Wrap(func(c net.Conn) net.Conn {
				f := &faultnet.Conn{Conn: c}
				faulty.Store(f)
				return f
			})
			a := newRequest(1, 0, 1)
			b.pool.Send(a)
			b.waitUntil("the request arrives at the endpoint", func() bool { return len(s.Commands("GET")) == 1 })
			faulty.Load().FailRead(faultnet.Error("read", errno))
			if e := b.awaitResult(a.AttemptKey); e.Outcome != want || !e.Unconfirmed {
				t.Errorf("ended as %+v, want %v and Unconfirmed true", e, want)
			}
		})
	}
}

// An attempt that a failed write did not send completely has not run, whatever caused the failure.
func TestFailedWrites(t *testing.T) {
	for errno, want := range map[syscall.Errno]control.Outcome{
		syscall.EPIPE: control.ConnectFailed, syscall.ECONNRESET: control.ConnectFailed, syscall.ETIMEDOUT: control.ConnectFailed,
		syscall.EHOSTUNREACH: control.ConnectFailed, syscall.ENOBUFS: control.LocalFailure, syscall.ENOMEM: control.LocalFailure,
		syscall.EPERM: control.LocalFailure,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b, s, dialer := newFaultTestPool(t, acknowledge)
			dialer.Wrap(func(c net.Conn) net.Conn {
				f := &faultnet.Conn{Conn: c}
				f.FailWrite(faultnet.Error("write", errno))
				return f
			})
			a := newRequest(1, 0, 1)
			b.pool.Send(a)
			if e := b.awaitResult(a.AttemptKey); e.Outcome != want || e.Unconfirmed {
				t.Errorf("ended as %+v, want %v and Unconfirmed false", e, want)
			}
			if n := len(s.Commands("GET")); n != 0 {
				t.Errorf("%d requests reached the endpoint", n)
			}
		})
	}
}

// A request that is canceled while it is being written ends its connection. This must not be counted against the endpoint,
// neither for that request nor for others on the connection.
func TestClientCancelDuringWriteIsNotEndpointFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	arrived, resume, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() { // an endpoint that never responds and stops reading in the middle of the second request
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for range 2 {
			if n, err := conn.Read(make([]byte, 4<<10)); err != nil || n == 0 {
				return
			}
			arrived <- struct{}{}
		}
		<-resume
		io.Copy(io.Discard, conn)
	}()
	b, dialer := newTestPool(t), &faultnet.Dialer{}
	dialer.Wrap(func(c net.Conn) net.Conn {
		c.(*net.TCPConn).SetWriteBuffer(8 << 10)
		return c
	})
	b.pool.opt.MaxConns, b.pool.opt.Dial = 1, dialer.DialContext
	b.setEndpoints(listener.Addr().String())
	complete, partial, queued := newRequest(1, 0, 1), newRequest(2, 0, 1), newRequest(3, 0, 1)
	partial.Body, partial.Canceled = make([]byte, 1<<20), new(atomic.Bool) // more than the sockets take
	b.pool.Send(complete)
	<-arrived
	b.pool.Send(partial)
	<-arrived
	b.pool.Send(queued)
	partial.Canceled.Store(true)
	close(resume)
	for _, c := range []struct {
		name        string
		request     core.AttemptRequest
		want        control.Outcome
		unconfirmed bool
	}{
		{"completely written", complete, control.Canceled, true},
		{"partly written", partial, control.LocalFailure, false},
		{"queued behind it", queued, control.LocalFailure, false},
	} {
		if e := b.awaitResult(c.request.AttemptKey); e.Outcome != c.want || e.Unconfirmed != c.unconfirmed {
			t.Errorf("%s: ended as %+v, want %v, unconfirmed %t", c.name, e, c.want, c.unconfirmed)
		}
	}
	<-ended
}

// An attempt or health check without a connection because of the pool's own limit ends as not sent, which is not counted
// against the endpoint.
func TestOwnLimitIsNotEndpointFailure(t *testing.T) {
	hold := make(chan struct{})
	b, s, _ := newFaultTestPool(t, func(c fakestore.Command) (string, string, []byte, bool) {
		<-hold
		return acknowledge(c)
	})
	defer close(hold)
	b.pool.opt.MaxConns, b.pool.opt.MaxAttemptsPerConn = 1, 1
	b.pool.Send(newRequest(1, 0, 1))
	b.waitUntil("the request arrives at the endpoint", func() bool { return len(s.Commands("GET")) == 1 })
	second := newRequest(2, 0, 1)
	b.pool.Send(second)
	if e := b.awaitResult(second.AttemptKey); e.Outcome != control.NotSent || e.Unconfirmed {
		t.Errorf("ended as %+v", e)
	}
	b.pool.CheckHealth(1)
	if got := b.awaitHealthCheck(); got != control.NotSent {
		t.Errorf("health check ended as %v", got)
	}
}

// answerRecorder is a frontend that receives answers.
type answerRecorder chan core.Answer

func (a answerRecorder) Answer(_ uint64, answer core.Answer) { a <- answer }

// A shortage of file descriptors that ends before a request's deadline must not fail the request or eject an endpoint: the next
// request is served immediately by the same cache.
func TestDescriptorShortageEjectsNoEndpoint(t *testing.T) {
	for name, class := range map[string]string{"a read": "tile", "a non-idempotent write": "ride-end"} {
		t.Run(name, func(t *testing.T) {
			s, err := fakestore.Listen("127.0.0.1:0", acknowledge)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			clk, up := clock.System(), &struct{ core.Upstream }{}
			module, err := core.New(core.Options{
				Classes: []string{"tile", "ride-end"}, Clock: clk, Log: zerolog.Nop(), MaxOpen: 20,
				Settings: control.Settings{
					Gateways: 1, Kinds: 3, ParentKind: 1, OriginKind: 2, GatewaysByZone: []int{1}, HubOfZone: []int{0},
					BatchInterval: 2 * time.Millisecond, MaxAttempts: 2, CanCancel: true, CanCheckHealth: true, ResultsDetailed: true, CanBypassCaches: true,
					Classes: []control.Class{
						{LatencyObjective: 5 * time.Second, Deadline: 30 * time.Second, PriorityWeight: 1},
						{LatencyObjective: 5 * time.Second, Deadline: 30 * time.Second, PriorityWeight: 1, Idempotency: control.NonIdempotent, Write: true},
					},
				},
			}, up)
			if err != nil {
				t.Fatal(err)
			}
			dialer := &faultnet.Dialer{}
			pool := New(Options{DialTimeout: 5000, HealthCheckTimeout: 5000, MaxAttemptsPerConn: 100, MaxConns: 40, Clock: clk, Log: zerolog.Nop(),
				Dial: dialer.DialContext}, module.Post)
			defer pool.Close()
			up.Upstream = pool
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go module.Run(ctx)
			var list core.EndpointList
			for kind := range 3 {
				list.Endpoints = append(list.Endpoints, core.Endpoint{Addr: s.Addr(), Info: control.Endpoint{
					ID: control.EndpointID(kind + 1), Kind: kind, Weight: 10, State: control.Ready}})
			}
			module.Post(list)
			dialer.Fail(faultnet.Error("socket", syscall.EMFILE), 5)
			answers := make(answerRecorder, 1)
			for tag := range uint64(2) { // the second request follows once descriptors are available again
				module.Post(core.Request{Frontend: answers, RequestTag: tag, Txn: string(rune('a' + tag)), Class: class, Object: 1, ObjectName: "x",
					ReceivedAt: clk.Now(), Remaining: 20000})
				if got := <-answers; got.Verdict != core.Served {
					t.Fatalf("request %d: %+v", tag, got)
				}
			}
			if n := len(s.Commands("GET")); n != 2 {
				t.Errorf("%d requests reached the endpoint, want 2", n)
			}
		})
	}
}
