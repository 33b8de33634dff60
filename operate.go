package turnfork

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"turnfork.dev/turnfork/console"
	"turnfork.dev/turnfork/core"
)

// operated is the gateway as operators see it: what they may ask of it, and what it tells of itself.
type operated struct {
	core   *core.Core
	fronts []serving
	open   func() int

	mu       sync.Mutex
	waits    map[string]struct{} // what has yet to happen before it is ready
	stopping bool
	draining bool
	disabled []uint32 // sorted
}

// Reasons why a gateway is not ready.
const (
	waitFront = "does not listen yet"
	waitLog   = "the change log is not caught up"
)

// done tells that something the gateway waited for has happened.
func (o *operated) done(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waits, what)
}

// stop tells that the process ends.
func (o *operated) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// State tells of the gateway.
func (o *operated) State() console.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := console.State{Draining: o.draining, Disabled: []string{}, Open: o.open()}
	for what := range o.waits {
		s.Why = append(s.Why, what)
	}
	slices.Sort(s.Why)
	if o.draining {
		s.Why = append(s.Why, "drained by an operator")
	}
	if o.stopping {
		s.Why = append(s.Why, "the process ends")
	}
	for _, id := range o.disabled {
		s.Disabled = append(s.Disabled, fmt.Sprintf("s-%08x", id))
	}
	s.Ready = len(s.Why) == 0
	return s
}

// Drain empties the gateway, or ends that.
func (o *operated) Drain(_ context.Context, on bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = on
	for _, f := range o.fronts {
		f.Drain(on)
	}
	return nil
}

// Disable takes a store out, or lets it serve again.
func (o *operated) Disable(ctx context.Context, id uint32, on bool) error {
	if err := o.bar(ctx, id, on, false); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	at, there := slices.BinarySearch(o.disabled, id)
	if on && !there {
		o.disabled = slices.Insert(o.disabled, at, id)
	} else if !on && there {
		o.disabled = slices.Delete(o.disabled, at, at+1)
	}
	return nil
}

// bar has the core hold a ban, and returns once it does.
func (o *operated) bar(ctx context.Context, id uint32, on, listed bool) error {
	reply := make(chan error, 1)
	if err := o.core.Order(ctx, core.Bar{Member: id, On: on, Listed: listed, Reply: reply}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		if errors.Is(err, core.ErrUnknown) {
			return console.ErrUnknown
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
