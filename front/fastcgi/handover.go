package fastcgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/front"
)

// Handover of a client connection to the process that replaces this one. Each client connection uses a Unix connection of its
// own. The old process sends on it: a byte (the FastCGI version) with the descriptor; the ids of the requests that the old
// process still answers; and the bytes of partial requests, for the new process to read again. From then on the old process
// uses the Unix connection in place of the client connection, with FastCGI records: it writes its responses there, the new
// process relays them to the client and sends ABORT_REQUEST records back, and the end of the Unix connection means that no
// more records follow.

const (
	handoverTimeout      = time.Second            // to send or receive the state of a connection
	writerWaitTimeout    = 500 * time.Millisecond // for the writer to finish before a handover
	handoverPollInterval = 2 * time.Millisecond   // between two polls of the writer, the receipt or the response budget
	abortWriteTimeout    = 100 * time.Millisecond // to write ABORT_REQUEST to the old process
	clientPollInterval   = 10 * time.Millisecond  // between two polls for the end of a client connection during its handover
	maxUnprocessed       = 4 << 20                // bytes of partial requests in a handover
)

var errHandover = errors.New("malformed handover")

// handoverState is the state of a connection that was handed over.
type handoverState struct {
	oldProcess  net.Conn        // the old process
	relayed     map[uint16]bool // the requests that it still answers
	unprocessed []byte          // bytes of partial requests
}

// interruptReader interrupts the reader, so that it hands the connection over.
func (c *conn) interruptReader() {
	c.mu.Lock()
	nc := c.net
	c.mu.Unlock()
	nc.SetReadDeadline(time.Unix(1, 0))
}

// handOver hands the connection over to the new process. It is called by the reader, so nothing is read from the client
// meanwhile. The writer is paused, so that each response is written entirely to the client or entirely to the new process.
// On success, handOver returns the Unix connection, from which the reader continues.
func (c *conn) handOver(r *recordReader, buffered *bufio.Reader) (next net.Conn, handedOver bool) {
	c.mu.Lock()
	nc, relaying := c.net, len(c.relayed) > 0
	c.mu.Unlock()
	nc.SetReadDeadline(time.Time{})
	defer func() {
		if handedOver {
			c.serverConn.HandedOver(next)
		} else {
			c.serverConn.HandedOver(nil)
		}
		c.mu.Lock()
		c.writesPaused = false
		// After a failed handover nothing has changed. Another call of updateServer would interrupt the reader again, in an
		// endless loop.
		if handedOver {
			c.updateServer()
		}
		c.mu.Unlock()
		signal(c.wake)
	}()
	tcp, ok := nc.(*net.TCPConn)
	successor := c.frontend.successor.Load()
	if !ok || successor == nil || relaying { // responses relayed from a third process can't be handed over
		return nil, false
	}
	defer c.watchClient(tcp)()
	to, err := (*successor)()
	if err != nil {
		c.frontend.opt.Log.Warn().Err(err).Msg("handover failed: cannot dial the new process; connection will be closed once idle")
		return nil, false
	}
	// A response that is queued but not yet written must be written first: its request is no longer open here, so the new
	// process would not know its id.
	c.mu.Lock()
	for end := time.Now().Add(writerWaitTimeout); (c.writing || !c.out.empty()) && time.Now().Before(end) && !front.PeerClosed(nc); c.mu.Lock() {
		c.mu.Unlock()
		time.Sleep(handoverPollInterval)
	}
	if c.writing || !c.out.empty() || c.closed || c.closeAfterWrite {
		c.mu.Unlock()
		to.Close()
		return nil, false
	}
	c.writesPaused = true
	var ids, unprocessed []byte
	var partial []uint16
	for id, q := range c.open {
		if q.complete {
			ids = binary.BigEndian.AppendUint16(ids, id)
			continue
		}
		partial = append(partial, id)
		unprocessed = appendPartial(unprocessed, id, q)
	}
	c.mu.Unlock()
	// The bytes that were read after these records: a partial record and the content of the read buffer.
	unprocessed = append(unprocessed, r.unprocessed()...)
	ahead, _ := buffered.Peek(buffered.Buffered())
	unprocessed = append(unprocessed, ahead...)
	if err := sendState(to, tcp, ids, unprocessed); err != nil {
		// The new process has not received the complete state and will not read from the client connection without it.
		c.frontend.opt.Log.Warn().Err(err).Int("requests", len(ids)/2).Msg("handover failed: cannot send the connection's state; connection will be closed once idle")
		to.Close()
		return nil, false
	}
	if !awaitReceipt(to) {
		c.frontend.opt.Log.Warn().Int("requests", len(ids)/2).Msg("handover failed: the new process closed before it read the connection's state; connection will be closed once idle")
		to.Close()
		return nil, false
	}
	c.mu.Lock()
	for _, id := range partial {
		c.removeRequest(id)
	}
	c.net = to
	c.mu.Unlock()
	tcp.Close() // only this process's copy of the descriptor
	return to, true
}

