package replica

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"turnfork.dev/turnfork/distribution"
)

const (
	// confirmTimeout is how long the leader's own verification for another voter may take.
	confirmTimeout = 2 * time.Second
	// confirmIdleTimeout ends a link over which no question has come for long.
	confirmIdleTimeout = time.Minute
	// maxConfirmBlock bounds a question and an answer.
	maxConfirmBlock = 1 << 10
)

// confirmQuestion asks the leader to verify that it leads, from now on.
type confirmQuestion struct{}

// confirmAnswer is what came of it.
type confirmAnswer struct {
	Through distribution.Revision `json:"through"`
	Applied uint64                `json:"applied"` // index in the log of the last entry that this member has applied
	Err     string                `json:"err,omitempty"`
}

// confirmLink is a voter's lasting link to the leader, for its questions. Its owner asks one after the other. After an error
// it is dialed anew, so that no late answer is taken for that to another question.
type confirmLink struct {
	store *Store
	addr  string
	conn  net.Conn
}

// ask has the leader at an address verify itself, after this call has begun.
func (l *confirmLink) ask(ctx context.Context, addr string) (distribution.Revision, error) {
	answer, err := l.exchange(ctx, addr)
	if err != nil {
		l.close()
		return 0, err
	}
	if answer.Err != "" {
		return 0, errors.New("replica: leader: " + answer.Err)
	}
	return answer.Through, nil
}

func (l *confirmLink) exchange(ctx context.Context, addr string) (answer confirmAnswer, err error) {
	if err := l.connect(ctx, addr); err != nil {
		return answer, err
	}
	conn := l.conn // the function below may run when the link is closed already
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	question, err := encodeBlock(confirmQuestion{})
	if err != nil {
		return answer, err
	}
	if _, err := l.conn.Write(question); err != nil {
		return answer, err
	}
	block, err := readBlock(l.conn, maxConfirmBlock)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(block, &answer); err != nil {
		return answer, err
	}
	return answer, ctx.Err()
}

// connect dials where there is no link to this address yet.
func (l *confirmLink) connect(ctx context.Context, addr string) error {
	if l.conn != nil && l.addr == addr {
		return nil
	}
	l.close()
	conn, err := l.store.links.dial(ctx, addr, linkConfirm)
	if err != nil {
		return err
	}
	l.conn, l.addr = conn, addr
	return nil
}

func (l *confirmLink) close() {
	if l.conn != nil {
		closeNow(l.conn)
		l.conn = nil
	}
}

// answerConfirmations answers a voter's questions until its link ends.
func (l *links) answerConfirmations(c net.Conn) {
	for {
		c.SetReadDeadline(time.Now().Add(confirmIdleTimeout))
		block, err := readBlock(c, maxConfirmBlock)
		if err != nil {
			return
		}
		var question confirmQuestion
		if err := json.Unmarshal(block, &question); err != nil {
			return
		}
		answer, err := encodeBlock(l.answerConfirmation())
		if err != nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(confirmTimeout))
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answerConfirmation verifies this member's leadership after the question was received.
func (l *links) answerConfirmation() confirmAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	answer := confirmAnswer{Applied: l.store.raft.AppliedIndex()}
	if !l.store.Leads() {
		answer.Err = notLeader
		return answer
	}
	through, err := l.store.verifyLeadership(ctx)
	if err != nil {
		answer.Err = err.Error()
		return answer
	}
	answer.Through = through
	return answer
}
