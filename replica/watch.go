package replica

import (
	"context"
	"net"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// fullRetryAfter is when a subscriber may come back that found all places for links taken. It adds its own jitter.
const fullRetryAfter = 5 * time.Second

// watchSendBuffer bounds what the kernel holds for a subscriber that doesn't read; it would hold megabytes for each.
const watchSendBuffer = 128 << 10

// watches serves the subscribers of a voter.
//
// A subscriber costs two goroutines, one that reads its heartbeats and one that writes to it, with a TLS connection between
// them whose buffers grow with what is read: heartbeats of some 20 bytes. What is written to several is encoded once, and
// TLS takes its write buffers from a pool. A subscriber that does not read is cut off by the deadline of a write or once the
// journal has moved on beyond it; it delays nobody else.
type watches struct {
	feed      *feed
	confirmer *confirmer
	snapshots *snapshotCache
	timing    distribution.Timing
	voters    []string // the other voters' addresses, for those who are refused
}

// watcher is one subscriber's connection.
type watcher struct {
	*watches
	conn net.Conn // over TLS
	raw  net.Conn // below it: to cut off a subscriber without waiting for it
	id   distribution.SubscriberID
}

// serve carries out a watch until it ends.
func (w *watches) serve(conn, raw net.Conn) error {
	watcher := &watcher{watches: w, conn: conn, raw: raw}
	if tcp, ok := raw.(interface{ SetWriteBuffer(bytes int) error }); ok {
		tcp.SetWriteBuffer(watchSendBuffer)
	}
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	block, err := readBlock(conn, maxSubscriberBlock)
	if err != nil {
		return err
	}
	request, err := decodeRequest(block)
	if err != nil {
		return err
	}
	w.confirmer.acquire()
	defer w.confirmer.release()
	decision := watcher.admit(request.Position)
	if decision.Admission == distribution.AdmitRefuse {
		return watcher.refuse(decision)
	}
	watcher.id = decision.ID
	defer w.feed.remove(watcher.id)
	if w.feed.heartbeat(watcher.id, request.Heartbeat) {
		w.confirmer.request(urgent)
	}
	return watcher.run(decision.Admission)
}

// admit decides about a subscription. One from beyond this voter's state waits for a confirmation to show whether the voter
// lags behind or the subscriber's history was lost.
func (w *watcher) admit(at distribution.Position) distribution.Decision {
	decision, needed := w.feed.subscribe(at)
	if needed {
		w.confirmer.request(urgent)
	}
	deadline := time.NewTimer(2 * w.timing.HeartbeatInterval)
	defer deadline.Stop()
	for decision.Refusal == distribution.RefuseBehind {
		woken := w.feed.awaken()
		if decision, _ = w.feed.subscribe(at); decision.Refusal != distribution.RefuseBehind {
			break
		}
		select {
		case <-woken:
		case <-deadline.C:
			return decision
		}
	}
	return decision
}

// refuse tells a subscriber to come back, here or elsewhere.
func (w *watcher) refuse(decision distribution.Decision) error {
	return w.send(voterMessage{Refusal: &refusalMessage{
		Reason: decision.Refusal, RetryAfterMS: decision.RetryAfter.Milliseconds(), Voters: w.voters,
	}})
}

// run reads and writes until either ends.
func (w *watcher) run(admission distribution.Admission) error {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() {
		defer w.raw.Close() // ends the reading
		written <- w.write(ctx, admission)
	}()
	err := w.read()
	cancel()
	w.raw.Close() // ends a write under way
	if writeErr := <-written; writeErr != nil && writeErr != context.Canceled {
		return writeErr
	}
	return err
}

// read takes a subscriber's heartbeats. One that sends none for as long as its lease lasts is gone.
func (w *watcher) read() error {
	for {
		w.conn.SetReadDeadline(time.Now().Add(w.timing.LeaseTTL))
		block, err := readBlock(w.conn, maxSubscriberBlock)
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

// write sends a subscriber what it lacks, and then what comes.
func (w *watcher) write(ctx context.Context, admission distribution.Admission) error {
	needsSnapshot := admission == distribution.AdmitSnapshot
	if err := w.send(voterMessage{Admission: &admissionMessage{Snapshot: needsSnapshot}}); err != nil {
		return err
	}
	if needsSnapshot {
		if err := w.sendSnapshot(); err != nil {
			return err
		}
	}
	scout := false
	for {
		delivery, err := w.feed.next(w.id, scout)
		if err != nil {
			return err
		}
		scout = false
		if err := w.deliver(delivery); err != nil {
			return err
		}
		if delivery.batch != nil || delivery.mark != nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-delivery.woken:
		case <-w.feed.scout:
			scout = true
		}
	}
}

// deliver sends a batch and a mark, where there are any.
func (w *watcher) deliver(d delivery) error {
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

// sendSnapshot sends the state as it is now. What changes meanwhile follows from the journal.
func (w *watcher) sendSnapshot() error {
	snapshot, err := w.snapshots.acquire()
	if err != nil {
		return err
	}
	defer w.snapshots.release()
	if err := w.send(voterMessage{Snapshot: &snapshotMessage{At: snapshot.at, Bytes: len(snapshot.json)}}); err != nil {
		return err
	}
	for rest := snapshot.json; len(rest) > 0; {
		part := rest[:min(len(rest), snapshotPart)]
		rest = rest[len(part):]
		w.conn.SetWriteDeadline(time.Now().Add(w.timing.SilenceTimeout))
		if err := writeBlock(w.conn, part); err != nil {
			return err
		}
	}
	return w.feed.snapshotSent(w.id, snapshot.at)
}

// send encodes and sends a message.
func (w *watcher) send(message voterMessage) error {
	block, err := encodeBlock(message)
	if err != nil {
		return err
	}
	return w.sendBlock(block)
}

// sendBlock sends an encoded message. A subscriber that hasn't taken it by when it would turn away itself is cut off.
func (w *watcher) sendBlock(block []byte) error {
	w.conn.SetWriteDeadline(time.Now().Add(w.timing.SilenceTimeout))
	_, err := w.conn.Write(block)
	return err
}

// refuseFull tells a subscriber that all places are taken.
func (w *watches) refuseFull(conn net.Conn) {
	watcher := &watcher{watches: w, conn: conn}
	watcher.refuse(distribution.Decision{Refusal: distribution.RefuseFull, RetryAfter: fullRetryAfter})
}
