package control

// Slow start: how much may be sent to an endpoint after its start.
//
// An endpoint starts at a share of its capacity, which grows linearly to its full capacity over the
// slow-start duration. It collapses if it is sent a multiple of its current capacity over the collapse
// window. All gateways together stay below both limits: each has a budget of transfer-seconds (a token
// bucket) whose rate is its share of what all gateways may send. A request is charged when it is sent.

import (
	"math"
	"slices"
)

const (
	slowStartUtilization = 0.7      // share of the collapse load that all gateways together may send
	slowStartLoad        = 1.2      // multiple of the capacity that all gateways together may send
	slowStartBurst       = 0.25     // share of the collapse window for which budget may accumulate
	goldenRatioFraction  = 0.618034 // its multiples modulo 1 are spread evenly, whatever their number

	// turnHashShift reduces the hash of an endpoint's id to 24 bits, which give each endpoint its own order
	// of turns and are few enough for float64 arithmetic.
	turnHashShift = 40
)

// budgetCharge is the amount that an attempt has taken from an endpoint's slow-start budget.
type budgetCharge struct {
	endpoint   *endpoint
	generation int // generation of the endpoint when it was charged
	amount     float64
}

// charge takes an amount from the endpoint's slow-start budget.
func (e *endpoint) charge(amount float64) budgetCharge {
	e.slowStartBudget -= amount
	return budgetCharge{endpoint: e, generation: e.generation, amount: amount}
}

// refund returns a charge to the budget, unless the budget was reset since.
func (b budgetCharge) refund() {
	if b.endpoint != nil && b.endpoint.generation == b.generation {
		b.endpoint.slowStartBudget += b.amount
	}
}

// chargeBudgets charges an attempt to the slow-start budgets of its endpoints: to the target the mean
// transfer time of the class, to the source the transfer time of the request.
func (a *attempt) chargeBudgets(targetCost float64) {
	a.budgetCharges[0] = a.target.charge(targetCost)
	if a.source != a.target {
		a.sourceCost = a.request.transferTime.Seconds()
		a.budgetCharges[1] = a.source.charge(a.sourceCost)
	}
}

// slowStartAllowance is the load that this gateway may send to an endpoint in slow start.
type slowStartAllowance struct {
	rate     float64 // transfer-seconds added to the budget per second
	earned   float64 // transfer-seconds added since the endpoint's start
	collapse float64 // transfer-seconds of all gateways in the collapse window that cause a collapse
}

// slowStart returns this gateway's allowance at an endpoint, and false if the endpoint is not in slow start.
// The allowance is the gateway's share of the collapse load, with a margin, and of the endpoint's capacity:
// a load above the capacity makes all responses late long before the endpoint collapses.
func (c *Controller) slowStart(e *endpoint) (slowStartAllowance, bool) {
	share := c.settings.SlowStartShare
	duration := c.settings.SlowStartDuration
	collapseMultiple := c.settings.CollapseMultiple
	if c.isParent(e) {
		share = c.settings.ParentSlowStartShare
		duration = c.settings.ParentSlowStartDuration
		collapseMultiple = c.settings.ParentCollapseMultiple
	}
	if e.StartedAt <= 0 || c.isOrigin(e) || c.now-e.StartedAt >= duration {
		return slowStartAllowance{}, false
	}
	age := max(0, c.now-e.StartedAt)
	window := c.settings.CollapseWindow
	grown := (1 - share) * age.Seconds() / duration.Seconds()
	gateways := float64(c.processesSendingTo(e))
	fullRate := min(slowStartLoad, slowStartUtilization*collapseMultiple) / gateways * e.Weight
	atWindowStart := share + (1-share)*max(0, (age-window).Seconds())/duration.Seconds()
	return slowStartAllowance{
		rate:     fullRate * (share + grown),
		earned:   fullRate * (share + grown/2) * age.Seconds(),
		collapse: collapseMultiple * atWindowStart * e.Weight * window.Seconds(),
	}, true
}

// withinSlowStartBudget reports whether the endpoint's slow-start budget has transferSeconds left. The
// budget must cover the full cost. It may accumulate up to the cost of the costliest class or a share of the
// collapse window, whichever is larger. Many gateways take turns, in an order that follows from the
// settings. The number that may send at the same time is limited to the load that the endpoint tolerates,
// plus two standard deviations of it for random variation, minus the planned load.
func (c *Controller) withinSlowStartBudget(e *endpoint, transferSeconds float64) bool {
	allowance, inSlowStart := c.slowStart(e)
	if !inSlowStart {
		return true
	}
	costliest := slices.Max(c.meanTransfer)
	phase := c.slowStartPhase(e, allowance.earned)
	if e.budgetUpdatedAt == 0 { // otherwise all gateways would send as soon as the endpoint starts
		e.slowStartBudget = costliest * phase
		e.budgetUpdatedAt = c.now
	}
	c.accrueBudget(e, allowance.rate, costliest)
	gateways := float64(c.processesSendingTo(e))
	window := c.settings.CollapseWindow.Seconds()
	tolerated := allowance.collapse / costliest
	plannedRequests := allowance.rate * gateways * window / min(costliest, c.longestInitialTransfer)
	maxConcurrent := tolerated + 2*math.Sqrt(tolerated) - plannedRequests
	return e.slowStartBudget >= transferSeconds && phase*gateways < maxConcurrent
}

// slowStartPhase returns the position of this gateway between two of its turns at an endpoint, 0 to 1.
func (c *Controller) slowStartPhase(e *endpoint, earned float64) float64 {
	turn := uint64(c.settings.Gateway) + splitmix(uint64(e.ID))>>turnHashShift
	_, phase := math.Modf(earned/c.longestInitialTransfer + goldenRatioFraction*float64(turn))
	return phase
}

// accrueBudget adds the amount earned since the last update to a slow-start budget. The budget is limited to
// the larger of the costliest request and the burst.
func (c *Controller) accrueBudget(e *endpoint, rate, costliest float64) {
	maxBudget := max(rate*c.settings.CollapseWindow.Seconds()*slowStartBurst, costliest)
	e.slowStartBudget = min(e.slowStartBudget+rate*(c.now-e.budgetUpdatedAt).Seconds(), maxBudget)
	e.budgetUpdatedAt = c.now
}

// accrueBudgets updates the budgets of all caches in slow start that a request may go to. The rate of a
// budget itself grows over time, so the result depends on how often the budget is updated.
func (c *Controller) accrueBudgets(r *request) {
	remaining := c.slowStarting[:0]
	costliest := slices.Max(c.meanTransfer)
	for _, e := range c.slowStarting {
		if e.placement.set != &c.caches || c.now-e.StartedAt >= c.settings.SlowStartDuration {
			e.placement.slowStarting = false
			continue
		}
		remaining = append(remaining, e)
		if !e.available(c.now) || r.failedAt(e) {
			continue
		}
		if e.budgetUpdatedAt == 0 {
			c.withinSlowStartBudget(e, costliest)
			continue
		}
		if allowance, inSlowStart := c.slowStart(e); inSlowStart {
			c.accrueBudget(e, allowance.rate, costliest)
		}
	}
	clear(c.slowStarting[len(remaining):])
	c.slowStarting = remaining
}
