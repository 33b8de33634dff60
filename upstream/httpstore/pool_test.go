package httpstore

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/faultnet"
)

// testPool is a pool of connections to an endpoint that responds to each request.
type testPool struct {
	*connPool
	t         *testing.T
	dialer    *faultnet.Dialer
	server    *httptest.Server
	hold      atomic.Bool
	heldDials chan heldDial // while hold is set
	open      atomic.Int64  // connections that are open at the endpoint
}

// heldDial is a dial that waits for the error with which it fails, or for nil, with which it goes on.
type heldDial chan error

func newTestPool(t *testing.T, maxConns, maxIdle int, idleTimeout time.Duration) *testPool {
	p := &testPool{t: t, dialer: &faultnet.Dialer{}, heldDials: make(chan heldDial)}
	p.server = httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	p.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			p.open.Add(1)
		case http.StateClosed:
			p.open.Add(-1)
		}
	}
	p.server.Start()
	t.Cleanup(p.server.Close)
	base, err := url.Parse(p.server.URL)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	transport := newTransport(Options{DialTimeout: 5000, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if p.hold.Load() {
			if err := p.holdDial(ctx); err != nil {
				return nil, err
			}
		}
		return p.dialer.DialContext(ctx, network, addr)
	}})
	p.connPool = newConnPool(ctx, transport, base, maxConns, maxIdle, idleTimeout)
	t.Cleanup(func() { stop(); p.close() })
	return p
}

