package replica

import (
	"context"
	"net"
	"sync/atomic"

	"turnfork.dev/turnfork/distribution"
)

// SubscriberStatus describes a subscriber, for operators.
type SubscriberStatus struct {
	LeaseStatus
	Voter      string // address of the watched voter; "": none
	Leader     string // address of the leader; "": unknown
	Reconnects uint64 // number of watches begun, without the first
	Snapshots  uint64 // number of snapshots received
	Digest     uint64 // of the state at Position

	BytesIn, BytesOut       uint64 // on all connections, including TLS
	MessagesIn, MessagesOut uint64 // of watches
}

// Status returns the current status.
func (s *Subscriber) Status() SubscriberStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return SubscriberStatus{
		LeaseStatus: newLeaseStatus(s.lease, s.view.Position(), s.opt.Now()), Digest: s.currentDigest(),
		Voter: s.voter, Leader: s.leader, Reconnects: max(s.connections, 1) - 1, Snapshots: s.snapshots,
		BytesIn: s.traffic.bytesIn.Load(), BytesOut: s.traffic.bytesOut.Load(),
		MessagesIn: s.traffic.messagesIn.Load(), MessagesOut: s.traffic.messagesOut.Load(),
	}
}

// cachedDigest is the digest of the state at a position.
type cachedDigest struct {
	at    distribution.Position
	value uint64
}

// currentDigest returns the digest of the state, which it computes once for each position; s.mu is held for reading.
func (s *Subscriber) currentDigest() uint64 {
	at := s.view.Position()
	if known := s.digest.Load(); known != nil && known.at == at {
		return known.value
	}
	known := &cachedDigest{at: at, value: s.view.Digest()}
	s.digest.Store(known)
	return known.value
}

// traffic counts what is sent and received.
type traffic struct {
	bytesIn, bytesOut       atomic.Uint64
	messagesIn, messagesOut atomic.Uint64
}

// count returns a DialFunc whose connections are counted. A nil open means TCP.
func (t *traffic) count(open DialFunc) DialFunc {
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := open(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

// countedConn counts the bytes sent and received.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read reads and adds to the bytes received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytesIn.Add(uint64(n))
	return n, err
}

// Write writes and adds to the bytes sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytesOut.Add(uint64(n))
	return n, err
}
