package handover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/core"
)

// The table of request IDs that the processes of a gateway share is a file that each of them maps into memory. It is a hash table
// of buckets with a fixed number of slots, which the processes change by atomic operations only: a process that is killed at any
// point leaves at most claims that expire by themselves.

const (
	requestIDsFile = "request-ids"

	bucketSlots      = 8
	requestIDBuckets = 1 << 12
	requestIDsSize   = requestIDBuckets * bucketSlots * int(unsafe.Sizeof(requestIDSlot{}))

	// A claim holds its expiry, in ms of the system's monotonic clock, and the number of the process that owns it.
	ownerBits = 20
	ownerMask = 1<<ownerBits - 1

	// maxClaimMs is more than any claim lasts. A claim that seems to last longer was made before the system was restarted.
	maxClaimMs = 10 * 60_000
)

// requestIDSlot is one claim. A slot whose claim is 0 or has expired is free. The ID is valid while the slot is not free.
type requestIDSlot struct{ id, claim atomic.Uint64 }

// RequestIDs is the table of the request IDs in use at the processes of a gateway. It implements core.SharedIDs.
type RequestIDs struct {
	memory []byte
	slots  []requestIDSlot
	owner  uint64
	now    func() uint64 // ms of the system's monotonic clock, which all processes share
}

// OpenRequestIDs opens the table in the registry's folder, and creates it if it does not exist.
func (r *Registry) OpenRequestIDs() (*RequestIDs, error) {
	file, err := os.OpenFile(filepath.Join(r.dir, requestIDsFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close() // the mapping stays
	// The whole file is allocated now: on a full disk, a write to a page without one would end the process.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(requestIDsSize)); err != nil {
		return nil, fmt.Errorf("allocate %s: %w", requestIDsFile, err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, requestIDsSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", requestIDsFile, err)
	}
	return &RequestIDs{
		memory: memory,
		slots:  unsafe.Slice((*requestIDSlot)(unsafe.Pointer(&memory[0])), requestIDBuckets*bucketSlots),
		owner:  1 + rand.Uint64N(ownerMask),
		now:    monotonicMs,
	}, nil
}

// Close unmaps the table. Claims stay until they expire.
func (t *RequestIDs) Close() error {
	if t == nil || t.memory == nil {
		return nil
	}
	memory := t.memory
	t.memory, t.slots = nil, nil
	return unix.Munmap(memory)
}

func monotonicMs() uint64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return uint64(ts.Nano() / 1e6)
}

// bucket returns the slots that may hold an ID.
func (t *RequestIDs) bucket(id uint64) []requestIDSlot {
	first := id % requestIDBuckets * bucketSlots
	return t.slots[first : first+bucketSlots]
}

// newClaim returns a claim of this process that expires after ttlMs.
func (t *RequestIDs) newClaim(ttlMs float64) uint64 {
	until := t.now() + uint64(min(max(0, ttlMs), maxClaimMs)) + 1
	return until<<ownerBits | t.owner
}

// live reports whether a claim is in force.
func (t *RequestIDs) live(claim uint64) bool {
	now, until := t.now(), claim>>ownerBits
	return claim != 0 && now < until && until <= now+maxClaimMs+1
}

// heldElsewhere reports whether a slot other than own holds an ID for another process.
func (t *RequestIDs) heldElsewhere(id uint64, own *requestIDSlot) bool {
	bucket := t.bucket(id)
	for i := range bucket {
		slot := &bucket[i]
		claim := slot.claim.Load()
		if slot != own && t.live(claim) && claim&ownerMask != t.owner && slot.id.Load() == id {
			return true
		}
	}
	return false
}

// Claim implements core.SharedIDs. If two processes claim an ID in the same moment, one or both of the claims fail.
func (t *RequestIDs) Claim(id uint64, ttlMs float64) core.IDClaim {
	if own := t.find(id); own != nil {
		own.claim.Store(t.newClaim(ttlMs))
		return core.IDClaimed
	}
	if t.heldElsewhere(id, nil) {
		return core.IDHeldByProcess
	}
	bucket := t.bucket(id)
	for i := range bucket {
		slot := &bucket[i]
		free := slot.claim.Load()
		if t.live(free) || !slot.claim.CompareAndSwap(free, t.newClaim(ttlMs)) {
			continue
		}
		slot.id.Store(id)
		// Another process may have claimed the ID since the first check. Whichever of the two checks last sees the other's ID.
		if t.heldElsewhere(id, slot) {
			slot.claim.Store(0)
			return core.IDHeldByProcess
		}
		return core.IDClaimed
	}
	return core.IDTableFull
}

// Extend implements core.SharedIDs.
func (t *RequestIDs) Extend(id uint64, ttlMs float64) {
	if own := t.find(id); own != nil {
		own.claim.Store(t.newClaim(ttlMs))
	}
}

// Release implements core.SharedIDs.
func (t *RequestIDs) Release(id uint64) {
	if own := t.find(id); own != nil {
		own.claim.CompareAndSwap(own.claim.Load(), 0)
	}
}

// find returns the slot in which this process holds an ID, or nil. Only the goroutine that owns the core claims for this process.
func (t *RequestIDs) find(id uint64) *requestIDSlot {
	bucket := t.bucket(id)
	for i := range bucket {
		slot := &bucket[i]
		claim := slot.claim.Load()
		if t.live(claim) && claim&ownerMask == t.owner && slot.id.Load() == id {
			return slot
		}
	}
	return nil
}
