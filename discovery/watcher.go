// Package discovery watches the discovery server for the endpoint list and for purges.
//
// A watch is one TCP connection: the client sends the sequence number of the last event that it has received; the server sends
// the events after it, each with its sequence number, and heartbeats between them. The package manages the connection, its
// time-outs, reconnection with backoff, and the sequence number to resume from. No event is posted twice or out of order, and
// one is skipped only if the server no longer has it. The package also parses the events in the configuration (ParseKnown). It
// does not store the endpoint list, makes no decisions about endpoints, and does not track the age of the events it has posted.
//
// The address of the discovery server is the setting "changelog".
package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/core"
)

const (
	defaultIdleTimeout = 1800 * time.Millisecond // the server sends a heartbeat each second
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 400 * time.Millisecond
)

// AddressChange reports a new address of the discovery server to a watcher.
type AddressChange struct{ Addr string }

// Watcher watches the discovery server at Addr from the event after Seq. Its fields are set before Run is called, and must not be
// accessed afterwards.
type Watcher struct {
	Addr           string
	Seq            uint64               // of the last event posted
	AddressChanges <-chan AddressChange // nil: the address never changes
	Post           func(core.Event)
	Log            zerolog.Logger
	// OnSynced is called at each heartbeat whose sequence number is at most Seq, that is when all events of the server have been
	// posted. Nil: not called.
	OnSynced func()
	// Dial opens a connection; nil: net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// IdleTimeout is the time without a received byte after which a watch fails; 0: defaultIdleTimeout.
	IdleTimeout time.Duration

	missingSeq uint64 // sequence number of the missing event that was last requested again
}

// Run watches until ctx ends. It reconnects when a watch fails or times out, or the address changes. A watch resumes by
// sequence number, so a change of address neither loses nor repeats an event.
func (w *Watcher) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		startedAt := time.Now()
		received, addressChanged, err := w.watchUntilAddressChange(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if received || addressChanged {
			backoff = minBackoff
		}
		if !addressChanged {
			w.Log.Warn().Err(err).Uint64("seq", w.Seq).Msg("watch ended")
			if received && time.Since(startedAt) >= minBackoff {
				continue // the server was reachable until now: reconnect without backoff
			}
			addressChanged = w.waitForAddressChange(ctx, nil, time.After(jittered(backoff)))
		}
		backoff = min(2*backoff, maxBackoff)
		if addressChanged {
			backoff = minBackoff
		}
	}
	return nil
}

// jittered returns a random duration between 0.5 and 1.5 times backoff.
func jittered(backoff time.Duration) time.Duration {
	return backoff/2 + rand.N(backoff)
}

// watchUntilAddressChange runs one watch until it fails or the address changes. It reports whether a frame was received,
// whether the address changed, and why the watch ended.
func (w *Watcher) watchUntilAddressChange(ctx context.Context) (received, addressChanged bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addr := w.Addr // waitForAddressChange may change the field during the watch
	done := make(chan struct{})
	go func() {
		defer close(done)
		received, err = w.watchOnce(ctx, addr)
	}()
	addressChanged = w.waitForAddressChange(ctx, done, nil)
	cancel()
	<-done
	return received, addressChanged, err
}

// waitForAddressChange waits until the address changes, the watch or the backoff ends, or ctx ends, and reports whether the
// address changed. A reload of the configuration with the same address does not interrupt the watch.
func (w *Watcher) waitForAddressChange(ctx context.Context, watchDone <-chan struct{}, backoffOver <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-watchDone:
			return false
		case <-backoffOver:
			return false
		case change := <-w.AddressChanges:
			if change.Addr == w.Addr {
				continue
			}
			w.Log.Info().Str("from", w.Addr).Str("to", change.Addr).Msg("discovery address changed")
			w.Addr = change.Addr
			return true
		}
	}
}

// watchOnce connects and posts the events of one watch until it fails or ctx ends. It reports whether a frame was received.
func (w *Watcher) watchOnce(ctx context.Context, addr string) (received bool, err error) {
	conn, err := w.connect(ctx, addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopClosing()
	for {
		frame, err := ReadFrame(conn)
		if err != nil {
			return received, err
		}
		if ctx.Err() != nil {
			return received, ctx.Err() // the address changed: the new server sends this event again
		}
		received = true
		if err := w.receive(frame); err != nil {
			return received, err
		}
	}
}

// receive posts the event of a frame unless it was posted before. If events are missing before it, the watch fails once, so that
// the next watch requests them again. If they are missing again, the server no longer has them, and the watch continues without
// them.
func (w *Watcher) receive(frame Frame) error {
	if frame.Event == nil && frame.Seq <= w.Seq && w.OnSynced != nil {
		w.OnSynced()
	}
	if frame.Event == nil || frame.Seq <= w.Seq {
		return nil
	}
	next := w.Seq + 1
	if frame.Seq != next && w.missingSeq != next {
		w.missingSeq = next
		return fmt.Errorf("%w: event %d was received after event %d", errMalformedFrame, frame.Seq, w.Seq)
	}
	w.Seq = frame.Seq
	w.Post(frame.Event)
	return nil
}
