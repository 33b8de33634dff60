package resp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/limits"
)

// testPool is a pool with fake endpoints, and a record of its events.
type testPool struct {
	t         testing.TB
	pool      *Pool
	mu        sync.Mutex
	events    []core.Event // except CancelConfirmed
	confirmed []core.AttemptKey
	posted    chan struct{} // receives a value for each event
	clock     *clock.Clock
}

func newTestPool(t testing.TB, addrs ...string) *testPool {
	b := &testPool{t: t, posted: make(chan struct{}, 1<<16), clock: clock.Manual(1e12)}
	b.pool = New(Options{
		DialTimeout: 5000, HealthCheckTimeout: 5000, MaxAttemptsPerConn: 100, MaxConns: 40, Clock: b.clock, Log: zerolog.Nop(),
	}, func(ev core.Event) {
		b.mu.Lock()
		if s, ok := ev.(core.CancelConfirmed); ok {
			b.confirmed = append(b.confirmed, s.AttemptKey)
		} else {
			b.events = append(b.events, ev)
		}
		b.mu.Unlock()
		b.posted <- struct{}{}
	})
	t.Cleanup(b.pool.Close)
	b.setEndpoints(addrs...)
	return b
}

func (b *testPool) setEndpoints(addrs ...string) {
	s := core.EndpointList{Snapshot: true}
	for i, a := range addrs {
		s.Endpoints = append(s.Endpoints, core.Endpoint{Addr: a, Info: control.Endpoint{ID: control.EndpointID(i + 1), State: control.Ready}})
	}
	b.pool.UpdateEndpoints(s)
}

// updateEndpoint updates one endpoint.
func (b *testPool) updateEndpoint(id uint32, addr string, state control.State) {
	b.pool.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Addr: addr, Info: control.Endpoint{ID: control.EndpointID(id), State: state}}}})
}

// awaitResult waits for the result of an attempt.
func (b *testPool) awaitResult(k core.AttemptKey) core.AttemptResult {
	b.t.Helper()
	limit := time.After(30 * time.Second)
	for {
		b.mu.Lock()
		for _, ev := range b.events {
			if e, ok := ev.(core.AttemptResult); ok && e.AttemptKey == k {
				b.mu.Unlock()
				return e
			}
		}
		b.mu.Unlock()
		select {
		case <-b.posted:
		case <-limit:
			b.t.Fatalf("attempt %v: no result within 30 s", k)
		}
	}
}

// waitUntil polls a condition that must become true. Its limit is generous, so that it fails only if the program hangs.
func (b *testPool) waitUntil(what string, ok func() bool) {
	b.t.Helper()
	for limit := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		done := ok()
		b.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(limit) {
			b.t.Fatalf("not reached within 30 s: %s", what)
		}
	}
}

