package distribution

import (
	"slices"
	"time"
)

// simMaxInFlight is the maximum number of messages in flight to a gateway, as the buffers of a connection are limited.
const simMaxInFlight = 4

// connection is a connection of a gateway to a voter: two streams whose messages arrive in order.
type connection struct {
	sim     *simulation
	gateway *gateway
	voter   *voter

	id             SubscriberID // assigned by the voter on admission
	admitted       bool
	closed         bool // by the voter
	lastReceivedAt time.Duration
	wakeAt         time.Duration // for when the last call of serve was scheduled
	inFlight       int
	toVoter        stream
	toGateway      stream
	nextAfter      *Position // set by dropBatch: the After of the next batch, which hides the dropped one
}

// stream carries the messages of one direction.
type stream struct {
	sim          *simulation
	delay        time.Duration
	stalledUntil time.Duration // until then, messages are held
	queue        []message
}

// message is delivered by calling a function in the receiver.
type message struct {
	readyAt time.Duration
	deliver func()
}

func newConnection(g *gateway, v *voter) *connection {
	s := g.sim
	delay := s.randomBetween(time.Millisecond, 40*time.Millisecond)
	return &connection{
		sim: s, gateway: g, voter: v, lastReceivedAt: s.now,
		toVoter: stream{sim: s, delay: delay}, toGateway: stream{sim: s, delay: delay},
	}
}

// send queues a message.
func (st *stream) send(deliver func()) {
	st.queue = append(st.queue, message{readyAt: st.sim.now + st.delay, deliver: deliver})
	st.sim.after(st.delay, st.deliverReady)
}

// deliverReady delivers the messages that are due.
func (st *stream) deliverReady() {
	for len(st.queue) > 0 && st.queue[0].readyAt <= st.sim.now {
		if st.stalledUntil > st.sim.now {
			st.sim.after(st.stalledUntil-st.sim.now+st.sim.randomUpTo(time.Millisecond), st.deliverReady)
			return
		}
		m := st.queue[0]
		st.queue = slices.Delete(st.queue, 0, 1)
		m.deliver()
	}
}

// stall holds back the messages of both directions for a time. They are delivered afterwards.
func (c *connection) stall(duration time.Duration) {
	c.toVoter.stalledUntil = max(c.toVoter.stalledUntil, c.sim.now+duration)
	c.toGateway.stalledUntil = max(c.toGateway.stalledUntil, c.sim.now+duration)
}

// resume ends a stall before its time.
func (c *connection) resume() {
	c.toVoter.stalledUntil, c.toGateway.stalledUntil = 0, 0
	c.toVoter.deliverReady()
	c.toGateway.deliverReady()
}

// sendToVoter sends the voter a message that runs a function, unless the voter has closed the connection.
func (c *connection) sendToVoter(run func()) {
	c.toVoter.send(func() {
		if c.closed {
			return
		}
		c.lastReceivedAt = c.sim.now
		run()
	})
}

// sendToGateway sends the gateway a message that runs a function, unless the gateway has disconnected.
func (c *connection) sendToGateway(run func()) {
	c.sendToGatewayAlways(func() {
		if c.gateway.connection == c {
			run()
		}
	})
}

// sendToGatewayAlways sends the gateway a message that runs a function even if the gateway has disconnected since. Messages to
// a suspended gateway are queued in order.
func (c *connection) sendToGatewayAlways(run func()) {
	c.inFlight++
	c.toGateway.send(func() {
		c.inFlight--
		run()
		c.sim.checker.check(c.gateway)
		c.voter.serve(c)
	})
}
