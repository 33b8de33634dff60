package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

const (
	// encodeTimeout limits how long a voter may take to encode a snapshot.
	encodeTimeout = 20 * time.Second
	// snapshotTimeout limits the transfer of a complete snapshot.
	snapshotTimeout = time.Minute
)

// run watches one voter at a time until the subscriber is closed.
func (s *Subscriber) run() {
	defer close(s.ended)
	voters, _ := s.updateVoters()
	choice := distribution.NewVoterChoice(voters)
	for s.ctx.Err() == nil {
		if voters, changed := s.updateVoters(); changed {
			choice = distribution.NewVoterChoice(voters)
		}
		voter, wait := choice.Next(time.Now())
		if !s.sleep(wait) {
			return
		}
		result := s.watch(voter)
		s.opt.Log.Debug().Str("voter", voter).Err(result.err).Msg("watch ended")
		if result.marked {
			s.backoff.Reset()
		}
		choice.WatchEnded(voter, result.marked, result.retryAfter, time.Now())
		if !s.sleep(s.backoff.Next(0)) {
			return
		}
	}
}

// watchResult describes how a watch ended.
type watchResult struct {
	marked     bool          // a mark renewed the lease, so the watch worked
	retryAfter time.Duration // for which a rejected subscriber does not ask this voter again, with jitter; 0: not rejected
	err        error
}

// sleep waits for a duration. It reports false if the subscriber is closed.
func (s *Subscriber) sleep(d time.Duration) bool {
	return sleepUntil(s.ctx, time.Now().Add(d))
}

// watch watches a voter until the watch ends.
func (s *Subscriber) watch(voter string) watchResult {
	conn, err := s.dialer.dial(s.ctx, voter, connWatch)
	if err != nil {
		return watchResult{err: err}
	}
	stop := context.AfterFunc(s.ctx, func() { closeNow(conn) })
	defer stop()
	w := &subscription{Subscriber: s, conn: conn, voter: voter}
	defer w.end()
	if err := w.open(); err != nil {
		return watchResult{err: err}
	}
	err = w.receive()
	result := watchResult{marked: w.marked, err: err}
	if errors.Is(err, errWatchRejected) {
		result.retryAfter = s.backoff.Next(w.retryAfter)
	}
	return result
}

// subscription is one watch, on one connection.
type subscription struct {
	*Subscriber
	conn       net.Conn
	voter      string
	marked     bool          // a mark has renewed the lease
	retryAfter time.Duration // of a rejection

	writeMu   sync.Mutex
	heartbeat *time.Timer
	finished  bool // no further heartbeat is sent
}

// open sends the subscribe request and starts the heartbeats.
func (w *subscription) open() error {
	w.mu.Lock()
	w.connections++
	w.Subscriber.voter = w.voter
	request := subscribeRequest{
		Name: w.opt.Name, Position: w.view.Position(), Heartbeat: w.lease.Heartbeat(w.opt.Now()),
	}
	w.mu.Unlock()
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	if err := w.send(request); err != nil {
		return err
	}
	w.heartbeat = time.AfterFunc(w.timing.HeartbeatInterval, w.sendHeartbeat)
	return w.extendReadDeadline()
}

// end closes the connection and stops the heartbeats.
func (w *subscription) end() {
	closeNow(w.conn) // ends a heartbeat's write in progress
	w.writeMu.Lock()
	w.finished = true
	if w.heartbeat != nil {
		w.heartbeat.Stop()
	}
	w.writeMu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.Disconnected()
	w.Subscriber.voter = ""
}

// sendHeartbeat sends a heartbeat and schedules the next one. The lease records the heartbeat's time before it is sent: the
// mark that answers it proves that the state was complete at that time.
func (w *subscription) sendHeartbeat() {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	if w.finished {
		return
	}
	w.mu.Lock()
	number := w.lease.Heartbeat(w.opt.Now())
	w.mu.Unlock()
	if err := w.send(heartbeatMessage{Heartbeat: number}); err != nil {
		closeNow(w.conn) // ends receive
		return
	}
	w.heartbeat.Reset(w.timing.HeartbeatInterval)
}

