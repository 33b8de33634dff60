// Package adminapi serves the operators' calls: HTTP/1.1 on a separate address, with one call per connection.
//
//	GET /ready             200 when the gateway is ready, else 503; the body is its State
//	PUT /drain             drains the gateway
//	PUT /undrain           ends the drain
//	PUT /stores/disable    excludes an endpoint; the body is {"id":"s-00c41f7a"}
//	PUT /stores/enable     readmits it
//
// A call succeeds (2xx) only once the requested state is in effect. The package owns the listener's connections, their number and
// timeouts, and the JSON of requests and responses. Overrides and readiness are kept by the Gateway in Options.
//
// The listener's address is the setting "console". That name, the paths and the JSON fields are stable.
package adminapi

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/internal/http1"
)

// MaxConns is the default limit on concurrent connections. A connection above the limit replaces the one whose request has been
// incomplete for longest.
const MaxConns = 24

const (
	firstByteTimeout = 4500.0 // ms
	readTimeout      = 5 * time.Second
	writeTimeout     = time.Second
	lingerTimeout    = 200 * time.Millisecond // for the caller to close the connection after the response
	maxBodyLen       = 4 << 10
)

// continueResponse is sent to a caller that waits for it before it sends the body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// Options configure a Server.
type Options struct {
	Gateway  Gateway
	MaxConns int // limit on concurrent connections; 0: MaxConns
	Clock    *clock.Clock
	Log      zerolog.Logger
}

// Server serves admin calls on one listener.
type Server struct {
	opt        Options
	server     front.Server
	logSampler *front.LogSampler
}

// New returns a Server.
func New(opt Options) *Server {
	if opt.MaxConns <= 0 {
		opt.MaxConns = MaxConns
	}
	return &Server{
		opt:        opt,
		logSampler: front.NewLogSampler(opt.Clock),
		server:     front.Server{Max: opt.MaxConns, FirstByteTimeout: firstByteTimeout, Clock: opt.Clock, Log: opt.Log},
	}
}

// Serve accepts connections until the listener closes or ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.server.Serve(ctx, l, func(nc net.Conn, conn *front.Conn) { s.serveConn(ctx, nc, conn) })
}

// Conns returns the number of open connections.
func (s *Server) Conns() int { return s.server.Conns() }

// Stop closes each connection once the request that was read from it is answered.
func (s *Server) Stop() { s.server.Stop() }

// serveConn reads one request and writes its response.
func (s *Server) serveConn(ctx context.Context, nc net.Conn, conn *front.Conn) {
	conn.CloseWhenIdle()
	response := s.readAndHandle(ctx, nc, conn)
	if response == nil {
		return
	}
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := nc.Write(response); err != nil {
		return
	}
	conn.Update(0, true, 0)
	linger(nc)
}

// readAndHandle reads a request and returns its response. It returns nil if the caller has disconnected, the request did not
// arrive in time, or the server closes the connection.
func (s *Server) readAndHandle(ctx context.Context, nc net.Conn, conn *front.Conn) []byte {
	deadline := time.Now().Add(readTimeout)
	nc.SetReadDeadline(deadline)
	r := bufio.NewReaderSize(requestReader{nc, conn, deadline}, 1<<10)
	message, err := http1.Read(r, http1.Options{
		MaxBodyBytes: maxBodyLen, SendContinue: func() { nc.Write([]byte(continueResponse)) },
	})
	if malformed, ok := http1.AsBadMessage(err); ok {
		if e := s.opt.Log.Warn(); s.logSampler.Take(e, "admin request malformed") {
			e.Int("status", malformed.Status).Str("reason", malformed.Detail).Msg("admin request malformed")
		}
		return errorResponse(malformed.Status, "malformed", malformed.Detail, "")
	}
	if err != nil {
		return nil
	}
	conn.Update(1, true, 0) // a connection with a complete request is not replaced by a new one
	return s.handle(ctx, &message)
}

// linger closes the sending side and discards further input. Otherwise unread input would cause a TCP reset, which could make the
// caller lose the response.
func linger(nc net.Conn) {
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, nc, maxBodyLen)
}

// requestReader reads a request from a connection. The server interrupts a read by setting its deadline, to make the reader check
// whether the connection is to close. If it is not, the read resumes.
type requestReader struct {
	net.Conn
	conn     *front.Conn
	deadline time.Time // of the whole request
}

// Read reads from the connection until its deadline, or until the connection is to close.
func (r requestReader) Read(b []byte) (int, error) {
	for {
		n, err := r.Conn.Read(b)
		interrupted := n <= 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(r.deadline)
		if !interrupted {
			return n, err
		}
		r.Conn.SetReadDeadline(r.deadline) // before the check, so that no later interruption is lost
		if r.conn.ShouldClose() {
			return n, err
		}
	}
}
