package turnfork

import (
	"maps"
	"slices"

	"turnfork.dev/turnfork/internal/handover"
)

// overrideChanges are changes to the overrides, such as those that are in force in this process but not on disk yet. It keeps
// the newest change for each endpoint and for the drain of the gateway. The zero value holds none.
type overrideChanges struct {
	newest   uint64                    // number of the newest change
	draining *numberedChange           // nil: none
	disabled map[uint32]numberedChange // by endpoint
}

// numberedChange turns an override on or off; its number distinguishes it from a later change to the same override.
type numberedChange struct {
	on     bool
	number uint64
}

// drain adds a change that starts or ends the drain of the gateway.
func (c *overrideChanges) drain(on bool) {
	c.newest++
	c.draining = &numberedChange{on: on, number: c.newest}
}

// disable adds a change that excludes an endpoint or readmits it.
func (c *overrideChanges) disable(endpoint uint32, on bool) {
	c.newest++
	if c.disabled == nil {
		c.disabled = map[uint32]numberedChange{}
	}
	c.disabled[endpoint] = numberedChange{on: on, number: c.newest}
}

// count returns the number of changes.
func (c *overrideChanges) count() int {
	if c.draining != nil {
		return len(c.disabled) + 1
	}
	return len(c.disabled)
}

// clone copies the changes, because they are modified in place.
func (c *overrideChanges) clone() overrideChanges {
	return overrideChanges{newest: c.newest, draining: c.draining, disabled: maps.Clone(c.disabled)}
}

// remove deletes changes that have been written, except those replaced by a later change.
func (c *overrideChanges) remove(written overrideChanges) {
	if c.draining == written.draining {
		c.draining = nil
	}
	for endpoint, change := range written.disabled {
		if c.disabled[endpoint] == change {
			delete(c.disabled, endpoint)
		}
	}
}

// applyTo applies the changes to a set of overrides.
func (c *overrideChanges) applyTo(overrides *handover.Overrides) {
	if c.draining != nil {
		overrides.Draining = c.draining.on
	}
	for endpoint, change := range c.disabled {
		overrides.Disabled = slices.DeleteFunc(overrides.Disabled, func(other uint32) bool { return other == endpoint })
		if change.on {
			overrides.Disabled = append(overrides.Disabled, endpoint)
		}
	}
	slices.Sort(overrides.Disabled)
}
