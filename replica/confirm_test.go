package replica

import (
	"context"
	"net"
	"testing"
	"time"
)

// A confirmation request that times out fails and closes the connection, also if the time-out and the failure coincide: a kept
// connection could deliver a late response to the next request.
func TestConfirmationTimesOut(t *testing.T) {
	for range 200 {
		here, there := net.Pipe() // nothing reads from there
		conn := &confirmConn{addr: "leader", conn: here}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		if _, err := conn.confirm(ctx, "leader"); err == nil {
			t.Fatal("confirmed without a response")
		}
		if conn.conn != nil {
			t.Fatal("the connection was not closed")
		}
		cancel()
		there.Close()
	}
}
