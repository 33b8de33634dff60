package distribution

// Limits bound what a Publisher holds. Its zero fields take the defaults.
type Limits struct {
	JournalChanges int // changes kept for subscribers that resume
	JournalBytes   int // and their size; batches encoded by Batch.Encoded take about as much again
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

// minJournalBatches is into how many batches at least a full journal is divided. The journal drops whole batches, so a batch
// must be a small share of it.
const minJournalBatches = 16

// changeOverhead is the size of a change besides its name and value, about as it is encoded and as it is held.
const changeOverhead = 128

// withDefaults fills the zero fields.
func (l Limits) withDefaults() Limits {
	setDefault(&l.JournalChanges, DefaultJournalChanges)
	setDefault(&l.JournalBytes, DefaultJournalBytes)
	setDefault(&l.Subscribers, DefaultSubscribers)
	setDefault(&l.Snapshots, DefaultSnapshots)
	setDefault(&l.BatchBytes, DefaultBatchBytes)
	return l
}

// batchChanges is the limit of the changes in one batch.
func (l Limits) batchChanges() int { return max(1, l.JournalChanges/minJournalBatches) }

// batchBytes is the limit of the size of one batch, unless it is a single change.
func (l Limits) batchBytes() int { return min(l.BatchBytes, l.JournalBytes/minJournalBatches) }

// size is what a change counts for in JournalBytes and BatchBytes.
func (c *Change) size() int { return changeOverhead + len(c.Name) + len(c.Value) }
