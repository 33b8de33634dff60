package turnfork

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/internal/fakestore"
)

// watchedConn counts the bytes that the gateway has read from a connection, and blocks one read after holdNextRead is set.
type watchedConn struct {
	*net.TCPConn
	bytesRead    atomic.Int64
	holdNextRead atomic.Bool
	readDone     chan struct{} // closed once the blocked read has received its bytes
	resume       chan struct{} // closed by the test to unblock the read
	closing      chan struct{} // closed once the connection is closed or its reader is interrupted
	once         sync.Once
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.bytesRead.Add(int64(n))
	if n > 0 && c.holdNextRead.CompareAndSwap(true, false) {
		close(c.readDone)
		<-c.resume
	}
	return n, err
}

func (c *watchedConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	return c.TCPConn.Close()
}

func (c *watchedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.once.Do(func() { close(c.closing) })
	}
	return c.TCPConn.SetReadDeadline(t)
}

// stoppingGateway is a gateway on the platform with one endpoint, whose client connections are watched.
type stoppingGateway struct {
	addr     string
	accepted chan *watchedConn
	stop     chan struct{} // closed to request the shutdown
	ended    chan error
}

const stoppingGatewayDeadline = 1800 * time.Millisecond // of the only class in coldEndpointConfig

func newStoppingGateway(t *testing.T, handle func(fakestore.Command) (string, string, []byte, bool)) *stoppingGateway {
	endpoint, err := fakestore.Listen("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { endpoint.Close() })
	const weight = 1000
	text := fmt.Sprintf(coldEndpointConfig, 7919, endpoint.Addr(), weight, 0, 0, 1, 1)
	node, err := config.Parse([]byte(text), "", "")
	if err != nil {
		t.Fatal(err)
	}
	g := &stoppingGateway{accepted: make(chan *watchedConn, 64), stop: make(chan struct{}), ended: make(chan error, 1)}
	ready := make(chan Addrs, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cfg := Config{Node: node, Log: zerolog.Nop(), Clock: clock.System(), Stop: g.stop, Ready: func(a Addrs) { ready <- a }}
	cfg.WrapConn = func(_ string, nc net.Conn) net.Conn {
		c := &watchedConn{
			TCPConn: nc.(*net.TCPConn), readDone: make(chan struct{}), resume: make(chan struct{}), closing: make(chan struct{}),
		}
		g.accepted <- c
		return c
	}
	go func() { g.ended <- Run(ctx, cfg) }()
	select {
	case a := <-ready:
		g.addr = a.FastCGI.String()
	case err := <-g.ended:
		t.Fatal(err)
	}
	return g
}

// connect opens a connection, and returns its client and server ends.
func (g *stoppingGateway) connect(t *testing.T) (net.Conn, *watchedConn) {
	nc, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc, <-g.accepted
}

func answerImmediately(fakestore.Command) (string, string, []byte, bool) {
	return "ACK", "tag=00000000000000aa,why=local,minted=1799999990000", []byte("piece"), true
}

// A request that a blocked read has received when the shutdown begins, but that is not registered yet, is answered before its
// connection closes.
func TestRequestReadDuringShutdownIsAnswered(t *testing.T) {
	g := newStoppingGateway(t, answerImmediately)
	nc, conn := g.connect(t)
	in, answered := bufio.NewReader(nc), new(atomic.Int64)
	nc.Write(fastcgiGet(1, 1))
	if err := readEnds(in, 1, answered); err != nil {
		t.Fatal(err)
	}
	conn.holdNextRead.Store(true)
	nc.Write(fastcgiGet(2, 2))
	<-conn.readDone
	close(g.stop)
	<-conn.closing
	close(conn.resume)
	if err := readEnds(in, 1, answered); err != nil {
		t.Errorf("a request that was read got no response: %v", err)
	}
	if err := <-g.ended; err != nil {
		t.Error(err)
	}
}

// Clients keep sending on their open connections during a shutdown, and the endpoint does not respond to half of them. Every
// request that was read must be answered, and the process must end before the platform would kill it.
func TestClientsKeepSendingDuringShutdown(t *testing.T) {
	const clients = 16
	g := newStoppingGateway(t, func(c fakestore.Command) (string, string, []byte, bool) {
		if last := c.ID[len(c.ID)-1]; last%2 == 0 {
			return answerImmediately(c)
		}
		return "", "", nil, false
	})
	var running sync.WaitGroup
	var served atomic.Int64
	for i := range clients {
		nc, conn := g.connect(t)
		running.Go(func() {
			in, answered := bufio.NewReader(nc), new(atomic.Int64)
			size := int64(len(fastcgiGet(1, 1)))
			for n := 0; ; n++ {
				if _, err := nc.Write(fastcgiGet(uint16(n%1000+1), uint64(n*clients+i+1))); err != nil {
					break
				}
				if err := readEnds(in, 1, answered); err != nil {
					break
				}
			}
			io.Copy(io.Discard, nc)
			if read := conn.bytesRead.Load() / size; read > answered.Load() {
				t.Errorf("%d requests were read, %d answered", read, answered.Load())
			}
			served.Add(answered.Load())
		})
	}
	stopped := time.Now()
	close(g.stop)
	if err := <-g.ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(stopped); took > stoppingGatewayDeadline+700*time.Millisecond {
		t.Errorf("the shutdown took %v", took)
	}
	running.Wait()
	if served.Load() < clients {
		t.Errorf("%d requests of %d clients were answered", served.Load(), clients)
	}
}
