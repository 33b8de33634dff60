package replica

import (
	"sync"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// feed is a voter's Publisher with its lock and the waking of the goroutines that write to subscribers.
//
// The lock is never held during I/O. The state machine takes it to append, so nothing that is done under it may wait.
//
// A batch wakes each writer once. An append wakes a single one, the scout, whose call of next shows when the batch is due;
// the feed's timer wakes them all then.
type feed struct {
	timing distribution.Timing

	mu        sync.Mutex
	publisher *distribution.Publisher
	resets    uint64
	woken     chan struct{} // closed to wake all writers, and replaced
	timer     *time.Timer   // nil: none is armed

	scout chan struct{} // wakes one writer
}

// maxBatchBytes bounds what Limits may ask for: with all names escaped, a batch still fits a block.
const maxBatchBytes = 128 << 10

func newFeed(limits distribution.Limits, timing distribution.Timing) *feed {
	limits.BatchBytes = min(limits.BatchBytes, maxBatchBytes)
	return &feed{
		timing:    timing,
		publisher: distribution.NewPublisher(limits, timing, distribution.Position{}),
		woken:     make(chan struct{}),
		scout:     make(chan struct{}, 1),
	}
}

// append enters a change. It doesn't block.
func (f *feed) append(c distribution.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Append(c)
	if subscribers, _ := f.publisher.Subscribers(); subscribers > 0 && f.timer == nil {
		f.askScout()
	}
}

// reset begins anew after a position, as the state was replaced.
func (f *feed) reset(at distribution.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Reset(at)
	f.resets++
	f.wakeAll()
}

// askScout has one writer look. Whoever is next to wait takes the token.
func (f *feed) askScout() {
	select {
	case f.scout <- struct{}{}:
	default:
	}
}

// wakeAll wakes every writer; mu is held.
func (f *feed) wakeAll() {
	close(f.woken)
	f.woken = make(chan struct{})
}

// wakeAt has every writer woken at a time, where no timer is armed yet; mu is held. All wait for the same open batch, so one
// timer is enough.
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

// delivery is what a subscriber is to be sent now. With nothing to send, its writer waits for woken or the scout's token.
type delivery struct {
	batch *distribution.Batch
	mark  *distribution.Mark
	woken <-chan struct{}
}

// next gives a subscriber's next delivery. Scout tells that its writer took the scout's token.
func (f *feed) next(id distribution.SubscriberID, scout bool) (delivery, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch, mark, wake, err := f.publisher.Next(id, time.Now())
	if err != nil {
		if scout {
			f.askScout() // somebody else has to look
		}
		return delivery{}, err
	}
	if !wake.IsZero() {
		f.wakeAt(wake)
	} else if scout {
		f.wakeAll() // something is due for the others already
	}
	return delivery{batch: batch, mark: mark, woken: f.woken}, nil
}

// subscribe admits a subscriber. Needed tells that a confirmation is to begin.
func (f *feed) subscribe(at distribution.Position) (decision distribution.Decision, needed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decision = f.publisher.Subscribe(at, 0, time.Now())
	return decision, f.publisher.NeedsConfirmation()
}

// snapshotSent tells that a subscriber was sent a snapshot.
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

// heartbeat enters a subscriber's heartbeat. Needed tells that a confirmation is to begin.
func (f *feed) heartbeat(id distribution.SubscriberID, number uint64) (needed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.Heartbeat(id, number)
}

// beginConfirmation starts a round.
func (f *feed) beginConfirmation() distribution.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.BeginConfirmation()
}

// confirm ends a round with success.
func (f *feed) confirm(round distribution.Confirmation, through distribution.Revision, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publisher.Confirm(round, through, leader)
	f.wakeAll()
}

// awaken gives the channel that is closed at the next wake of all writers.
func (f *feed) awaken() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.woken
}

// subscribers counts the subscribers, and the snapshots under way.
func (f *feed) subscribers() (subscribers, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publisher.Subscribers()
}

// resetCount counts the resets, by which a snapshot is known to be of an earlier state.
func (f *feed) resetCount() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resets
}
