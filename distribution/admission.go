package distribution

import "time"

// Admission is a Publisher's decision on a new subscriber.
type Admission string

// The admissions.
const (
	AdmitResume   Admission = "resume"   // changes follow from its position on
	AdmitSnapshot Admission = "snapshot" // it needs a snapshot first, which counts for Limits.ConcurrentSnapshots until SnapshotSent
	AdmitReject   Admission = "refuse"   // it has to retry, at this voter or another one
)

// Rejection is the reason why a subscriber is rejected. The values are part of the wire form.
type Rejection string

// The reasons.
const (
	RejectFull    Rejection = "full"   // Limits.Subscribers is reached
	RejectBusy    Rejection = "busy"   // Limits.ConcurrentSnapshots is reached
	RejectLagging Rejection = "behind" // this voter has not applied the subscriber's position yet
)

// Decision is the response to a subscription.
type Decision struct {
	ID         SubscriberID
	Admission  Admission
	Rejection  Rejection
	RetryAfter time.Duration // of a rejection
}

// Minimum Retry-After of rejections; the actual one is between the minimum and twice the minimum. A subscriber rejected as
// RejectLagging retries after one to two heartbeat intervals, when a further confirmation round has ended.
const (
	fullRetryAfter = 5 * time.Second
	busyRetryAfter = time.Second
)

// admission is the state that decisions on subscribers depend on, besides the journal.
type admission struct {
	laggingRetryAfter time.Duration
	rejections        uint64
	ahead             aheadPositions
}

func newAdmission(subscribers int, heartbeatInterval time.Duration) admission {
	return admission{laggingRetryAfter: heartbeatInterval, ahead: newAheadPositions(subscribers)}
}

// Subscribe decides on a subscriber whose copy is at a position. confirmed is the newest revision known to be confirmed by a
// majority (0: none). A subscriber ahead of Last is rejected as RejectLagging until a confirmation shows that its position is
// not in this history, and is then sent a snapshot.
//
// A confirmation proves this if its round began after the position was first received here and its revision is lower: the
// position was committed before a subscriber reported it, so a round in a history that contains it would have confirmed it. An
// earlier round proves nothing, as the position may be newer. The owner therefore has to run rounds even without subscribers,
// whenever NeedsConfirmation reports true.
func (p *Publisher) Subscribe(at Position, confirmed Revision, now time.Time) Decision {
	if len(p.subscribers) >= p.limits.Subscribers {
		return p.reject(RejectFull, fullRetryAfter)
	}
	switch p.journal.locate(at) {
	case locationInJournal:
		return Decision{ID: p.admit(&subscriber{state: stateStreaming, delivered: at}), Admission: AdmitResume}
	case locationAhead:
		if !p.divergenceShown(at, confirmed) {
			p.admission.ahead.add(at, p.confirmations.begun)
			p.confirmations.request()
			return p.reject(RejectLagging, p.admission.laggingRetryAfter)
		}
	}
	if p.snapshotsInProgress >= p.limits.ConcurrentSnapshots {
		return p.reject(RejectBusy, busyRetryAfter)
	}
	p.snapshotsInProgress++
	return Decision{ID: p.admit(&subscriber{state: stateSendingSnapshot}), Admission: AdmitSnapshot}
}

// admit adds a subscriber.
func (p *Publisher) admit(s *subscriber) SubscriberID {
	p.lastID++
	p.subscribers[p.lastID] = s
	return p.lastID
}

// divergenceShown reports whether a position ahead of the journal is proved to be absent from the majority's history.
func (p *Publisher) divergenceShown(at Position, confirmed Revision) bool {
	if max(confirmed, p.confirmations.through) >= at.Revision {
		return false
	}
	roundsBefore, ok := p.admission.ahead.roundsBefore[at]
	return ok && p.confirmations.confirmed > roundsBefore
}

// reject returns a rejection whose Retry-After is between minRetryAfter and twice that. Successive ones follow the multiples
// of the golden ratio, which spread any run of rejections evenly over the range without randomness.
func (p *Publisher) reject(reason Rejection, minRetryAfter time.Duration) Decision {
	const goldenRatio = 0x9E3779B97F4A7C15 // of 2^64
	p.admission.rejections++
	fraction := float64(p.admission.rejections*goldenRatio>>11) / (1 << 53)
	retryAfter := minRetryAfter + time.Duration(fraction*float64(minRetryAfter))
	return Decision{Admission: AdmitReject, Rejection: reason, RetryAfter: retryAfter}
}

// aheadPositions records positions of subscribers that were ahead of the journal, each with the number of confirmation rounds
// begun before it was first received. It drops the oldest ones beyond its limit.
type aheadPositions struct {
	limit        int
	roundsBefore map[Position]uint64
	order        []Position
}

func newAheadPositions(limit int) aheadPositions {
	return aheadPositions{limit: limit, roundsBefore: map[Position]uint64{}}
}

func (a *aheadPositions) add(at Position, roundsBegun uint64) {
	if _, ok := a.roundsBefore[at]; ok {
		return
	}
	if len(a.order) >= a.limit {
		delete(a.roundsBefore, a.order[0])
		a.order = a.order[1:]
	}
	a.roundsBefore[at] = roundsBegun
	a.order = append(a.order, at)
}
