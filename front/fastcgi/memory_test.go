package fastcgi

import (
	"bufio"
	"bytes"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
)

// liveHeap returns the bytes of the objects that are in use.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // the first one may have run beside the last allocations
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against bytes that the request budget does not count: what a connection holds of a record that is not complete, and the
// capacity of buffers beyond their length.
func TestPartialRequestsAreCounted(t *testing.T) {
	const conns = 100
	record := func(kind byte, id uint16) []byte {
		return appendRecord(nil, kind, id, make([]byte, maxContent))[:headerLen+maxContent-1]
	}
	for name, sent := range map[string][]byte{
		"a body in one record":      append(beginRecord(1), record(typeStdin, 1)...),
		"parameters in one record":  append(beginRecord(1), appendRecord(nil, typeParams, 1, make([]byte, maxParams))[:headerLen+maxParams-1]...),
		"a record of no request":    record(typeStdin, 9),
		"a record of unused data":   record(typeData, 1),
		"an unknown type":           record(typeStdout, 0),
		"a body of small records":   append(beginRecord(1), bytes.Repeat(appendRecord(nil, typeStdin, 1, make([]byte, 100)), 300)...),
		"requests with no contents": bytes.Join([][]byte{beginRecord(1), beginRecord(2), beginRecord(3), beginRecord(4)}, nil),
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFrontend(func(core.Event) {})
			var serving sync.WaitGroup
			var clients, served []net.Conn
			connect := func(b []byte) {
				near, far := tcpPair(t)
				clients, served = append(clients, near), append(served, far)
				serving.Go(func() { f.Handle(far) })
				if _, err := near.Write(b); err != nil {
					t.Fatal(err)
				}
			}
			for range conns {
				connect(beginRecord(40)) // a request of its own, so that each connection has its buffers
			}
			eventually(t, "connections have a request", func() bool { return f.OpenRequests() == conns })
			before, countedBefore := liveHeap(), f.requestBudget.Reserved()
			for _, c := range clients {
				if _, err := c.Write(sent); err != nil {
					t.Fatal(err)
				}
			}
			eventually(t, "all bytes are read", func() bool {
				return !slices.ContainsFunc(served, func(c net.Conn) bool {
					readable, _ := front.PollConn(c)
					return readable
				})
			})
			time.Sleep(200 * time.Millisecond) // until what was read is handled: the buffers that it outgrows are garbage
			grown, counted := int64(liveHeap())-int64(before), f.requestBudget.Reserved()-countedBefore
			const perConn = 2 << 10 // bytes, of a connection's state that no client determines
			if grown > counted+conns*perConn {
				t.Errorf("%d KB more are in use, %d KB are counted", grown>>10, counted>>10)
			}
			for _, c := range clients {
				c.Close()
			}
			serving.Wait()
			if n := f.requestBudget.Reserved(); n != 0 {
				t.Errorf("%d bytes stay reserved", n)
			}
		})
	}
}

// Guards against a client that sends requests and leaves their responses unread: they were queued without a limit.
func TestUnreadResponsesStopReading(t *testing.T) {
	f := newTestFrontend(func(core.Event) {})
	near, far := tcpPair(t)
	var serving sync.WaitGroup
	serving.Go(func() { f.Handle(far) })
	unsound := bytes.Repeat(appendRecord(nil, typeBegin, 1, []byte{0, 9, 1, 0, 0, 0, 0, 0}), 1000) // a role that is not served
	near.SetWriteDeadline(time.Now().Add(time.Second))
	written := 0
	for err := error(nil); err == nil; {
		var n int
		n, err = near.Write(unsound)
		written += n
	}
	const maxQueued = 64 << 10 // bytes
	if got := f.responseBudget.Reserved(); got > maxQueued {
		t.Errorf("%d bytes of responses are queued, after %d KB of requests", got, written>>10)
	}
	near.Close()
	serving.Wait()
	if n := f.responseBudget.Reserved(); n != 0 || f.OpenRequests() != 0 {
		t.Errorf("%d bytes stay reserved, %d requests open", n, f.OpenRequests())
	}
}

// Guards against requests that are aborted before the core has received them: they were held with their bodies, which no budget
// counted any more.
func TestAbortedRequestsAreReleased(t *testing.T) {
	f := newTestFrontend(func(core.Event) {})
	c := &conn{frontend: f, open: map[uint16]*request{}, wake: make(chan struct{}, 1), written: make(chan struct{}, 1)}
	far, _ := tcpPair(t)
	f.server.Handle(far, func(nc net.Conn, serverConn *front.Conn) {
		c.net, c.serverConn = nc, serverConn
		for range 100 {
			for _, p := range requestParts(1, make([]byte, 60000)) {
				if err := c.handlePart(p); err != nil {
					t.Fatal(err)
				}
			}
			c.mu.Lock()
			c.out.take()
			c.mu.Unlock()
		}
		held := 0
		for _, q := range c.unsubmitted {
			held += len(q.coreRequest.Body)
		}
		if held > 0 {
			t.Errorf("%d bytes of the bodies of aborted requests are held", held)
		}
	})
}

