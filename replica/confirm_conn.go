package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"turnfork.dev/turnfork/distribution"
)

const (
	// confirmTimeout limits the leader's verification for another voter.
	confirmTimeout = 2 * time.Second
	// confirmIdleTimeout is how long a connection may be idle before the leader closes it.
	confirmIdleTimeout = time.Minute
	// maxConfirmBlock bounds the size of a request and of a response.
	maxConfirmBlock = 1 << 10
)

// confirmRequest asks the leader to verify, from now on, that it is the leader.
type confirmRequest struct{}

// confirmResponse answers a confirmRequest.
type confirmResponse struct {
	Through distribution.Revision `json:"through"`
	Applied uint64                `json:"applied"` // index in the log of the last entry that this member has applied
	Err     string                `json:"err,omitempty"`
}

// confirmConn is a voter's persistent connection to the leader, over which it sends one confirmation request at a time. After an
// error it is dialed anew, so that a late response is not mistaken for the response to another request.
type confirmConn struct {
	store *Store
	addr  string
	conn  net.Conn
}

// confirm has the leader at an address verify its leadership after this call has begun.
func (c *confirmConn) confirm(ctx context.Context, addr string) (distribution.Revision, error) {
	response, err := c.exchange(ctx, addr)
	if err != nil {
		c.close()
		return 0, err
	}
	if response.Err != "" {
		return 0, fmt.Errorf("replica: leader: %w", &remoteError{text: response.Err})
	}
	return response.Through, nil
}

// exchange sends a request and reads the response. After an error the caller closes the connection.
func (c *confirmConn) exchange(ctx context.Context, addr string) (response confirmResponse, err error) {
	if err := c.connect(ctx, addr); err != nil {
		return response, err
	}
	conn := c.conn // the function below may run after c.close
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request, err := encodeBlock(confirmRequest{})
	if err != nil {
		return response, err
	}
	if _, err := c.conn.Write(request); err != nil {
		return response, err
	}
	block, err := readBlock(c.conn, maxConfirmBlock)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(block, &response); err != nil {
		return response, err
	}
	return response, ctx.Err()
}

// connect dials unless there is a connection to this address.
func (c *confirmConn) connect(ctx context.Context, addr string) error {
	if c.conn != nil && c.addr == addr {
		return nil
	}
	c.close()
	conn, err := c.store.transport.dial(ctx, addr, connConfirm)
	if err != nil {
		return err
	}
	c.conn, c.addr = conn, addr
	return nil
}

func (c *confirmConn) close() {
	if c.conn != nil {
		closeNow(c.conn)
		c.conn = nil
	}
}

// serveConfirmations answers a voter's requests until the connection ends.
func (t *transport) serveConfirmations(conn net.Conn) {
	for {
		conn.SetReadDeadline(time.Now().Add(confirmIdleTimeout))
		block, err := readBlock(conn, maxConfirmBlock)
		if err != nil {
			return
		}
		var request confirmRequest
		if err := json.Unmarshal(block, &request); err != nil {
			return
		}
		response, err := encodeBlock(t.confirmLeadership())
		if err != nil {
			return
		}
		conn.SetWriteDeadline(time.Now().Add(confirmTimeout))
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// confirmLeadership verifies this member's leadership after a request was received.
func (t *transport) confirmLeadership() confirmResponse {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	response := confirmResponse{Applied: t.store.raft.AppliedIndex()}
	if !t.store.Leads() {
		response.Err = notLeader
		return response
	}
	through, err := t.store.verifyLeadership(ctx)
	if err != nil {
		response.Err = err.Error()
		return response
	}
	response.Through = through
	return response
}
