package httpstore

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/faultnet"
)

// newFaultUpstream returns an upstream with one endpoint, whose dials and connections can be made to fail.
func newFaultUpstream(t *testing.T, conns int, handle http.HandlerFunc) (*Upstream, *faultnet.Dialer, chan core.Event) {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	dialer := &faultnet.Dialer{}
	u, events := startUpstream(t, Endpoint{Base: server.URL}, Options{MaxConns: conns, Dial: dialer.DialContext})
	return u, dialer, events
}

func get(id int) core.AttemptRequest {
	return core.AttemptRequest{AttemptKey: core.AttemptKey{ID: control.RequestID(id)}, Endpoint: 1, Class: "tile", ObjectName: "x"}
}

// A dial that fails for a reason local to this host must not be counted against the endpoint, neither for an attempt nor for a
// health check.
func TestFailedDials(t *testing.T) {
	type failure struct {
		err  error
		want control.Outcome
	}
	cases := map[string]failure{
		"lookup failed": {&net.OpError{Op: "dial", Err: &net.DNSError{Err: "server misbehaving", IsTemporary: true}}, control.LocalFailure},
		"no such host":  {&net.OpError{Op: "dial", Err: &net.DNSError{Err: "no such host", IsNotFound: true}}, control.ConnectFailed},
		"unknown error": {io.ErrUnexpectedEOF, control.ConnectFailed},
	}
	for errno, want := range map[syscall.Errno]control.Outcome{
		syscall.EMFILE: control.LocalFailure, syscall.ENFILE: control.LocalFailure, syscall.ENOBUFS: control.LocalFailure,
		syscall.ENOMEM: control.LocalFailure, syscall.EADDRNOTAVAIL: control.LocalFailure, syscall.EAGAIN: control.LocalFailure,
		syscall.ENETUNREACH: control.LocalFailure, syscall.EPERM: control.LocalFailure,
		syscall.ECONNREFUSED: control.ConnectFailed, syscall.ETIMEDOUT: control.ConnectFailed, syscall.EHOSTUNREACH: control.ConnectFailed,
	} {
		cases[errno.Error()] = failure{faultnet.Error("connect", errno), want}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int64
			u, dialer, events := newFaultUpstream(t, 4, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
			dialer.Fail(c.err, -1)
			for _, nonIdempotent := range []bool{false, true} {
				s := get(1)
				s.NonIdempotent, s.Write = nonIdempotent, nonIdempotent
				u.Send(s)
				if e := (<-events).(core.AttemptResult); e.Outcome != c.want || e.Unconfirmed {
					t.Errorf("non-idempotent %t: ended as %+v, want %v and Unconfirmed false", nonIdempotent, e, c.want)
				}
			}
			u.CheckHealth(1)
			if p := (<-events).(core.HealthCheckResult); p.Outcome != c.want {
				t.Errorf("health check ended as %v, want %v", p.Outcome, c.want)
			}
			if reached.Load() != 0 {
				t.Error("a request reached the endpoint")
			}
			dialer.Fail(nil, 0)
			u.Send(get(2))
			if e := (<-events).(core.AttemptResult); e.Outcome != control.OK {
				t.Errorf("after dials work again: %+v", e)
			}
		})
	}
}

// A request that may have been sent stays unconfirmed after a failed read, whatever caused the failure.
func TestFailedReads(t *testing.T) {
	for errno, want := range map[syscall.Errno]control.Outcome{
		syscall.ECONNRESET: control.ConnectionLost, syscall.ETIMEDOUT: control.ConnectionLost, syscall.EHOSTUNREACH: control.ConnectionLost,
		syscall.ENOBUFS: control.Canceled, syscall.ENOMEM: control.Canceled, syscall.ENETUNREACH: control.Canceled,
	} {
		read, write := get(1), get(1)
		write.Write, write.Body = true, []byte("x")
		for name, s := range map[string]core.AttemptRequest{"read": read, "write": write} {
			t.Run(errno.Error()+", "+name, func(t *testing.T) { testFailedRead(t, s, errno, want) })
		}
	}
}

func testFailedRead(t *testing.T, s core.AttemptRequest, errno syscall.Errno, want control.Outcome) {
	arrived, hold := make(chan struct{}), make(chan struct{})
	u, dialer, events := newFaultUpstream(t, 4, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(arrived)
		<-hold
	})
	defer close(hold)
	var faulty atomic.Pointer[faultnet.Conn]
	dialer.Wrap(func(c net.Conn) net.Conn {
		f := &faultnet.Conn{Conn: c}
		faulty.Store(f)
		return f
	})
	u.Send(s)
	<-arrived
	faulty.Load().FailRead(faultnet.Error("read", errno))
	if e := (<-events).(core.AttemptResult); e.Outcome != want || !e.Unconfirmed {
		t.Errorf("ended as %+v, want %v and Unconfirmed true", e, want)
	}
}

// A request that is canceled while its body is being sent is not counted against the endpoint.
func TestClientCancelDuringBodyIsNotEndpointFailure(t *testing.T) {
	begun, resume := make(chan struct{}), make(chan struct{})
	u, _, events := newFaultUpstream(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-resume
		io.Copy(io.Discard, r.Body)
	})
	s := get(1)
	s.Write, s.Canceled, s.Body = true, new(atomic.Bool), make([]byte, 16<<20) // more than the sockets take
	u.Send(s)
	<-begun
	s.Canceled.Store(true)
	close(resume)
	if e := (<-events).(core.AttemptResult); e.Outcome != control.Canceled || !e.Unconfirmed {
		t.Errorf("ended as %+v, want canceled and Unconfirmed true", e)
	}
}

// A health check without a connection because of the upstream's own limits must not be counted against the endpoint: neither if
// all connections are in use, nor if the maximum number of health checks is in flight.
func TestHealthCheckMeetsOwnLimit(t *testing.T) {
	arrived, hold := make(chan struct{}), make(chan struct{})
	u, _, events := newFaultUpstream(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			close(arrived)
			<-hold
		}
	})
	u.Send(get(1))
	<-arrived
	for range 2 * maxHealthChecks {
		u.CheckHealth(1)
	}
	for range 2 * maxHealthChecks {
		if p, ok := (<-events).(core.HealthCheckResult); !ok || p.Outcome != control.NotSent {
			t.Errorf("%+v", p)
		}
	}
	close(hold)
	if e := (<-events).(core.AttemptResult); e.Outcome != control.OK {
		t.Errorf("%+v", e)
	}
}
