package front_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front/fastcgi"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/token/ring"
)

// protocol is a frontend with a request that it answers without the core.
type protocol struct {
	name         string
	newServer    func(t testing.TB, maxConns int, clk *clock.Clock) server
	request      []byte
	readResponse func(r *bufio.Reader) error
}

type server interface {
	Serve(ctx context.Context, l net.Listener) error
	Conns() int
	Drain(on bool)
}

var protocols = []protocol{
	{
		name: "fastcgi",
		newServer: func(_ testing.TB, maxConns int, clk *clock.Clock) server {
			return fastcgi.New(fastcgi.Options{MaxConns: maxConns, Post: func(core.Event) {}, Clock: clk, Log: zerolog.Nop()})
		},
		request:      fastcgiHealthRequest(),
		readResponse: readFastCGIResponse,
	},
	{
		name: "signed",
		newServer: func(t testing.TB, maxConns int, clk *clock.Clock) server {
			keys, err := ring.New(nil)
			if err != nil {
				t.Fatal(err)
			}
			return signed.New(signed.Options{MaxConns: maxConns, Post: func(core.Event) {}, Clock: clk, Log: zerolog.Nop(), Ring: keys})
		},
		request: []byte("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"),
		readResponse: func(r *bufio.Reader) error {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		},
	},
}

// Record types of FastCGI 1.0.
const (
	recordBegin  = 1
	recordEnd    = 3
	recordParams = 4
	recordStdin  = 5
)

func fastcgiHealthRequest() (out []byte) {
	record := func(kind byte, data string) {
		out = append(out, 1, kind, 0, 1)
		out = binary.BigEndian.AppendUint16(out, uint16(len(data)))
		out = append(append(out, 0, 0), data...)
	}
	record(recordBegin, "\x00\x01\x01\x00\x00\x00\x00\x00") // role Responder, FCGI_KEEP_CONN
	record(recordParams, "\x0b\x08SCRIPT_NAME/healthz")
	record(recordParams, "")
	record(recordStdin, "")
	return out
}

// readFastCGIResponse reads records up to END_REQUEST.
func readFastCGIResponse(r *bufio.Reader) error {
	for {
		var head [8]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return err
		}
		if _, err := r.Discard(int(binary.BigEndian.Uint16(head[4:])) + int(head[6])); err != nil {
			return err
		}
		if head[1] == recordEnd {
			return nil
		}
	}
}

// frontendTest is a running frontend and its clients.
type frontendTest struct {
	protocol
	t        testing.TB
	frontend server
	addr     string
	stop     context.CancelFunc
	served   chan struct{} // closed when Serve has returned
	read     atomic.Int64  // bytes that the frontend has read
}

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{nc.(*net.TCPConn), l.read}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// startFrontend serves a frontend at an address of its own until the test ends.
func startFrontend(t testing.TB, p protocol, maxConns int, clk *clock.Clock) *frontendTest {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveFrontend(t, p, maxConns, clk, l)
}

// serveFrontend serves a frontend at a listener until the test ends.
func serveFrontend(t testing.TB, p protocol, maxConns int, clk *clock.Clock, l net.Listener) *frontendTest {
	ctx, stop := context.WithCancel(context.Background())
	f := &frontendTest{
		protocol: p, t: t, frontend: p.newServer(t, maxConns, clk), addr: l.Addr().String(), stop: stop, served: make(chan struct{}),
	}
	if _, plain := l.(*net.TCPListener); plain {
		l = countingListener{l, &f.read}
	}
	go func() {
		defer close(f.served)
		f.frontend.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		stop()
		<-f.served
	})
	return f
}

// connect opens a connection and sends bytes on it. It stays open until the test ends.
func (f *frontendTest) connect(bytes []byte) (net.Conn, error) {
	nc, err := net.Dial("tcp", f.addr)
	if err != nil {
		return nil, err
	}
	f.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = nc.Write(bytes)
	return nc, err
}

// exchange opens a connection, sends one request and leaves the connection open. It returns the time from the request's last
// byte to the end of the response.
func (f *frontendTest) exchange() (time.Duration, error) {
	nc, err := f.connect(f.request)
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	err = f.readResponse(bufio.NewReader(nc))
	return time.Since(sent), err
}

