package distribution

import (
	"sort"
	"time"
)

// journal is the newest part of the log's changes, divided into batches that all subscribers share. The last batch is open:
// changes are appended to it until it is full or due.
type journal struct {
	limits     Limits
	batchDelay time.Duration

	floor  Position // the position before the oldest change in the journal
	last   Position // of the newest change, or floor
	sealed []segment
	open   segment

	openSeenAt time.Time // when the open batch was first requested; zero: not yet

	changes int
	bytes   int
}

// segment is a batch with its size.
type segment struct {
	batch *Batch
	bytes int
}

// location is where a position is, relative to a journal.
type location int

const (
	locationBelowFloor location = iota // below the floor
	locationInJournal                  // at the floor or at a change in the journal
	locationDivergent                  // in the range of revisions, but of another history
	locationAhead                      // above the newest change
)

func newJournal(limits Limits, batchDelay time.Duration, at Position) journal {
	j := journal{limits: limits, batchDelay: batchDelay}
	j.reset(at)
	return j
}

// reset empties the journal, which then begins after at.
func (j *journal) reset(at Position) {
	j.floor, j.last = at, at
	j.sealed = nil
	j.changes, j.bytes = 0, 0
	j.beginBatch()
}

// beginBatch opens a batch after the newest change.
func (j *journal) beginBatch() {
	j.open = segment{batch: &Batch{After: j.last}}
	j.openSeenAt = time.Time{}
}

// append appends a change, and drops the oldest batches if the journal exceeds its limits.
func (j *journal) append(c Change) {
	size := c.size()
	if j.open.bytes+size > j.limits.batchBytes() {
		j.seal()
	}
	j.open.batch.Changes = append(j.open.batch.Changes, c)
	j.open.bytes += size
	j.last = c.Position
	j.changes++
	j.bytes += size
	if j.open.bytes >= j.limits.batchBytes() || len(j.open.batch.Changes) >= j.limits.batchChanges() {
		j.seal()
	}
	j.trim()
}

// seal closes the open batch, which is immutable from then on, and opens another.
func (j *journal) seal() {
	if len(j.open.batch.Changes) == 0 {
		return
	}
	j.sealed = append(j.sealed, j.open)
	j.beginBatch()
}

// trim drops the oldest batches until the journal is within its limits.
func (j *journal) trim() {
	for j.changes > j.limits.JournalChanges || j.bytes > j.limits.JournalBytes {
		if len(j.sealed) == 0 {
			j.seal()
		}
		oldest := j.sealed[0]
		j.sealed[0] = segment{}
		j.sealed = j.sealed[1:]
		j.floor = oldest.batch.last()
		j.changes -= len(oldest.batch.Changes)
		j.bytes -= oldest.bytes
	}
}

// next returns the batch that follows a revision. If it is not due yet, wake is when it will be; if neither is set there are
// no changes.
func (j *journal) next(after Revision, now time.Time) (batch *Batch, wake time.Time, err error) {
	if after < j.floor.Revision {
		return nil, time.Time{}, ErrOverrun
	}
	if after >= j.last.Revision {
		return nil, time.Time{}, nil
	}
	if i := j.searchSealed(after); i < len(j.sealed) {
		return j.sealed[i].batch, time.Time{}, nil
	}
	if j.openSeenAt.IsZero() {
		j.openSeenAt = now
	}
	due := j.openSeenAt.Add(j.batchDelay)
	if now.Before(due) {
		return nil, due, nil
	}
	batch = j.open.batch
	j.seal()
	return batch, time.Time{}, nil
}

// searchSealed returns the index of the first sealed batch with a change above a revision; len(j.sealed) if there is none.
func (j *journal) searchSealed(after Revision) int {
	return sort.Search(len(j.sealed), func(i int) bool { return j.sealed[i].batch.last().Revision > after })
}

// locate returns where a position is.
func (j *journal) locate(at Position) location {
	switch {
	case at.Revision < j.floor.Revision:
		return locationBelowFloor
	case at.Revision > j.last.Revision:
		return locationAhead
	case at == j.floor || at == j.last:
		return locationInJournal
	case j.contains(at):
		return locationInJournal
	}
	return locationDivergent
}

// contains reports whether a position is that of a change in the journal.
func (j *journal) contains(at Position) bool {
	batch := j.open.batch
	if at.Revision <= batch.After.Revision {
		i := sort.Search(len(j.sealed), func(i int) bool { return j.sealed[i].batch.last().Revision >= at.Revision })
		if i == len(j.sealed) {
			return false
		}
		batch = j.sealed[i].batch
	}
	i := sort.Search(len(batch.Changes), func(i int) bool { return batch.Changes[i].Revision >= at.Revision })
	return i < len(batch.Changes) && batch.Changes[i].Position == at
}
