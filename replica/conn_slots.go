package replica

import (
	"net"

	"turnfork.dev/turnfork/distribution"
)

// Connection slots, by what a connection carries, so that no kind can starve another. Until its first byte has been read the
// kind of a connection is unknown and it occupies a handshake slot; connections from the members' hosts have some in reserve.
const (
	maxHandshakes       = 256
	maxMemberHandshakes = 64
	maxRaftConns        = 128 // until Raft closes them, including those whose peer has vanished
	maxConfirmConns     = 16
	maxForwardConns     = 256
	maxIdleForwardConns = 2048 // kept open between forwarded proposals
	maxMemberConns      = 4    // of which one replacement is in progress
	maxRejectedWatches  = 64   // watches that are only rejected, as all subscriber slots are in use
)

// connSlots is a counting semaphore: it bounds how many connections of one kind exist at once.
type connSlots chan struct{}

// tryAcquire acquires a slot if one is free. It does not block.
func (s connSlots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s connSlots) release() { <-s }

// newSlotsByKind returns the slots of connections whose kind is known.
func newSlotsByKind(limits distribution.Limits) map[connKind]connSlots {
	return map[connKind]connSlots{
		connRaft:    make(connSlots, maxRaftConns),
		connForward: make(connSlots, maxForwardConns),
		connConfirm: make(connSlots, maxConfirmConns),
		connMembers: make(connSlots, maxMemberConns),
		connWatch:   make(connSlots, maxWatchConns(limits)),
	}
}

// maxWatchConns bounds the connections of subscribers, including those that are only rejected.
func maxWatchConns(limits distribution.Limits) int {
	subscribers := limits.Subscribers
	if subscribers == 0 {
		subscribers = distribution.DefaultSubscribers
	}
	return subscribers + maxRejectedWatches
}

// slotConn is a connection that releases its slot when it is closed.
type slotConn struct {
	net.Conn
	releaseSlot func()
}

// Close releases the slot and closes the connection.
func (c *slotConn) Close() error {
	c.releaseSlot()
	return c.Conn.Close()
}