// scriptedEndpoint is an endpoint that sends the bytes that respond returns for each GET on a connection. Each GET must arrive in one
// read.
func scriptedEndpoint(t *testing.T, respond func(c net.Conn, id string) []byte) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for buf := make([]byte, 4096); ; {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					if words := strings.Split(string(buf[:n]), "\r\n"); words[2] == "GET" {
						c.Write(respond(c, words[4]))
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newRequest(id, n int, to uint32) core.AttemptRequest {
	return core.AttemptRequest{
		AttemptKey: core.AttemptKey{ID: control.RequestID(id), Number: n}, Endpoint: to, Source: to, Txn: strings.Repeat("0", 15) + string(rune('a'+id)),
		Class: "firmware", ObjectName: "7f3a9c21e0b4d655", Deadline: 1e12 + 60000, MaxAge: 0.4,
	}
}

func TestRequestAndResponseFields(t *testing.T) {
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		return "NOENT", "why=rode,lag=12.5,rep=inflight:7;util:0.61;x9:1", nil, true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := newTestPool(t, s.Addr())
	a := newRequest(1, 0, 1)
	a.Fill, a.Source, a.CacheRank, a.JoinFill, a.ClientETag, a.Deadline = true, 0x2c9011f2, 2, true, "0a", b.clock.Now()+1500.9
	b.updateEndpoint(0x2c9011f2, "127.0.0.1:1", control.Ready) // an attempt is sent only if its fill source is in the endpoint list
	b.pool.Send(a)
	result := b.awaitResult(a.AttemptKey)
	if result.Outcome != control.Miss || result.Note != control.Joined || result.QueueDelay != 12.5 || result.Load == nil || result.Load.InFlight != 7 || result.Load.LinkUtilization != -1 {
		t.Errorf("%+v %+v", result, result.Load)
	}
	f := s.Commands("GET")[0].Fields
	for k, want := range map[string]string{
		"lane": "firmware", "name": "7f3a9c21e0b4d655", "piece": "0", "ttl": "1500", "via": "s-2c9011f2", "tier": "2",
		"fresh": "1", "opts": "j", "known": "0a", // a maximum age under 1 ms must not be sent as 0, which selects the limit of the class
	} {
		if f[k] != want {
			t.Errorf("field %s is %q, want %q", k, f[k], want)
		}
	}
}

// A refused connection proves that the attempt has not run; after a closed connection it may have run.
func TestConnectionFailureOutcomes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := l.Addr().String()
	l.Close()
	var s *fakestore.Endpoint
	s, err = fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		s.ResetConnections()
		return "", "", nil, false
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := newTestPool(t, unused, s.Addr())
	for to, want := range map[uint32]control.Outcome{1: control.ConnectFailed, 2: control.ConnectionLost, 9: control.NotSent} {
		a := newRequest(int(to), 0, to)
		b.pool.Send(a)
		if e := b.awaitResult(a.AttemptKey); e.Outcome != want {
			t.Errorf("endpoint %d: %v, want %v", to, e.Outcome, want)
		}
	}
}

// The next attempt of a request must not run together with a canceled one: a canceled attempt ends only once its DROP is
// written, and a late response to it is not matched to a later attempt with the same ID.
func TestCanceledAttemptEndsAfterDrop(t *testing.T) {
	responses := make(chan string, 4)
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=0a,minted=1,why=local", []byte(<-responses), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := newTestPool(t, s.Addr())
	first, second := newRequest(1, 0, 1), newRequest(1, 1, 1)
	b.pool.Send(first)
	for len(s.Commands("GET")) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.pool.Cancel(first.AttemptKey, control.TimedOut)
	if e := b.awaitResult(first.AttemptKey); e.Outcome != control.TimedOut {
		t.Errorf("canceled: %+v", e)
	}
	for len(s.Commands("DROP")) == 0 { // it is written, so it must arrive
		time.Sleep(time.Millisecond)
	}
	b.pool.Send(second)
	for len(s.Commands("GET")) < 2 {
		time.Sleep(time.Millisecond)
	}
	responses <- "one"
	responses <- "two"
	if e := b.awaitResult(second.AttemptKey); e.Outcome != control.OK || e.Body == nil {
		t.Errorf("second attempt: %+v", e)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.events); n != 2 {
		t.Errorf("%d events for two attempts", n)
	}
}

// FuzzPool checks a connection's states against a model. Whatever the steps, each attempt ends exactly once, an attempt that
// ended OK had a response, and one that ended as not sent did not reach the endpoint.
func FuzzPool(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 0, 1, 4, 0, 5})
	f.Add([]byte{0, 0, 0, 3, 3, 1, 1, 5, 0, 1})
	f.Add([]byte{0, 3, 0, 2, 1, 1, 5, 5, 0, 1, 4, 1})
	f.Fuzz(func(t *testing.T, steps []byte) {
		if len(steps) > 40 {
			t.Skip()
		}
		var mu sync.Mutex
		responses := make(chan string, 64)
		answered := map[string]bool{}
		s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
			status := <-responses
			mu.Lock()
			defer mu.Unlock()
			answered[c.ID] = answered[c.ID] || status == "ACK"
			return status, "tag=0a,minted=1", nil, status != ""
		})
		if err != nil {
			t.Fatal(err)
		}
		b := newTestPool(t, s.Addr())
		var sent []core.AttemptKey
		for _, step := range steps {
			switch step % 6 {
			case 0:
				a := newRequest(len(sent)+1, 0, 1)
				sent = append(sent, a.AttemptKey)
				b.pool.Send(a)
			case 1, 2:
				responses <- []string{"ACK", "AGAIN"}[step%6-1]
			case 3:
				if len(sent) > 0 {
					b.pool.Cancel(sent[int(step/6)%len(sent)], control.Canceled)
				}
			case 4:
				s.ResetConnections()
			case 5:
				b.setEndpoints(s.Addr()) // an unchanged list has no effect
			}
		}
		for _, k := range sent {
			b.pool.Cancel(k, control.Canceled)
		}
		reached := map[string]bool{}
		results := map[core.AttemptKey]core.AttemptResult{}
		for _, k := range sent {
			results[k] = b.awaitResult(k)
		}
		for range len(sent) {
			select {
			case responses <- "":
			default:
			}
		}
		close(responses)
		s.Close()
		for _, c := range s.Commands("GET") {
			reached[c.ID] = true
		}
		for k, e := range results {
			txn := newRequest(int(k.ID), 0, 1).Txn
			mu.Lock()
			if e.Outcome == control.OK && !answered[txn] {
				t.Errorf("%v ended OK without a response", k)
			}
			neverRan := e.Outcome == control.NotSent || e.Outcome == control.ConnectFailed || e.Outcome == control.LocalFailure
			if neverRan && reached[txn] {
				t.Errorf("%v ended %v but reached the endpoint", k, e.Outcome)
			}
			mu.Unlock()
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		count := 0
		for _, ev := range b.events {
			switch ev := ev.(type) {
			case core.AttemptResult:
				count++
			case core.BarrierResult: // a connection ended before the response to the PING behind a DROP
				for _, k := range ev.Keys {
					if e, ok := results[k]; !ok || !e.Unconfirmed || !ev.NoResponse {
						t.Errorf("%+v, but its attempt ended as %+v", ev, e)
					}
				}
			default:
				t.Errorf("unexpected event %+v", ev)
			}
		}
		if count != len(sent) {
			t.Errorf("%d results for %d attempts", count, len(sent))
		}
	})
}