// send sends a message; w.writeMu is held.
func (w *subscription) send(message any) error {
	block, err := encodeBlock(message)
	if err != nil {
		return err
	}
	w.conn.SetWriteDeadline(time.Now().Add(w.timing.HeartbeatInterval))
	_, err = w.conn.Write(block)
	w.traffic.messagesOut.Add(1)
	return err
}

// extendReadDeadline sets the deadline for the next mark to the silence time-out from now.
func (w *subscription) extendReadDeadline() error {
	return w.conn.SetReadDeadline(time.Now().Add(w.timing.SilenceTimeout))
}

// receive handles the voter's messages until the watch ends.
func (w *subscription) receive() error {
	for {
		block, err := readBlock(w.conn, maxVoterMessage)
		if err != nil {
			return err
		}
		w.traffic.messagesIn.Add(1)
		var message voterMessage
		if err := json.Unmarshal(block, &message); err != nil {
			return err
		}
		if err := w.handle(message); err != nil {
			return err
		}
	}
}

// handle handles a message. Kinds that only a later version sends are ignored.
func (w *subscription) handle(message voterMessage) error {
	switch {
	case message.Batch != nil:
		return w.handleBatch(message.Batch.batch())
	case message.Mark != nil:
		return w.handleMark(*message.Mark)
	case message.Snapshot != nil:
		return w.handleSnapshot(*message.Snapshot)
	case message.Admission != nil:
		return w.handleAdmission(*message.Admission)
	case message.Rejection != nil:
		w.retryAfter = time.Duration(message.Rejection.RetryAfterMS) * time.Millisecond
		return fmt.Errorf("%w: %s", errWatchRejected, message.Rejection.Reason)
	}
	return nil
}

// handleAdmission gives the voter time to encode a snapshot, if one comes next.
func (w *subscription) handleAdmission(admission admissionMessage) error {
	if !admission.Snapshot {
		return nil
	}
	return w.conn.SetReadDeadline(time.Now().Add(encodeTimeout))
}

func (w *subscription) handleBatch(batch *distribution.Batch) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired()
	return w.view.Apply(batch)
}

// handleMark renews the lease. A mark that does not renew it does not extend the read deadline either.
func (w *subscription) handleMark(mark distribution.Mark) error {
	w.mu.Lock()
	renewed := w.lease.Renew(mark, w.view.Position())
	if renewed {
		w.leader = mark.Leader
		w.dropExpired()
	}
	w.mu.Unlock()
	if !renewed {
		return nil
	}
	w.marked = true
	w.notifier.update()
	return w.extendReadDeadline()
}

// handleSnapshot receives the announced snapshot and replaces the state with it.
func (w *subscription) handleSnapshot(announced snapshotMessage) error {
	if announced.Bytes < 0 || announced.Bytes > maxSnapshotSize {
		return fmt.Errorf("replica: snapshot of %d bytes exceeds the limit of %d", announced.Bytes, maxSnapshotSize)
	}
	encoded, err := w.receiveChunks(announced.Bytes)
	if err != nil {
		return err
	}
	var snapshot distribution.Snapshot
	if err := json.Unmarshal(encoded, &snapshot); err != nil {
		return err
	}
	w.mu.Lock()
	w.view.Restore(&snapshot, w.steadyTime())
	w.digest.Store(nil)
	w.snapshots++
	w.mu.Unlock()
	return w.extendReadDeadline()
}

// receiveChunks reads the blocks of a snapshot, each of which extends the read deadline. The buffer grows with the bytes
// received, so a wrong announced size allocates nothing in advance.
func (w *subscription) receiveChunks(size int) (encoded []byte, err error) {
	limit := time.Now().Add(snapshotTimeout)
	for len(encoded) < size {
		deadline := time.Now().Add(w.timing.SilenceTimeout)
		if deadline.After(limit) {
			deadline = limit
		}
		w.conn.SetReadDeadline(deadline)
		chunk, err := readBlock(w.conn, snapshotChunkSize)
		if err != nil {
			return nil, err
		}
		w.traffic.messagesIn.Add(1)
		if len(chunk) == 0 || len(encoded)+len(chunk) > size {
			return nil, fmt.Errorf("replica: snapshot chunk of %d bytes is empty or exceeds the announced size of %d", len(chunk), size)
		}
		encoded = append(encoded, chunk...)
	}
	return encoded, nil
}
