package resp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
)

// opaqueConn is a connection without access to its file descriptor, such as a recorded one.
type opaqueConn struct{ net.Conn }

// The ttl field is the time that the client has left when the request is written, however long the request was queued. A request
// without time left ends as not sent.
func TestTTLIsTimeLeftAtWrite(t *testing.T) {
	const initial = 500 // ms that the client has left when the attempt is made
	cases := []struct {
		name   string
		waited float64
		ttl    string // "": not sent
	}{
		{"no wait", 0, "500"},
		{"a wait", 300, "200"},
		{"a wait that leaves a fraction of a millisecond more", 300.5, "199"},
		{"a wait that leaves the minimum", initial - minTTL, "1"},
		{"a wait that leaves less than the minimum", initial - minTTL + 0.5, ""},
		{"a wait for the whole time", initial, ""},
		{"a wait for more than the whole time", initial + 100, ""},
	}
	for _, delay := range []string{"dial", "dedicated dial", "full socket", "full socket without descriptor"} {
		for _, x := range cases {
			t.Run(delay+"/"+x.name, func(t *testing.T) {
				begun, resume := make(chan struct{}, 8), make(chan struct{})
				s, err := fakestore.ListenWithHook("127.0.0.1:0", func(r *bufio.Reader) {
					r.Peek(1)
					begun <- struct{}{}
					<-resume
				}, func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				b, dial := newTestPool(t), make(chan struct{})
				b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					<-dial
					c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					c.(*net.TCPConn).SetWriteBuffer(8 << 10)
					if delay == "full socket without descriptor" {
						return opaqueConn{c}, nil
					}
					return c, nil
				}
				b.setEndpoints(s.Addr())
				first, second := newRequest(1, 0, 1), newRequest(2, 0, 1)
				first.Body = make([]byte, 1<<20) // more than the sockets take
				second.Deadline, second.NonIdempotent = b.clock.Now()+initial, delay == "dedicated dial"
				switch delay {
				case "dial", "dedicated dial":
					b.pool.Send(second)
					b.clock.Advance(x.waited)
					close(dial)
				default: // the first request fills it, and the second is assigned to the same connection
					b.pool.Send(first)
					b.pool.Send(second)
					close(dial)
					<-begun
					b.clock.Advance(x.waited)
				}
				close(resume)
				want := control.OK
				if x.ttl == "" {
					want = control.NotSent
				}
				if e := b.awaitResult(second.AttemptKey); e.Outcome != want || e.Unconfirmed {
					t.Errorf("ended as %+v, want %v and Unconfirmed false", e, want)
				}
				ttl := ""
				for _, c := range s.Commands("GET") {
					if c.ID == second.Txn {
						ttl = c.Fields["ttl"]
					}
				}
				if ttl != x.ttl {
					t.Errorf("ttl at the endpoint is %q ms, want %q", ttl, x.ttl)
				}
			})
		}
	}
}

// A core that is slow to accept an event must not delay the write of a request that is already encoded.
func TestWriteDoesNotWaitForTheCore(t *testing.T) {
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b, dial, taken := newTestPool(t), make(chan struct{}), make(chan struct{})
	post := b.pool.post
	b.pool.post = func(ev core.Event) {
		if e, ok := ev.(core.AttemptResult); ok && e.Outcome == control.NotSent {
			<-taken // like a busy core
		}
		post(ev)
	}
	b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-dial
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	b.setEndpoints(s.Addr())
	late, next := newRequest(1, 0, 1), newRequest(2, 0, 1)
	late.Deadline = b.clock.Now() + 10
	b.pool.Send(late)
	b.pool.Send(next)
	b.clock.Advance(10)
	close(dial)
	b.waitUntil("the request behind it arrives", func() bool { return len(s.Commands("GET")) == 1 })
	close(taken)
	if e := b.awaitResult(late.AttemptKey); e.Outcome != control.NotSent {
		t.Errorf("%+v", e)
	}
	if e := b.awaitResult(next.AttemptKey); e.Outcome != control.OK {
		t.Errorf("%+v", e)
	}
}

