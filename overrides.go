package turnfork

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/handover"
)

// override is one change to the overrides that an operator requests.
type override interface {
	// enforce applies the override in the core, and returns once the core has done so.
	enforce(ctx context.Context, a *adminState) error
	// record adds the override to changes.
	record(changes *overrideChanges)
}

// drainOverride starts or ends the drain of the gateway.
type drainOverride struct{ on bool }

// enforce does nothing: setOverrides applies the drain to the frontends.
func (drainOverride) enforce(context.Context, *adminState) error { return nil }

func (o drainOverride) record(changes *overrideChanges) { changes.drain(o.on) }

// disableOverride excludes an endpoint or readmits it.
type disableOverride struct {
	endpoint uint32
	on       bool
}

func (o disableOverride) enforce(ctx context.Context, a *adminState) error {
	return a.exclude(ctx, core.Exclude{Endpoint: o.endpoint, Excluded: o.on})
}

func (o disableOverride) record(changes *overrideChanges) { changes.disable(o.endpoint, o.on) }

// loadOverrides applies the stored overrides, before any request is sent. Overrides that are damaged beyond recovery are an
// error, because serving without them might violate them. Overrides that can't be read at present are applied later by
// watchSiblings.
func (a *adminState) loadOverrides() error {
	a.siblings, _ = a.registry.Siblings()
	stored, incomplete, err := a.registry.Load()
	if errors.Is(err, handover.ErrCorrupt) {
		return fmt.Errorf("orders: %w", err)
	}
	a.logFileError(err)
	if a.siblings.Serving+a.siblings.ShuttingDown == 0 {
		// A drain ends with the last process that it applied to, so a gateway that starts anew serves. Endpoints stay excluded.
		stored.Draining = false
	}
	for _, id := range stored.Disabled {
		a.core.Handle(core.Exclude{Endpoint: id, Excluded: true, SkipListedCheck: true}) // nothing else runs yet
	}
	a.overrides = stored
	if incomplete != nil {
		a.log.Error().Err(incomplete).Msg("overrides copy damaged")
		a.rewrite(stored)
	}
	a.setProcessCount(a.processCount())
	return nil
}

// lock waits until no other override is being applied, and returns false if ctx ends first. The lock is a channel rather than a
// mutex because an admin call has a deadline.
func (a *adminState) lock(ctx context.Context) bool {
	select {
	case a.applyLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *adminState) unlock() { <-a.applyLock }

// apply puts an override in force and then has it written, for later starts and for the sibling processes. A stalled or failing
// disk does not delay the override, which is in force before it is written. Without sibling processes a failed write is not an
// error for the caller: State reports that the override is not durable yet. The write is retried until it succeeds.
func (a *adminState) apply(ctx context.Context, change override) error {
	if !a.lock(ctx) {
		return ctx.Err()
	}
	defer a.unlock()
	if err := change.enforce(ctx, a); err != nil {
		return err
	}
	waiter := newWriteWaiter()
	next, alone := a.recordPending(change, waiter)
	a.setOverrides(next)
	if a.registry == nil {
		return nil
	}
	err := a.awaitWrite(ctx, waiter)
	if err != nil {
		a.log.Error().Err(err).Bool("alone", alone).Msg("override not durable")
	}
	if alone {
		return nil
	}
	return err
}

// recordPending adds an override to the pending writes. It returns the overrides that include it, and whether this process has
// no siblings.
func (a *adminState) recordPending(change override, waiter writeWaiter) (next handover.Overrides, alone bool) {
	var changes overrideChanges
	change.record(&changes)
	a.mu.Lock()
	defer a.mu.Unlock()
	next = a.overrides
	next.Disabled = slices.Clone(next.Disabled)
	changes.applyTo(&next)
	if a.registry != nil {
		change.record(&a.pendingWrite)
		a.waiter = waiter // overrides are applied one at a time
	}
	return next, a.siblings == (handover.SiblingCount{})
}

// setOverrides sets the overrides in force, and applies the drain to the frontends. It keeps the revision, which changes only
// with a write or with overrides read from a sibling.
func (a *adminState) setOverrides(next handover.Overrides) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next.Revision = a.overrides.Revision
	a.overrides = next
	for _, f := range a.frontends {
		f.Drain(next.Draining)
	}
}

// exclude posts an exclusion or readmission to the core, and returns once the core has applied it.
func (a *adminState) exclude(ctx context.Context, event core.Exclude) error {
	reply := make(chan error, 1)
	event.Reply = reply
	if err := a.core.PostUrgent(ctx, event); err != nil {
		return err
	}
	select {
	case err := <-reply:
		if errors.Is(err, core.ErrUnknownEndpoint) {
			return adminapi.ErrUnknownEndpoint
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