// exchangeMany calls exchange count times, several at a time.
func (f *frontendTest) exchangeMany(count int) error {
	const concurrency = 16
	var all sync.WaitGroup
	errs := make(chan error, concurrency)
	for range concurrency {
		all.Go(func() {
			for range count / concurrency {
				if _, err := f.exchange(); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	all.Wait()
	close(errs)
	return <-errs
}

// The frontend is at its connection limit, for several reasons. Four times as many connections as the limit that each send one
// request and stay open must be served within a second, and the last one without delay.
func TestOverloadWithIdleConnections(t *testing.T) {
	const maxConns = 96
	fillings := map[string]func(f *frontendTest, clk *clock.Clock) error{
		"idle connections": func(f *frontendTest, _ *clock.Clock) error { return f.exchangeMany(maxConns) },
		"partial requests": func(f *frontendTest, clk *clock.Clock) error {
			for range maxConns {
				if _, err := f.connect(f.request[:len(f.request)/2]); err != nil {
					return err
				}
			}
			// Bytes that are read after the clock has advanced would count as progress, and the request would not stall.
			allRead := func(conns int) bool { return f.read.Load() >= int64(conns*(len(f.request)/2)) }
			for end := time.Now().Add(10 * time.Second); (f.frontend.Conns() < maxConns*9/10 || !allRead(f.frontend.Conns())) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			clk.Advance(400) // the partial requests stall
			return nil
		},
		"partial requests in progress in all slots but two": func(f *frontendTest, _ *clock.Clock) error {
			const kept = maxConns*15/16 - 2 // 15/16 of the limit are slots
			for range kept {
				if _, err := f.connect(f.request[:len(f.request)/2]); err != nil {
					return err
				}
			}
			for end := time.Now().Add(10 * time.Second); f.frontend.Conns() < kept && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			return nil
		},
		"silent connections": func(f *frontendTest, clk *clock.Clock) error {
			for range maxConns {
				if _, err := f.connect(nil); err != nil {
					return err
				}
			}
			for end := time.Now().Add(10 * time.Second); f.frontend.Conns() < maxConns*9/10 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			clk.Advance(100)
			return nil
		},
	}
	for _, p := range protocols {
		for name, fill := range fillings {
			t.Run(p.name+"/"+name, func(t *testing.T) {
				clk := clock.Manual(1e12)
				f := startFrontend(t, p, maxConns, clk)
				if err := fill(f, clk); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				if err := f.exchangeMany(4 * maxConns); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(start); took > time.Second {
					t.Errorf("%d connections took %v", 4*maxConns, took)
				}
				took, err := f.exchange()
				if err != nil || took > 100*time.Millisecond {
					t.Errorf("the last response took %v, error %v", took, err)
				}
				if got := f.frontend.Conns(); got > maxConns {
					t.Errorf("%d connections, limit %d", got, maxConns)
				}
			})
		}
	}
}

// A frontend that is drained or stopped while many connections arrive must close the idle ones and end.
func TestDrainAndStopUnderOverload(t *testing.T) {
	const maxConns = 64
	ends := map[string]func(f *frontendTest, clk *clock.Clock){
		"drain": func(f *frontendTest, clk *clock.Clock) {
			f.frontend.Drain(true)
			for range 40 { // until after the time at which all connections are to be closed
				clk.Advance(100)
				time.Sleep(time.Millisecond)
			}
		},
		"end": func(f *frontendTest, _ *clock.Clock) { f.stop() },
	}
	for _, p := range protocols {
		for name, end := range ends {
			t.Run(p.name+"/"+name, func(t *testing.T) {
				clk := clock.Manual(1e12)
				f := startFrontend(t, p, maxConns, clk)
				var arriving sync.WaitGroup
				arriving.Go(func() { f.exchangeMany(5 * maxConns) }) // connections after the end fail
				for f.frontend.Conns() < maxConns/2 {
					time.Sleep(time.Millisecond)
				}
				end(f, clk)
				if name == "drain" {
					arriving.Wait()
					for deadline := time.Now().Add(10 * time.Second); f.frontend.Conns() > 0; time.Sleep(time.Millisecond) {
						clk.Advance(50)
						if time.Now().After(deadline) {
							t.Fatalf("%d connections were not closed", f.frontend.Conns())
						}
					}
					return
				}
				select {
				case <-f.served:
				case <-time.After(10 * time.Second):
					t.Fatal("Serve does not return")
				}
			})
		}
	}
}

// A connection whose partial request is in progress must not be evicted, however many connections arrive: the request is
// answered once the rest of it is received.
func TestPartialRequestInProgressUnderOverload(t *testing.T) {
	const maxConns = 64
	for _, p := range protocols {
		t.Run(p.name, func(t *testing.T) {
			f := startFrontend(t, p, maxConns, clock.Manual(1e12))
			half := len(p.request) / 2
			slow, err := f.connect(p.request[:half])
			if err != nil {
				t.Fatal(err)
			}
			if err := f.exchangeMany(3 * maxConns); err != nil {
				t.Fatal(err)
			}
			if _, err := slow.Write(p.request[half:]); err != nil {
				t.Fatal(err)
			}
			if err := p.readResponse(bufio.NewReader(slow)); err != nil {
				t.Errorf("response to the partial request: %v", err)
			}
		})
	}
}

// BenchmarkAcceptFull measures the rate at which connections are accepted and answered, with one, two and five times as many
// connections as the limit.
func BenchmarkAcceptFull(b *testing.B) {
	const maxConns = 256
	for _, times := range []int{1, 2, 5} {
		b.Run(fmt.Sprintf("times=%d", times), func(b *testing.B) {
			var took time.Duration
			for range b.N {
				f := startFrontend(b, protocols[0], maxConns, clock.System())
				start := time.Now()
				if err := f.exchangeMany(times * maxConns); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					b.Fatal(err)
				}
				took += time.Since(start)
				f.stop()
				<-f.served
			}
			b.ReportMetric(float64(b.N*times*maxConns)/took.Seconds(), "connections/s")
		})
	}
}