// If a request is only partly written when the send buffer is full, a ttl field that is not yet sent is updated when the write
// continues. If the field can no longer be corrected, the request is not sent completely.
func TestTTLOfPartialWrite(t *testing.T) {
	for _, x := range []struct {
		name          string
		cut           string // the first part ends with it
		initial, wait float64
		ttl           string // "": not sent completely
	}{
		{"no wait", "lane=", 500, 0, "500"},
		{"before the field", "lane=", 500, 300, "200"},
		{"before the number", "ttl=", 500, 300, "200"},
		{"in the number, which is partly sent", "ttl=5", 500, 300, "500"},
		{"after the number", "ttl=500", 500, 300, "500"},
		{"fewer digits, within the tolerance", "lane=", 1050, ttlTolerance, "1050"},
		{"fewer digits, beyond the tolerance", "lane=", 1050, ttlTolerance + 1, ""},
		{"less than the minimum left", "lane=", 9, 8.5, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			nc, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			b := newTestPool(t)
			a := &attempt{AttemptRequest: newRequest(1, 0, 1)}
			a.Deadline = b.clock.Now() + x.initial
			k := chunk{attempt: a, bytes: a.command(b.clock.Now())}
			sent := bytes.Index(k.bytes, []byte(x.cut)) + len(x.cut)
			if _, err := nc.Write(k.bytes[:sent]); err != nil {
				t.Fatal(err)
			}
			b.clock.Advance(x.wait)
			err = newConn(b.pool, &peer{}, nc).writeRemainder(k, sent)
			if x.ttl == "" {
				if !errors.Is(err, errDeadlinePassed) {
					t.Errorf("error %v, want %v", err, errDeadlinePassed)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			b.waitUntil("the request arrives", func() bool { return len(s.Commands("GET")) == 1 })
			if got := s.Commands("GET")[0].Fields["ttl"]; got != x.ttl {
				t.Errorf("ttl at the endpoint is %q ms, want %q", got, x.ttl)
			}
		})
	}
}

// pipeCapacity is the capacity in bytes of the pipe of a pipeConn: a page, the minimum.
const pipeCapacity = 4096

// pipeConn is a connection whose writes go through a pipe, so that a write stops when the pipe is full.
type pipeConn struct {
	*net.TCPConn
	writeFD int // the write end of the pipe
	full    chan struct{}
	resume  chan struct{}
}

func (c *pipeConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return pipeRawConn{raw, c}, err
}

type pipeRawConn struct {
	syscall.RawConn
	conn *pipeConn
}

func (c pipeRawConn) Write(f func(fd uintptr) bool) error {
	for !f(uintptr(c.conn.writeFD)) {
		select {
		case c.conn.full <- struct{}{}:
		default:
		}
		<-c.conn.resume
	}
	return nil
}

// A request that is partly written behind another one gets its ttl updated when the write continues, or ends as not sent.
func TestTTLOfPartialWriteBehindAnother(t *testing.T) {
	const headBytes = 60 // of the second request are written with the first; they end before the ttl field
	for _, x := range []struct {
		initial, wait float64
		ttl           string
	}{{500, 300, "200"}, {1050, 500, ""}, {500, 500, ""}} {
		s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) { return "ACK", "tag=0a,minted=1", nil, true })
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		var pipe [2]int
		if err := syscall.Pipe2(pipe[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		out, in := os.NewFile(uintptr(pipe[0]), "pipe"), os.NewFile(uintptr(pipe[1]), "pipe")
		defer out.Close()
		defer in.Close()
		if got, err := unix.FcntlInt(uintptr(pipe[1]), unix.F_SETPIPE_SZ, pipeCapacity); err != nil || got != pipeCapacity {
			t.Fatalf("a pipe of %d bytes, error %v", got, err)
		}
		b, dial := newTestPool(t), make(chan struct{})
		cut := &pipeConn{writeFD: pipe[1], full: make(chan struct{}, 1), resume: make(chan struct{})}
		b.pool.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			<-dial
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			cut.TCPConn, _ = c.(*net.TCPConn)
			return cut, err
		}
		b.pool.opt.MaxConns = 1
		b.setEndpoints(s.Addr())
		first, second := newRequest(1, 0, 1), newRequest(2, 0, 1)
		for len(encodeGet(first, 60000)) < pipeCapacity-headBytes {
			first.Body = append(first.Body, 'x')
		}
		second.Deadline = b.clock.Now() + x.initial
		b.pool.Send(first)
		b.pool.Send(second)
		close(dial)
		<-cut.full
		b.clock.Advance(x.wait)
		go io.Copy(cut.TCPConn, out)
		close(cut.resume)
		want := control.OK
		if x.ttl == "" {
			want = control.NotSent
		}
		if e := b.awaitResult(second.AttemptKey); e.Outcome != want || e.Unconfirmed {
			t.Errorf("%v of %v ms waited: ended as %+v, want %v and Unconfirmed false", x.wait, x.initial, e, want)
		}
		ttl := ""
		for _, c := range s.Commands("GET") {
			if c.ID == second.Txn {
				ttl = c.Fields["ttl"]
			}
		}
		if ttl != x.ttl {
			t.Errorf("%v of %v ms waited: ttl at the endpoint is %q ms, want %q", x.wait, x.initial, ttl, x.ttl)
		}
	}
}
