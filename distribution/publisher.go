package distribution

import (
	"errors"
	"time"
)

// Limits bound what a Publisher holds. Its zero fields take the defaults.
type Limits struct {
	JournalChanges int // changes kept for subscribers that resume
	JournalBytes   int // and their size
	Subscribers    int
	Snapshots      int // transfers under way at once
	BatchBytes     int // of one batch; a single larger change makes a batch of its own
}

// Defaults of Limits.
const (
	DefaultJournalChanges = 1 << 16
	DefaultJournalBytes   = 32 << 20
	DefaultSubscribers    = 2000
	DefaultSnapshots      = 8
	DefaultBatchBytes     = 64 << 10
)

// SubscriberID names a connection of a subscriber at one Publisher. It is not used again.
type SubscriberID uint64

// Admission is what a Publisher decides about a new subscriber.
type Admission string

// The admissions.
const (
	AdmitResume   Admission = "resume"   // its changes follow its position
	AdmitSnapshot Admission = "snapshot" // it needs a snapshot first; it holds one of the places until SnapshotSent
	AdmitRefuse   Admission = "refuse"   // it has to come back, here or at another voter
)

// Refusal says why a subscriber is refused.
type Refusal string

// The refusals.
const (
	RefuseFull   Refusal = "full"   // as many subscribers as may be
	RefuseBusy   Refusal = "busy"   // as many snapshots under way as may be
	RefuseBehind Refusal = "behind" // this voter has not reached the subscriber's position yet
)

// Decision answers a subscription.
type Decision struct {
	ID         SubscriberID
	Admission  Admission
	Refusal    Refusal
	RetryAfter time.Duration // of a refusal
}

// ErrOverrun tells that a subscriber has fallen behind the journal: its connection ends, and it resumes by snapshot.
var ErrOverrun = errors.New("distribution: subscriber is behind the journal")

// ErrUnknownSubscriber tells that a subscriber was removed, such as by a Reset.
var ErrUnknownSubscriber = errors.New("distribution: unknown subscriber")

// Publisher is a voter's side. It is not safe for concurrent use: its owner holds a lock.
type Publisher struct{}

// NewPublisher returns a publisher whose journal begins after at.
func NewPublisher(limits Limits, timing Timing, at Position) *Publisher { panic("not built yet") }

// Append enters a change. Its revision is above every earlier one.
func (p *Publisher) Append(c Change) { panic("not built yet") }

// Reset begins the journal anew after at, as the state was replaced by a snapshot of the log. Subscribers whose position is
// not at overrun.
func (p *Publisher) Reset(at Position) { panic("not built yet") }

// Last is the position of the newest change.
func (p *Publisher) Last() Position { panic("not built yet") }

// Subscribe admits a subscriber that holds the state at a position. Confirmed is the newest revision that a majority
// confirmed (0: none yet): a subscriber beyond Last is behind-refused until Confirmed shows that its position is not in this
// history, and then gets a snapshot.
func (p *Publisher) Subscribe(at Position, confirmed Revision, now time.Time) Decision {
	panic("not built yet")
}

// SnapshotSent tells that a subscriber has been sent the snapshot at a position, from which its changes follow. It frees the
// place of the transfer. It may overrun, where the journal has moved on beyond it.
func (p *Publisher) SnapshotSent(id SubscriberID, at Position) error { panic("not built yet") }

// Remove ends a subscription, in whatever state it is.
func (p *Publisher) Remove(id SubscriberID) { panic("not built yet") }

// Next gives what a subscriber is to be sent now, and moves its cursor behind it: a batch, a mark behind it, either or none.
// A batch is due once BatchDelay has passed since its first change or it is full. A mark is due where a confirmation covers a
// newer heartbeat than the last mark and every change up to its revision has been given out. With neither due, wake is the
// time to call again at the latest (zero: when something is appended or confirmed).
func (p *Publisher) Next(id SubscriberID, now time.Time) (batch *Batch, mark *Mark, wake time.Time, err error) {
	panic("not built yet")
}

// Heartbeat enters the number of a subscriber's newest heartbeat. It tells whether a confirmation is to begin.
func (p *Publisher) Heartbeat(id SubscriberID, number uint64) { panic("not built yet") }

// Confirmation is the number of a round in which a voter has its leader confirmed by a majority.
type Confirmation uint64

// BeginConfirmation starts a round: heartbeats entered before it are covered once it is confirmed.
func (p *Publisher) BeginConfirmation() Confirmation { panic("not built yet") }

// Confirm ends a round with success: every change acknowledged before its beginning has a revision of through at most. The
// leader's address goes into the marks. A round that failed is not told at all.
func (p *Publisher) Confirm(c Confirmation, through Revision, leader string) { panic("not built yet") }

// Subscribers counts them, and the snapshots under way.
func (p *Publisher) Subscribers() (subscribers, snapshots int) { panic("not built yet") }
