package resp

import (
	"net"
	"testing"
	"time"
)

// limited notes the limits that are set on it, and gives a byte at each read.
type limited struct {
	net.Conn
	at []time.Time
}

func (c *limited) SetReadDeadline(t time.Time) error { c.at = append(c.at, t); return nil }
func (c *limited) Read(b []byte) (int, error)        { return 1, nil }

// An answer in pieces has the limit anew with each, up to the limit of the whole; a connection without an answer under
// way has none.
func TestPiecesHaveLimitsOfTheirOwn(t *testing.T) {
	c := &limited{}
	p := &pieces{net: c}
	var b [4]byte
	p.Read(b[:])
	before := time.Now()
	p.until = before.Add(answerTimeout)
	p.Read(b[:])
	p.Read(b[:])
	p.until = before.Add(answerPieceTimeout / 4)
	p.Read(b[:])
	if !c.at[0].IsZero() || c.at[1].Before(before.Add(answerPieceTimeout)) || c.at[2].Before(c.at[1]) || !c.at[3].Equal(p.until) {
		t.Errorf("%v from %v on", c.at, before)
	}
}
