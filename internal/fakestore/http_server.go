package fakestore

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// HTTPServer is an endpoint that reads HTTP/1.1 requests and leaves the bytes of each response to its handler, which can thus also
// send a malformed one or none.
type HTTPServer struct{ server }

// HTTPRequest is a request that has been read completely, with its connection.
type HTTPRequest struct {
	*http.Request
	Conn      net.Conn
	Reader    *bufio.Reader // of the connection, to see it end
	ArrivedAt time.Time     // when the header was read
}

// ListenHTTP starts an endpoint on a free port of loopback. handle responds to one request after the other of a connection, and
// reports whether that takes a further one; otherwise it is closed. The endpoint must be closed.
func ListenHTTP(handle func(HTTPRequest) (usable bool)) (*HTTPServer, error) {
	s := &HTTPServer{}
	_, err := s.listen("127.0.0.1:0", func(conn net.Conn) { serveHTTP(conn, handle) })
	return s, err
}

// BaseURL returns the URL of the endpoint, without a path.
func (s *HTTPServer) BaseURL() string { return "http://" + s.listeners[0].Addr().String() }

func serveHTTP(conn net.Conn, handle func(HTTPRequest) (usable bool)) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrivedAt := time.Now()
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !handle(HTTPRequest{Request: request, Conn: conn, Reader: reader, ArrivedAt: arrivedAt}) || request.Close {
			return
		}
	}
}
