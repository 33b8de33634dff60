package fastcgi

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
)

// gatedFrontend returns a frontend whose requests are answered with its name and their transaction once gate is closed.
func gatedFrontend(name string, received chan<- string, gate <-chan struct{}) *Frontend {
	return newTestFrontend(func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			received <- a.Txn
			go func() {
				<-gate
				a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Served, Body: []byte(name + a.Txn)})
			}()
		}
	})
}

// A connection may be handed over at any position in its stream of requests. Each request must be answered once and
// completely: by the old process if it had received all of it, else by the new one, even if the old one had received a part.
// The same holds after a second handover.
func TestHandOver(t *testing.T) {
	var stream []byte
	for id := uint16(1); id <= 3; id++ {
		stream = append(append(stream, beginRecord(id)...), paramsAndStdin(id, "/v1/firmware", fmt.Sprint(id))...)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "h")
	u, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	successor := func() (*net.UnixConn, error) {
		return net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	}
	for cut := 0; cut <= len(stream); cut += 5 {
		gate, received := make(chan struct{}), make(chan string, 16)
		frontends := []*Frontend{gatedFrontend("a", received, gate), gatedFrontend("b", received, gate), gatedFrontend("c", received, gate)}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wg.Add(1)
		go func() { defer wg.Done(); frontends[0].Handle(far) }()
		cl, counts := newClient(c), map[string]int{}
		c.Write(stream[:cut])
		for range cut / (len(stream) / 3) { // the old process receives the complete requests
			counts[<-received]++
		}
		for _, f := range frontends[:2] {
			next := frontends[1]
			if f == next {
				next = frontends[2]
			}
			adopted := make(chan struct{})
			go func() {
				from, err := u.AcceptUnix()
				if err != nil {
					t.Error(err)
				}
				wg.Add(1)
				close(adopted)
				go func() { defer wg.Done(); next.Adopt(from) }()
			}()
			f.HandOver(successor)
			<-adopted
			if f == frontends[0] {
				close(gate)
				for n := range cut / (len(stream) / 3) {
					cl.wait(t, uint16(n+1))
				}
			}
		}
		c.Write(stream[cut:])
		for id := uint16(1); id <= 3; id++ {
			e := cl.wait(t, id)
			if text := e.stdout.String(); e.endCount != 1 || strings.Count(text, "Status: 200 OK") != 1 || !strings.HasSuffix(text, fmt.Sprint(id)) {
				t.Fatalf("cut at %d: request %d ended %d times: %q", cut, id, e.endCount, text)
			}
		}
		c.Close()
		<-cl.done
		wg.Wait()
		for len(received) > 0 {
			counts[<-received]++
		}
		for _, txn := range []string{"1", "2", "3"} { // a request received twice would be sent to an endpoint twice
			if counts[txn] != 1 || len(counts) != 3 {
				t.Errorf("cut at %d: requests received by the core: %v", cut, counts)
			}
		}
		for i, f := range frontends {
			if f.OpenRequests() != 0 || f.Conns() != 0 {
				t.Errorf("cut at %d: frontend %d has %d open requests on %d connections", cut, i, f.OpenRequests(), f.Conns())
			}
		}
	}
}

// If the old process ends before it has answered its requests, these have failed: the client receives 502, or, if part of a
// response was sent, the connection is closed.
func TestOldProcessEnds(t *testing.T) {
	for _, partlySent := range []bool{false, true} {
		c, far := tcpPair(t)
		old, oldProcess := net.Pipe()
		cl, ended := newClient(c), make(chan struct{})
		f := newTestFrontend(func(core.Event) {})
		go func() {
			defer close(ended)
			f.server.Handle(far, func(nc net.Conn, serverConn *front.Conn) {
				f.serve(nc, serverConn, &handoverState{oldProcess: oldProcess, relayed: map[uint16]bool{7: false}})
			})
		}()
		if partlySent {
			old.Write(appendRecord(nil, typeStdout, 7, []byte("Status: 200 OK\r\n\r\nhalf")))
		}
		old.Close()
		if partlySent {
			<-cl.done
		} else if e := cl.wait(t, 7); !strings.HasPrefix(e.stdout.String(), "Status: 502") {
			t.Errorf("%q", e.stdout.String())
		}
		c.Close()
		<-ended
		if f.OpenRequests() != 0 {
			t.Errorf("partly sent %t: %d requests stay open", partlySent, f.OpenRequests())
		}
	}
}

// If the client disconnects during the handover, while the writer is blocked by a response that the client does not read, its
// requests are canceled at once and not after the writer's timeout.
func TestCancelDuringHandover(t *testing.T) {
	requests := make(chan core.Request, 2)
	f := newTestFrontend(func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			requests <- a
		}
	})
	near, far := tcpPair(t)
	var serving sync.WaitGroup
	serving.Go(func() { f.Handle(far) })
	defer serving.Wait()
	defer near.Close()
	near.Write(append(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...), append(beginRecord(2), paramsAndStdin(2, "/v1/firmware", "2")...)...))
	first, second := <-requests, <-requests
	const size = 32 << 20 // exceeds the socket buffers at both ends of a connection
	first.Frontend.Answer(first.RequestTag, core.Answer{Verdict: core.Served, Body: make([]byte, size)})
	var head [1]byte
	if _, err := near.Read(head[:]); err != nil { // the response is being written
		t.Fatal(err)
	}

	path := filepath.Join(t.TempDir(), "h")
	u, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	started := make(chan struct{})
	f.HandOver(func() (*net.UnixConn, error) {
		defer close(started)
		return net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	})
	<-started
	if err := near.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	disconnected := time.Now()
	for !second.Canceled.Load() {
		if time.Since(disconnected) > 20*time.Second {
			t.Fatal("timed out waiting for the request to be canceled")
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(disconnected); took > writerWaitTimeout/2 {
		t.Errorf("canceled %v after the client disconnected", took)
	}
	second.Frontend.Answer(second.RequestTag, core.Answer{Verdict: core.Failed, Reason: core.ClientGone}) // as the core does
}
