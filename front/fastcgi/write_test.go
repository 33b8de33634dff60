package fastcgi

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// deadlineConn records the written bytes and how many of them were written under each write deadline.
type deadlineConn struct {
	net.Conn
	written     bytes.Buffer
	perDeadline []int
}

func (c *deadlineConn) SetWriteDeadline(time.Time) error {
	c.perDeadline = append(c.perDeadline, 0)
	return nil
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	c.perDeadline[len(c.perDeadline)-1] += len(b)
	return c.written.Write(b)
}

// The write timeout applies to each chunk and not to all queued bytes, so that a client that reads slowly is not disconnected.
func TestWriteTimeoutAppliesToEachChunk(t *testing.T) {
	var out [][]byte
	var want []byte
	for i, n := range []int{10, 300 << 10, 0, 7, writeChunk, 5} {
		b := bytes.Repeat([]byte{byte('a' + i)}, n)
		out, want = append(out, b), append(want, b...)
	}
	c := &deadlineConn{}
	if err := writeAll(c, out); err != nil || !bytes.Equal(c.written.Bytes(), want) {
		t.Fatalf("error %v, %d bytes of %d", err, c.written.Len(), len(want))
	}
	for _, n := range c.perDeadline {
		if n > writeChunk {
			t.Errorf("%d bytes under one deadline", n)
		}
	}
	if len(c.perDeadline) > len(want)/writeChunk+1 {
		t.Errorf("%d writes for %d bytes", len(c.perDeadline), len(want))
	}
}
