package resp

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/limits"
)

const responseFields = "tag=0a,minted=1,why=local"

// withArrayLength returns a response whose array states the given length, whatever follows.
func withArrayLength(length int, elements ...string) []byte {
	stated := fmt.Appendf(nil, "*%d", length)
	return bytes.Replace(appendCommand(nil, elements...), fmt.Appendf(nil, "*%d", len(elements)), stated, 1)
}

// A response to a GET has four elements. One whose array states another number was passed on as served, without its body, or
// taken as proof that the request has not run.
func TestResponseWithOtherArrayLengthIsMalformed(t *testing.T) {
	for status, wantWhole := range outcomes {
		for length := range 10 {
			t.Run(fmt.Sprint(status, length), func(t *testing.T) {
				t.Parallel()
				addr := scriptedEndpoint(t, func(_ net.Conn, id string) []byte {
					return withArrayLength(length, id, status, responseFields, "body")
				})
				b := newTestPool(t, addr)
				a := newRequest(1, 0, 1)
				a.ClientETag = "0a"
				b.pool.Send(a)
				want := control.ConnectionLost
				if length == responseElements {
					want = wantWhole
				}
				if e := b.awaitResult(a.AttemptKey); e.Outcome != want {
					t.Errorf("outcome %v with a body of %d bytes, want %v", e.Outcome, len(e.Body), want)
				}
			})
		}
	}
}

// A response to a GET that ends before its body is malformed even if nothing follows it. Its outcome does not wait for a
// time-out.
func TestResponseWithoutBodyIsMalformed(t *testing.T) {
	elements := []string{"", "ACK", responseFields}
	for count := 1; count <= len(elements); count++ {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			addr := scriptedEndpoint(t, func(_ net.Conn, id string) []byte {
				return appendCommand(nil, append([]string{id}, elements[1:count]...)...)
			})
			b := newTestPool(t, addr)
			a := newRequest(1, 0, 1)
			b.pool.Send(a)
			if e := b.awaitResult(a.AttemptKey); e.Outcome != control.ConnectionLost {
				t.Errorf("%+v", e)
			}
		})
	}
}

// A response with an empty body is complete: an object may have no bytes.
func TestEmptyBodyIsServed(t *testing.T) {
	b := newTestPool(t, scriptedEndpoint(t, func(_ net.Conn, id string) []byte { return appendCommand(nil, id, "ACK", responseFields, "") }))
	a := newRequest(1, 0, 1)
	b.pool.Send(a)
	if e := b.awaitResult(a.AttemptKey); e.Outcome != control.OK || len(e.Body) != 0 {
		t.Errorf("%+v", e)
	}
}

// The response to a probe may end after its status, as the protocol requires no more of it.
func TestProbeResponseNeedsNoBody(t *testing.T) {
	for count := 1; count <= responseElements+1; count++ {
		elements := []string{"p-1", "READY", "rep=inflight:3", "", ""}
		r, err := readResponse(bufio.NewReader(bytes.NewReader(appendCommand(nil, elements[:count]...))), func(int) (*limits.Reservation, error) {
			return nil, nil
		})
		if accepted := err == nil; accepted != (count >= minElements && count <= responseElements) {
			t.Errorf("%d elements: %+v, %v", count, r, err)
		}
	}
}

// An endpoint can only confirm the copy that a request named. Without one, a client was told to use a copy that it does not have.
func TestNotModifiedConfirmsTheNamedCopyOnly(t *testing.T) {
	for _, x := range []struct {
		clientETag, fields string
		want               control.Outcome
	}{
		{"0a", responseFields, control.OK},
		{"0a", "-", control.OK},
		{"0a", "tag=0b,minted=1,why=local", control.ConnectionLost},
		{"", responseFields, control.ConnectionLost},
		{"", "-", control.ConnectionLost},
	} {
		b := newTestPool(t, scriptedEndpoint(t, func(_ net.Conn, id string) []byte { return appendCommand(nil, id, "NOMOD", x.fields, "") }))
		a := newRequest(1, 0, 1)
		a.ClientETag = x.clientETag
		b.pool.Send(a)
		if e := b.awaitResult(a.AttemptKey); e.Outcome != x.want || e.NotModified != (x.want == control.OK) {
			t.Errorf("copy %q, response %s: %+v", x.clientETag, x.fields, e)
		}
	}
}
