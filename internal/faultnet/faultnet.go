// Package faultnet injects network errors into tests: calls on real sockets fail with the errors that Linux documents.
package faultnet

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// aLongTimeAgo is a deadline in the past; setting it ends a blocked call at once.
var aLongTimeAgo = time.Unix(1, 0)

// Error wraps an errno in the error types that the net package returns for a failed system call.
func Error(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// Dialer opens TCP connections, and returns injected errors.
type Dialer struct {
	mu           sync.Mutex
	failErr      error
	failuresLeft int // the number of dials that still have to fail; negative: all
	calls        int
	wrap         func(net.Conn) net.Conn
}

// Fail makes the next dials fail with err, as many as times says; all if it is negative.
func (d *Dialer) Fail(err error, times int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failErr, d.failuresLeft = err, times
}

// Wrap sets a function that wraps each connection opened from now on.
func (d *Dialer) Wrap(wrap func(net.Conn) net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wrap = wrap
}

// DialCount returns the number of dials, including those that failed.
func (d *Dialer) DialCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// DialContext opens a connection, or returns the error set by Fail.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	d.calls++
	shouldFail, wrap, err := d.failuresLeft != 0, d.wrap, d.failErr
	if d.failuresLeft > 0 {
		d.failuresLeft--
	}
	d.mu.Unlock()
	if shouldFail {
		return nil, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err == nil && wrap != nil {
		conn = wrap(conn)
	}
	return conn, err
}

// Listener is a listener whose Accept returns each of Errors in turn before it accepts connections.
type Listener struct {
	net.Listener
	Errors []error

	failed atomic.Int64
}

// FailedAccepts returns how many calls of Accept have failed with one of Errors.
func (l *Listener) FailedAccepts() int { return int(l.failed.Load()) }

// Accept returns the next error or accepts a connection. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	if n := int(l.failed.Load()); n < len(l.Errors) {
		l.failed.Add(1)
		return nil, l.Errors[n]
	}
	return l.Listener.Accept()
}

// Conn is a connection that returns injected errors. It does not expose its file descriptor, so that callers can't bypass Read
// and Write.
type Conn struct {
	net.Conn
	readErr, writeErr atomic.Pointer[error]
}

// FailRead makes all reads fail with err from now on, including one that is blocked.
func (c *Conn) FailRead(err error) {
	c.readErr.Store(&err)
	c.Conn.SetReadDeadline(aLongTimeAgo)
}

// FailWrite makes all writes fail with err from now on.
func (c *Conn) FailWrite(err error) { c.writeErr.Store(&err) }

// Read reads from the connection, or returns the error set by FailRead.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.readErr.Load(); err != nil {
		return 0, *err
	}
	n, err := c.Conn.Read(b)
	if injected := c.readErr.Load(); err != nil && injected != nil {
		return n, *injected
	}
	return n, err
}

// Write writes to the connection, or returns the error set by FailWrite.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.writeErr.Load(); err != nil {
		return 0, *err
	}
	return c.Conn.Write(b)
}