// watchClient cancels the open requests as soon as the client closes the connection, until the returned function is called.
// During a handover the connection is not read, and without this the requests would still be sent to endpoints.
func (c *conn) watchClient(tcp *net.TCPConn) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		poll := time.NewTicker(clientPollInterval)
		defer poll.Stop()
		for !front.PeerClosed(tcp) {
			select {
			case <-stopped:
				return
			case <-poll.C:
			}
		}
		c.cancelAll()
	}()
	return func() { close(stopped) }
}

// awaitReceipt waits until the new process has read everything that was sent to it. It returns false if that process closed
// the Unix connection before: then it does not read from the client connection and never will. After handoverTimeout the
// state counts as read.
func awaitReceipt(to *net.UnixConn) bool {
	raw, err := to.SyscallConn()
	if err != nil {
		return true
	}
	for end := time.Now().Add(handoverTimeout); time.Now().Before(end); time.Sleep(handoverPollInterval) {
		unread, failure := 0, 0
		err := raw.Control(func(fd uintptr) {
			// The order matters: the kernel sets the error before it discards the unread bytes.
			unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
			failure, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		})
		if err == nil && syscall.Errno(failure) == syscall.ECONNRESET {
			return false
		}
		if err != nil || unread == 0 {
			return true
		}
	}
	return true
}

// appendPartial appends the records of a partial request, as they were received from the client.
func appendPartial(b []byte, id uint16, q *request) []byte {
	keep := byte(0)
	if q.keepConn {
		keep = flagKeepConn
	}
	b = appendRecord(b, typeBegin, id, []byte{0, roleResponder, keep, 0, 0, 0, 0, 0})
	for _, part := range []struct {
		kind byte
		data []byte
	}{{typeParams, q.params}, {typeStdin, q.body}} {
		for data := part.data; len(data) > 0; {
			n := min(len(data), maxContent)
			b = appendRecord(b, part.kind, id, data[:n])
			data = data[n:]
		}
		if part.kind == typeParams && q.paramsDone {
			b = appendRecord(b, typeParams, id, nil)
		}
	}
	return b
}

// sendState sends a client connection and its state to the new process. After an error, the new process has not received all
// of it, and will not once the caller has closed to.
func sendState(to *net.UnixConn, tcp *net.TCPConn, ids, unprocessed []byte) error {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	to.SetDeadline(time.Now().Add(handoverTimeout))
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = to.WriteMsgUnix([]byte{version}, syscall.UnixRights(int(fd)), nil)
	}); err != nil || sent != nil {
		return errors.Join(err, sent)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(ids)))
	b = binary.BigEndian.AppendUint32(append(b, ids...), uint32(len(unprocessed)))
	if _, err := to.Write(append(b, unprocessed...)); err != nil {
		return err
	}
	to.SetDeadline(time.Time{}) // it fails only if the Unix connection has ended, which the next read reports
	return nil
}

