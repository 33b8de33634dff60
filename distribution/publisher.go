package distribution

import (
	"errors"
	"fmt"
	"time"
)

// SubscriberID identifies a connection of a subscriber at one Publisher. It is not reused.
type SubscriberID uint64

// ErrOverrun is returned for a subscriber whose next change is no longer in the journal: it has to reconnect, and is then sent
// a snapshot.
var ErrOverrun = errors.New("distribution: subscriber is behind the journal")

// ErrUnknownSubscriber is returned for a subscriber that was removed or never admitted.
var ErrUnknownSubscriber = errors.New("distribution: unknown subscriber")

// Publisher is a voter's side of the distribution. It is not safe for concurrent use: its owner holds a lock.
type Publisher struct {
	limits        Limits
	journal       journal
	confirmations confirmations
	admission     admission

	subscribers         map[SubscriberID]*subscriber
	snapshotsInProgress int
	lastID              SubscriberID
}

// NewPublisher returns a publisher whose journal begins after at.
func NewPublisher(limits Limits, timing Timing, at Position) *Publisher {
	limits, timing = limits.withDefaults(), timing.WithDefaults()
	return &Publisher{
		limits:      limits,
		journal:     newJournal(limits, timing.BatchDelay, at),
		admission:   newAdmission(limits.Subscribers, timing.HeartbeatInterval),
		subscribers: map[SubscriberID]*subscriber{},
	}
}

// Append appends a change. Revisions ascend; a change whose revision is not above the last one is ignored, as the replay of a
// log repeats changes.
func (p *Publisher) Append(c Change) {
	if c.Revision <= p.journal.last.Revision {
		return
	}
	p.journal.append(c)
}

// Reset empties the journal, which then begins after at, as the state was replaced by a snapshot of the log. Subscribers at
// another position are overrun. Confirmation rounds begun before are void.
func (p *Publisher) Reset(at Position) {
	p.journal.reset(at)
	p.confirmations.reset()
	for _, s := range p.subscribers {
		s.marks = markQueue{}
		if s.state == stateStreaming && s.delivered != at {
			s.state = stateOverrun
		}
	}
}

// Last returns the position of the newest change.
func (p *Publisher) Last() Position { return p.journal.last }

// Subscribers returns the number of subscribers, and of snapshots being sent.
func (p *Publisher) Subscribers() (subscribers, snapshots int) {
	return len(p.subscribers), p.snapshotsInProgress
}

// SnapshotSent records that a subscriber was sent the snapshot at a position, after which its changes follow. It returns
// ErrOverrun if the position is no longer in the journal, which was trimmed past it or reset.
func (p *Publisher) SnapshotSent(id SubscriberID, at Position) error {
	s, ok := p.subscribers[id]
	if !ok || s.state != stateSendingSnapshot {
		return fmt.Errorf("no snapshot in progress: %w", ErrUnknownSubscriber)
	}
	p.snapshotsInProgress--
	if p.journal.locate(at) != locationInJournal {
		s.state = stateOverrun
		return ErrOverrun
	}
	s.state = stateStreaming
	s.delivered = at
	return nil
}

// Remove ends a subscription in any state.
func (p *Publisher) Remove(id SubscriberID) {
	s, ok := p.subscribers[id]
	if !ok {
		return
	}
	if s.state == stateSendingSnapshot {
		p.snapshotsInProgress--
	}
	delete(p.subscribers, id)
}

// Next returns what a subscriber is to be sent now, and advances its cursor: a batch, a mark to send after it, either or neither.
//
// A batch is due once BatchDelay has passed since the first call of Next, for any subscriber, that found the batch open with
// a change, or once it is full. A mark is due if a confirmation covers a newer heartbeat than the last mark, and every change
// up to its revision was delivered. If neither is due, wake is the latest time to call again (zero: when something is appended
// or confirmed). All subscribers that are sent the same changes are sent the same *Batch.
func (p *Publisher) Next(id SubscriberID, now time.Time) (batch *Batch, mark *Mark, wake time.Time, err error) {
	s, ok := p.subscribers[id]
	if !ok {
		return nil, nil, time.Time{}, ErrUnknownSubscriber
	}
	switch s.state {
	case stateSendingSnapshot:
		return nil, nil, time.Time{}, nil
	case stateOverrun:
		return nil, nil, time.Time{}, ErrOverrun
	}
	batch, wake, err = p.journal.next(s.delivered.Revision, now)
	if err != nil {
		s.state = stateOverrun
		return nil, nil, time.Time{}, err
	}
	if batch != nil {
		s.delivered = batch.last()
	}
	s.markCovered(&p.confirmations)
	return batch, s.marks.take(s.delivered.Revision), wake, nil
}

// Heartbeat records the number of a subscriber's newest heartbeat, 1 or more. It reports whether a confirmation round is
// needed: it is the first heartbeat since the last round began.
func (p *Publisher) Heartbeat(id SubscriberID, number uint64) (roundNeeded bool) {
	s, ok := p.subscribers[id]
	if !ok {
		return false
	}
	s.markCovered(&p.confirmations)
	if !s.heartbeats.add(number, p.confirmations.begun) {
		return false
	}
	return p.confirmations.request()
}

// BeginConfirmation begins a confirmation round, whose success covers the heartbeats recorded before.
func (p *Publisher) BeginConfirmation() Confirmation { return p.confirmations.begin() }

// NeedsConfirmation reports whether a heartbeat, or a subscriber rejected as RejectLagging, needs a round that has not begun.
func (p *Publisher) NeedsConfirmation() bool { return p.confirmations.requested }

// Confirm records the success of a round: every change that was acknowledged, or delivered by any voter, before the round
// began has a revision of through at most. The leader's address is put into the marks. A failed round is not recorded.
func (p *Publisher) Confirm(c Confirmation, through Revision, leader string) {
	p.confirmations.confirm(c, through, leader)
}
