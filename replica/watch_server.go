package replica

import (
	"context"
	"errors"
	"net"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// fullRetryAfter is the Retry-After of a subscriber for which there is no connection slot. The subscriber adds jitter.
const fullRetryAfter = 5 * time.Second

// watchSendBuffer bounds what the kernel buffers for a subscriber that does not read; by default it is megabytes for each.
const watchSendBuffer = 128 << 10

// watchServer serves the watches of subscribers.
//
// A subscriber costs two goroutines, one that reads its heartbeats and one that writes to it, with a TLS connection between
// them whose read buffer grows with what is read: heartbeats of about 20 bytes. What is sent to several subscribers is encoded
// once, and TLS takes its write buffers from a pool. A subscriber that does not read is disconnected by a write deadline, or when
// it lags behind the journal; it does not delay the others.
type watchServer struct {
	feed        *feed
	confirmer   *confirmer
	snapshots   *snapshotCache
	timing      distribution.Timing
	otherVoters []string // addresses, for subscribers that are rejected
}

// watchStream is one subscriber's connection.
type watchStream struct {
	*watchServer
	conn net.Conn // over TLS
	raw  net.Conn // below TLS: it can be closed without waiting for the subscriber
	id   distribution.SubscriberID
}

// serve serves a watch until it ends.
func (w *watchServer) serve(conn, raw net.Conn) error {
	stream := &watchStream{watchServer: w, conn: conn, raw: raw}
	if tcp, ok := raw.(interface{ SetWriteBuffer(bytes int) error }); ok {
		tcp.SetWriteBuffer(watchSendBuffer)
	}
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	block, err := readBlock(conn, maxSubscriberMessage)
	if err != nil {
		return err
	}
	request, err := decodeSubscribeRequest(block)
	if err != nil {
		return err
	}
	w.confirmer.acquire()
	defer w.confirmer.release()
	decision := stream.admit(request.Position)
	if decision.Admission == distribution.AdmitReject {
		return stream.reject(decision)
	}
	stream.id = decision.ID
	defer w.feed.remove(stream.id)
	if w.feed.heartbeat(stream.id, request.Heartbeat) {
		w.confirmer.request(urgent)
	}
	return stream.run(decision.Admission)
}

// admit decides on a subscription. If its position is ahead of this voter's state, it waits for a confirmation that shows whether
// the voter is lagging or the subscriber's history was lost.
func (w *watchStream) admit(at distribution.Position) distribution.Decision {
	decision, needed := w.feed.subscribe(at)
	if needed {
		w.confirmer.request(urgent)
	}
	deadline := time.NewTimer(2 * w.timing.HeartbeatInterval)
	defer deadline.Stop()
	for decision.Rejection == distribution.RejectLagging {
		wake := w.feed.wakeChannel()
		if decision, _ = w.feed.subscribe(at); decision.Rejection != distribution.RejectLagging {
			break
		}
		select {
		case <-wake:
		case <-deadline.C:
			return decision
		}
	}
	return decision
}

// reject asks a subscriber to retry later, here or at another voter.
func (w *watchStream) reject(decision distribution.Decision) error {
	return w.send(voterMessage{Rejection: &rejectionMessage{
		Reason: decision.Rejection, RetryAfterMS: decision.RetryAfter.Milliseconds(), Voters: w.otherVoters,
	}})
}

// rejectFull rejects a subscriber for which there is no connection slot.
func (w *watchServer) rejectFull(conn net.Conn) {
	stream := &watchStream{watchServer: w, conn: conn}
	stream.reject(distribution.Decision{Rejection: distribution.RejectFull, RetryAfter: fullRetryAfter})
}

// run reads and writes until either ends.
func (w *watchStream) run(admission distribution.Admission) error {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() {
		defer w.raw.Close() // unblocks read
		written <- w.write(ctx, admission)
	}()
	err := w.read()
	cancel()
	w.raw.Close() // ends a write in progress
	if writeErr := <-written; writeErr != nil && !errors.Is(writeErr, context.Canceled) {
		return writeErr
	}
	return err
}

// read reads a subscriber's heartbeats. A subscriber that sends none for the lease's TTL is disconnected.
func (w *watchStream) read() error {
	for {
		w.conn.SetReadDeadline(time.Now().Add(w.timing.LeaseTTL))
		block, err := readBlock(w.conn, maxSubscriberMessage)
		if err != nil {
			return err
		}
		heartbeat, err := decodeHeartbeat(block)
		if err != nil {
			return err
		}
		if w.feed.heartbeat(w.id, heartbeat.Heartbeat) {
			w.confirmer.request(periodic)
		}
	}
}

// write sends a subscriber the changes that it has missed, and then each new one, with marks.
func (w *watchStream) write(ctx context.Context, admission distribution.Admission) error {
	needsSnapshot := admission == distribution.AdmitSnapshot
	if err := w.send(voterMessage{Admission: &admissionMessage{Snapshot: needsSnapshot}}); err != nil {
		return err
	}
	if needsSnapshot {
		if err := w.sendSnapshot(); err != nil {
			return err
		}
	}
	wokenAlone := false
	for {
		delivery, err := w.feed.next(w.id, wokenAlone)
		if err != nil {
			return err
		}
		wokenAlone = false
		if err := w.deliver(delivery); err != nil {
			return err
		}
		if delivery.batch != nil || delivery.mark != nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-delivery.wake:
		case <-w.feed.wakeSingle:
			wokenAlone = true
		}
	}
}

// deliver sends a batch and a mark, if there are any.
func (w *watchStream) deliver(d delivery) error {
	if d.batch != nil {
		block, err := encodeBatch(d.batch)
		if err != nil {
			return err
		}
		if err := w.sendBlock(block); err != nil {
			return err
		}
	}
	if d.mark != nil {
		return w.send(voterMessage{Mark: d.mark})
	}
	return nil
}

// sendSnapshot sends the current state. Later changes follow from the journal.
func (w *watchStream) sendSnapshot() error {
	snapshot, err := w.snapshots.acquire()
	if err != nil {
		return err
	}
	defer w.snapshots.release()
	if err := w.send(voterMessage{Snapshot: &snapshotMessage{At: snapshot.at, Bytes: len(snapshot.json)}}); err != nil {
		return err
	}
	for rest := snapshot.json; len(rest) > 0; {
		chunk := rest[:min(len(rest), snapshotChunkSize)]
		rest = rest[len(chunk):]
		w.conn.SetWriteDeadline(time.Now().Add(w.timing.SilenceTimeout))
		if err := writeBlock(w.conn, chunk); err != nil {
			return err
		}
	}
	return w.feed.snapshotSent(w.id, snapshot.at)
}

// send encodes and sends a message.
func (w *watchStream) send(message voterMessage) error {
	block, err := encodeBlock(message)
	if err != nil {
		return err
	}
	return w.sendBlock(block)
}

// sendBlock sends an encoded message. Its deadline is the time-out after which the subscriber connects to another voter
// anyway.
func (w *watchStream) sendBlock(block []byte) error {
	w.conn.SetWriteDeadline(time.Now().Add(w.timing.SilenceTimeout))
	_, err := w.conn.Write(block)
	return err
}
