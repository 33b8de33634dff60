package control

// Load reports: how much capacity the link of an endpoint has, by its own report and the attempts in flight.
//
// The weight of a cache is the number of transfers at a client's pace that its link carries. Each transfer
// beyond that slows down all others, so that all end late instead of some being rejected. A report shows how
// much of the link is used by others. It is out of date when it arrives, so a gateway never uses all of the
// capacity that it shows to be free.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	linkOvercommit          = 1.3             // transfers allowed at a cache, per transfer that its link carries
	reportTTL               = 2 * time.Second // an older load report is ignored
	reportedFullUtilization = 0.75            // a report of less utilization shows free capacity
	lowUseQuotaShare        = 0.5             // share of a link that one gateway may use by such a report
	maxQuotaShare           = 0.85            // share of a link that one gateway may use if the others do not
	othersInFlightGain      = 0.5             // weight of a new report in othersInFlight
)

// noLoadReport is the load of an endpoint that has not reported. Unknown values are negative.
var noLoadReport = LoadReport{InFlight: -1, Utilization: -1, HitRate: -1, LinkUtilization: -1}

// recordReport stores the load report of an endpoint and reports whether there was one.
func (c *Controller) recordReport(e *endpoint, report *LoadReport) bool {
	if !e.recordReport(report, c.now) {
		return false
	}
	if e.placement.reporting {
		return true
	}
	e.placement.reporting = true
	c.reporting = slices.DeleteFunc(c.reporting, func(other *endpoint) bool {
		other.placement.reporting = c.now < other.reportedAt+reportTTL
		return !other.placement.reporting
	})
	i, _ := slices.BinarySearchFunc(c.reporting, e, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	c.reporting = slices.Insert(c.reporting, i, e)
	return true
}

// recordReport stores a load report and reports whether there was one. If it lacks the requests in flight,
// they are estimated from the utilization and the weight. Those beyond this gateway's own attempts belong to
// other gateways.
func (e *endpoint) recordReport(report *LoadReport, now time.Duration) bool {
	if report == nil {
		return false
	}
	e.load = *report
	e.reportedAt = now
	if report.InFlight < 0 && report.Utilization >= 0 {
		e.load.InFlight = report.Utilization * e.Weight
	}
	if e.load.InFlight >= 0 {
		others := max(0, e.load.InFlight-float64(len(e.inFlight)))
		e.othersInFlight += othersInFlightGain * (others - e.othersInFlight)
	}
	return true
}

// reportsCapacity reports whether a recent load report shows free capacity on a cache's link.
func (c *Controller) reportsCapacity(e *endpoint) bool {
	if c.now >= e.reportedAt+reportTTL {
		return false
	}
	switch {
	case e.load.Utilization >= 0:
		return e.load.Utilization < reportedFullUtilization
	case e.load.Utilization < 0:
		return e.load.InFlight >= 0 && e.load.InFlight < linkOvercommit*e.Weight
	default: // NaN
		return false
	}
}

// hasLinkCapacity reports whether the link of a cache has capacity for one more transfer. If weights do not
// state link capacities, no link is considered full. It also updates the cache's link quota.
func (c *Controller) hasLinkCapacity(e *endpoint) bool {
	capacity := linkOvercommit * e.Weight
	transfers := c.transfersOnLink(e)
	e.linkQuota = max(1, c.shareOfLink(e, capacity))
	if !c.settings.WeightsKnown {
		return true
	}
	return c.reportsCapacity(e) && transfers < lowUseQuotaShare*capacity || transfers < e.linkQuota
}

// transfersOnLink counts the attempts of this gateway that use the link of a cache. An overdue attempt is
// waiting for its source, or its response is lost, so it does not use the link, unless the cache itself is
// slow.
func (c *Controller) transfersOnLink(e *endpoint) float64 {
	transfers := 0.0
	for _, a := range e.inFlight {
		inTime := c.now < a.sentAt+2*a.request.transferTime
		if !a.suspected && (a.source == a.target || e.slowdownLevel > 0 || inTime) {
			transfers++
		}
	}
	return transfers
}

// shareOfLink returns the share of a link's capacity that this gateway may use. With a recent report it is
// the gateway's even share plus a part of the capacity that the other gateways leave unused; all gateways
// see that capacity, so it is divided among them. Without a report it is the even share plus one (binomial)
// standard deviation, as gateways do not send in step.
func (c *Controller) shareOfLink(e *endpoint, capacity float64) float64 {
	gateways := float64(c.processesSendingTo(e))
	evenShare := capacity / gateways
	if c.now >= e.reportedAt+reportTTL {
		return evenShare + math.Sqrt(evenShare*(1-1/gateways))
	}
	unused := min(maxQuotaShare*capacity, capacity-e.othersInFlight)
	return evenShare + max(0, unused-evenShare)/max(1, gateways-1)
}

// relativeLoad returns the number of requests known to be in flight at an endpoint, divided by its weight.
func (e *endpoint) relativeLoad() float64 {
	return (float64(len(e.inFlight)) + max(0, e.load.InFlight)) / e.Weight
}
