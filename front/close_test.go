package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/front"
)

// holdingConn delays the return of a read: the bytes have left the socket, but the frontend has not received them yet.
type holdingConn struct {
	*net.TCPConn
	armed   atomic.Bool
	read    chan struct{} // closed once the bytes were read from the socket
	resume  chan struct{} // closed by the test to let the read return
	decided chan struct{} // closed once the connection is closed or its reads are interrupted
	once    sync.Once
}

func (c *holdingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.armed.CompareAndSwap(true, false) {
		close(c.read)
		<-c.resume
	}
	return n, err
}

func (c *holdingConn) decide() { c.once.Do(func() { close(c.decided) }) }

func (c *holdingConn) Close() error {
	c.decide()
	return c.TCPConn.Close()
}

func (c *holdingConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.decide()
	}
	return c.TCPConn.SetReadDeadline(t)
}

// holdingListener wraps each accepted connection in a holdingConn.
type holdingListener struct {
	net.Listener
	accepted chan *holdingConn
}

func (l holdingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &holdingConn{
		TCPConn: nc.(*net.TCPConn), read: make(chan struct{}), resume: make(chan struct{}), decided: make(chan struct{}),
	}
	select {
	case l.accepted <- c:
	default:
	}
	return c, nil
}

// adminProtocol is that of the admin API.
var adminProtocol = protocol{
	name: "admin",
	newServer: func(_ testing.TB, maxConns int, clk *clock.Clock) server {
		return undrained{adminapi.New(adminapi.Options{Gateway: idleGateway{}, MaxConns: maxConns, Clock: clk, Log: zerolog.Nop()})}
	},
	request:      []byte("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"),
	readResponse: readHTTPResponse,
}

type idleGateway struct{}

func (idleGateway) State() adminapi.State                           { return adminapi.State{Ready: true} }
func (idleGateway) SetDisabled(context.Context, uint32, bool) error { return nil }
func (idleGateway) SetDraining(context.Context, bool) error         { return nil }

// undrained is a server that is not affected by a drain.
type undrained struct{ *adminapi.Server }

func (undrained) Drain(bool) {}

// readHTTPResponse reads a response with any status.
func readHTTPResponse(r *bufio.Reader) error {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// unread reports whether there are bytes in the socket's receive buffer.
func unread(c *net.TCPConn) bool {
	readable, _ := front.PollConn(c)
	return readable
}

// closeCase is a reason for which a connection is closed, with the bytes received before.
type closeCase struct {
	name     string
	before   func(p protocol) []byte // the bytes received before
	complete bool                    // they are a complete request, which is answered
	drain    bool
	wait     float64 // ms before the request whose last byte is read at the time of the close
	trigger  func(f *frontendTest, clk *clock.Clock)
}

func noBytes(protocol) []byte           { return nil }
func halfRequest(p protocol) []byte     { return p.request[:len(p.request)/2] }
func completeRequest(p protocol) []byte { return p.request }

func evict(f *frontendTest, _ *clock.Clock) { f.connect(nil) }

func advance(ms float64) func(*frontendTest, *clock.Clock) {
	return func(_ *frontendTest, clk *clock.Clock) { clk.Advance(ms) }
}

func drain(ms float64) func(*frontendTest, *clock.Clock) {
	return func(f *frontendTest, clk *clock.Clock) {
		f.frontend.Drain(true)
		clk.Advance(ms)
	}
}

func stop(f *frontendTest, _ *clock.Clock) { f.frontend.(interface{ Stop() }).Stop() }

var closeCases = []closeCase{
	{name: "eviction of a silent connection", before: noBytes, wait: 100, trigger: evict},
	{name: "eviction with a stalled partial request", before: halfRequest, wait: 400, trigger: evict},
	{name: "eviction of an idle connection", before: completeRequest, complete: true, wait: 100, trigger: evict},
	{name: "first byte timeout", before: noBytes, trigger: advance(12100)},
	{name: "read timeout of a partial request", before: halfRequest, trigger: advance(5100)},
	{name: "request timeout of a partial request", before: halfRequest, trigger: advance(30100)},
	{name: "idle timeout", before: completeRequest, complete: true, trigger: advance(60100)},
	{name: "drain of an idle connection", before: completeRequest, complete: true, drain: true, trigger: drain(600)},
	{name: "drain of a new silent connection", before: noBytes, drain: true, trigger: drain(800)},
	{name: "drain with a partial request", before: halfRequest, drain: true, trigger: drain(2600)},
	{name: "stop with an idle connection", before: completeRequest, complete: true, trigger: stop},
	{name: "stop with a silent connection", before: noBytes, trigger: stop},
	{name: "stop with a partial request", before: halfRequest, trigger: stop},
}

// A request whose last byte has been read at the time at which its connection is to be closed, for whatever reason, must be
// answered, also if it is the connection's first.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	for _, p := range append([]protocol{adminProtocol}, protocols...) {
		if p.name == "signed" {
			p.readResponse = readHTTPResponse // the status is 503 in a drain
		}
		for _, c := range closeCases {
			if p.name == adminProtocol.name && (c.complete || c.drain) { // the admin API closes after one request and is not drained
				continue
			}
			t.Run(p.name+"/"+c.name, func(t *testing.T) { testRequestReadDuringClose(t, p, c) })
		}
	}
}

