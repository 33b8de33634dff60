package scale

import (
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes received and sent on connections.
type byteCounter struct{ in, out atomic.Int64 }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *byteCounter
}

// Accept accepts a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *byteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytes.out.Add(int64(n))
	return n, err
}
