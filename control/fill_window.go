package control

// Fill window: when a fill may start (FQRS, "WRC", paper 3.3).
//
// All fills of a location share one link. The window limits the number of fills that this gateway has in
// flight: W of at most Wmax. After every F x Wmax completed fills, a full window is adjusted by the
// utilization U of the link (eq. 4): Wmax doubles in fast start, and later grows by one if U is below Umax
// and shrinks by one if it is above. U is reported by caches, or estimated from this gateway's own fills. In
// addition to the paper, late fills close the window: if the link has capacity then, it is only because the
// sources are slow.

import (
	"slices"
)

const (
	fillsPerWindowStep = 4    // F: 4 to 8 is best by the paper (4.5)
	fullUtilization    = 1.1  // Umax: U counts transfers, so unlike the byte rate in 4.5 it may exceed 1
	lateFillRatio      = 4    // one late fill in this many keeps the window from exceeding Wmax
	lostFillObjectives = 2    // a fill that takes this multiple of its latency objective is lost, not late
	minTransferSeconds = 1e-3 // minimum duration that a transfer counts for

	unknownUtilization = -1 // no capacity may be assumed beyond Wmax
)

// fillWindow limits the number of fills in flight.
type fillWindow struct {
	inFlight  int  // W
	max       int  // Wmax
	fastStart bool // Wmax doubles until U reaches half of Umax
	completed int  // fills completed in the current interval
}

// linkMeter holds the measurements of the location's link for fills.
type linkMeter struct {
	reported    bool          // caches report its utilization with their responses
	utilization float64       // the last reported utilization
	capacity    float64       // transfers at a client's pace that it carries, by the settings; 0: unknown
	fillTimes   lineEstimator // latency of fills as a function of their transfer time, in seconds
}

// admits reports whether a fill may start: a slot is free, or the link is known to have capacity.
func (w *fillWindow) admits(utilization float64) bool {
	return w.inFlight < w.max || utilization >= 0 && utilization < fullUtilization
}

// release frees a slot. A completed fill counts toward the interval at the end of which a full window
// is adjusted (eq. 4).
func (w *fillWindow) release(filled bool, utilization float64) {
	full := w.inFlight >= w.max
	w.inFlight--
	if !filled {
		return
	}
	w.completed++
	if w.completed < fillsPerWindowStep*w.max {
		return
	}
	w.completed = 0
	if utilization >= fullUtilization/2 {
		w.fastStart = false
	}
	if full && utilization >= 0 {
		w.adjust(utilization)
	}
}

// adjust changes Wmax by the utilization of the link (eq. 4).
func (w *fillWindow) adjust(utilization float64) {
	switch {
	case w.fastStart:
		w.max *= 2
	case utilization < fullUtilization:
		w.max++
	case utilization > fullUtilization:
		w.shrink()
	}
}

// shrink decreases Wmax by one, but not below one.
func (w *fillWindow) shrink() { w.max = max(1, w.max-1) }

// fillMayStart reports whether a fill may start. While fills in flight are late, a slot must be free: the
// link has capacity then only because the sources are slow, and more fills would pile up at them.
func (c *Controller) fillMayStart() bool {
	if c.fillsRunLate() {
		return c.window.admits(unknownUtilization)
	}
	return c.window.admits(c.linkUtilization())
}

// fillEnded frees the slot of a fill. A fill that was late or failed while fills pile up behind the link
// shrinks the window, as a full interval above Umax does.
func (c *Controller) fillEnded(r *request, a *attempt, ev AttemptResult, filled bool) {
	if ev.Outcome == OK && !r.missConfirmed && c.isCache(a.target) {
		c.missShare += meanGain * (indicator(filled) - c.missShare)
	}
	notLost := ev.Outcome == OK && c.now > a.sentAt+lostFillObjectives*r.latencyObjective()
	congested := c.fillsRunLate() || notLost
	c.removeFill(a)
	c.window.release(filled, c.linkUtilization())
	late := c.now > a.sentAt+r.latencyObjective() && ev.Outcome != LocalFailure
	failed := ev.Note == SourceOverloaded || ev.Note == OriginFailed
	if congested && (late || failed) {
		c.window.shrink()
	}
}

// releaseSlot removes an attempt at an unresponsive cache from the window. It transfers no bytes over the
// link: if it kept its slot, a few such attempts would look like slow sources and block the fills of all
// responsive caches.
func (c *Controller) releaseSlot(a *attempt) {
	if !a.holdsSlot {
		return
	}
	a.holdsSlot = false
	c.removeFill(a)
	c.window.inFlight--
}

// removeFill removes an attempt from the list of fills that hold a slot.
func (c *Controller) removeFill(a *attempt) {
	c.fillsInFlight = slices.DeleteFunc(c.fillsInFlight, func(other *attempt) bool { return other == a })
}

// fillsRunLate reports whether enough fills in flight have exceeded their latency objective to close the
// window.
func (c *Controller) fillsRunLate() bool {
	if c.lateCountedAt != c.now {
		c.countLateFills()
	}
	return c.lateFills > 0 && lateFillRatio*c.lateFills >= c.countedFills
}

// countLateFills counts the fills in flight and those of them that have exceeded their latency objective. It
// leaves out fills that say nothing about the shared link: those at a cache that is slow itself or loses
// responses, and those that are so late that they must be lost.
func (c *Controller) countLateFills() {
	c.lateCountedAt = c.now
	c.lateFills = 0
	c.countedFills = 0
	for _, a := range c.fillsInFlight {
		degraded := c.isCache(a.target) && (a.target.slowdownLevel > 0 || a.target.lossRate > highLossRate)
		objective := a.request.latencyObjective()
		if degraded || c.now > a.sentAt+lostFillObjectives*objective {
			continue
		}
		c.countedFills++
		if c.now > a.sentAt+objective {
			c.lateFills++
		}
	}
}

// linkUtilization returns U: the value that caches report, or, once fills are slowed down, this gateway's
// fills divided by its share of the link's capacity. A fill is weighted by the fraction of its time in which
// bytes are transferred, and, unless its miss is confirmed, by the probability that it is not a hit.
func (c *Controller) linkUtilization() float64 {
	if c.link.reported || c.link.capacity == 0 || c.link.fillTimes.slope() < fullUtilization {
		return c.link.utilization
	}
	transfers := 0.0
	for _, a := range c.fillsInFlight {
		transfer := max(a.request.transferTime.Seconds(), minTransferSeconds)
		part := transfer / (transfer + c.meanSourceWait)
		if !a.request.missConfirmed && c.isCache(a.target) {
			part *= c.missShare
		}
		transfers += part
	}
	return transfers * c.activeGateways() / c.link.capacity
}

// activeGateways estimates the number of gateways that carry the location's traffic, if each carries as much
// as this one. It includes this one and does not exceed the number of gateways that exist.
func (c *Controller) activeGateways() float64 {
	gateways := float64(c.processesInZone())
	own := 1.0
	all := gateways
	for _, e := range c.reporting {
		if e.placement.set == &c.caches && c.now < e.reportedAt+reportTTL {
			own += float64(len(e.inFlight))
			all += float64(len(e.inFlight)) + e.othersInFlight
		}
	}
	return min(gateways, all/own)
}
