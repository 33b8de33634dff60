package replica

import (
	"context"
	"encoding/json"
	"net"
	"time"
)

const (
	forwardResponseTimeout = 5 * time.Second // from a proposal's first byte to the last of its response
	forwardTimeout         = 3 * time.Second // for Raft to commit and apply the proposal
	maxForwardResponseSize = 64 << 10
	// forwardIdleTimeout is how long a connection may be idle before this side closes it. The forwarding side closes it earlier.
	forwardIdleTimeout = 3 * idleConnTTL
	// notLeader is the text by which a member answers that it is not the leader. It is part of the wire form.
	notLeader = "not the leader"
)

// noSlotResponse answers a proposal for which there is no connection slot.
var noSlotResponse = forwardResponse{NotApplied: true, Err: "all places for commands are taken"}

// forwardResponse answers a forwarded proposal.
type forwardResponse struct {
	Result     result `json:"result"`
	NotApplied bool   `json:"sure"` // with Err: the proposal was not applied and never will be; true also without an error
	Err        string `json:"err,omitempty"`
	Leader     string `json:"leader,omitempty"` // the leader's address, from a member that is not the leader
}

// serveProposals serves forwarded proposals, one after the other. A slot is occupied while a proposal is received and executed;
// that of the first has been acquired by the caller. Between proposals the connection occupies a slot for idle ones, and is
// closed if there is none.
func (t *transport) serveProposals(conn net.Conn, kind connKind, slots connSlots) {
	if !t.serveFirstProposal(conn, kind, slots) || !t.idleForwardSlots.tryAcquire() {
		return
	}
	defer t.idleForwardSlots.release()
	for {
		conn.SetDeadline(time.Now().Add(forwardIdleTimeout))
		size, err := readBlockHeader(conn, maxProposalSize)
		if err != nil {
			return
		}
		conn.SetDeadline(time.Now().Add(forwardResponseTimeout))
		if !slots.tryAcquire() {
			if _, err := readBlockBody(conn, size); err == nil {
				writeForwardResponse(conn, noSlotResponse)
			}
			return
		}
		if !t.serveProposal(conn, kind, size, slots) {
			return
		}
	}
}

// serveFirstProposal serves the first proposal on a connection, and releases its slot. It reports whether the connection can be
// used again.
func (t *transport) serveFirstProposal(conn net.Conn, kind connKind, slots connSlots) (reusable bool) {
	conn.SetDeadline(time.Now().Add(forwardResponseTimeout))
	size, err := readBlockHeader(conn, maxProposalSize)
	if err != nil {
		slots.release()
		return false
	}
	return t.serveProposal(conn, kind, size, slots)
}

// serveProposal serves a proposal whose header has been read, and releases its slot. It reports whether the connection can be
// used again.
func (t *transport) serveProposal(conn net.Conn, kind connKind, size uint32, slots connSlots) (reusable bool) {
	defer slots.release()
	body, err := readBlockBody(conn, size)
	if err != nil {
		return false
	}
	response := t.executeProposal(proposal{kind: kind, body: body})
	return writeForwardResponse(conn, response) == nil
}

// executeProposal executes a proposal if this member is the leader, and otherwise returns the leader's address: subscribers send
// their proposals to any voter.
func (t *transport) executeProposal(p proposal) forwardResponse {
	if !t.store.Leads() {
		leader, _ := t.store.raft.LeaderWithID()
		return forwardResponse{NotApplied: true, Err: notLeader, Leader: string(leader)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	res, err := t.store.execute(ctx, p)
	if err != nil {
		return forwardResponse{NotApplied: !isOutcomeUnknown(err), Err: err.Error()}
	}
	return forwardResponse{Result: res, NotApplied: true}
}

// writeForwardResponse writes a response. A client that does not receive it does not know the proposal's outcome.
func writeForwardResponse(conn net.Conn, response forwardResponse) error {
	encoded, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return writeBlock(conn, encoded)
}

// unpack returns the result or the error that a response carries.
func (r forwardResponse) unpack() (result, error) {
	switch {
	case r.Err == notLeader && r.NotApplied:
		return result{}, &notLeaderError{leader: r.Leader}
	case r.Err != "" && r.NotApplied:
		return result{}, &remoteError{text: r.Err}
	case r.Err != "":
		return result{}, &outcomeUnknownError{&remoteError{text: r.Err}}
	}
	return r.Result, nil
}
