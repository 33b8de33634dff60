package distribution

// Limits bounds a Publisher. Its zero fields take the defaults.
type Limits struct {
	JournalChanges      int // changes in the journal, for subscribers that resume
	JournalBytes        int // their size; the bytes cached by Batch.Encoded take about as much again
	Subscribers         int
	ConcurrentSnapshots int // being sent at the same time
	BatchBytes          int // of one batch; a larger change is a batch of its own
}

// Defaults of Limits.
const (
	DefaultJournalChanges = 1 << 16
	DefaultJournalBytes   = 32 << 20
	DefaultSubscribers    = 2000
	DefaultSnapshots      = 8
	DefaultBatchBytes     = 64 << 10
)

// minJournalBatches is the minimum number of batches in a full journal. The journal drops complete batches, so each must be a
// small part of it.
const minJournalBatches = 16

// changeOverhead is the approximate size of a change besides its name and value, encoded as well as in memory.
const changeOverhead = 128

// withDefaults returns the limits with defaults in place of zero fields.
func (l Limits) withDefaults() Limits {
	defaultIfZero(&l.JournalChanges, DefaultJournalChanges)
	defaultIfZero(&l.JournalBytes, DefaultJournalBytes)
	defaultIfZero(&l.Subscribers, DefaultSubscribers)
	defaultIfZero(&l.ConcurrentSnapshots, DefaultSnapshots)
	defaultIfZero(&l.BatchBytes, DefaultBatchBytes)
	return l
}

// batchChanges returns the maximum number of changes in a batch.
func (l Limits) batchChanges() int { return max(1, l.JournalChanges/minJournalBatches) }

// batchBytes returns the maximum size of a batch of several changes.
func (l Limits) batchBytes() int { return min(l.BatchBytes, l.JournalBytes/minJournalBatches) }

// size returns the size of a change as counted for JournalBytes and BatchBytes.
func (c *Change) size() int { return changeOverhead + len(c.Name) + len(c.Value) }