// holdDial waits until the test lets a dial go on, and returns the error with which it fails.
func (p *testPool) holdDial(ctx context.Context) error {
	held := make(heldDial, 1)
	select {
	case p.heldDials <- held:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-held:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextDial waits for the next dial, and returns it.
func (p *testPool) nextDial() heldDial {
	p.t.Helper()
	select {
	case held := <-p.heldDials:
		return held
	case <-time.After(10 * time.Second):
		p.t.Fatal("no dial within 10 s")
		return nil
	}
}

// acquired starts to acquire a connection, and returns the channel of the result.
func (p *testPool) acquired(ctx context.Context) <-chan acquired {
	result := make(chan acquired, 1)
	before := p.waitingCount()
	go func() {
		conn, err := p.acquire(ctx)
		result <- acquired{conn, err}
	}()
	p.await("the request waits or has its connection", func() bool { return p.waitingCount() > before || len(result) > 0 })
	return result
}

func (p *testPool) waitingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

func (p *testPool) counts() (conns, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns, len(p.idle)
}

func (p *testPool) await(what string, ok func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func (p *testPool) mustAcquire() *http.ClientConn {
	p.t.Helper()
	conn, err := p.acquire(context.Background())
	if err != nil {
		p.t.Fatal(err)
	}
	return conn
}

// use sends a request on a connection.
func (p *testPool) use(conn *http.ClientConn) error {
	req, err := http.NewRequest(http.MethodGet, p.server.URL, nil)
	if err != nil {
		return err
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// A connection is used again, the one used last first, and no more are kept open without a request than maxIdle.
func TestIdleConnectionsAreReused(t *testing.T) {
	p := newTestPool(t, 4, 2, time.Minute)
	var conns []*http.ClientConn
	for range 4 {
		conns = append(conns, p.mustAcquire())
	}
	for _, conn := range conns {
		if err := p.use(conn); err != nil {
			t.Fatal(err)
		}
		p.connPool.release(conn)
	}
	if n, idle := p.counts(); n != 2 || idle != 2 {
		t.Errorf("%d connections, %d idle; want 2 and 2", n, idle)
	}
	if p.mustAcquire() != conns[1] || p.mustAcquire() != conns[0] {
		t.Error("the connection used last is not used first")
	}
	if p.dialer.DialCount() != 4 {
		t.Errorf("%d dials", p.dialer.DialCount())
	}
}

// An idle connection is closed after the timeout, and one that the endpoint has closed is not used.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	p := newTestPool(t, 1, 1, 20*time.Millisecond)
	first := p.mustAcquire()
	p.connPool.release(first)
	p.await("the idle connection expires", func() bool { n, _ := p.counts(); return n == 0 && first.Err() != nil })

	p.idleTimeout = time.Minute
	second := p.mustAcquire()
	if err := p.use(second); err != nil {
		t.Fatal(err)
	}
	p.connPool.release(second)
	p.server.CloseClientConnections()
	p.await("its close is detected", func() bool { return second.Err() != nil })
	third := p.mustAcquire()
	if third == second {
		t.Error("a closed connection was handed out")
	}
	if err := p.use(third); err != nil {
		t.Error(err)
	}
	p.connPool.release(third)
	p.closeIdle()
	if n, idle := p.counts(); n != 0 || idle != 0 || third.Err() == nil {
		t.Errorf("after closeIdle: %d connections, %d idle, %v", n, idle, third.Err())
	}
}

// A request whose connection takes long to open gets one that is released earlier.
func TestReleasedConnectionServesWaiter(t *testing.T) {
	p := newTestPool(t, 2, 2, time.Minute)
	first := p.mustAcquire()
	p.hold.Store(true)
	waiting := p.acquired(context.Background())
	p.connPool.release(first)
	if got := <-waiting; got.conn != first || got.err != nil {
		t.Errorf("%+v", got)
	}
	p.nextDial() <- nil // the connection that was opened for it is kept
	p.await("both connections are open", func() bool { n, idle := p.counts(); return n == 2 && idle == 1 })
}

// A dial that fails ends the request on whose behalf it was made, unless that has a connection already. The next request that
// waits has its own connection opened.
func TestFailedDialEndsItsRequest(t *testing.T) {
	p := newTestPool(t, 1, 1, time.Minute)
	p.hold.Store(true)
	first := p.acquired(context.Background())
	second := p.acquired(context.Background())
	refused := errors.New("refused")
	p.nextDial() <- refused
	if got := <-first; !errors.Is(got.err, refused) {
		t.Errorf("first: %+v", got)
	}
	p.nextDial() <- nil
	if got := <-second; got.err != nil || p.use(got.conn) != nil {
		t.Errorf("second: %+v", got)
	}
}

// Guards against a request that waits until its deadline while nothing is opened for it: the connection that was opened on its
// behalf went to a request that waited longer, and the dial of that one fails.
func TestFailedDialEndsRequestThatDependsOnIt(t *testing.T) {
	p := newTestPool(t, 2, 2, time.Minute)
	p.hold.Store(true)
	first := p.acquired(context.Background())
	firstDial := p.nextDial()
	second := p.acquired(context.Background())
	p.nextDial() <- nil
	if got := <-first; got.err != nil || p.use(got.conn) != nil {
		t.Errorf("first: %+v", got)
	}
	refused := errors.New("refused")
	firstDial <- refused
	select {
	case got := <-second:
		if !errors.Is(got.err, refused) {
			t.Errorf("second: %+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the second request still waits")
	}
}

// A request that is canceled while it waits takes no connection with it.
func TestCanceledWaiterLeavesPool(t *testing.T) {
	p := newTestPool(t, 1, 1, time.Minute)
	p.hold.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	dialing, queued := p.acquired(ctx), p.acquired(ctx)
	cancel()
	if got := <-dialing; !errors.Is(got.err, errDialCanceled) {
		t.Errorf("while its connection was opened: %+v", got)
	}
	if got := <-queued; !errors.Is(got.err, errConnLimit) && !errors.Is(got.err, errDialCanceled) {
		t.Errorf("while it was queued: %+v", got)
	}
	if _, err := p.acquire(ctx); !errors.Is(err, errDialCanceled) {
		t.Errorf("canceled before: %v", err)
	}
	p.await("the canceled dial has ended", func() bool { n, _ := p.counts(); return n == 0 })
	p.hold.Store(false)
	conn := p.mustAcquire()
	if p.use(conn) != nil {
		t.Error("the pool has no usable connection")
	}
	handed := &waiter{result: make(chan acquired, 1)} // it was handed a connection in the moment in which it was canceled
	handed.result <- acquired{conn: conn}
	p.stopWaiting(handed)
	if n, idle := p.counts(); n != 1 || idle != 1 {
		t.Errorf("%d connections, %d idle; want 1 and 1", n, idle)
	}
}

// Whatever requests, dials and cancellations cross, there are never more connections than allowed, and all are given back.
func TestPoolLimitHolds(t *testing.T) {
	const maxConns, maxIdle, users, rounds = 4, 2, 16, 60
	p := newTestPool(t, maxConns, maxIdle, time.Millisecond)
	var tasks sync.WaitGroup
	for user := range users {
		random := rand.New(rand.NewPCG(63, uint64(user)))
		tasks.Go(func() {
			for range rounds {
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(3) == 0 {
					time.AfterFunc(time.Duration(random.IntN(1000))*time.Microsecond, cancel)
				}
				if random.IntN(8) == 0 {
					p.dialer.Fail(io.ErrUnexpectedEOF, 1)
				}
				conn, err := p.acquire(ctx)
				switch {
				case err != nil:
				case random.IntN(4) == 0:
					conn.Close()
					p.connPool.release(conn)
				case random.IntN(4) == 0:
					p.connPool.release(conn)
				default:
					p.use(conn)
					p.connPool.release(conn)
				}
				if n, idle := p.counts(); n > maxConns || idle > maxIdle || n < idle {
					t.Errorf("%d connections, %d idle", n, idle)
				}
				cancel()
			}
		})
	}
	tasks.Wait()
	p.dials.Wait()
	if p.waitingCount() != 0 {
		t.Errorf("%d requests still wait", p.waitingCount())
	}
	p.await("the idle connections have expired", func() bool { n, idle := p.counts(); return n == 0 && idle == 0 })
	p.await("the endpoint has no connection", func() bool { return p.open.Load() == 0 })
}

// An endpoint that has forgotten its connections, as after a loss of power, resets each at its next request. One attempt may
// learn that, and the next one gets a new connection.
func TestForgottenConnectionsCostOneAttempt(t *testing.T) {
	var requests sync.WaitGroup
	var forgetful atomic.Bool
	var old sync.Map
	u, dialer, events := newFaultUpstream(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if _, forgotten := old.Load(r.RemoteAddr); forgotten && forgetful.Load() {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			return
		}
		old.Store(r.RemoteAddr, true)
		requests.Done()
		requests.Wait()
	})
	requests.Add(2)
	u.Send(get(1))
	u.Send(get(2)) // answered together, so both have a connection
	for range 2 {
		if e := (<-events).(core.AttemptResult); e.Outcome != control.OK {
			t.Fatalf("%+v", e)
		}
	}
	forgetful.Store(true)
	u.Send(get(3))
	if e := (<-events).(core.AttemptResult); e.Outcome != control.ConnectionLost || !e.Unconfirmed {
		t.Errorf("the first attempt ended as %+v", e)
	}
	requests.Add(1)
	u.Send(get(4))
	if e := (<-events).(core.AttemptResult); e.Outcome != control.OK {
		t.Errorf("the second attempt ended as %+v", e)
	}
	if dialer.DialCount() != 3 {
		t.Errorf("%d connections were opened", dialer.DialCount())
	}
}

// The user of a base URL is sent with attempts and health checks.
func TestBaseURLUserIsSent(t *testing.T) {
	users := make(chan string, 4)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		user, password, _ := r.BasicAuth()
		users <- r.Method + " " + user + ":" + password
	}))
	defer server.Close()
	base, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	base.User = url.UserPassword("gateway", "s")
	u, events := startUpstream(t, Endpoint{Base: base.String()}, Options{MaxConns: 1})
	u.Send(get(1))
	u.CheckHealth(1)
	for range 2 {
		<-events
	}
	got := map[string]bool{<-users: true, <-users: true}
	if !got["GET gateway:s"] || !got["HEAD gateway:s"] {
		t.Errorf("%v", got)
	}
}

// A base URL without a port means the port of its scheme.
func TestDefaultPorts(t *testing.T) {
	for base, want := range map[string]string{
		"http://127.0.0.1/rides": "127.0.0.1:80", "https://127.0.0.1": "127.0.0.1:443", "http://[::1]": "[::1]:80", "http://127.0.0.1:8080": "127.0.0.1:8080",
	} {
		dialed := make(chan string, 1)
		u, events := startUpstream(t, Endpoint{Base: base}, Options{Dial: func(_ context.Context, _, addr string) (net.Conn, error) {
			dialed <- addr
			return nil, io.ErrUnexpectedEOF
		}})
		u.Send(get(1))
		if got := <-dialed; got != want {
			t.Errorf("%s: dialed %s, want %s", base, got, want)
		}
		<-events
	}
}

// Guards against a connection that stays half open for ever and takes a place in the pool: the endpoint accepts it, but never
// answers the TLS handshake. The request that waits for it may have been served by another one, so that nobody cancels it.
func TestSilentTLSHandshakeIsAFailedConnect(t *testing.T) {
	base := serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		io.Copy(io.Discard, conn)
	})
	u, events := startUpstream(t, Endpoint{Base: "https" + strings.TrimPrefix(base, "http")}, Options{MaxConns: 1, DialTimeout: 50})
	u.Send(get(1))
	select {
	case e := <-events:
		if outcome := e.(core.AttemptResult).Outcome; outcome != control.ConnectFailed {
			t.Errorf("ended as %v", outcome)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it still waits")
	}
	if conns := u.endpoints[1].conns; conns.conns != 0 {
		t.Errorf("%d connections", conns.conns)
	}
}

// An endpoint whose certificate isn't trusted gets no request, which counts as a failed connect.
func TestUntrustedCertificateIsAFailedConnect(t *testing.T) {
	var reached atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()
	u, events := startUpstream(t, Endpoint{Base: server.URL}, Options{MaxConns: 1})
	u.Send(get(1))
	if e := (<-events).(core.AttemptResult); e.Outcome != control.ConnectFailed || e.Unconfirmed || reached.Load() != 0 {
		t.Errorf("ended as %+v, %d requests", e, reached.Load())
	}
}
