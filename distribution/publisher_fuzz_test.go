package distribution

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// The fuzz test compares a Publisher with a model that keeps every change, heartbeat and round. The input is a list of
// operations, each encoded as a byte for the operation and a byte for its argument.

const (
	fuzzSeeds     = 40
	fuzzSeedBytes = 4000
	fuzzMaxBytes  = 8000
)

// fuzzLimits are small, so that inputs reach them.
var fuzzLimits = Limits{
	JournalChanges: 64, JournalBytes: 64 * 2 * changeOverhead, Subscribers: 5, ConcurrentSnapshots: 2, BatchBytes: 8 * changeOverhead,
}

func FuzzPublisher(f *testing.F) {
	for seed := range uint64(fuzzSeeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		input := make([]byte, fuzzSeedBytes)
		for i := range input {
			input[i] = byte(random.Uint32())
		}
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		m := newPublisherModel(t)
		for i := 0; i+1 < min(len(input), fuzzMaxBytes); i += 2 {
			m.step(input[i], input[i+1])
			m.checkBounds()
		}
		m.finish()
	})
}

// publisherModel is a Publisher with the state expected of it.
type publisherModel struct {
	t         *testing.T
	publisher *Publisher
	now       time.Time

	log     []Position // of the current history, from the initial position of the journal on
	epoch   int        // number of resets
	batches map[Position]*Batch

	rounds      []modelRound // by number, from 1 on
	connections []*modelConnection
}

// modelRound is a confirmation.
type modelRound struct {
	confirmation Confirmation
	epoch        int
	confirmed    bool
	through      Revision
}

// modelConnection is a subscriber.
type modelConnection struct {
	id         SubscriberID
	snapshot   bool // in progress
	overrun    bool // by a reset or the trimmed journal
	delivered  Position
	heartbeats []modelHeartbeat // by number, from 1 on
	marked     uint64           // number of the last mark's heartbeat
}

// modelHeartbeat is a heartbeat with the number of rounds begun before it was recorded.
type modelHeartbeat struct{ roundsBefore int }

func newPublisherModel(t *testing.T) *publisherModel {
	start := Position{Revision: 10, Term: 1}
	return &publisherModel{
		t: t, now: time.Unix(1000, 0), log: []Position{start}, batches: map[Position]*Batch{},
		publisher: NewPublisher(fuzzLimits, Timing{}, start),
		rounds:    make([]modelRound, 1),
	}
}

// step executes one operation.
func (m *publisherModel) step(operation, argument byte) {
	switch operation % 16 {
	case 0, 1, 2:
		m.append(int(argument))
	case 3:
		m.now = m.now.Add(time.Duration(argument) * 4 * time.Millisecond)
	case 4:
		m.subscribe(argument)
	case 5:
		m.beginRound()
	case 6:
		m.confirmRound(argument)
	case 7:
		m.withConnection(argument, m.heartbeat)
	case 8:
		m.withConnection(argument, m.finishSnapshot)
	case 9:
		if argument < 64 {
			m.withConnection(argument, m.remove)
		}
	case 10:
		if argument < 16 {
			m.reset(argument)
		}
	default:
		m.withConnection(argument, func(c *modelConnection) { m.next(c) })
	}
}

func (m *publisherModel) withConnection(argument byte, do func(c *modelConnection)) {
	if len(m.connections) > 0 {
		do(m.connections[int(argument)%len(m.connections)])
	}
}

func (m *publisherModel) last() Position { return m.log[len(m.log)-1] }

// append appends a change. The argument determines the gap between revisions, and whether the term is new and the change large.
func (m *publisherModel) append(argument int) {
	at := m.last()
	at.Revision += Revision(1 + argument%3)
	if argument > 250 {
		at.Term++
	}
	c := Change{Position: at, Kind: KindPut}
	if argument%16 == 0 {
		c.Value = make([]byte, argument*8)
	}
	m.publisher.Append(c)
	m.log = append(m.log, at)
}