func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("*4\r\n$1\r\na\r\n$3\r\nACK\r\n$1\r\n-\r\n$2\r\nhi\r\n"))
	f.Add([]byte("*4\r\n$1\r\na\r\n$3\r\nACK\r\n$1\r\n-\r\n$999999999\r\n"))
	f.Add([]byte("*-1\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := readResponse(bufio.NewReader(bytes.NewReader(b)), func(int) (*limits.Reservation, error) { return nil, nil })
		if err == nil && (len(a.body) > len(b) || len(a.id) > len(b)) {
			t.Errorf("response is longer than its input: %+v", a)
		}
		a.fields.load()
		a.fields.number("lag")
	})
}

// A malformed response ends the connection and the attempts on it. The pool keeps working.
func TestMalformedResponseClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 512))
			c.Write([]byte("*4\r\n$70000\r\n"))
			c.Read(make([]byte, 1))
		}
	}()
	b := newTestPool(t, l.Addr().String())
	for i := range 2 {
		a := newRequest(i, 0, 1)
		b.pool.Send(a)
		if e := b.awaitResult(a.AttemptKey); e.Outcome != control.ConnectionLost {
			t.Errorf("%+v", e)
		}
	}
}

// Complete responses that match no attempt are ignored, whether their ID is unknown or they are duplicates: the connection
// stays open, and a duplicate is never matched to the next attempt of its request.
func TestUnmatchedResponsesAreIgnored(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			first := conns.Add(1) == 1
			go func() {
				defer c.Close()
				for buf := make([]byte, 4096); ; {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					id, status := strings.Split(string(buf[:n]), "\r\n")[4], "ACK"
					if first && id == newRequest(1, 0, 1).Txn {
						status = "AGAIN"
					}
					response := appendCommand(nil, id, status, "tag=0a,minted=1", "")
					c.Write(appendCommand(nil, "ffffffffffffffff", "ACK", "tag=0b,minted=1", "not yours"))
					c.Write(append(response, response...))
				}
			}()
		}
	}()
	b := newTestPool(t, l.Addr().String())
	for _, x := range []struct {
		s     core.AttemptRequest
		want  control.Outcome
		conns int64
	}{{newRequest(0, 0, 1), control.OK, 1}, {newRequest(1, 0, 1), control.Overloaded, 1}, {newRequest(1, 1, 1), control.OK, 2}, {newRequest(2, 0, 1), control.OK, 2}} {
		b.pool.Send(x.s)
		if e := b.awaitResult(x.s.AttemptKey); e.Outcome != x.want || conns.Load() != x.conns {
			t.Errorf("%v: %v with %d connections", x.s.AttemptKey, e.Outcome, conns.Load())
		}
	}
}

