package fastcgi

import (
	"bufio"
	"bytes"
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
	"turnfork.dev/turnfork/limits"
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
	oldProcess  net.Conn            // the old process
	relayed     map[uint16]bool     // the requests that it still answers
	unprocessed []byte              // bytes of partial requests
	reservation *limits.Reservation // of unprocessed
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
	var ids []byte
	var unprocessed net.Buffers
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
	unprocessed = append(unprocessed, r.unprocessed())
	ahead, _ := buffered.Peek(buffered.Buffered())
	unprocessed = append(unprocessed, ahead)
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

// appendPartial appends the records of a partial request, as they were received from the client. It refers to the request's
// buffers: all connections are handed over at once, and a copy of each would take as much memory again.
func appendPartial(buffers net.Buffers, id uint16, q *request) net.Buffers {
	keep := byte(0)
	if q.keepConn {
		keep = flagKeepConn
	}
	buffers = append(buffers, appendRecord(nil, typeBegin, id, []byte{0, roleResponder, keep, 0, 0, 0, 0, 0}))
	for _, part := range []struct {
		kind byte
		data []byte
	}{{typeParams, q.params}, {typeStdin, q.body}} {
		for data := part.data; len(data) > 0; {
			n := min(len(data), maxContent)
			buffers = append(buffers, appendHeader(nil, part.kind, id, n), data[:n])
			data = data[n:]
		}
		if part.kind == typeParams && q.paramsDone {
			buffers = append(buffers, appendRecord(nil, typeParams, id, nil))
		}
	}
	return buffers
}

// sendState sends a client connection and its state to the new process. After an error, the new process has not received all
// of it, and will not once the caller has closed to.
func sendState(to *net.UnixConn, tcp *net.TCPConn, ids []byte, unprocessed net.Buffers) error {
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
	size := 0
	for _, b := range unprocessed {
		size += len(b)
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(len(ids)))
	head = binary.BigEndian.AppendUint32(append(head, ids...), uint32(size))
	buffers := append(net.Buffers{head}, unprocessed...)
	if _, err := buffers.WriteTo(to); err != nil {
		return err
	}
	to.SetDeadline(time.Time{}) // it fails only if the Unix connection has ended, which the next read reports
	return nil
}

// Adopt receives a client connection that another process of the gateway hands over, and serves it until it ends.
func (f *Frontend) Adopt(from *net.UnixConn) {
	defer from.Close()
	nc, state, err := f.receiveState(from)
	if err != nil {
		f.opt.Log.Warn().Err(err).Msg("cannot receive a connection that another process hands over")
		return
	}
	defer nc.Close()
	defer state.reservation.Release()
	f.server.Adopt(nc, func(nc net.Conn, serverConn *front.Conn) { f.serve(nc, serverConn, state) })
}

// receiveState receives what sendState sends.
func (f *Frontend) receiveState(from *net.UnixConn) (nc net.Conn, state *handoverState, err error) {
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
	idBytes, err := readLength(from, 2*maxConnRequests)
	if err != nil {
		return nil, nil, err
	}
	ids := make([]byte, idBytes)
	if _, err = io.ReadFull(from, ids); err != nil {
		return nil, nil, err
	}
	if idBytes%2 != 0 {
		return nil, nil, fmt.Errorf("%w: %d bytes of request ids", errHandover, idBytes)
	}
	state, err = f.receiveUnprocessed(from)
	if err != nil {
		return nil, nil, err
	}
	for ; len(ids) > 0; ids = ids[2:] {
		state.relayed[binary.BigEndian.Uint16(ids)] = false
	}
	return nc, state, from.SetDeadline(time.Time{})
}

// receiveUnprocessed receives the bytes of partial requests, for which it reserves memory in the request budget.
func (f *Frontend) receiveUnprocessed(from *net.UnixConn) (*handoverState, error) {
	size, err := readLength(from, maxUnprocessed)
	if err != nil {
		return nil, err
	}
	share := 1.0
	if size > smallRequest {
		share = largeRequestShare
	}
	if !f.requestBudget.TryReserveShare(size, share) {
		return nil, fmt.Errorf("%w: no memory for %d bytes of partial requests", errHandover, size)
	}
	state := &handoverState{
		oldProcess: from, unprocessed: make([]byte, size), relayed: map[uint16]bool{},
		reservation: limits.NewReservation(f.requestBudget, size),
	}
	if _, err := io.ReadFull(from, state.unprocessed); err != nil {
		state.reservation.Release()
		return nil, err
	}
	return state, nil
}

// readLength reads a length of 4 bytes, at most maxBytes.
func readLength(from io.Reader, maxBytes uint32) (int, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxBytes {
		return 0, fmt.Errorf("%w: length of %d bytes", errHandover, n)
	}
	return int(n), nil
}

// unprocessedReader reads the bytes of partial requests, and releases their reservation at the end of them.
func (s *handoverState) unprocessedReader() io.Reader {
	r := bytes.NewReader(s.unprocessed)
	s.unprocessed = nil
	return readerFunc(func(b []byte) (int, error) {
		n, err := r.Read(b)
		if r.Len() == 0 {
			s.reservation.Release()
		}
		return n, err
	})
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(b []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

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
