package turnfork

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"turnfork.dev/turnfork/internal/handover"
)

const (
	writeAckTimeout = 500 * time.Millisecond // how long an admin call waits for the disk
	writeTimeout    = 5 * time.Second        // for one write, including the wait for a sibling's lock
	minWriteRetry   = 50 * time.Millisecond  // backoff after a failed write, doubled with each further failure
	maxWriteRetry   = time.Second
)

// errNotDurable means that an override is in force here, but neither on disk nor visible to the sibling processes yet.
var errNotDurable = errors.New("it holds here, and the other process can't be told yet")

// writeWaiter is notified of the first attempt to write an override. Its channels have a capacity of 1.
type writeWaiter struct {
	placed  chan struct{} // the sibling processes can read the override
	written chan error    // the result of the attempt
}

func newWriteWaiter() writeWaiter {
	return writeWaiter{placed: make(chan struct{}, 1), written: make(chan error, 1)}
}

func (w writeWaiter) notifyPlaced() {
	select {
	case w.placed <- struct{}{}:
	default: // notified by an earlier attempt
	}
}

func (w writeWaiter) notifyWritten(err error) {
	select {
	case w.written <- err:
	default: // notified by an earlier attempt
	}
}

// requestWrite wakes runWriter.
func (a *adminState) requestWrite() {
	select {
	case a.writeRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// rewrite queues the stored overrides to be written again unchanged. It runs before all goroutines, so it takes no lock.
func (a *adminState) rewrite(stored handover.Overrides) {
	a.pendingWrite.drain(stored.Draining)
	for _, id := range stored.Disabled {
		a.pendingWrite.disable(id, true)
	}
	a.requestWrite()
}

// awaitWrite requests a write of the newest override, and waits up to writeAckTimeout for the result. It returns nil if the
// sibling processes can read the override and only the sync to disk is late or fails: State then reports that the override is
// not durable.
func (a *adminState) awaitWrite(ctx context.Context, waiter writeWaiter) error {
	a.requestWrite()
	timeout := time.NewTimer(writeAckTimeout)
	defer timeout.Stop()
	err := errNotDurable
	select {
	case writeErr := <-waiter.written:
		if writeErr == nil {
			return nil
		}
		err = fmt.Errorf("%w: %w", errNotDurable, writeErr)
	case <-timeout.C:
	case <-ctx.Done():
	}
	select {
	case <-waiter.placed:
		return nil
	default:
		return err
	}
}

// durable reports whether the overrides in force would survive a kill and restart of this process. The caller holds mu.
func (a *adminState) durable() bool {
	if a.registry == nil {
		return !a.overrides.Draining && len(a.overrides.Disabled) == 0
	}
	return a.pendingWrite.count() == 0
}

// runWriter writes the pending overrides until ctx ends: at once when an override is applied, and after a backoff when a write
// failed.
func (a *adminState) runWriter(ctx context.Context) {
	backoff := minWriteRetry
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.writeRequested:
		case <-retry:
		}
		retry = nil
		if a.writePending(ctx) {
			backoff = minWriteRetry
			continue
		}
		retry = time.After(backoff)
		backoff = min(2*backoff, maxWriteRetry)
	}
}

// writePending writes the overrides that are not on disk yet, and reports whether that succeeded.
func (a *adminState) writePending(ctx context.Context) bool {
	a.mu.Lock()
	batch := a.pendingWrite.clone()
	waiter := a.waiter
	inForce := a.overrides
	a.mu.Unlock()
	if batch.count() == 0 {
		return true
	}
	inForce.Disabled = slices.Clone(inForce.Disabled)
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	written, err := a.registry.UpdateWithCallback(writeCtx, inForce, batch.applyTo, waiter.notifyPlaced)
	cancel()
	if err != nil {
		a.writeFailed(err)
	} else {
		a.writeSucceeded(batch, written)
	}
	waiter.notifyWritten(err)
	return err == nil
}

// writeFailed records a failed write, and logs it if the previous write succeeded.
func (a *adminState) writeFailed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writeErr == nil {
		a.log.Error().Err(err).Msg("overrides write failed")
	}
	a.writeErr = err
}

// writeSucceeded records that a batch of changes is on disk, as part of the written overrides.
func (a *adminState) writeSucceeded(batch overrideChanges, written handover.Overrides) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writeErr != nil {
		a.log.Info().Msg("overrides write recovered")
	}
	a.writeErr = nil
	a.pendingWrite.remove(batch)
	a.overrides.Revision++
	if written.Revision != a.overrides.Revision {
		// A sibling wrote too, and its overrides are not in force here yet. With a lower revision, applySiblingOverrides
		// applies them.
		a.overrides.Revision = written.Revision - 1
	}
}
