package replica

import (
	"bytes"
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// snapshotReuse is how long an encoded snapshot is shared with further transfers. The journal reaches back much further, so
// what changed since then follows from it.
const snapshotReuse = 2 * time.Second

// encodedSnapshot is a snapshot as it is sent.
type encodedSnapshot struct {
	at     distribution.Position
	json   []byte
	madeAt time.Time
	resets uint64 // of the feed when it was made
}

// snapshotCache encodes a snapshot once for transfers that overlap, and holds none while there are no transfers. With
// many subscribers coming back at once, one copy is in memory, and the state is locked once.
type snapshotCache struct {
	state *state
	feed  *feed

	mu     sync.Mutex
	users  int
	cached *encodedSnapshot
}

// acquire gives a snapshot for a transfer, which ends with release.
func (c *snapshotCache) acquire() (*encodedSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable() {
		encoded, err := c.encode()
		if err != nil {
			return nil, err
		}
		c.cached = encoded
	}
	c.users++
	return c.cached, nil
}

// release ends a transfer.
func (c *snapshotCache) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.cached = nil
	}
}

// usable tells whether the snapshot at hand may be shared; mu is held.
func (c *snapshotCache) usable() bool {
	return c.cached != nil && c.cached.resets == c.feed.resetCount() && time.Since(c.cached.madeAt) < snapshotReuse
}

// encode makes a snapshot of the present state; mu is held.
func (c *snapshotCache) encode() (*encodedSnapshot, error) {
	resets := c.feed.resetCount() // before the state is read: one that is replaced meanwhile is not shared
	snapshot := c.state.distributedState()
	var out bytes.Buffer
	if err := encodeJSON(&out, snapshot); err != nil {
		return nil, err
	}
	return &encodedSnapshot{at: snapshot.At, json: out.Bytes(), madeAt: time.Now(), resets: resets}, nil
}
