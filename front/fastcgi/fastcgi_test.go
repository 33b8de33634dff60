package fastcgi

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
)

func beginRecord(id uint16) []byte {
	return appendRecord(nil, typeBegin, id, []byte{0, roleResponder, flagKeepConn, 0, 0, 0, 0, 0})
}

// paramsAndStdin returns a request's records after BEGIN_REQUEST.
func paramsAndStdin(id uint16, script, txn string, more ...[2]string) []byte {
	p := appendPair(nil, "SCRIPT_NAME", script)
	for _, kv := range append(more, [][2]string{
		{"HTTP_X_TXN", txn}, {"HTTP_X_TTL_MS", "1500"}, {"HTTP_X_ROW", "7f3a9c21e0b4d655"}, {"HTTP_X_BLOCK", "3"},
		{"HTTP_X_FAMILY", "17"}, {"HTTP_X_WORKING_SET_KB", "412.5"}, {"HTTP_X_CACHED", `"4be0c1927d55a6f3"`},
	}...) {
		p = appendPair(p, kv[0], kv[1])
	}
	b := appendRecord(nil, typeParams, id, p)
	b = appendRecord(b, typeParams, id, nil)
	return appendRecord(b, typeStdin, id, nil)
}

// response is the response to one request.
type response struct {
	stdout         bytes.Buffer
	endCount       int  // number of END_REQUEST records
	protocolStatus byte // protocol status of the last one
}

// client sends requests to a frontend and collects the responses.
type client struct {
	net.Conn
	mu        sync.Mutex
	responses map[uint16]*response // by request id
	received  chan struct{}        // one element for each record received
	done      chan struct{}        // closed at the end of the connection
}

func dial(f *Frontend) *client {
	near, far := net.Pipe()
	go f.Handle(far)
	return newClient(near)
}

func newClient(near net.Conn) *client {
	c := &client{Conn: near, responses: map[uint16]*response{}, received: make(chan struct{}, 1024), done: make(chan struct{})}
	go func() {
		defer close(c.done)
		r := &recordReader{r: bufio.NewReader(near)}
		for {
			rec, err := r.next()
			if err != nil {
				return
			}
			c.mu.Lock()
			e := c.responses[rec.id]
			if e == nil {
				e = &response{}
				c.responses[rec.id] = e
			}
			switch rec.kind {
			case typeStdout:
				e.stdout.Write(rec.data)
			case typeEnd:
				e.endCount++
				e.protocolStatus = rec.data[4]
			}
			c.mu.Unlock()
			c.received <- struct{}{}
		}
	}()
	return c
}

func (c *client) wait(t testing.TB, id uint16) *response {
	timeout := time.After(30 * time.Second)
	for {
		c.mu.Lock()
		e := c.responses[id]
		ok := e != nil && e.endCount > 0
		c.mu.Unlock()
		if ok {
			return e
		}
		select {
		case <-c.received:
		case <-timeout:
			t.Fatalf("timed out waiting for the end of request %d", id)
		}
	}
}

func newTestFrontend(post func(core.Event)) *Frontend {
	return New(Options{Post: post, Clock: clock.Manual(1e12), Log: zerolog.Nop()})
}

// dialCapturing returns a client of a new frontend, and the requests that the frontend passes to the core.
func dialCapturing() (*client, <-chan core.Request) {
	requests := make(chan core.Request, 1)
	return dial(newTestFrontend(func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			requests <- a
		}
	})), requests
}