// Attempts are spread over several connections. A truncated response ends its connection and all attempts on it; attempts on
// other connections continue.
func TestTruncatedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	truncate, respond := make(chan struct{}), make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			go func() {
				buf := make([]byte, 4096)
				if _, err := c.Read(buf); err != nil {
					return
				}
				if n == 0 { // the first connection
					<-truncate
					c.Write([]byte("*4\r\n$16\r\n0000"))
					return
				}
				<-respond
				c.Write(appendCommand(nil, strings.Split(string(buf), "\r\n")[4], "ACK", "tag=0a,minted=1", ""))
			}()
		}
	}()
	b := newTestPool(t, l.Addr().String())
	conns := func() int {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return len(b.pool.peers[1].conns)
	}
	for i := range dialThreshold + 1 {
		b.pool.Send(newRequest(i, 0, 1))
	}
	for conns() < 2 { // no attempt waits for the second connection
		time.Sleep(time.Millisecond)
	}
	other := newRequest(dialThreshold+1, 0, 1)
	b.pool.Send(other)
	close(truncate)
	for i := range dialThreshold + 1 {
		if e := b.awaitResult(newRequest(i, 0, 1).AttemptKey); e.Outcome != control.ConnectionLost {
			t.Errorf("%+v", e)
		}
	}
	close(respond)
	if e := b.awaitResult(other.AttemptKey); e.Outcome != control.OK {
		t.Errorf("%+v", e)
	}
}

// An attempt that must not run twice gets a connection of its own, so that it is not lost to an endpoint's idle close or to a
// malformed response to another attempt. All others use the most recently used connection.
func TestNonIdempotentUsesDedicatedConnection(t *testing.T) {
	var mu sync.Mutex
	remotes := map[string]string{} // attempt ID to the remote address of its connection
	b := newTestPool(t, scriptedEndpoint(t, func(c net.Conn, id string) []byte {
		mu.Lock()
		defer mu.Unlock()
		remotes[id] = c.RemoteAddr().String()
		return appendCommand(nil, id, "ACK", "tag=0a,minted=1", "")
	}))
	used := map[string]bool{}
	for i := range 6 {
		a := newRequest(i, 0, 1)
		a.NonIdempotent = i%2 == 1
		b.pool.Send(a)
		if e := b.awaitResult(a.AttemptKey); e.Outcome != control.OK {
			t.Fatalf("%+v", e)
		}
		mu.Lock()
		if remote := remotes[a.Txn]; a.NonIdempotent && used[remote] || !a.NonIdempotent && i > 0 && remote != remotes[newRequest(0, 0, 1).Txn] {
			t.Errorf("request %d arrived on connection %s", i, remote)
		}
		used[remotes[a.Txn]] = true
		mu.Unlock()
	}
}

// The dedicated connection of a canceled attempt that must not run twice stays open until the endpoint has confirmed the
// DROP.
func TestDedicatedConnectionStaysForConfirmation(t *testing.T) {
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) { return "", "", nil, false })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := newTestPool(t, s.Addr())
	a := newRequest(1, 0, 1)
	a.NonIdempotent = true
	b.pool.Send(a)
	b.waitUntil("the request arrives at the endpoint", func() bool { return len(s.Commands("GET")) == 1 })
	b.pool.Cancel(a.AttemptKey, control.TimedOut)
	if e := b.awaitResult(a.AttemptKey); !e.Unconfirmed {
		t.Errorf("%+v", e)
	}
	b.waitUntil("the cancellation is confirmed", func() bool { return len(b.confirmed) == 1 && b.confirmed[0] == a.AttemptKey })
	b.waitUntil("the connection is closed", func() bool { b.pool.mu.Lock(); defer b.pool.mu.Unlock(); return b.pool.conns == 0 })
}

// truncatingConn accepts a number of bytes and then fails, like a connection that is reset during a write.
type truncatingConn struct {
	net.Conn
	remaining int
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	n := min(c.remaining, len(b))
	c.remaining -= n
	if n < len(b) {
		return n, errors.New("reset")
	}
	return c.Conn.Write(b)
}

// After a failed write the result of an attempt depends on whether it was completely written: if not, it has not run.
func TestPartialWriteOutcome(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go io.Copy(io.Discard, far) // the first attempt is written on its own, as this connection has no file descriptor
	b := newTestPool(t, "127.0.0.1:1")
	first, second := newRequest(1, 0, 1), newRequest(2, 0, 1)
	up := make(chan struct{})
	b.pool.opt.Dial = func(context.Context, string, string) (net.Conn, error) {
		<-up
		return &truncatingConn{near, len(encodeGet(first, first.Deadline-b.clock.Now())) + 10}, nil
	}
	b.pool.Send(first)
	b.pool.Send(second)
	close(up)
	if a, c := b.awaitResult(first.AttemptKey), b.awaitResult(second.AttemptKey); a.Outcome != control.ConnectionLost || c.Outcome != control.ConnectFailed {
		t.Errorf("complete: %v, truncated: %v", a.Outcome, c.Outcome)
	}
}

