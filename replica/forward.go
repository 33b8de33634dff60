package replica

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"
)

const (
	answerTimeout  = 5 * time.Second // from the request's first byte to the answer's last
	forwardTimeout = 3 * time.Second // for the proposal itself
	maxForwarded   = 64 << 10
	notLeader      = "not the leader"
)

// forwarded answers a forwarded command.
type forwarded struct {
	Result result `json:"result"`
	Sure   bool   `json:"sure"`
	Err    string `json:"err,omitempty"`
	Leader string `json:"leader,omitempty"` // address of the leader, from who does not lead
}

// notLeaderError tells that a member does not lead, and who does as far as it knows.
type notLeaderError struct{ leader string }

func (e *notLeaderError) Error() string { return notLeader }

// answer carries out one forwarded proposal of a kind.
func (l *links) answer(c net.Conn, kind byte) {
	c.SetDeadline(time.Now().Add(answerTimeout))
	b, err := readBlock(c, maxForward)
	if err != nil {
		return
	}
	writeForwarded(c, l.carryOut(proposal{kind: kind, body: b}))
}

// carryOut carries a proposal out where this member leads. A subscriber may turn to any voter, so one that doesn't lead tells
// who does.
func (l *links) carryOut(p proposal) forwarded {
	if !l.store.Leads() {
		leader, _ := l.store.raft.LeaderWithID()
		return forwarded{Sure: true, Err: notLeader, Leader: string(leader)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	res, sure, err := l.store.carryOut(ctx, p)
	if err != nil {
		return forwarded{Sure: sure, Err: err.Error()}
	}
	return forwarded{Result: res, Sure: sure}
}

// writeForwarded writes an answer. Who doesn't get it takes the command's fate for unknown.
func writeForwarded(c net.Conn, answer forwarded) {
	if out, err := json.Marshal(answer); err == nil {
		writeBlock(c, out)
	}
}

// forward has the member at an address carry a proposal out. Sure tells that after an error it was not made.
func forward(ctx context.Context, d dialer, addr string, p proposal) (res result, sure bool, err error) {
	c, err := d.dial(ctx, addr, p.kind)
	if err != nil {
		return res, true, err
	}
	defer closeNow(c)
	stop := context.AfterFunc(ctx, func() { closeNow(c) })
	defer stop()
	c.SetDeadline(time.Now().Add(answerTimeout))
	if err := writeBlock(c, p.body); err != nil {
		return res, false, err
	}
	out, err := readBlock(c, maxForwarded)
	if err != nil {
		return res, false, err
	}
	var answer forwarded
	if err := json.Unmarshal(out, &answer); err != nil {
		return res, false, err
	}
	switch {
	case answer.Err == notLeader && answer.Sure:
		return res, true, &notLeaderError{leader: answer.Leader}
	case answer.Err != "":
		return res, answer.Sure, errors.New(answer.Err)
	}
	return answer.Result, true, nil
}
