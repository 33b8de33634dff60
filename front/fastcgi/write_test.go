package fastcgi

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// slowly takes bytes and counts what came under each limit.
type slowly struct {
	net.Conn
	got   bytes.Buffer
	under []int
}

func (c *slowly) SetWriteDeadline(time.Time) error { c.under = append(c.under, 0); return nil }

func (c *slowly) Write(b []byte) (int, error) {
	c.under[len(c.under)-1] += len(b)
	return c.got.Write(b)
}

// A client that reads little at a time has the limit for each piece of what waits for it, not for all of it.
func TestSlowReaderHasTimeForEachPiece(t *testing.T) {
	var out [][]byte
	var want []byte
	for i, n := range []int{10, 300 << 10, 0, 7, writePiece, 5} {
		b := bytes.Repeat([]byte{byte('a' + i)}, n)
		out, want = append(out, b), append(want, b...)
	}
	c := &slowly{}
	if err := writeAll(c, out); err != nil || !bytes.Equal(c.got.Bytes(), want) {
		t.Fatalf("%v, %d bytes of %d", err, c.got.Len(), len(want))
	}
	for _, n := range c.under {
		if n > writePiece {
			t.Errorf("%d bytes under one limit", n)
		}
	}
	if len(c.under) > len(want)/writePiece+1 {
		t.Errorf("%d writes for %d bytes", len(c.under), len(want))
	}
}
