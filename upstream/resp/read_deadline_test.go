package resp

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records the read deadlines that are set on it, and returns one byte for each read.
type deadlineConn struct {
	net.Conn
	deadlines []time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return nil
}
func (c *deadlineConn) Read(b []byte) (int, error) { return 1, nil }

// Within a response, each read has a deadline of its own, up to the deadline of the whole response. An idle connection has
// none.
func TestReadDeadlines(t *testing.T) {
	c := &deadlineConn{}
	p := &responseReader{net: c}
	var b [4]byte
	p.Read(b[:])
	before := time.Now()
	p.deadline = before.Add(responseTimeout)
	p.Read(b[:])
	p.Read(b[:])
	p.deadline = before.Add(responseReadTimeout / 4)
	p.Read(b[:])
	if !c.deadlines[0].IsZero() || c.deadlines[1].Before(before.Add(responseReadTimeout)) || c.deadlines[2].Before(c.deadlines[1]) || !c.deadlines[3].Equal(p.deadline) {
		t.Errorf("%v from %v on", c.deadlines, before)
	}
}
