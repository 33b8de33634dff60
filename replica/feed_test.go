package replica

import (
	"testing"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// newTestFeed returns a feed with subscribers that have no state yet.
func newTestFeed(t *testing.T, subscribers int) (*feed, []distribution.SubscriberID) {
	t.Helper()
	f := newFeed(distribution.Limits{}, distribution.Timing{BatchDelay: 20 * time.Millisecond})
	var ids []distribution.SubscriberID
	for range subscribers {
		decision, _ := f.subscribe(distribution.Position{})
		if decision.Admission != distribution.AdmitResume {
			t.Fatalf("%+v", decision)
		}
		ids = append(ids, decision.ID)
	}
	return f, ids
}

func newTestChange(revision int, size int) distribution.Change {
	return distribution.Change{
		Position: distribution.Position{Revision: distribution.Revision(revision), Term: 1},
		Kind:     distribution.KindPut, Name: "a", Value: make([]byte, size),
	}
}

// mustNext returns a subscriber's next delivery.
func mustNext(t *testing.T, f *feed, id distribution.SubscriberID, wokenAlone bool) delivery {
	t.Helper()
	d, err := f.next(id, wokenAlone)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// receiveSingleWake receives the wake of a single writer, if there is one, and returns the number of wakes received.
func receiveSingleWake(f *feed) int {
	select {
	case <-f.wakeSingle:
		return 1
	default:
		return 0
	}
}

// The first of many changes wakes one writer. All writers are woken once the batch is due, and share it.
func TestBatchWakesWritersOnce(t *testing.T) {
	f, ids := newTestFeed(t, 3)
	waits := make([]<-chan struct{}, len(ids))
	for i, id := range ids {
		waits[i] = mustNext(t, f, id, false).wake
	}
	f.append(newTestChange(1, 1))
	if receiveSingleWake(f) != 1 {
		t.Fatal("no writer is woken")
	}
	if d := mustNext(t, f, ids[1], true); d.batch != nil {
		t.Error("a batch is delivered before it is due")
	}
	for revision := 2; revision <= 40; revision++ {
		f.append(newTestChange(revision, 1))
	}
	if receiveSingleWake(f) != 0 {
		t.Error("a second writer is woken before the batch is due")
	}
	var shared *distribution.Batch
	for i, id := range ids {
		select {
		case <-waits[i]:
		case <-time.After(eventuallyTimeout):
			t.Fatal("not woken")
		}
		d := mustNext(t, f, id, false)
		if d.batch == nil || len(d.batch.Changes) != 40 {
			t.Fatalf("%d: %+v", i, d.batch)
		}
		if shared != nil && d.batch != shared {
			t.Error("the batch is not shared")
		}
		shared = d.batch
		if d := mustNext(t, f, id, false); d.batch != nil {
			t.Error("a batch is delivered twice")
		}
	}
	if f.timer != nil {
		t.Error("the timer is set although nothing is to be sent")
	}
}

// A woken writer whose subscription has ended wakes another one.
func TestWokenWriterHasEnded(t *testing.T) {
	f, ids := newTestFeed(t, 2)
	f.append(newTestChange(1, 1))
	f.remove(ids[0])
	if receiveSingleWake(f) != 1 {
		t.Fatal("no writer is woken")
	}
	if _, err := f.next(ids[0], true); err == nil {
		t.Error("a removed subscriber has a delivery")
	}
	if receiveSingleWake(f) != 1 {
		t.Error("no other writer is woken instead")
	}
}

// A batch that is full is due at once, so the woken writer wakes the others.
func TestWokenWriterFindsFullBatch(t *testing.T) {
	f, ids := newTestFeed(t, 2)
	waiting := mustNext(t, f, ids[1], false).wake
	f.append(newTestChange(1, maxValue))
	if receiveSingleWake(f) != 1 {
		t.Fatal("no writer is woken")
	}
	if d := mustNext(t, f, ids[0], true); d.batch == nil {
		t.Error("a full batch is not due")
	}
	select {
	case <-waiting:
	default:
		t.Error("the other writer is not woken")
	}
	if d := mustNext(t, f, ids[1], false); d.batch == nil {
		t.Error("the other subscriber has no delivery")
	}
}

// Without a subscriber no writer is woken and no timer is set.
func TestFeedWithoutSubscribers(t *testing.T) {
	f, ids := newTestFeed(t, 1)
	f.append(newTestChange(1, 1))
	mustNext(t, f, ids[0], receiveSingleWake(f) == 1)
	if f.timer == nil {
		t.Fatal("no timer is set for the batch")
	}
	f.remove(ids[0])
	if f.timer != nil {
		t.Error("the timer is set after the last subscriber was removed")
	}
	f.append(newTestChange(2, 1))
	if receiveSingleWake(f) != 0 || f.timer != nil {
		t.Error("a writer is woken or the timer is set without a subscriber")
	}
}
