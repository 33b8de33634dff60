package httpstore

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/internal/faultnet"
)

// connEnd is a way in which an endpoint ends a connection under a request, and the result that the attempt must have.
type connEnd struct {
	end         func(net.Conn)
	want        control.Outcome
	unconfirmed bool
}

var connEnds = map[string]connEnd{
	"reset": {func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, control.ConnectionLost, true},
	"close": {func(c net.Conn) { c.Close() }, control.ConnectionLost, true},
	"408": {func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	}, control.ServerError, false},
}

// endingStore is an endpoint that responds to requests, except that it leaves the first one after hold unanswered.
type endingStore struct {
	base    string
	hold    atomic.Bool
	held    atomic.Bool   // a request has been left unanswered
	arrived chan net.Conn // the connection of each request after hold was set
}

func newEndingStore(t *testing.T) *endingStore {
	store := &endingStore{arrived: make(chan net.Conn, 64)}
	server, err := fakestore.ListenHTTP(store.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	store.base = server.BaseURL()
	return store
}

func (s *endingStore) handle(request fakestore.HTTPRequest) (usable bool) {
	if s.hold.Load() {
		s.arrived <- request.Conn
	}
	if s.hold.Load() && s.held.CompareAndSwap(false, true) {
		request.Reader.Peek(1) // until the connection ends
		return false
	}
	io.WriteString(request.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return true
}

// A connection that ends under an attempt ends the attempt. The upstream must not send it again by itself: whether it is sent again,
// where and when is decided by the core, which knows what has changed since, such as that the endpoint was excluded.
func TestAttemptIsSentOnce(t *testing.T) {
	requests := map[string]core.AttemptRequest{
		"read":           {Class: "tile", ObjectName: "x"},
		"revalidation":   {Class: "tile", ObjectName: "x", ClientETag: "0a", MaxAge: 5000},
		"write":          {Class: "ride-end", ObjectName: "x", Write: true, Body: []byte("ride")},
		"empty write":    {Class: "ride-end", ObjectName: "x", Write: true},
		"non-idempotent": {Class: "ride-end", ObjectName: "x", Write: true, NonIdempotent: true},
	}
	for requestName, request := range requests {
		for endName, end := range connEnds {
			for _, excluded := range []bool{false, true} {
				name := requestName + ", " + endName + map[bool]string{true: ", excluded"}[excluded]
				t.Run(name, func(t *testing.T) { testAttemptIsSentOnce(t, request, end, excluded) })
			}
		}
	}
}

func testAttemptIsSentOnce(t *testing.T, request core.AttemptRequest, end connEnd, excluded bool) {
	store, dialer := newEndingStore(t), &faultnet.Dialer{}
	u, events := startUpstream(t, Endpoint{Base: store.base}, Options{Dial: dialer.DialContext})
	request.Endpoint = 1
	send := func(id int) {
		request.AttemptKey = core.AttemptKey{ID: control.RequestID(id)}
		u.Send(request)
	}
	send(1) // leaves a connection that the next request may use
	if e := (<-events).(core.AttemptResult); e.Outcome != control.OK {
		t.Fatalf("first request: %+v", e)
	}
	store.hold.Store(true)
	send(2)
	conn := <-store.arrived
	dials := dialer.DialCount()
	if excluded {
		u.Exclude(1, true)
	}
	end.end(conn)
	if e := (<-events).(core.AttemptResult); e.Outcome != end.want || e.Unconfirmed != end.unconfirmed {
		t.Errorf("ended as %+v, want %v, unconfirmed %t", e, end.want, end.unconfirmed)
	}
	select {
	case <-store.arrived:
		t.Error("it was sent again")
	case <-time.After(20 * time.Millisecond):
	}
	if got := dialer.DialCount(); got != dials {
		t.Errorf("%d more connections were opened", got-dials)
	}
}

// A health check is sent once as well.
func TestHealthCheckIsSentOnce(t *testing.T) {
	for name, end := range connEnds {
		t.Run(name, func(t *testing.T) {
			store := newEndingStore(t)
			u, events := startUpstream(t, Endpoint{Base: store.base}, Options{})
			u.CheckHealth(1)
			if p := (<-events).(core.HealthCheckResult); p.Outcome != control.OK {
				t.Fatalf("first check: %+v", p)
			}
			store.hold.Store(true)
			u.CheckHealth(1)
			end.end(<-store.arrived)
			if p := (<-events).(core.HealthCheckResult); end.unconfirmed && p.Outcome != control.ConnectFailed {
				t.Errorf("ended as %+v, want a failed connection", p)
			}
			select {
			case <-store.arrived:
				t.Error("it was sent again")
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
}

// A redirect is not followed: the request would go to an address that the core has not chosen.
func TestRedirectIsNotFollowed(t *testing.T) {
	var reached atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	defer other.Close()
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusTemporaryRedirect} {
		u, _, events := newFaultUpstream(t, 4, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, other.URL, status)
		})
		u.Send(get(1))
		if e := (<-events).(core.AttemptResult); e.Outcome != control.ServerError {
			t.Errorf("%d: ended as %+v", status, e)
		}
		u.CheckHealth(1)
		if p := (<-events).(core.HealthCheckResult); p.Outcome != control.OK {
			t.Errorf("%d: health check ended as %+v", status, p)
		}
	}
	if reached.Load() != 0 {
		t.Errorf("%d requests were redirected", reached.Load())
	}
}
