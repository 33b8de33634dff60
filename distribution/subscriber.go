package distribution

// deliveryState determines what a subscriber is sent.
type deliveryState int

const (
	stateStreaming       deliveryState = iota // changes and marks
	stateSendingSnapshot                      // a snapshot is being sent
	stateOverrun                              // nothing; the subscriber has to reconnect
)

// subscriber is a Publisher's state for one subscriber. Its size is fixed.
type subscriber struct {
	state      deliveryState
	delivered  Position // the position up to which changes were delivered
	heartbeats heartbeatQueue
	marks      markQueue
}

// markCovered replaces the heartbeats that the newest confirmation covers by a mark.
func (s *subscriber) markCovered(c *confirmations) {
	if c.confirmed == 0 {
		return
	}
	if number, ok := s.heartbeats.takeCovered(c.confirmed); ok {
		s.marks.add(Mark{Through: c.through, Heartbeat: number, Leader: c.leader})
	}
}

// enteredHeartbeat is a heartbeat with the number of confirmation rounds begun before it was received.
type enteredHeartbeat struct {
	number       uint64 // 0: none
	roundsBefore uint64
}

// heartbeatQueue holds the heartbeats that no confirmation covers yet: the oldest, which every later round covers, and the
// newest, which supersedes those in between. The oldest is kept until it is covered, so that marks are sent even if rounds
// take longer than the heartbeat interval.
type heartbeatQueue struct {
	oldest, newest enteredHeartbeat
	highest        uint64
}

// add adds a heartbeat. It returns false if the heartbeat is not newer than the others.
func (q *heartbeatQueue) add(number, begun uint64) bool {
	if number <= q.highest {
		return false
	}
	q.highest = number
	entered := enteredHeartbeat{number: number, roundsBefore: begun}
	sameRound := q.newest.number == 0 && q.oldest.roundsBefore == begun
	if q.oldest.number == 0 || sameRound {
		q.oldest = entered
	} else {
		q.newest = entered
	}
	return true
}

// takeCovered removes and returns the newest heartbeat that was added before a round began.
func (q *heartbeatQueue) takeCovered(round uint64) (number uint64, ok bool) {
	switch {
	case q.newest.number != 0 && q.newest.roundsBefore < round:
		number = q.newest.number
		q.oldest, q.newest = enteredHeartbeat{}, enteredHeartbeat{}
	case q.oldest.number != 0 && q.oldest.roundsBefore < round:
		number = q.oldest.number
		q.oldest, q.newest = q.newest, enteredHeartbeat{}
	default:
		return 0, false
	}
	return number, true
}

// markQueue holds the marks whose changes are not all delivered yet: the oldest, which is due first, and the newest. The
// oldest is kept until it is due, so that marks are sent even if a follower lags by more than the interval between rounds.
type markQueue struct {
	oldest, newest Mark // Heartbeat 0: none
}

// add adds a mark.
func (q *markQueue) add(m Mark) {
	if q.oldest.Heartbeat == 0 {
		q.oldest = m
	} else {
		q.newest = m
	}
}

// take removes and returns the newest mark whose changes were all delivered.
func (q *markQueue) take(delivered Revision) *Mark {
	switch {
	case q.newest.Heartbeat != 0 && q.newest.Through <= delivered:
		m := q.newest
		*q = markQueue{}
		return &m
	case q.oldest.Heartbeat != 0 && q.oldest.Through <= delivered:
		m := q.oldest
		*q = markQueue{oldest: q.newest}
		return &m
	}
	return nil
}
