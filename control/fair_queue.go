package control

// Fair queue: which queued request is sent next (FQRS, "RFQ", paper 3.2).
//
// Each class of requests has a queue and an accumulated cost, ACC: the bytes of its fills divided by its
// weight. The next request is the first of the class with the lowest ACC (eq. 1). A class whose queue was
// empty starts at the lowest ACC of the other classes, but never below its own previous ACC, so it
// accumulates no credit while idle (eq. 2, 3).

import (
	"math"
	"slices"
)

// fairQueue holds the requests that wait to be sent.
type fairQueue struct {
	classes []classQueue
}

// classQueue holds the queued requests of one class, in the order of arrival.
type classQueue struct {
	waiting []*request
	acc     float64 // ACC: filled bytes divided by weight
	weight  float64
}

// addClass adds a class; a weight that is not positive counts as 1.
func (q *fairQueue) addClass(weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	q.classes = append(q.classes, classQueue{weight: weight})
}

// push queues a request.
func (q *fairQueue) push(r *request) {
	class := &q.classes[r.Class]
	if len(class.waiting) == 0 {
		if least := q.minOtherACC(r.Class); !math.IsInf(least, 1) {
			class.acc = max(class.acc, least)
		}
	}
	class.waiting = append(class.waiting, r)
	r.queued = true
}

// minOtherACC returns the lowest ACC of the other classes, or infinity if there are none.
func (q *fairQueue) minOtherACC(class int) float64 {
	least := math.Inf(1)
	for i := range q.classes {
		if i != class {
			least = min(least, q.classes[i].acc)
		}
	}
	return least
}

// remove removes a request from the queue, if it is queued.
func (q *fairQueue) remove(r *request) {
	if !r.queued {
		return
	}
	class := &q.classes[r.Class]
	class.waiting = slices.DeleteFunc(class.waiting, func(other *request) bool { return other == r })
	r.queued = false
}

// charge adds the bytes of a completed fill to the ACC of its class.
func (q *fairQueue) charge(class int, bytes float64) {
	q.classes[class].acc += bytes / q.classes[class].weight
}

// head returns the next request: of the class with the lowest ACC, the first one after those of the class
// that were skipped. It returns nil if all were skipped.
func (q *fairQueue) head(skipped []int) *request {
	var next *request
	least := math.Inf(1)
	for i := range q.classes {
		class := &q.classes[i]
		if skipped[i] < len(class.waiting) && class.acc < least {
			next = class.waiting[skipped[i]]
			least = class.acc
		}
	}
	return next
}

// backlog returns the total transfer time of all queued requests, in seconds, and the least valuable
// request: the one with the lowest priority weight per transfer time, and the latest of equals. For this
// comparison the transfer time of a request is capped at the mean of its class (meanTransfer, in seconds).
// Without the cap all large requests would be rejected before the others of their class, and their clients
// would get nothing but rejections.
func (q *fairQueue) backlog(meanTransfer []float64) (seconds float64, leastValuable *request) {
	leastValue := math.Inf(1)
	for i := range q.classes {
		for _, r := range q.classes[i].waiting {
			transfer := max(r.transferTime.Seconds(), minTransferSeconds)
			seconds += transfer
			value := r.class.PriorityWeight / min(transfer, meanTransfer[i])
			if value <= leastValue {
				leastValuable = r
				leastValue = value
			}
		}
	}
	return seconds, leastValuable
}

// dispatch sends the queued requests that may be sent, lowest ACC first. A request whose own cache is full
// is skipped, so that it does not block requests for other caches.
func (c *Controller) dispatch() {
	skipped := make([]int, len(c.settings.Classes))
	for r := c.queue.head(skipped); r != nil; r = c.queue.head(skipped) {
		if c.now >= r.notBefore && c.trySend(r) {
			c.queue.remove(r)
		} else {
			skipped[r.Class]++
		}
	}
}