func TestRequestAndResponse(t *testing.T) {
	c, requests := dialCapturing()
	defer c.Close()
	c.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "9b1f03aa5c7e2d41")...))
	a := <-requests
	if a.Class != "firmware" || a.Object != 0x7f3a9c21e0b4d655 || a.Part != 3 || a.Group != 17 || a.SizeKB != 412.5 ||
		a.Remaining != 1500 || a.ClientETag != "4be0c1927d55a6f3" || a.Txn != "9b1f03aa5c7e2d41" || a.ReceivedAt != 1e12 {
		t.Errorf("%+v", a)
	}
	body := bytes.Repeat([]byte{7}, 240000)
	a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Served, Body: body})
	a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Failed}) // a second answer is ignored
	e := c.wait(t, 1)
	head, got, _ := strings.Cut(e.stdout.String(), "\r\n\r\n")
	if !strings.HasPrefix(head, "Status: 200 OK\r\n") || got != string(body) || e.endCount != 1 {
		t.Errorf("%q, %d bytes, ended %d times", head, len(got), e.endCount)
	}
	for i, x := range []struct {
		a    core.Answer
		want string
	}{
		{core.Answer{Verdict: core.NotModified, Body: body}, "200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: 0\r\nX-Keep: 1"},
		{core.Answer{Verdict: core.Rejected, RetryAfter: 120.7}, "503 Service Unavailable"},
		{core.Answer{Verdict: core.Failed, Reason: core.DeadlineExceeded}, "504 "},
		{core.Answer{Verdict: core.Failed, Reason: core.UpstreamFailed}, "502 "},
	} {
		id := uint16(i + 2)
		c.Write(append(beginRecord(id), paramsAndStdin(id, "/v1/firmware", "9b1f03aa5c7e2d41")...))
		a := <-requests
		a.Frontend.Answer(a.RequestTag, x.a)
		if got := c.wait(t, id).stdout.String(); !strings.HasPrefix(got, "Status: "+x.want) ||
			x.a.Verdict == core.Rejected && !strings.Contains(got, "X-Throttle-Ms: 120\r\n") {
			t.Errorf("%+v: %q", x.a, got)
		}
	}
	c.Write(append(beginRecord(9), paramsAndStdin(9, "/healthz", "")...))
	if got := c.wait(t, 9).stdout.String(); !strings.HasPrefix(got, "Status: 200") {
		t.Errorf("health: %q", got)
	}
}

// An idempotency key is passed to the core unchanged, or the request is rejected. The mark of a retry is passed on, too.
func TestIdempotencyKeysAreNotAltered(t *testing.T) {
	c, requests := dialCapturing()
	defer c.Close()
	for i, x := range []struct {
		key string
		ok  bool
	}{
		{"5c0f6e1a2b3d4c59a8b7c6d5e4f30211", true}, {"Order/17:a~b", true}, {strings.Repeat("k", 128), true},
		{strings.Repeat("k", 129), false}, {"", false}, {"a,dedupe=b", false}, {"a=b", false}, {"a b", false}, {"a\r\n", false}, {"\xc3\xa9", false},
	} {
		id := uint16(i + 1)
		c.Write(append(beginRecord(id), paramsAndStdin(id, "/v1/ride-end", "9b1f03aa5c7e2d41", [2]string{"HTTP_X_TXN_KEY", x.key}, [2]string{"HTTP_X_SECOND_TRY", "1"})...))
		if x.ok {
			a := <-requests
			if a.IdempotencyKey != x.key || !a.Retry {
				t.Errorf("key %q was passed on as %q, retry %v", x.key, a.IdempotencyKey, a.Retry)
			}
			a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Failed, Reason: core.MissingIdempotencyKey})
		}
		if got := c.wait(t, id).stdout.String(); !strings.HasPrefix(got, "Status: 400") {
			t.Errorf("%q: %q", x.key, got)
		}
	}
}

// Many requests that are never completed must not exhaust the memory: beyond the request budget they are rejected, and the
// bytes of ended requests are released.
func TestRequestBudget(t *testing.T) {
	f := newTestFrontend(func(core.Event) {})
	f.requestBudget.SetLimit(20000)
	c := dial(f)
	big := bytes.Repeat([]byte{'x'}, 8000)
	for id := uint16(1); id <= 3; id++ {
		c.Write(beginRecord(id))
		c.Write(appendRecord(nil, typeStdin, id, big))
	}
	if e := c.wait(t, 3); e.protocolStatus != protoOverload {
		t.Errorf("ended with %d", e.protocolStatus)
	}
	c.Close()
	<-c.done
	for f.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	if !f.requestBudget.TryReserve(20000) {
		t.Error("the bytes of ended requests are still reserved")
	}
}

// A connection with a partial request is closed at the read timeout, one that waits for a response is not, and an idle one only
// at the idle timeout.
func TestTimeouts(t *testing.T) {
	requests := make(chan core.Request, 1)
	clk := clock.Manual(1e12)
	f := New(Options{Clock: clk, Log: zerolog.Nop(), Post: func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			requests <- a
		}
	}})
	c, partial := dial(f), dial(f)
	defer c.Close()
	partial.Write(append(beginRecord(1), appendRecord(nil, typeParams, 1, nil)...))
	for f.OpenRequests() == 0 { // the bytes must be read before the clock advances, or they count as progress
		time.Sleep(time.Millisecond)
	}
	c.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "9b1f03aa5c7e2d41")...))
	a := <-requests
	clk.Advance(readTimeout + 1)
	for done := false; !done; {
		f.server.Sweep()
		select {
		case <-partial.done:
			done = true
		case <-time.After(time.Millisecond):
		}
	}
	a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Rejected})
	c.wait(t, 1)
	for f.OpenRequests() > 0 { // the client may receive the response before it is recorded as written
		time.Sleep(time.Millisecond)
	}
	clk.Advance(idleTimeout - 1)
	f.server.Sweep()
	c.Write(append(beginRecord(2), paramsAndStdin(2, "/healthz", "")...))
	c.wait(t, 2)
	for f.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	for done := false; !done; {
		clk.Advance(idleTimeout + 1)
		f.server.Sweep()
		select {
		case <-c.done:
			done = true
		case <-time.After(time.Millisecond):
		}
	}
}

