package core

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Retired IDs: a request's ID stays in use after the request has left the table, while an attempt of it may still be at an
// endpoint, and for unsafeIDTTLMs if it must not run twice and may have run. A request that comes with such an ID, on whatever
// connection, would otherwise be sent beside the earlier one or run a second time. removeIfDone in requests.go adds the IDs;
// receive in ingress.go answers the requests that come with one.

const (
	unsafeIDTTLMs     = 30_000.0 // far longer than a client or a proxy takes to repeat a request
	maxRetiredIDs     = 1 << 16  // beyond that, requests that must not run twice are rejected
	retiredIDsSweepMs = 1000.0   // interval at which expired IDs are removed
)

// IDClaim is the result of a claim in a table of SharedIDs.
type IDClaim uint8

// The results of a claim.
const (
	IDClaimed       IDClaim = iota
	IDHeldByProcess         // another process of the gateway holds the ID
	IDTableFull             // the table has no room
)

// SharedIDs is the table of the request IDs that are in use at the processes of this gateway. Its methods must not block. They
// identify a request by a hash of its ID.
type SharedIDs interface {
	// Claim claims an ID for this process. Without a further call the claim ends after ttlMs.
	Claim(id uint64, ttlMs float64) IDClaim
	// Extend has this process's claim of an ID end after ttlMs from now.
	Extend(id uint64, ttlMs float64)
	// Release ends this process's claim of an ID.
	Release(id uint64)
}

// hashID returns the key of a request ID in tables.
func hashID(txn string) uint64 { return xxhash.Sum64String(txn) }

// retiredID is the ID of a request that has left the table.
type retiredID struct {
	request     control.RequestID
	until       float64 // ms
	mayHaveRun  bool    // the request must not run twice, and may have run
	unconfirmed []int   // numbers of the attempts that may still be at an endpoint
}

// retiredIDs holds the retired IDs by their hashes.
type retiredIDs struct {
	byHash    map[uint64]*retiredID
	byRequest map[control.RequestID]uint64
	sweepAt   float64 // ms
}

func newRetiredIDs() retiredIDs {
	return retiredIDs{byHash: map[uint64]*retiredID{}, byRequest: map[control.RequestID]uint64{}}
}

// get returns the retired ID with this hash, or nil if there is none.
func (t *retiredIDs) get(hash uint64, now float64) *retiredID {
	id := t.byHash[hash]
	if id == nil || now >= id.until {
		return nil
	}
	return id
}

// full reports whether no further ID can be added.
func (t *retiredIDs) full() bool { return len(t.byHash) >= maxRetiredIDs }

// add adds an ID. If the table is full, it is not added.
func (t *retiredIDs) add(hash uint64, id *retiredID, now float64) {
	if now >= t.sweepAt || t.full() {
		t.sweep(now)
	}
	if t.full() {
		return
	}
	if expired := t.byHash[hash]; expired != nil {
		t.remove(hash, expired)
	}
	t.byHash[hash] = id
	t.byRequest[id.request] = hash
}

// sweep removes the expired IDs.
func (t *retiredIDs) sweep(now float64) {
	t.sweepAt = now + retiredIDsSweepMs
	for hash, id := range t.byHash {
		if now >= id.until {
			t.remove(hash, id)
		}
	}
}

func (t *retiredIDs) remove(hash uint64, id *retiredID) {
	delete(t.byHash, hash)
	delete(t.byRequest, id.request)
}

// confirm records that an attempt is no longer at an endpoint. It returns the hash of the ID and true if that is thereby free.
func (t *retiredIDs) confirm(key AttemptKey) (hash uint64, free bool) {
	hash, ok := t.byRequest[key.ID]
	if !ok {
		return 0, false
	}
	id := t.byHash[hash]
	id.unconfirmed = slices.DeleteFunc(id.unconfirmed, func(number int) bool { return number == key.Number })
	if id.mayHaveRun || len(id.unconfirmed) > 0 {
		return 0, false
	}
	t.remove(hash, id)
	return hash, true
}

// retire keeps the ID of a request that leaves the table in use for as long as necessary.
func (c *Core) retire(r *request) {
	now, hash := c.now(), hashID(r.Txn)
	id := &retiredID{request: r.id, mayHaveRun: r.nonIdempotent && !r.rejected && r.mayHaveRun()}
	for _, a := range r.attempts {
		if a.mayStillRun && a.deadline > now {
			id.unconfirmed = append(id.unconfirmed, a.key.Number)
			id.until = max(id.until, a.deadline)
		}
	}
	if id.mayHaveRun {
		id.until = now + unsafeIDTTLMs
	}
	if id.until <= now {
		c.releaseSharedID(hash)
		return
	}
	c.retired.add(hash, id, now)
	if c.opt.SharedIDs != nil {
		c.opt.SharedIDs.Extend(hash, id.until-now)
	}
}

// confirmRetired records that an attempt of a request that has left the table is no longer at an endpoint.
func (c *Core) confirmRetired(key AttemptKey) {
	if hash, free := c.retired.confirm(key); free {
		c.releaseSharedID(hash)
	}
}

func (c *Core) releaseSharedID(hash uint64) {
	if c.opt.SharedIDs != nil {
		c.opt.SharedIDs.Release(hash)
	}
}

// claimSharedID claims the ID of a valid request among the gateway's processes, or answers the request and returns false.
func (c *Core) claimSharedID(req Request) bool {
	if c.opt.SharedIDs == nil {
		return true
	}
	class := &c.opt.Settings.Classes[c.classes[req.Class]]
	unsafe := class.Idempotency != control.Idempotent
	switch c.opt.SharedIDs.Claim(hashID(req.Txn), c.claimTTL(req, class)) {
	case IDHeldByProcess:
		c.answerDuplicate(req, unsafe)
		return false
	case IDTableFull:
		c.answerUnaccepted(req, Answer{Verdict: Rejected, Reason: Overloaded, RetryAfter: overloadedRetryAfterMs})
		return false
	}
	return true
}

// claimTTL returns for how many ms the claim of a request's ID must last if this process is killed.
func (c *Core) claimTTL(req Request, class *control.Class) float64 {
	if class.Idempotency != control.Idempotent {
		return unsafeIDTTLMs
	}
	ttl := req.Remaining
	if class.Deadline > 0 {
		ttl = min(ttl, clock.Ms(class.Deadline))
	}
	return ttl + c.opt.CancelGrace
}