// Adopt receives a client connection that another process of the gateway hands over, and serves it until it ends.
func (f *Frontend) Adopt(from *net.UnixConn) {
	defer from.Close()
	nc, state, err := receiveState(from)
	if err != nil {
		f.opt.Log.Warn().Err(err).Msg("cannot receive a connection that another process hands over")
		return
	}
	defer nc.Close()
	f.server.Adopt(nc, func(nc net.Conn, serverConn *front.Conn) { f.serve(nc, serverConn, state) })
}

// receiveState receives what sendState sends.
func receiveState(from *net.UnixConn) (nc net.Conn, state *handoverState, err error) {
	from.SetDeadline(time.Now().Add(handoverTimeout))
	var b [1]byte
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := from.ReadMsgUnix(b[:], oob)
	if err != nil {
		return nil, nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil || n != 1 || b[0] != version || len(messages) != 1 {
		return nil, nil, fmt.Errorf("%w: no descriptor", errHandover)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, nil, fmt.Errorf("%w: %d descriptors", errHandover, len(fds))
	}
	file := os.NewFile(uintptr(fds[0]), "passed")
	defer file.Close()
	if nc, err = net.FileConn(file); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			nc.Close()
		}
	}()
	ids, err := readBlock(from, 2*maxConnRequests)
	if err != nil {
		return nil, nil, err
	}
	unprocessed, err := readBlock(from, maxUnprocessed)
	if err != nil {
		return nil, nil, err
	}
	if len(ids)%2 != 0 {
		return nil, nil, fmt.Errorf("%w: %d bytes of request ids", errHandover, len(ids))
	}
	state = &handoverState{oldProcess: from, unprocessed: unprocessed, relayed: map[uint16]bool{}}
	for ; len(ids) > 0; ids = ids[2:] {
		state.relayed[binary.BigEndian.Uint16(ids)] = false
	}
	return nc, state, from.SetDeadline(time.Time{})
}

// readBlock reads a length of 4 bytes and that number of bytes, at most maxBytes.
func readBlock(from io.Reader, maxBytes uint32) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxBytes {
		return nil, fmt.Errorf("%w: length of %d bytes", errHandover, n)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(from, b)
	return b, err
}

// sendWithinBudget queues bytes for the writer, with which a number of responses are complete. While the response budget is exhausted it waits, and the old process waits
// with the rest of its response. The caller holds mu, which is released during the wait.
func (c *conn) sendWithinBudget(b []byte, responses int) {
	for !c.trySend(b, responses) {
		c.mu.Unlock()
		time.Sleep(handoverPollInterval)
		c.mu.Lock()
	}
}

// relayResponses passes the responses of the old process on to the client. Requests that it has not answered when it ends
// have failed. If one of them is answered in part, the client connection is closed, so that the client sees that the
// response is truncated.
func (c *conn) relayResponses() {
	c.mu.Lock()
	r := &recordReader{r: bufio.NewReaderSize(c.oldProcess, readBufferSize)}
	c.mu.Unlock()
	for {
		part, err := r.next()
		c.mu.Lock()
		if err != nil {
			break
		}
		if _, open := c.relayed[part.id]; open && (part.kind == typeStdout || part.kind == typeEnd) {
			c.relayPart(part)
		}
		c.mu.Unlock()
	}
	defer c.mu.Unlock()
	c.oldProcess.Close()
	for id, partlySent := range c.relayed {
		delete(c.relayed, id)
		c.frontend.open.Add(-1)
		c.frontend.opt.Log.Warn().Uint16("request", id).Msg("the old process ended before it answered a request")
		if partlySent {
			c.closed = true
			c.net.Close()
			continue
		}
		c.send(appendStdout(nil, id, []byte("Status: 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"), nil))
	}
	c.updateServer()
}

// relayPart passes a part of a response on to the client, as a record of its own. The caller holds mu.
func (c *conn) relayPart(part recordPart) {
	responses := 0
	if part.kind == typeEnd {
		responses = 1
	}
	c.relayed[part.id] = true
	c.sendWithinBudget(appendRecord(nil, part.kind, part.id, part.data), responses)
	if _, open := c.relayed[part.id]; open && part.kind == typeEnd {
		delete(c.relayed, part.id)
		c.frontend.open.Add(-1)
	}
	c.updateServer()
}
