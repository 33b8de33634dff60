package distribution

import (
	"fmt"
	"testing"
	"time"
)

// benchPublisher returns a publisher with a full journal, and a number of subscribers that are at its end.
func benchPublisher(b *testing.B, subscribers int) (*Publisher, []SubscriberID) {
	publisher := NewPublisher(Limits{}, Timing{}, Position{})
	for revision := range Revision(DefaultJournalChanges) {
		publisher.Append(purge(revision+1, 1, 0))
	}
	ids := make([]SubscriberID, subscribers)
	for i := range ids {
		d := publisher.Subscribe(publisher.Last(), 0, time.Time{})
		if d.Admission != AdmitResume {
			b.Fatalf("%+v", d)
		}
		ids[i] = d.ID
	}
	return publisher, ids
}

// BenchmarkAppend shows that the cost of a change does not depend on the number of subscribers.
func BenchmarkAppend(b *testing.B) {
	for _, subscribers := range []int{0, DefaultSubscribers} {
		b.Run(fmt.Sprint(subscribers), func(b *testing.B) {
			publisher, _ := benchPublisher(b, subscribers)
			revision := publisher.Last().Revision
			for b.Loop() {
				revision++
				publisher.Append(purge(revision, 1, 0))
			}
		})
	}
}

// BenchmarkRound measures one confirmation round that sends each subscriber a batch and a mark.
func BenchmarkRound(b *testing.B) {
	publisher, ids := benchPublisher(b, DefaultSubscribers)
	now := time.Unix(1000, 0)
	number := uint64(0)
	for b.Loop() {
		number++
		publisher.Append(purge(publisher.Last().Revision+1, 1, 0))
		for _, id := range ids {
			publisher.Heartbeat(id, number)
			publisher.Next(id, now)
		}
		publisher.Confirm(publisher.BeginConfirmation(), publisher.Last().Revision, "leader")
		now = now.Add(DefaultBatchDelay)
		for _, id := range ids {
			batch, mark, _, err := publisher.Next(id, now)
			if batch == nil || mark == nil || err != nil {
				b.Fatal(batch, mark, err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(ids)), "ns/subscriber")
}