// FuzzConnection checks a connection against a model of its requests: each complete one is passed to the core once; it ends
// once, by its response or by ABORT_REQUEST; the remaining ones are canceled when the client closes the connection.
func FuzzConnection(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 0, 1, 2})
	f.Add([]byte{0, 10, 20, 1, 11, 21, 3, 2, 12})
	f.Add([]byte{3, 0, 0, 1, 1, 2, 2, 3})
	f.Add([]byte{0, 1, 40, 41, 33, 2, 42})
	f.Fuzz(func(t *testing.T, steps []byte) {
		if len(steps) > 64 {
			t.Skip()
		}
		var mu sync.Mutex
		requested, canceled := map[uint64]core.Request{}, map[uint64]bool{}
		posted := make(chan struct{}, 4096)
		frontend := newTestFrontend(func(ev core.Event) {
			mu.Lock()
			defer mu.Unlock()
			switch ev := ev.(type) {
			case core.Request:
				requested[ev.RequestTag] = ev
			case core.CancelRequest:
				canceled[ev.RequestTag] = true
			}
			posted <- struct{}{}
		})
		c := dial(frontend)
		const idle, partial, waiting = 0, 1, 2
		state := map[uint16]int{}
		open := map[uint16]core.Request{}
		wantCanceled, answered := 0, map[uint16]int{}
		for _, step := range steps {
			id := uint16(step/4)%40 + 1
			switch step % 4 {
			case 0:
				if state[id] == idle {
					live := 0
					for _, s := range state {
						if s != idle {
							live++
						}
					}
					c.Write(beginRecord(id))
					if live < maxConnRequests {
						state[id] = partial
					} else {
						answered[id]++ // END_REQUEST with FCGI_OVERLOADED
					}
				}
			case 1:
				if state[id] == partial {
					mu.Lock()
					before := len(requested)
					mu.Unlock()
					c.Write(paramsAndStdin(id, "/v1/firmware", fmt.Sprintf("%016x", id)))
					for {
						<-posted
						mu.Lock()
						n := len(requested)
						mu.Unlock()
						if n > before {
							break
						}
					}
					mu.Lock()
					for tag, a := range requested {
						if uint16(tag) == id && !canceled[tag] {
							if old, ok := open[id]; !ok || tag > old.RequestTag {
								open[id] = a
							}
						}
					}
					mu.Unlock()
					state[id] = waiting
				}
			case 2:
				if state[id] == waiting {
					open[id].Frontend.Answer(open[id].RequestTag, core.Answer{Verdict: core.Served})
					state[id] = idle
					answered[id]++
				}
			case 3:
				if state[id] == waiting {
					wantCanceled++
				}
				if state[id] != idle {
					answered[id]++
				}
				c.Write(appendRecord(nil, typeAbort, id, nil))
				state[id] = idle
			}
		}
		total := 0
		for _, n := range answered {
			total += n
		}
		count := func() (n int) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, e := range c.responses {
				n += e.endCount
			}
			return n
		}
		for count() < total {
			<-c.received
		}
		for _, s := range state {
			if s == waiting {
				wantCanceled++
			}
		}
		c.Close()
		<-c.done
		for {
			mu.Lock()
			n := len(canceled)
			mu.Unlock()
			if n == wantCanceled {
				break
			}
			<-posted
		}
		if n := count(); n != total {
			t.Errorf("%d END_REQUEST records, the model has %d", n, total)
		}
	})
}

func FuzzRecords(f *testing.F) {
	f.Add(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
	f.Add(appendRecord(nil, typeGetValues, 0, appendPair(nil, "FCGI_MPXS_CONNS", "")))
	f.Add([]byte{1, 4, 0, 1, 255, 255, 255, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		frontend := newTestFrontend(func(ev core.Event) {
			if a, ok := ev.(core.Request); ok {
				go a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Rejected})
			}
		})
		c := dial(frontend)
		c.Write(b) // any input is either accepted or ends the connection without a panic
		c.Close()
		<-c.done
	})
}
