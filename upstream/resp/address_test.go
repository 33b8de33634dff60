package resp

import (
	"context"
	"net"
	"sync"
	"testing"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// heldConn holds its first write until it is released. It shows no descriptor, so that writes block.
type heldConn struct {
	net.Conn
	begun, release chan struct{}
	once           sync.Once
}

func (c *heldConn) Write(b []byte) (int, error) {
	c.once.Do(func() {
		close(c.begun)
		<-c.release
	})
	return c.Conn.Write(b)
}

// newAddressTest returns two endpoints that respond at once, and a pool that knows the first one as endpoint 1.
func newAddressTest(t *testing.T) (b *testPool, first, second *fakestore.Endpoint) {
	t.Helper()
	listen := func() *fakestore.Endpoint {
		s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
			return "ACK", "tag=0a,minted=1,why=local", nil, true
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	first, second = listen(), listen()
	return newTestPool(t, first.Addr()), first, second
}

// send sends an attempt and returns its outcome.
func (b *testPool) send(id int, endpoint uint32) control.Outcome {
	b.t.Helper()
	b.pool.Send(newRequest(id, 0, endpoint))
	return b.awaitResult(core.AttemptKey{ID: control.RequestID(id)}).Outcome
}

// Guards against an attempt for an endpoint that has moved and still reaches the process at its former address, which may be another
// one by then, because the attempt waited on a connection to it.
func TestQueuedAttemptDoesNotReachFormerAddress(t *testing.T) {
	b, first, second := newAddressTest(t)
	held := &heldConn{begun: make(chan struct{}), release: make(chan struct{})}
	release := sync.OnceFunc(func() { close(held.release) })
	t.Cleanup(release)
	b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || addr != first.Addr() {
			return nc, err
		}
		held.Conn = nc
		return held, nil
	}
	b.pool.Send(newRequest(1, 0, 1))
	<-held.begun
	b.pool.Send(newRequest(2, 0, 1)) // waits on the connection
	b.updateEndpoint(1, second.Addr(), control.Ready)
	if outcome := b.awaitResult(core.AttemptKey{ID: 2}).Outcome; outcome != control.NotSent {
		t.Errorf("the attempt that waited: %v", outcome)
	}
	release()
	if outcome := b.send(3, 1); outcome != control.OK {
		t.Errorf("a later attempt: %v", outcome)
	}
	// Its response shows that the former address has read what was written to it: nothing of the attempt that waited may be there.
	if outcome := b.awaitResult(core.AttemptKey{ID: 1}).Outcome; outcome != control.OK {
		t.Errorf("the attempt that was being written: %v", outcome)
	}
	if n := len(first.Commands("GET")); n != 1 {
		t.Errorf("%d attempts reached the former address, want the one that was being written", n)
	}
}

// Guards against work for an endpoint that reaches another one, which has come up at its address: the list names the new endpoint
// before it says that the former one is gone.
func TestAddressBelongsToEndpointAnnouncedLast(t *testing.T) {
	b, first, _ := newAddressTest(t)
	if outcome := b.send(1, 1); outcome != control.OK {
		t.Fatal(outcome)
	}
	b.updateEndpoint(2, first.Addr(), control.Ready)
	if outcome := b.send(2, 1); outcome != control.NotSent {
		t.Errorf("the former endpoint: %v", outcome)
	}
	if outcome := b.send(3, 2); outcome != control.OK {
		t.Errorf("the new endpoint: %v", outcome)
	}
	b.updateEndpoint(1, first.Addr(), control.Gone)
	if outcome := b.send(4, 2); outcome != control.OK {
		t.Errorf("the new endpoint, the former one gone: %v", outcome)
	}
	b.updateEndpoint(1, first.Addr(), control.Ready)
	if outcome := b.send(5, 1); outcome != control.OK {
		t.Errorf("announced again: %v", outcome)
	}
}

// Two endpoints that one list names at the same address are both served: a deployment may have it so.
func TestEndpointsOfOneListMayShareAnAddress(t *testing.T) {
	_, first, _ := newAddressTest(t)
	b := newTestPool(t, first.Addr(), first.Addr())
	for id, endpoint := range []uint32{1, 2, 1} {
		if outcome := b.send(id, endpoint); outcome != control.OK {
			t.Errorf("endpoint %d: %v", endpoint, outcome)
		}
	}
}

// Guards against a connection to a process that has ended, silently, and is used for the one that was started at its address.
func TestRestartedEndpointGetsNewConnections(t *testing.T) {
	accepted := make(chan struct{}, 8)
	s, err := fakestore.ListenWithHook("127.0.0.1:0", nil, func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=0a,minted=1,why=local", nil, true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	b := newTestPool(t, s.Addr())
	b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		accepted <- struct{}{}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	start := func(at float64) {
		b.pool.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Addr: s.Addr(), Info: control.Endpoint{
			ID: 1, State: control.Ready, StartedAt: clock.Duration(at),
		}}}})
	}
	expect := func(what string, id, conns int) {
		t.Helper()
		if outcome := b.send(id, 1); outcome != control.OK || len(accepted) != conns {
			t.Errorf("%s: %v, %d connections, want %d", what, outcome, len(accepted), conns)
		}
		b.clock.Advance(1)
	}
	expect("before", 1, 1)
	expect("again", 2, 1)
	start(b.clock.Now())
	expect("after the restart", 3, 2)
	expect("again", 4, 2)
	start(b.clock.Now() - 2) // heard of late: the connection is to the new process
	expect("a start before the connection was made", 5, 2)
}

// Guards against the answer of the former process to a health check that is taken for the answer of the new one.
func TestHealthCheckOfFormerProcessIsNotReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1))
		read <- c
	}()
	b, _, second := newAddressTest(t)
	b.updateEndpoint(1, l.Addr().String(), control.Ready)
	b.pool.CheckHealth(1)
	former := <-read
	defer former.Close()
	b.updateEndpoint(1, second.Addr(), control.Ready)
	former.Write([]byte("*2\r\n$3\r\np-1\r\n$6\r\nAILING\r\n"))
	var got core.HealthCheckResult
	b.waitUntil("the result", func() bool {
		for _, ev := range b.events {
			if e, ok := ev.(core.HealthCheckResult); ok {
				got = e
				return true
			}
		}
		return false
	})
	if got.Outcome != control.NotSent {
		t.Errorf("outcome %v", got.Outcome)
	}
}
