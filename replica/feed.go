package replica

import (
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// maxBatchBytes bounds Limits.BatchBytes: with all names escaped, a batch still fits a message.
const maxBatchBytes = 128 << 10

// feed is a voter's Publisher with its lock, and wakes the goroutines that write to subscribers.
//
// The lock is never held during I/O: the state machine takes it for appending, so nothing that is done under it may block.
//
// A new batch wakes each writer once. An append wakes a single writer, whose call of next sets the feed's timer to the time
// when the batch is due. The timer then wakes all writers.
type feed struct {
	timing distribution.Timing

	mu            sync.Mutex
	publisher     *distribution.Publisher
	resets        uint64
	wakeBroadcast chan struct{} // closed to wake all writers, and replaced
	timer         *time.Timer   // nil: not set

	wakeSingle chan struct{} // wakes one writer
}

func newFeed(limits distribution.Limits, timing distribution.Timing) *feed {
	limits.BatchBytes = min(limits.BatchBytes, maxBatchBytes)
	return &feed{
		timing:        timing,
		publisher:     distribution.NewPublisher(limits, timing, distribution.Position{}),
		wakeBroadcast: make(chan struct{}),
		wakeSingle:    make(chan struct{}, 1),
	}
}

// append adds a change. It does not block.
func (f *feed) append(c distribution.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Append(c)
	if subscribers, _ := f.publisher.Subscribers(); subscribers > 0 && f.timer == nil {
		f.wakeOne()
	}
}

// reset restarts the journal after a position. It is called when the state was replaced.
func (f *feed) reset(at distribution.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Reset(at)
	f.resets++
	f.wakeAll()
}

// wakeOne wakes one waiting writer. It does not block.
func (f *feed) wakeOne() {
	select {
	case f.wakeSingle <- struct{}{}:
	default:
	}
}

// wakeAll wakes every writer; f.mu is held.
func (f *feed) wakeAll() {
	close(f.wakeBroadcast)
	f.wakeBroadcast = make(chan struct{})
}

// wakeAt sets the timer to wake every writer at a time, unless it is set already; f.mu is held. All writers wait for the same
// open batch, so one timer is enough.
func (f *feed) wakeAt(at time.Time) {
	if f.timer != nil {
		return
	}
	f.timer = time.AfterFunc(time.Until(at), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.timer = nil
		f.wakeAll()
	})
}

// delivery is what a subscriber is to be sent now. If there is neither a batch nor a mark, its writer waits for wake or
// wakeSingle.
type delivery struct {
	batch *distribution.Batch
	mark  *distribution.Mark
	wake  <-chan struct{}
}

// next returns a subscriber's next delivery. wokenAlone states that its writer was woken by wakeOne, and so must wake the other
// writers if necessary.
func (f *feed) next(id distribution.SubscriberID, wokenAlone bool) (delivery, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch, mark, wakeTime, err := f.publisher.Next(id, time.Now())
	if err != nil {
		if wokenAlone {
			f.wakeOne() // instead of this writer, which ends
		}
		return delivery{}, err
	}
	if !wakeTime.IsZero() {
		f.wakeAt(wakeTime)
	} else if wokenAlone {
		f.wakeAll() // a batch or a mark may be due for the others already
	}
	return delivery{batch: batch, mark: mark, wake: f.wakeBroadcast}, nil
}

// subscribe decides on a subscription. It reports whether a confirmation round is needed.
func (f *feed) subscribe(at distribution.Position) (decision distribution.Decision, roundNeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decision = f.publisher.Subscribe(at, 0, time.Now())
	return decision, f.publisher.NeedsConfirmation()
}

// snapshotSent records that a subscriber was sent the snapshot at a position.
func (f *feed) snapshotSent(id distribution.SubscriberID, at distribution.Position) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.SnapshotSent(id, at)
}

// remove ends a subscription.
func (f *feed) remove(id distribution.SubscriberID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Remove(id)
	if subscribers, _ := f.publisher.Subscribers(); subscribers == 0 && f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
}

// heartbeat records a subscriber's heartbeat. It reports whether a confirmation round is needed.
func (f *feed) heartbeat(id distribution.SubscriberID, number uint64) (roundNeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.Heartbeat(id, number)
}

// beginConfirmation begins a confirmation round.
func (f *feed) beginConfirmation() distribution.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.BeginConfirmation()
}

// confirm ends a confirmation round with success.
func (f *feed) confirm(round distribution.Confirmation, through distribution.Revision, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Confirm(round, through, leader)
	f.wakeAll()
}

// wakeChannel returns the channel that is closed when all writers are woken next.
func (f *feed) wakeChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wakeBroadcast
}

// subscribers returns the number of subscribers, and of snapshots being sent.
func (f *feed) subscribers() (subscribers, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.Subscribers()
}

// resetCounter returns the number of resets. A snapshot made at another number is of an earlier state.
func (f *feed) resetCounter() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resets
}
