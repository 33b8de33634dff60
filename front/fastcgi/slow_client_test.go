package fastcgi

import (
	"strings"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"

	"github.com/rs/zerolog"
)

// While one client exhausts the response budget by not reading its response, another client must keep its connection and
// receive its responses, with 502 in place of a large one. The first client receives its complete response once it reads.
func TestSlowClientDoesNotAffectOthers(t *testing.T) {
	const large = 32 << 20 // exceeds the socket buffers at both ends of a connection
	requests := make(chan core.Request, 1)
	f := New(Options{MaxResponseBytes: large + 1<<20, Clock: clock.Manual(1e12), Log: zerolog.Nop(), Post: func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			requests <- a
		}
	}})
	var serving sync.WaitGroup
	defer serving.Wait()
	slow, far := tcpPair(t)
	defer slow.Close()
	serving.Go(func() { f.Handle(far) })
	slow.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
	request := <-requests
	request.Frontend.Answer(request.RequestTag, core.Answer{Verdict: core.Served, Body: make([]byte, large)})

	good, far := tcpPair(t)
	defer good.Close()
	serving.Go(func() { f.Handle(far) })
	cl := newClient(good)
	for id, want := range map[uint16]struct {
		size   int
		status string
	}{2: {2 << 20, "Status: 502"}, 3: {100, "Status: 200"}} {
		good.Write(append(beginRecord(id), paramsAndStdin(id, "/v1/firmware", "2")...))
		request := <-requests
		request.Frontend.Answer(request.RequestTag, core.Answer{Verdict: core.Served, Body: make([]byte, want.size)})
		select {
		case <-cl.done:
			t.Fatal("the connection was closed")
		default:
		}
		if e := cl.wait(t, id); !strings.HasPrefix(e.stdout.String(), want.status) {
			t.Errorf("for a body of %d bytes the response is %.60q", want.size, e.stdout.String())
		}
	}

	f.responseBudget.SetLimit(large / 2) // exhausted until the slow client has read its response
	near, far := tcpPair(t)              // a connection that another process hands over, which still answers its request
	defer near.Close()
	oldProcess, from := unixPair(t)
	defer oldProcess.Close()
	serving.Go(func() { f.Adopt(from) })
	if err := sendState(oldProcess, far, []byte{0, 7}, nil); err != nil {
		t.Fatal(err)
	}
	adopted := newClient(near)
	const size = 4 << 20
	serving.Go(func() { oldProcess.Write(appendStdout(nil, 7, []byte("Status: 200 OK\r\n\r\n"), make([]byte, size))) })
	select { // its response exceeds the budget
	case <-adopted.done:
		t.Fatal("the connection that was handed over was closed")
	case <-time.After(100 * time.Millisecond):
	}

	if e := newClient(slow).wait(t, 1); e.stdout.Len() < large {
		t.Errorf("the slow client received %d bytes", e.stdout.Len())
	}
	if e := adopted.wait(t, 7); e.stdout.Len() < size {
		t.Errorf("the client of the connection that was handed over received %d bytes", e.stdout.Len())
	}
}
