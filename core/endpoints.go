package core

import (
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Endpoints: Handle calls updateEndpoints for each update of the endpoint list and setExcluded for an operator's command. The
// controller and the upstream are notified, and the controller decides again on deferred attempts whose endpoint or
// source is no longer usable.

// updateEndpoints applies an update of the endpoint list.
func (c *Core) updateEndpoints(list EndpointList) {
	c.traceEndpoints(list)
	c.recordAddresses(list)
	c.upstream.UpdateEndpoints(list)
	update := control.EndpointList{Snapshot: list.Snapshot}
	for _, endpoint := range list.Endpoints {
		update.Endpoints = append(update.Endpoints, endpoint.Info)
	}
	c.notifyController(update)
	c.reconsiderDeferred(list)
}

// recordAddresses records the addresses of the listed endpoints.
func (c *Core) recordAddresses(list EndpointList) {
	if list.Snapshot {
		clear(c.addresses)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.Info.State == control.Gone {
			delete(c.addresses, uint32(endpoint.Info.ID))
		} else {
			c.addresses[uint32(endpoint.Info.ID)] = endpoint.Addr
		}
	}
}

// reachedProcessOf reports whether an attempt may have reached the process that an endpoint's ID means now: it was sent to that
// endpoint, or to another one whose address that endpoint has now.
func (c *Core) reachedProcessOf(previous *attempt, endpoint uint32) bool {
	return previous.endpoint == endpoint || previous.address != "" && previous.address == c.addresses[endpoint]
}

// reconsiderDeferred cancels the deferred attempts whose endpoint or source has been removed from the list, no longer
// accepts new requests, or has restarted since the controller chose it, so that the controller decides again.
func (c *Core) reconsiderDeferred(list EndpointList) {
	listed := map[uint32]control.Endpoint{}
	for _, endpoint := range list.Endpoints {
		listed[uint32(endpoint.Info.ID)] = endpoint.Info
	}
	// unusable reports whether an endpoint that was chosen at chosenAt, in ms, must not be used any more.
	unusable := func(id uint32, chosenAt float64) bool {
		info, ok := listed[id]
		if !ok {
			return list.Snapshot
		}
		return info.State != control.Ready || clock.Ms(info.StartedAt) > chosenAt
	}
	for _, r := range c.openRequests() {
		if len(r.attempts) == 0 {
			continue
		}
		last := r.lastAttempt()
		if last.deferred == nil {
			continue
		}
		if unusable(last.deferred.Endpoint, last.startedAt) || unusable(last.deferred.Source, last.startedAt) {
			c.cancelDeferred(last)
		}
	}
}

// setExcluded takes an endpoint out of service or returns it to service. The controller decides on the affected requests;
// the upstream cancels the attempts that have not been sent yet.
func (c *Core) setExcluded(ev Exclude) {
	var err error
	if ev.SkipListedCheck || c.controller.WasListed(control.EndpointID(ev.Endpoint)) {
		c.upstream.Exclude(ev.Endpoint, ev.Excluded)
		c.notifyController(control.Excluded{Endpoint: control.EndpointID(ev.Endpoint), Excluded: ev.Excluded})
	} else {
		err = ErrUnknownEndpoint
	}
	if ev.Reply != nil {
		ev.Reply <- err
	}
}
