package httpstore

import (
	"io"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// scriptedOutcome returns the result of a request to an endpoint that sends the given bytes and then closes the connection.
func scriptedOutcome(t *testing.T, response string, request core.AttemptRequest) core.AttemptResult {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 4096))
		io.WriteString(c, response)
		c.Close()
	}()
	got := make(chan core.Event, 1)
	u := New(Options{
		Endpoints: map[uint32]Endpoint{1: {Base: "http://" + l.Addr().String()}}, DialTimeout: 5000, IdleClose: 15000, MaxConns: 1,
		Clock: clock.Manual(1.8e12), Log: zerolog.Nop(),
	}, func(ev core.Event) { got <- ev })
	defer u.Close()
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
