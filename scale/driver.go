package scale

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	proposalTimeout    = 3 * time.Second  // for one attempt at one voter
	operationTimeout   = 15 * time.Second // for an operation with all its attempts
	proposalRetryPause = 50 * time.Millisecond
)

// driver proposes the operations of a load at their scheduled times, each to a random voter. A failed attempt is retried
// at the next voter. Proposing a change twice is harmless, so the failed attempt may have been committed.
type driver struct {
	cluster *cluster
	random  *rand.Rand

	mu           sync.Mutex
	acked        []AckedChange
	acknowledged int
	failed       int // not acknowledged within operationTimeout
	retried      int
}

func newDriver(c *cluster, seed uint64) *driver {
	return &driver{cluster: c, random: rand.New(rand.NewPCG(seed, 1))}
}

// run proposes all operations and waits until each was acknowledged or has failed.
func (d *driver) run(ctx context.Context, operations []Operation) {
	begin := time.Now()
	var proposals sync.WaitGroup
	for _, operation := range operations {
		if !sleep(ctx, time.Until(begin.Add(operation.At))) {
			break
		}
		voter := d.random.IntN(len(d.cluster.voters))
		proposals.Go(func() { d.propose(ctx, operation, voter) })
	}
	proposals.Wait()
}

// propose tries one voter after the other until the operation is acknowledged or its timeout has expired.
func (d *driver) propose(ctx context.Context, operation Operation, voter int) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		if at, ok := d.attemptProposal(ctx, operation, voter); ok {
			d.recordAcknowledged(operation, at)
			return
		}
		d.increment(&d.retried)
		voter = (voter + 1) % len(d.cluster.voters)
		if !sleep(ctx, proposalRetryPause) {
			d.increment(&d.failed)
			return
		}
	}
}

func (d *driver) attemptProposal(ctx context.Context, operation Operation, voter int) (at time.Time, ok bool) {
	process := d.cluster.voterProcess(voter)
	if process == nil {
		return at, false
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	var ack acknowledgement
	err := process.Call(ctx, methodPropose, proposeRequest{Member: voterID(voter), Operation: operation}, &ack)
	return ack.At, err == nil
}

func (d *driver) recordAcknowledged(operation Operation, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acknowledged++
	if operation.Key == 0 {
		return
	}
	d.acked = append(d.acked, AckedChange{
		Key: operation.Key, Kind: operation.Kind, Name: operation.Name, Burst: operation.Burst, At: at,
	})
}

func (d *driver) increment(counter *int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*counter++
}

// acknowledgedChanges returns the acknowledged operations that can be observed at gateways, in the order of their
// acknowledgements.
func (d *driver) acknowledgedChanges() []AckedChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := slices.Clone(d.acked)
	slices.SortFunc(out, func(a, b AckedChange) int { return a.At.Compare(b.At) })
	return out
}

// counts returns the number of operations that were acknowledged and that failed, and the number of failed attempts.
func (d *driver) counts() (acknowledged, failed, retried int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acknowledged, d.failed, d.retried
}
