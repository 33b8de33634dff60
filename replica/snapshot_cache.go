package replica

import (
	"bytes"
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// snapshotReuse is how long an encoded snapshot is shared with further transfers. The journal reaches back much further, so
// the changes since then are sent from it.
const snapshotReuse = 2 * time.Second

// encodedSnapshot is a snapshot as it is sent to subscribers.
type encodedSnapshot struct {
	at     distribution.Position
	json   []byte
	madeAt time.Time
	resets uint64 // of the feed when it was made
}

// snapshotCache shares an encoded snapshot between transfers that overlap, and keeps none while there are no transfers. When
// many subscribers reconnect at once, one copy is in memory, and the state is locked once.
type snapshotCache struct {
	state *stateMachine
	feed  *feed

	mu     sync.Mutex
	users  int
	cached *encodedSnapshot
}

// acquire returns a snapshot for a transfer, which ends with release.
func (c *snapshotCache) acquire() (*encodedSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reusable() {
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

// reusable reports whether the cached snapshot may be shared; c.mu is held.
func (c *snapshotCache) reusable() bool {
	return c.cached != nil && c.cached.resets == c.feed.resetCounter() && time.Since(c.cached.madeAt) < snapshotReuse
}

// encode encodes a snapshot of the current state; c.mu is held.
func (c *snapshotCache) encode() (*encodedSnapshot, error) {
	resets := c.feed.resetCounter() // before the state is read: a snapshot of a state that is replaced meanwhile is not shared
	snapshot := c.state.distributedState()
	var out bytes.Buffer
	if err := encodeJSON(&out, snapshot); err != nil {
		return nil, err
	}
	return &encodedSnapshot{at: snapshot.At, json: out.Bytes(), madeAt: time.Now(), resets: resets}, nil
}
