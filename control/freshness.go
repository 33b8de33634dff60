package control

// Freshness: which copies may be served, and which cache is known to hold one.
//
// After a purge no older copy may be served, so every attempt carries the maximum age of a copy. A cache
// that has served an object is known to hold it for a limited time, unless the object is purged or the cache
// restarts.

import (
	"time"
)

const (
	holderTTL      = 5 * time.Second       // how long a cache is assumed to hold an object that it has served
	purgeMargin    = 20 * time.Millisecond // subtracted from a copy's age, for the delay of purges and copies
	purgeRetention = time.Second           // how long a purge is kept after its completion
	minCopyAge     = time.Microsecond      // minimum age in an attempt, as 0 means no limit
	maxObjects     = 1 << 14               // entries kept in each of two generations
)

// purge is the latest purge of an object or a group.
type purge struct {
	at         time.Duration // when it took place at the origin
	notifiedAt time.Duration // when this gateway was notified
}

// purgeKey identifies a purged object or group.
type purgeKey struct {
	object ObjectID // 0: the whole group
	group  uint16
}

// recordPurge records a purge and reports whether it is newer than the known one.
func (c *Controller) recordPurge(ev Purged) bool {
	key := purgeKey{object: ev.Object}
	if ev.Object == 0 {
		key.group = ev.Group
	}
	at := c.now - ev.Ago
	if last, ok := c.purges[key]; ok && at <= last.at {
		return false
	}
	c.purges[key] = purge{at: at, notifiedAt: c.now}
	c.purgeLog = append(c.purgeLog, key)
	return true
}

// latestPurge returns the latest purge of the request's object or its group, or false if none is recorded.
func (c *Controller) latestPurge(r *request) (purge, bool) {
	ofObject, objectPurged := c.purges[purgeKey{object: r.Object}]
	ofGroup, groupPurged := c.purges[purgeKey{group: r.ObjectGroup}]
	if groupPurged && (!objectPurged || ofGroup.at > ofObject.at) {
		return ofGroup, true
	}
	return ofObject, objectPurged
}

// expirePurges removes the purges that all endpoints have completed.
func (c *Controller) expirePurges() {
	for len(c.purgeLog) > 0 {
		key := c.purgeLog[0]
		if p, ok := c.purges[key]; ok {
			if c.now < p.at+c.settings.PurgeCompletion+purgeRetention {
				return
			}
			delete(c.purges, key)
		}
		c.purgeLog = c.purgeLog[1:]
	}
}

// maxCopyAge returns the maximum age of a copy that may be served for a request; 0: the limit of the class
// applies.
func (c *Controller) maxCopyAge(r *request) time.Duration {
	last, purged := c.latestPurge(r)
	if !purged {
		return 0
	}
	age := max(minCopyAge, c.now-last.at-purgeMargin)
	if r.class.FreshFor > 0 {
		age = min(age, r.class.FreshFor)
	}
	return age
}

// MaxCopyAge returns the maximum age of a copy that may be served now for a request that is not finished; 0:
// the limit of the class applies.
func (c *Controller) MaxCopyAge(id RequestID) time.Duration {
	if r := c.requests[id]; r != nil {
		return c.maxCopyAge(r)
	}
	return 0
}

// objectKey identifies an entry in the table of objects.
type objectKey struct {
	object ObjectID
	part   uint32
	demand bool // the entry tracks demand; otherwise it tracks copies
}

// copyKey returns the key of the entry that tracks copies of the requested part.
func (r *request) copyKey() objectKey { return objectKey{object: r.Object, part: r.Part} }

// demandKey returns the key of the entry that tracks the demand for the requested part.
func (r *request) demandKey() objectKey {
	return objectKey{object: r.Object, part: r.Part, demand: true}
}

// object is an entry in the table of objects: the state of one part of an object.
type object struct {
	demand       float64       // recently requested transfer-seconds, decaying over demandDecayTime
	demandAt     time.Duration // when demand was last updated
	requestCount int
	holder       EndpointID    // the cache that last served it
	heldAt       time.Duration // when that attempt was sent; -1: no cache is known to hold a copy
	transferTime time.Duration // the shortest transfer seen; 0: none seen
	copiedAt     time.Duration // earliest possible creation time of the last filled copy
}

// objectEntry returns the entry of a key and creates it if needed. Two generations bound the memory.
func (c *Controller) objectEntry(key objectKey) *object {
	if o := c.objects[0][key]; o != nil {
		return o
	}
	o := c.objects[1][key]
	if o == nil {
		o = &object{heldAt: -1}
	}
	if len(c.objects[0]) >= maxObjects {
		c.objects[1] = c.objects[0]
		c.objects[0] = make(map[objectKey]*object, maxObjects)
	}
	c.objects[0][key] = o
	return o
}

// knownToHold reports whether a recent response showed that a cache holds the requested part, in a copy that
// may still be served.
func (c *Controller) knownToHold(r *request, e *endpoint) bool {
	o := c.objectEntry(r.copyKey())
	if o.heldAt < 0 || o.holder != e.ID {
		return false
	}
	if c.now >= o.heldAt+holderTTL || o.heldAt < e.StartedAt {
		return false
	}
	if last, purged := c.latestPurge(r); purged && o.heldAt <= last.notifiedAt {
		return false
	}
	return r.class.FreshFor == 0 || c.now < o.copiedAt+r.class.FreshFor
}