// subscribe subscribes at a position of the log, or near one that is not in it.
func (m *publisherModel) subscribe(argument byte) {
	at := m.log[max(0, len(m.log)-1-int(argument%64))]
	switch argument / 64 {
	case 0:
		at.Term += 5
	case 1:
		at.Revision += Revision(argument % 4)
	}
	snapshotsBefore := m.snapshots()
	d := m.publisher.Subscribe(at, 0, m.now)
	switch d.Admission {
	case AdmitResume:
		if !m.contains(at) {
			m.t.Fatalf("admitted to resume at %v, which is not in the log", at)
		}
		m.connections = append(m.connections, &modelConnection{id: d.ID, delivered: at})
	case AdmitSnapshot:
		if at.Revision >= m.publisher.journal.floor.Revision && m.contains(at) {
			m.t.Fatalf("admitted for a snapshot at %v, which is in the journal", at)
		}
		m.connections = append(m.connections, &modelConnection{id: d.ID, snapshot: true})
	case AdmitReject:
		m.checkRejection(d, at, snapshotsBefore)
	}
}

func (m *publisherModel) checkRejection(d Decision, at Position, snapshots int) {
	valid := false
	switch d.Rejection {
	case RejectFull:
		valid = len(m.connections) == fuzzLimits.Subscribers
	case RejectBusy:
		valid = snapshots == fuzzLimits.ConcurrentSnapshots
	case RejectLagging:
		valid = at.Revision > m.last().Revision
	}
	if !valid || d.RetryAfter <= 0 {
		m.t.Fatalf("wrongly rejected at %v: %+v", at, d)
	}
}

func (m *publisherModel) contains(at Position) bool {
	for _, position := range m.log {
		if position == at {
			return true
		}
	}
	return false
}

func (m *publisherModel) snapshots() int {
	n := 0
	for _, c := range m.connections {
		if c.snapshot {
			n++
		}
	}
	return n
}

func (m *publisherModel) beginRound() {
	m.rounds = append(m.rounds, modelRound{confirmation: m.publisher.BeginConfirmation(), epoch: m.epoch, through: m.last().Revision})
}

// confirmRound confirms one of the newest rounds, with the newest revision at its beginning or one not reached then.
func (m *publisherModel) confirmRound(argument byte) {
	number := len(m.rounds) - 1 - int(argument%4)
	if number < 1 || m.rounds[number].confirmed {
		return
	}
	r := &m.rounds[number]
	r.confirmed = true
	r.through += Revision(argument / 64)
	m.publisher.Confirm(r.confirmation, r.through, "leader")
}

func (m *publisherModel) heartbeat(c *modelConnection) {
	c.heartbeats = append(c.heartbeats, modelHeartbeat{roundsBefore: len(m.rounds) - 1})
	m.publisher.Heartbeat(c.id, uint64(len(c.heartbeats)))
}

func (m *publisherModel) finishSnapshot(c *modelConnection) {
	if !c.snapshot {
		return
	}
	at := m.log[max(0, len(m.log)-1-len(c.heartbeats)%8)]
	err := m.publisher.SnapshotSent(c.id, at)
	c.snapshot = false
	if below := at.Revision < m.publisher.journal.floor.Revision; below != errors.Is(err, ErrOverrun) {
		m.t.Fatalf("snapshot sent at %v: %v", at, err)
	}
	c.delivered, c.overrun = at, err != nil
}

func (m *publisherModel) remove(c *modelConnection) {
	m.publisher.Remove(c.id)
	for i, other := range m.connections {
		if other == c {
			m.connections = append(m.connections[:i], m.connections[i+1:]...)
			return
		}
	}
}

// reset starts a new log at the end of the old one or after it.
func (m *publisherModel) reset(argument byte) {
	at := m.last()
	at.Revision += Revision(argument)
	m.publisher.Reset(at)
	m.epoch++
	m.log = []Position{at}
	m.batches = map[Position]*Batch{}
	for _, c := range m.connections {
		if !c.snapshot && c.delivered != at {
			c.overrun = true
		}
	}
}

// next checks what a subscriber is sent next. It reports whether anything was sent.
func (m *publisherModel) next(c *modelConnection) bool {
	batch, mark, wake, err := m.publisher.Next(c.id, m.now)
	if err != nil {
		m.checkOverrun(c, err)
		c.overrun = true
		return false
	}
	if c.overrun {
		m.t.Fatalf("%+v was not rejected after an overrun", *c)
	}
	if c.snapshot && (batch != nil || mark != nil) {
		m.t.Fatalf("%+v was sent a batch or a mark before its snapshot", *c)
	}
	if !wake.IsZero() && !wake.After(m.now) {
		m.t.Fatalf("wake time %v is not after the current time %v", wake, m.now)
	}
	if batch != nil {
		m.checkBatch(c, batch)
	}
	if mark != nil {
		m.checkMark(c, *mark)
	}
	return batch != nil || mark != nil
}