// requestParts returns the parts of a request that is aborted right after its end.
func requestParts(id uint16, body []byte) (parts []recordPart) {
	stream := append(beginRecord(id), paramsAndStdin(id, "/v1/firmware", "1")...)
	stream = stream[:len(stream)-headerLen] // without the end of STDIN
	stream = append(stream, appendRecord(nil, typeStdin, id, body)...)
	stream = append(stream, appendRecord(nil, typeStdin, id, nil)...)
	stream = append(stream, appendRecord(nil, typeAbort, id, nil)...)
	r := &recordReader{r: bufio.NewReader(bytes.NewReader(stream))}
	for {
		p, err := r.next()
		if err != nil {
			return parts
		}
		p.data = bytes.Clone(p.data)
		parts = append(parts, p)
	}
}

// Guards against one unsound request that costs a client its connection, with the other requests that are open on it.
func TestUnsoundRequestEndsAlone(t *testing.T) {
	for name, x := range map[string]struct {
		records []byte
		status  string
	}{
		"oversized body":                        {bytes.Repeat(appendRecord(nil, typeStdin, 2, make([]byte, 30000)), 3), "Status: 413"},
		"oversized parameters":                  {bytes.Repeat(appendRecord(nil, typeParams, 2, make([]byte, 9000)), 2), "Status: 431"},
		"body before the end of the parameters": {appendRecord(nil, typeStdin, 2, nil), "Status: 400"},
		"parameters that can't be read": {
			append(append(appendRecord(nil, typeParams, 2, []byte{200}), appendRecord(nil, typeParams, 2, nil)...), appendRecord(nil, typeStdin, 2, nil)...),
			"Status: 400",
		},
		"an id of too many digits":     {paramsAndStdin(2, "/v1/firmware", strings.Repeat("0", 4000)+"1"), "Status: 400"},
		"an object of too many digits": {paramsAndStdin(2, "/v1/firmware", "1", [2]string{"HTTP_X_ROW", strings.Repeat("0", 4000) + "1"}), "Status: 400"},
	} {
		t.Run(name, func(t *testing.T) {
			c, requests := dialCapturing()
			defer c.Close()
			c.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
			sound := <-requests
			c.Write(append(beginRecord(2), x.records...))
			if got := c.wait(t, 2).stdout.String(); !strings.HasPrefix(got, x.status) {
				t.Errorf("%q, want %s", got, x.status)
			}
			if sound.Canceled.Load() {
				t.Error("the other request was canceled")
			}
			sound.Frontend.Answer(sound.RequestTag, core.Answer{Verdict: core.Served, Body: []byte("piece")})
			if got := c.wait(t, 1).stdout.String(); !strings.HasSuffix(got, "piece") {
				t.Errorf("the other request: %q", got)
			}
		})
	}
}

// A connection may be handed over at any byte of its records, whatever their type, with padding and content that is ignored: the new
// process must read the rest as the old one would have.
func TestHandOverInsideRecords(t *testing.T) {
	padded := func(kind byte, id uint16, data []byte, padding byte) []byte {
		b := appendRecord(nil, kind, id, data)
		b[6] = padding
		return append(b, make([]byte, padding)...)
	}
	body := bytes.Repeat([]byte("0123456789"), 700)
	params := paramsAndStdin(1, "/v1/firmware", "1")
	params = params[:len(params)-2*headerLen]
	stream := bytes.Join([][]byte{
		padded(typeStdin, 5, []byte("of no request"), 9), padded(typeBegin, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0}, 3), params,
		padded(typeParams, 1, nil, 5), padded(typeStdin, 1, body, 250), padded(typeStdout, 0, []byte("unknown"), 4), padded(typeData, 1, []byte("unused"), 7),
		padded(typeStdin, 1, nil, 2),
	}, nil)
	path := filepath.Join(t.TempDir(), "h")
	u, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	for cut := 1; cut < len(stream); cut += 7 {
		received := make(chan core.Request, 2)
		post := func(ev core.Event) {
			if a, ok := ev.(core.Request); ok {
				received <- a
			}
		}
		old, next := newTestFrontend(post), newTestFrontend(post)
		near, far := tcpPair(t)
		var serving sync.WaitGroup
		serving.Go(func() { old.Handle(far) })
		near.Write(stream[:cut])
		serving.Go(func() {
			from, err := u.AcceptUnix()
			if err != nil {
				t.Error(err)
				return
			}
			next.Adopt(from)
		})
		eventually(t, "the old process has read the bytes", func() bool {
			readable, _ := front.PollConn(far)
			return old.Conns() > 0 && !readable
		})
		old.HandOver(func() (*net.UnixConn, error) {
			return net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
		})
		near.Write(stream[cut:])
		select {
		case a := <-received:
			if !bytes.Equal(a.Body, body) || a.Txn != "1" {
				t.Errorf("cut at %d: %d bytes, id %q", cut, len(a.Body), a.Txn)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("cut at %d: no request", cut)
		}
		near.Close()
		serving.Wait()
		if len(received) > 0 {
			t.Errorf("cut at %d: a second request", cut)
		}
	}
}
