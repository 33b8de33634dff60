package distribution

// Confirmation is a round in which a majority confirms a voter's leader.
type Confirmation struct{ round uint64 }

// confirmations tracks the rounds. They may overlap, end out of order, and fail without notice.
type confirmations struct {
	begun       uint64 // number of the newest round begun; the first is 1
	voidThrough uint64 // rounds up to it are void
	requested   bool   // a round is needed and has not begun

	confirmed uint64 // the newest round confirmed; 0: none
	through   Revision
	leader    string
}

// request requests a round. It reports whether this is the first request since a round began.
func (c *confirmations) request() bool {
	first := !c.requested
	c.requested = true
	return first
}

func (c *confirmations) begin() Confirmation {
	c.begun++
	c.requested = false
	return Confirmation{round: c.begun}
}

// confirm records the success of a round, unless it is void or older than the newest confirmed one.
func (c *confirmations) confirm(done Confirmation, through Revision, leader string) {
	if done.round <= c.voidThrough || done.round <= c.confirmed {
		return
	}
	c.confirmed, c.through, c.leader = done.round, through, leader
}

// reset voids the rounds begun so far.
func (c *confirmations) reset() {
	c.voidThrough = c.begun
	c.confirmed, c.through, c.leader = 0, 0, ""
}
