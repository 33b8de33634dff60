package scale

import (
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes of connections.
type byteCounter struct{ in, out atomic.Int64 }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *byteCounter
}

// Accept takes a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

// countingConn counts its bytes.
type countingConn struct {
	net.Conn
	bytes *byteCounter
}

// Read reads and counts.
func (c *countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytes.out.Add(int64(n))
	return n, err
}
