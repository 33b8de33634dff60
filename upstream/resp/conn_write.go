package resp

import (
	"bytes"
	"errors"
	"strconv"
	"syscall"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

const (
	maxBatch        = 16 << 10 // bytes after which no further chunk is added to a write
	commandOverhead = 256      // bytes estimated for a queued GET without its body
	maxKeptBuffer   = maxBatch // bytes, the capacity above which the write buffer is released

	ttlField     = ",ttl="
	ttlTolerance = 100 // ms by which the ttl of a partly written command may be too high where its number cannot be changed any more
)

// writeLoop is the writer goroutine. It ends when wake is closed.
func (c *conn) writeLoop(wake <-chan struct{}) {
	defer c.pool.wg.Done()
	for range wake {
		for more := true; more; {
			var err error
			if more, err = c.writeBatch(); err != nil {
				c.pool.mu.Lock()
				c.writeErr = err
				c.pool.mu.Unlock()
				c.net.Close() // the reader reports the end of the attempts in flight
				return
			}
		}
	}
}

// writeBatch writes a batch of queued chunks and reports whether there are more. If the socket's send buffer is full, the batch
// is built again once the socket is writable, so that attempts are not sent that were canceled while they waited or whose
// target or fill source accepts no new work any more.
func (c *conn) writeBatch() (more bool, err error) {
	p := c.pool
	var batch []chunk
	var n int
	var writeErr error
	c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	err = c.whenWritable(func(write func([]byte) (int, error)) (done bool) {
		p.mu.Lock()
		var ended []core.Event
		batch, ended = c.nextBatch()
		p.mu.Unlock()
		for _, ev := range ended { // asynchronously, as a post may block on the core and the encoded batch must be written now
			p.postAsync(ev)
		}
		c.buf = c.buf[:0]
		for _, k := range batch {
			c.buf = append(c.buf, k.bytes...)
		}
		if n, writeErr = 0, nil; len(c.buf) > 0 {
			n, writeErr = write(c.buf)
		}
		if !errors.Is(writeErr, syscall.EAGAIN) {
			return true
		}
		p.mu.Lock()
		c.requeue(batch)
		p.mu.Unlock()
		batch, n, writeErr = nil, 0, nil
		return false
	})
	if cap(c.buf) > maxKeptBuffer {
		c.buf = nil
	}
	if err == nil {
		err = writeErr
	}
	written, partial := 0, max(0, n)
	for ; written < len(batch) && partial >= len(batch[written].bytes); written++ {
		partial -= len(batch[written].bytes)
	}
	if err == nil && partial > 0 { // the send buffer is full in the middle of a chunk
		if err = c.writeRemainder(batch[written], partial); err == nil {
			written++
		}
	}
	p.mu.Lock()
	ended := c.recordWritten(batch[:written], batch[written:], err)
	if errors.Is(err, errDeadlinePassed) {
		if ev := p.endAttempt(batch[written].attempt, control.NotSent); ev != nil {
			ended = append(ended, ev)
		}
	}
	more = len(c.outgoing) > 0 && !c.broken
	p.mu.Unlock()
	for _, ev := range ended {
		p.post(ev)
	}
	return more, err
}

// writeRemainder writes the remainder of a chunk of which the given number of bytes are sent. If meanwhile the client cancels
// the request, or its ttl is not yet sent and can no longer be corrected, it returns an error instead: the connection is then
// closed, so that a slow endpoint never receives the complete request.
func (c *conn) writeRemainder(k chunk, sent int) error {
	rest := k.bytes[sent:]
	var writeErr error
	err := c.whenWritable(func(write func([]byte) (int, error)) (done bool) {
		for len(rest) > 0 {
			if k.canceled() {
				writeErr = errClientCanceled
				return true
			}
			if rest, writeErr = c.updateTTL(k, rest); writeErr != nil {
				return true
			}
			n, err := write(rest)
			if errors.Is(err, syscall.EAGAIN) {
				return false
			}
			if err != nil {
				writeErr = err
				return true
			}
			rest = rest[n:]
		}
		return true
	})
	return errors.Join(err, writeErr)
}

// updateTTL updates the ttl field in the remainder of a chunk to the time left now, unless the field is sent already. The number
// of digits cannot change, as the command's lengths are sent: with fewer digits the old value stays if it is within
// ttlTolerance, else updateTTL returns errDeadlinePassed.
func (c *conn) updateTTL(k chunk, rest []byte) ([]byte, error) {
	at, digits := findTTL(k.bytes)
	sent := len(k.bytes) - len(rest)
	if k.attempt == nil || k.isDrop || k.attempt.Deadline <= 0 || at == 0 || sent > at {
		return rest, nil
	}
	remaining := k.attempt.Deadline - c.pool.now()
	newDigits := strconv.FormatInt(int64(remaining), 10)
	previous, err := strconv.ParseInt(digits, 10, 64)
	switch {
	case err != nil || remaining < minTTL || len(newDigits) != len(digits) && int64(remaining)+ttlTolerance < previous:
		return nil, errDeadlinePassed
	case len(newDigits) == len(digits):
		copy(k.bytes[at:], newDigits)
	}
	return rest, nil
}

// findTTL finds the ttl field in a GET. It returns the position of its first digit, or 0 if there is none, and its digits.
func findTTL(command []byte) (at int, digits string) {
	_, after, found := bytes.Cut(command, []byte(ttlField))
	if !found {
		return 0, ""
	}
	n := 0
	for n < len(after) && after[n] >= '0' && after[n] <= '9' {
		n++
	}
	return len(command) - len(after), string(after[:n])
}

// canceled reports whether a chunk is a request that its client has canceled.
func (k chunk) canceled() bool {
	return k.attempt != nil && !k.isDrop && k.attempt.Canceled != nil && k.attempt.Canceled.Load()
}

// whenWritable calls try with a non-blocking write function, and again whenever the socket is writable, until it returns
// true. A connection without a file descriptor, such as a recorded one, gets a blocking write function.
func (c *conn) whenWritable(try func(write func([]byte) (int, error)) (done bool)) error {
	if c.raw == nil {
		try(c.net.Write)
		return nil
	}
	return c.raw.Write(func(fd uintptr) bool {
		return try(func(b []byte) (n int, err error) {
			for {
				if n, err = syscall.Write(int(fd), b); err != syscall.EINTR {
					return n, err
				}
			}
		})
	})
}

// command encodes an attempt for a write at the given time. It is encoded this late so that the ttl does not include time
// that the attempt has spent waiting for a dial or a full socket.
func (a *attempt) command(now float64) []byte {
	if a.probe {
		return a.probeCommand
	}
	return encodeGet(a.AttemptRequest, a.Deadline-now)
}

// batchSize returns the number of bytes after which a batch is complete. With blocking writes a batch has one chunk, so that
// the chunks behind it are encoded only after that write.
func (c *conn) batchSize() int {
	if c.raw == nil {
		return 1
	}
	return maxBatch
}

// nextBatch takes the next batch from the write queue, with a PING behind its DROPs, and ends the attempts that must not be
// sent any more.
func (c *conn) nextBatch() (batch []chunk, ended []core.Event) {
	if c.broken {
		return nil, nil
	}
	var drops []core.AttemptKey
	size, next := 0, 0
	for ; next < len(c.outgoing) && size < c.batchSize(); next++ {
		k := c.outgoing[next]
		c.queuedBytes -= k.queuedSize
		switch a := k.attempt; {
		case a.ended: // it has ended otherwise, such as by a response
			continue
		case k.isDrop:
			drops = append(drops, a.AttemptKey)
		case a.cancelRequested || !c.pool.maySend(a):
			if ev := c.pool.endAttempt(a, control.NotSent); ev != nil {
				ended = append(ended, ev)
			}
			continue
		default:
			a.mayBeSent, a.writtenAt = true, c.pool.now()
			k.bytes = a.command(a.writtenAt)
		}
		batch, size = append(batch, k), size+len(k.bytes)
	}
	if c.outgoing = c.outgoing[next:]; len(c.outgoing) == 0 {
		c.outgoing = nil
	}
	if id := c.addBarrier(drops); id != "" {
		batch = append(batch, chunk{barrierID: id, bytes: appendCommand(nil, "PING", id)})
	}
	return batch, ended
}

// requeue returns chunks that are not completely written to the front of the write queue.
func (c *conn) requeue(batch []chunk) {
	var requeued []chunk
	for _, k := range batch {
		if k.barrierID != "" { // registered again with its DROPs
			delete(c.barriers, k.barrierID)
			continue
		}
		if !k.isDrop {
			k.attempt.mayBeSent, k.bytes = false, nil
		}
		c.queuedBytes += k.queuedSize
		requeued = append(requeued, k)
	}
	c.outgoing = append(requeued, c.outgoing...)
}

// recordWritten records the chunks that are completely written and puts the rest back. A chunk that a failed write did not send
// completely cannot have arrived completely, so its attempt has not run.
func (c *conn) recordWritten(written, rest []chunk, err error) (ended []core.Event) {
	for _, k := range written {
		if k.isDrop && !k.attempt.ended { // the DROP is sent: from now on the next attempt of the request may be sent
			c.retireID(k.attempt.wireID)
			if ev := c.pool.endAttempt(k.attempt, k.attempt.cancelOutcome); ev != nil {
				ended = append(ended, ev)
			}
		}
	}
	if c.requeue(rest); err == nil {
		c.closeIfDone()
	}
	return ended
}
