package fastcgi

const (
	mergedBuffer   = 4 << 10 // bytes; responses are appended to the last buffer up to this size
	bufferOverhead = 64      // bytes reserved for each buffer beside its content
)

// writeQueue holds the responses of a connection that wait to be written. Small ones share a buffer, as a client may cause very
// many of them.
type writeQueue struct {
	batch
	writing int // responses in the batch that is being written
}

// batch is what the writer writes at a time.
type batch struct {
	buffers   [][]byte
	responses int // complete with these buffers
	reserved  int // bytes reserved for them in the response budget
}

// cost returns the number of bytes to reserve for a buffer before it is added.
func (q *writeQueue) cost(b []byte) int {
	if q.merges(b) {
		return len(b)
	}
	return len(b) + bufferOverhead
}

// merges reports whether a buffer will be appended to the last one.
func (q *writeQueue) merges(b []byte) bool {
	last := len(q.buffers) - 1
	return last >= 0 && len(q.buffers[last])+len(b) <= mergedBuffer
}

// add appends a buffer, with which a number of responses are complete.
func (q *writeQueue) add(b []byte, responses int) {
	q.reserved += q.cost(b)
	q.responses += responses
	if q.merges(b) {
		last := len(q.buffers) - 1
		q.buffers[last] = append(q.buffers[last], b...)
		return
	}
	q.buffers = append(q.buffers, b)
}

// take removes and returns all that is queued.
func (q *writeQueue) take() batch {
	taken := q.batch
	q.batch = batch{}
	return taken
}

// empty reports whether nothing is queued.
func (q *writeQueue) empty() bool { return len(q.buffers) == 0 }

// pendingResponses returns the number of responses that are queued or being written.
func (q *writeQueue) pendingResponses() int { return q.responses + q.writing }
