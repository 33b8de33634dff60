package fastcgi

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
)

// interruptedConn counts how often its reads are interrupted.
type interruptedConn struct {
	*net.TCPConn
	count *atomic.Int64
}

func (c interruptedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.count.Add(1)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// In a drain, a reader that holds part of a record cannot close its connection. It must be interrupted once by each sweep, and
// must not interrupt itself in a busy loop.
func TestPartialRecordInDrain(t *testing.T) {
	clk := clock.Manual(1e12)
	f := New(Options{Post: func(core.Event) {}, Clock: clk, Log: zerolog.Nop()})
	near, far := tcpPair(t)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer near.Close()
	var interrupted atomic.Int64
	serving.Go(func() { f.Handle(interruptedConn{far, &interrupted}) })
	cl := newClient(near)
	near.Write(append(beginRecord(1), paramsAndStdin(1, "/healthz", "1")...))
	cl.wait(t, 1)
	near.Write(beginRecord(2)[:3])
	waitForArrival(t, far, 0, false)
	f.Drain(true)
	clk.Advance(600)
	const sweeps = 5
	for range sweeps {
		f.server.Sweep()
		time.Sleep(20 * time.Millisecond) // enough for thousands of iterations of a busy loop
	}
	if n := interrupted.Load(); n > sweeps+1 { // one more if the response was not yet recorded as written
		t.Errorf("%d sweeps interrupted the reader %d times", sweeps, n)
	}
	near.Write(append(beginRecord(2)[3:], paramsAndStdin(2, "/healthz", "2")...))
	cl.wait(t, 2)
	<-cl.done
}