func (m *publisherModel) checkOverrun(c *modelConnection, err error) {
	if !errors.Is(err, ErrOverrun) || !c.overrun && c.delivered.Revision >= m.publisher.journal.floor.Revision {
		m.t.Fatalf("%+v: %v", *c, err)
	}
}

// checkBatch checks that a batch has exactly the changes of the log between After and its last one, and some that are new.
func (m *publisherModel) checkBatch(c *modelConnection, b *Batch) {
	if earlier := m.batches[b.After]; earlier != nil && earlier != b {
		m.t.Fatalf("two different batches after %v", b.After)
	}
	m.batches[b.After] = b
	if b.After.Revision > c.delivered.Revision || b.last().Revision <= c.delivered.Revision {
		m.t.Fatalf("batch from %v to %v sent to a subscriber at %v", b.After, b.last(), c.delivered)
	}
	if len(b.Changes) > fuzzLimits.batchChanges() {
		m.t.Fatalf("batch of %d changes, above the maximum", len(b.Changes))
	}
	start := 0
	for m.log[start] != b.After {
		start++
	}
	for i, change := range b.Changes {
		if change.Position != m.log[start+1+i] {
			m.t.Fatalf("batch after %v has %v, want %v", b.After, change.Position, m.log[start+1+i])
		}
	}
	c.delivered = b.last()
}

// checkMark checks that a confirmed round with the mark's revision covers its heartbeat, and that its changes were delivered.
func (m *publisherModel) checkMark(c *modelConnection, mark Mark) {
	if mark.Heartbeat <= c.marked || mark.Heartbeat > uint64(len(c.heartbeats)) || mark.Through > c.delivered.Revision {
		m.t.Fatalf("%+v was sent an invalid mark %+v", *c, mark)
	}
	c.marked = mark.Heartbeat
	heartbeat := c.heartbeats[mark.Heartbeat-1]
	for _, r := range m.rounds[heartbeat.roundsBefore+1:] {
		if r.confirmed && r.epoch == m.epoch && r.through == mark.Through {
			return
		}
	}
	m.t.Fatalf("%+v: no round covers %+v", *c, mark)
}

// checkBounds checks that the journal and the subscribers are within their limits.
func (m *publisherModel) checkBounds() {
	j := &m.publisher.journal
	if j.changes > fuzzLimits.JournalChanges || j.bytes > fuzzLimits.JournalBytes {
		m.t.Fatalf("the journal exceeds its limits: %d changes of %d bytes", j.changes, j.bytes)
	}
	subscribers, snapshots := m.publisher.Subscribers()
	if subscribers != len(m.connections) || snapshots != m.snapshots() || snapshots > fuzzLimits.ConcurrentSnapshots {
		m.t.Fatalf("%d subscribers, %d snapshots", subscribers, snapshots)
	}
	if m.publisher.Last() != m.last() {
		m.t.Fatalf("the newest change is at %v, want %v", m.publisher.Last(), m.last())
	}
}

// finish checks that a last round brings each subscriber to the end of the log, with a mark for its newest heartbeat.
func (m *publisherModel) finish() {
	for _, c := range m.connections {
		m.heartbeat(c)
	}
	m.beginRound()
	m.rounds[len(m.rounds)-1].confirmed = true
	m.publisher.Confirm(m.rounds[len(m.rounds)-1].confirmation, m.last().Revision, "leader")
	for _, c := range m.connections {
		for range 2 {
			for m.next(c) {
			}
			m.now = m.now.Add(DefaultBatchDelay)
		}
		if c.snapshot || c.overrun {
			continue
		}
		if c.delivered != m.last() || c.marked != uint64(len(c.heartbeats)) {
			m.t.Fatalf("%+v did not reach the end of the log at %v with a mark for its newest heartbeat", *c, m.last())
		}
	}
}
