package fastcgi

import (
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/core"
)

const (
	writeTimeout = 3 * time.Second // for each chunk; after that the connection is closed
	writeChunk   = 64 << 10        // bytes; each chunk has its own timeout, as a client may read slowly

	smallResponse      = 1 << 10             // bytes; up to this size a response is queued even if the response budget is exhausted
	maxUnreadResponses = 4 * maxConnRequests // responses that one client may leave unread while the response budget is exhausted
)

// Answer sends the core's final answer to a request.
func (c *conn) Answer(tag uint64, a core.Answer) {
	id := uint16(tag)
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.open[id]
	if q == nil || q.tag != tag {
		return // canceled
	}
	defer c.updateServer()
	head := throttleHeader(a.RetryAfter)
	switch a.Verdict {
	case core.Served:
		c.reply(id, "200 OK", head, a.Body)
	case core.NotModified:
		c.reply(id, "200 OK", "X-Keep: 1\r\n", nil)
	case core.Rejected:
		c.reply(id, "503 Service Unavailable", head, nil)
	default:
		status := "502 Bad Gateway"
		switch a.Reason {
		case core.DeadlineExceeded, core.AuthorizationExpired:
			status = "504 Gateway Timeout"
		case core.UnknownClass:
			status = "404 Not Found"
		case core.MissingIdempotencyKey:
			status = "400 Bad Request"
		}
		c.reply(id, status, head, nil)
	}
}

// throttleHeader returns the header that asks a client to send no request for a time.
func throttleHeader(ms float64) string {
	if ms <= 0 {
		return ""
	}
	return "X-Throttle-Ms: " + strconv.FormatInt(max(1, int64(ms)), 10) + "\r\n"
}

// reply queues the response to a request and removes the request.
func (c *conn) reply(id uint16, status, head string, body []byte) {
	q := c.open[id]
	c.removeRequest(id)
	text := "Status: " + status + "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n" + head + "\r\n"
	c.closeAfterWrite = c.closeAfterWrite || q != nil && !q.keepConn
	if !c.trySend(appendStdout(make([]byte, 0, len(text)+len(body)+64+len(body)/8000), id, []byte(text), body), 1) {
		f := c.frontend
		f.logSampled(f.opt.Log.Warn(), "response buffer limit reached; responding 502", func(e *zerolog.Event) {
			e.Uint16("request", id).Stringer("from", c.serverConn.RemoteAddr()).Int("bytes", len(body)).Int64("all_bytes", f.responseBudget.Reserved())
		})
		c.send(c.overBudgetResponse(id))
	}
}

// overBudgetResponse returns the response for a request whose actual response exceeds the response budget. The status is
// 502, as the request may have been executed.
func (c *conn) overBudgetResponse(id uint16) []byte {
	text := "Status: 502 Bad Gateway\r\nContent-Length: 0\r\n" + throttleHeader(c.frontend.opt.RetryAfter) + "\r\n"
	return appendStdout(nil, id, []byte(text), nil)
}

// send queues a response for the writer. Small ones are queued even if the response budget is exhausted: other clients that do
// not read their responses must not cost a client its connection and its open requests. A client that itself leaves many
// responses unread is disconnected.
func (c *conn) send(b []byte) {
	if c.trySend(b, 1) {
		return
	}
	if len(b) > smallResponse || c.out.pendingResponses() >= maxUnreadResponses {
		f := c.frontend
		f.logSampled(f.opt.Log.Warn(), "response buffer limit reached; closing connection of slow client", func(e *zerolog.Event) {
			e.Stringer("from", c.serverConn.RemoteAddr()).Int("responses", c.out.pendingResponses()).Int64("all_bytes", f.responseBudget.Reserved())
		})
		c.closed = true
		c.net.Close()
		return
	}
	c.frontend.responseBudget.ReserveBeyond(c.out.cost(b))
	c.queue(b, 1)
}

// trySend queues bytes for the writer, with which a number of responses are complete. It returns false if the response budget is
// exhausted.
func (c *conn) trySend(b []byte, responses int) bool {
	if c.closed {
		return true
	}
	if !c.frontend.responseBudget.TryReserve(c.out.cost(b)) {
		return false
	}
	c.queue(b, responses)
	return true
}

func (c *conn) queue(b []byte, responses int) {
	c.out.add(b, responses)
	c.frontend.open.Add(int64(responses))
	signal(c.wake)
}

// signal wakes the goroutine that waits for a channel with a buffer of one element.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// write is the writer goroutine.
func (c *conn) write() {
	for {
		select {
		case <-c.ended:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		if c.writesPaused {
			c.mu.Unlock()
			continue // woken again at the end of the handover
		}
		last, nc := c.closeAfterWrite && len(c.open)+len(c.relayed) == 0, c.net
		if c.out.empty() && !last { // woken at the end of a handover with nothing to write; updateServer would interrupt the reader again
			c.mu.Unlock()
			continue
		}
		batch := c.out.take()
		c.out.writing = batch.responses
		c.writing = true
		c.mu.Unlock()
		err := writeAll(nc, batch.buffers)
		c.frontend.responseBudget.Release(batch.reserved)
		c.frontend.open.Add(-int64(batch.responses))
		c.mu.Lock()
		c.writing, c.out.writing = false, 0
		c.closed = c.closed || err != nil || last
		c.updateServer()
		c.mu.Unlock()
		signal(c.written)
		if err != nil || last {
			nc.Close()
			return
		}
	}
}

// writeAll writes buffers in chunks of up to writeChunk bytes, each within writeTimeout. Small buffers are written in one call.
func writeAll(nc net.Conn, out [][]byte) (err error) {
	var next net.Buffers
	size := 0
	flush := func() {
		if err == nil && size > 0 {
			nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = next.WriteTo(nc)
		}
		next, size = nil, 0
	}
	for _, b := range out {
		for len(b) > 0 {
			n := min(len(b), writeChunk-size)
			next, size, b = append(next, b[:n]), size+n, b[n:]
			if size == writeChunk {
				flush()
			}
		}
	}
	flush()
	return err
}
