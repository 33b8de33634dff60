package httpstore

import (
	"io"
	"net"
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// scriptedOutcome returns the result of a request to an endpoint that sends the given bytes and then closes the connection.
func scriptedOutcome(t *testing.T, response string, request core.AttemptRequest) core.AttemptResult {
	t.Helper()
	base := serveConns(t, func(conn net.Conn) {
		conn.Read(make([]byte, 4096))
		io.WriteString(conn, response)
		conn.Close()
	})
	u, got := startUpstream(t, Endpoint{Base: base}, Options{MaxConns: 1})
	u.Send(request)
	return (<-got).(core.AttemptResult)
}

// An endpoint can only confirm the copy that a request named. Without one, a client was told to use a copy that it does not have.
func TestNotModifiedNeedsANamedCopy(t *testing.T) {
	const response = "HTTP/1.1 304 Not Modified\r\nETag: \"0a\"\r\n\r\n"
	for clientETag, want := range map[string]control.Outcome{"0a": control.OK, "": control.ServerError} {
		request := core.AttemptRequest{Endpoint: 1, Class: "firmware", ObjectName: "1", ClientETag: clientETag}
		if e := scriptedOutcome(t, response, request); e.Outcome != want || e.NotModified != (want == control.OK) {
			t.Errorf("copy %q: %+v", clientETag, e)
		}
	}
}

// A response that carries no representation, or whose end can't be told from a connection that broke off, was served as if it
// were complete.
func TestReadNeedsACompleteRepresentation(t *testing.T) {
	for _, x := range []struct {
		response string
		write    bool
		want     control.Outcome
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbytes", false, control.OK},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n", false, control.OK},
		{"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nbytes", false, control.OK},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, control.OK},

		{"HTTP/1.1 204 No Content\r\n\r\n", false, control.ServerError},
		{"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n", false, control.ServerError},
		{"HTTP/1.1 206 Partial Content\r\nContent-Range: bytes 0-4/9\r\nContent-Length: 5\r\n\r\nbytes", false, control.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbytes", false, control.ServerError},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n", false, control.ServerError},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbytes", false, control.ServerError},
		{"HTTP/1.0 200 OK\r\n\r\nbytes", false, control.ServerError},

		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbytes", true, control.OK},
		{"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n", true, control.OK},
		{"HTTP/1.1 204 No Content\r\n\r\n", true, control.OK},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbytes", true, control.ServerError},
	} {
		request := core.AttemptRequest{Endpoint: 1, Class: "firmware", ObjectName: "1", Write: x.write, NonIdempotent: x.write}
		if e := scriptedOutcome(t, x.response, request); e.Outcome != x.want || len(e.Body) > 0 && e.Outcome != control.OK {
			t.Errorf("write %v, %q: %+v, want %v", x.write, x.response, e, x.want)
		}
	}
}