// A connection to a machine that has failed without closing it stays open without responses. After a while it takes no new
// attempts, which dial a new connection instead: if that fails, they have certainly not run.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	var blocked sync.WaitGroup
	blocked.Add(1)
	var calls atomic.Int64
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		if calls.Add(1) == 1 {
			blocked.Wait()
			return "", "", nil, false
		}
		return "ACK", "tag=0a,minted=1", nil, true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	defer blocked.Done()
	b := newTestPool(t, s.Addr())
	var dials atomic.Int64
	dial := b.pool.opt.Dial
	b.pool.opt.Dial = func(ctx context.Context, n, a string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, n, a)
	}
	lost := newRequest(1, 0, 1)
	b.pool.Send(lost)
	for len(s.Commands("GET")) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.clock.Advance(600)
	b.pool.Cancel(lost.AttemptKey, control.TimedOut)
	b.awaitResult(lost.AttemptKey)
	b.clock.Advance(1100)
	for closed := false; !closed; time.Sleep(time.Millisecond) { // the next sweep
		b.pool.mu.Lock()
		closed = len(b.pool.peers[1].conns) == 0
		b.pool.mu.Unlock()
	}
	next := newRequest(2, 0, 1)
	b.pool.Send(next)
	if e := b.awaitResult(next.AttemptKey); e.Outcome != control.OK || dials.Load() != 2 {
		t.Errorf("%+v after %d dials", e, dials.Load())
	}
}

// An attempt that waits for a dial to an endpoint that is removed meanwhile has not run, and the endpoint is not dialed again.
func TestEndpointRemovedDuringDial(t *testing.T) {
	b := newTestPool(t, "127.0.0.1:1")
	up := make(chan struct{})
	var dials atomic.Int64
	b.pool.opt.Dial = func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		<-up
		c, _ := net.Pipe()
		return c, nil
	}
	a := newRequest(1, 0, 1)
	b.pool.Send(a)
	b.setEndpoints()
	close(up)
	if e := b.awaitResult(a.AttemptKey); e.Outcome != control.NotSent || dials.Load() > 1 {
		t.Errorf("%+v after %d dials", e, dials.Load())
	}
}

// Attempts that wait for a dial end as not sent if their target or fill source starts to drain or is excluded meanwhile.
func TestUnsentAttemptsEndOnExclusionOrDrain(t *testing.T) {
	changes := map[string]func(b *testPool){
		"excluded": func(b *testPool) { b.pool.Exclude(2, true) },
		"draining": func(b *testPool) {
			b.pool.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Addr: "127.0.0.1:2", Info: control.Endpoint{ID: 2, State: control.Draining}}}})
		},
	}
	for name, change := range changes {
		b := newTestPool(t, "127.0.0.1:1", "127.0.0.1:2")
		up := make(chan struct{})
		var wrote atomic.Int64
		b.pool.opt.Dial = func(context.Context, string, string) (net.Conn, error) {
			<-up
			c, far := net.Pipe()
			go func() {
				n, _ := io.Copy(io.Discard, far)
				wrote.Add(n)
			}()
			return c, nil
		}
		fill, dedicated := newRequest(2, 0, 1), newRequest(3, 0, 2)
		fill.Source, fill.Fill, dedicated.NonIdempotent = 2, true, true
		waiting := []core.AttemptRequest{newRequest(1, 0, 2), fill, dedicated}
		for _, s := range waiting {
			b.pool.Send(s)
		}
		b.pool.CheckHealth(2)
		change(b)
		for _, s := range waiting { // immediately, not when the dial completes
			if e := b.awaitResult(s.AttemptKey); e.Outcome != control.NotSent {
				t.Errorf("%s: %+v", name, e)
			}
		}
		close(up)
		b.pool.Close()
		if wrote.Load() > 0 {
			t.Errorf("%s: %d bytes sent", name, wrote.Load())
		}
	}
}