func testRequestReadDuringClose(t *testing.T, p protocol, c closeCase) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clk := clock.Manual(1e12)
	accepted := make(chan *holdingConn, 1)
	f := serveFrontend(t, p, 1, clk, holdingListener{l, accepted})
	sent := c.before(p)
	client, err := f.connect(sent)
	if err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(client)
	rest := p.request
	if c.complete {
		if err := p.readResponse(responses); err != nil {
			t.Fatal(err)
		}
	} else {
		rest = rest[len(sent):]
	}
	held := <-accepted
	for deadline := time.Now().Add(20 * time.Second); f.frontend.Conns() == 0 || unread(held.TCPConn); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the frontend to read the first bytes")
		}
	}
	clk.Advance(c.wait)
	held.armed.Store(true)
	if _, err := client.Write(rest); err != nil {
		t.Fatal(err)
	}
	<-held.read
	c.trigger(f, clk)
	answered := make(chan error, 1)
	go func() { answered <- p.readResponse(responses) }()
	select {
	case <-held.decided:
		close(held.resume)
		err = <-answered
	case err = <-answered: // the partial request was rejected while the rest of it was being read
		close(held.resume)
	case <-time.After(2 * maxSweepDelay): // the connection is not to be closed
		close(held.resume)
		err = <-answered
	}
	if err != nil {
		t.Errorf("a request that was read was not answered: %v", err)
	}
}

// maxSweepDelay is longer than the time between two sweeps, also on a busy machine.
const maxSweepDelay = time.Second

// A connection that keeps sending without ever completing a request must be closed at the timeout, although there are always
// unread bytes.
func TestEndlessPartialRequestTimesOut(t *testing.T) {
	endless := map[string]struct{ first, more []byte }{
		// Records of the unused DATA stream; and a body, one byte at a time, that is never complete.
		"fastcgi": {protocols[0].request[:len(protocols[0].request)/2], []byte{1, 8, 0, 1, 0, 1, 0, 0, 'x'}},
		"signed":  {[]byte("POST /v1/ride-end/1/0 HTTP/1.1\r\nHost: a\r\nContent-Length: 48000\r\n\r\n"), []byte("x")},
	}
	for _, p := range protocols {
		t.Run(p.name, func(t *testing.T) {
			clk := clock.Manual(1e12)
			f := startFrontend(t, p, 4, clk)
			nc, err := f.connect(endless[p.name].first)
			if err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(20 * time.Second); f.frontend.Conns() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("timed out waiting for the connection to be accepted")
				}
			}
			start := time.Now()
			for {
				clk.Advance(10) // the loop runs long enough to exceed the timeout
				if _, err := nc.Write(endless[p.name].more); err != nil {
					break
				}
				if time.Since(start) > 15*time.Second {
					t.Fatal("the connection was not closed")
				}
			}
		})
	}
}