func TestDialTimeout(t *testing.T) {
	b := newTestPool(t, "127.0.0.1:1")
	b.pool.opt.DialTimeout = 1
	b.pool.opt.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done() // like a machine that does not respond
		return nil, errors.New("no response")
	}
	a := newRequest(1, 0, 1)
	b.pool.Send(a)
	if e := b.awaitResult(a.AttemptKey); e.Outcome != control.ConnectFailed {
		t.Errorf("%+v", e)
	}
}

// An attempt whose send deadline passes during the dial is not sent, so it has certainly not run.
func TestSendDeadlinePassesDuringDial(t *testing.T) {
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i, nonIdempotent := range []bool{false, true} {
		b := newTestPool(t, s.Addr())
		b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			b.clock.Advance(300)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		for n, sendBy := range []float64{301, 300} { // ms from now; the second attempt shares the connection or dials again
			a := newRequest(i, n, 1)
			a.NonIdempotent, a.SendDeadline, a.IdempotencyKey = nonIdempotent, b.clock.Now()+sendBy, "5c0f"
			if n == 1 && !nonIdempotent {
				a.SendDeadline = b.clock.Now()
			}
			b.pool.Send(a)
			if e, want := b.awaitResult(a.AttemptKey), []control.Outcome{control.OK, control.NotSent}[n]; e.Outcome != want || e.Unconfirmed {
				t.Errorf("non-idempotent %v, %v ms: %+v, want %v", nonIdempotent, sendBy, e, want)
			}
		}
	}
	if calls := s.Commands("GET"); len(calls) != 2 || calls[0].Fields["dedupe"] != "5c0f" {
		t.Errorf("%d requests at the endpoint: %+v", len(calls), calls)
	}
}

// The options of an attempt are sent as words joined by a plus. An endpoint rejects unknown options.
func TestOptionsField(t *testing.T) {
	for _, x := range []struct {
		join, cachedOnly bool
		want             string
	}{{false, false, ""}, {true, false, ",opts=j"}, {false, true, ",opts=h"}, {true, true, ",opts=j+h"}} {
		got := string(encodeGet(core.AttemptRequest{Txn: "1", Class: "tile", ObjectName: "x", Deadline: 5, JoinFill: x.join, CachedOnly: x.cachedOnly}, 5))
		if want := "ttl=5" + x.want + "\r\n"; !strings.Contains(got, want) {
			t.Errorf("join %v, cached only %v: %q", x.join, x.cachedOnly, got)
		}
	}
}

// An endpoint that is no longer in the list is deleted with its last connection; one that is listed again is kept. No deleted
// endpoint stays among the removed ones.
func TestRemovedEndpointsAreDeleted(t *testing.T) {
	p := New(Options{Clock: clock.Manual(0), Log: zerolog.Nop()}, func(core.Event) {})
	defer p.Close()
	endpoint := func(id control.EndpointID, state control.State) core.Endpoint {
		return core.Endpoint{Addr: "127.0.0.1:1", Info: control.Endpoint{ID: id, State: state}}
	}
	check := func(step string, want ...uint32) {
		t.Helper()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, id := range want {
			if q := p.peers[id]; q == nil || q.removed {
				t.Errorf("%s: endpoint %d is missing", step, id)
			}
		}
		if len(p.peers) != len(want) || len(p.removed) != 0 {
			t.Errorf("%s: %d endpoints, want %d; %d counted as removed", step, len(p.peers), len(want), len(p.removed))
		}
	}
	p.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: []core.Endpoint{endpoint(1, control.Ready), endpoint(2, control.Ready), endpoint(3, control.Draining)}})
	check("snapshot", 1, 2, 3)
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{endpoint(2, control.Gone), endpoint(4, control.Ready)}})
	check("changes", 1, 3, 4)
	p.mu.Lock()
	p.peers[4].dialing = true // it is not deleted during a dial
	p.mu.Unlock()
	p.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: []core.Endpoint{endpoint(1, control.Ready), endpoint(2, control.Ready)}})
	p.mu.Lock()
	if q := p.peers[4]; q == nil || !q.removed || len(p.removed) != 1 {
		t.Error("an endpoint with a dial in progress was deleted, or does not count as removed")
	}
	p.peers[4].dialing = false
	p.mu.Unlock()
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{endpoint(1, control.Ready)}})
	check("after the dial", 1, 2)
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{endpoint(2, control.Gone), endpoint(2, control.Ready)}})
	check("listed again", 1, 2)
}
