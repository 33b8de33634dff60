package distribution

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// publisherCases are scripts for publisherRig. A position is revision.term, and of term 1 just its revision.
var publisherCases = []struct {
	name   string
	limits Limits
	at     string
	script string
}{
	{
		name: "a batch is due after its delay, and is shared",
		script: `
			subscribe a 0 => resume
			subscribe b 0 => resume
			next a => -
			append 3 5
			next a => wake 250ms
			wait 100ms
			append 6
			next b => wake 150ms
			wait 150ms
			next a => 0<3,5,6
			append 8
			next b => 0<3,5,6 shared
			next b => wake 250ms
			next a => wake 250ms
			wait 250ms
			next b => 6<8
			next a => 6<8 shared
			last => 8`,
	},
	{
		name:   "a full batch is due at once",
		limits: Limits{BatchBytes: 4 * changeOverhead},
		script: `
			subscribe a 0 => resume
			append 1 2 3 4 5
			next a => 0<1,2,3,4
			next a => wake 250ms`,
	},
	{
		name:   "a large change is a batch of its own",
		limits: Limits{BatchBytes: 64 << 10},
		script: `
			subscribe a 0 => resume
			append 1 2 3+1048576 4
			next a => 0<1,2
			next a => 2<3
			next a => wake 250ms
			wait 250ms
			next a => 3<4`,
	},
	{
		name:   "the journal is bounded by changes",
		limits: Limits{JournalChanges: 3},
		script: `
			subscribe a 0 => resume
			subscribe b 0 => resume
			append 1 2 3
			next a => 0<1
			append 4 5
			next b => overrun
			next b => overrun
			next a => overrun
			remove b
			next b => unknown
			subscribe c 1 => snapshot
			subscribe d 2 => resume
			next d => 2<3`,
	},
	{
		name:   "the journal is bounded by bytes",
		limits: Limits{JournalBytes: 16 * 2 * changeOverhead, BatchBytes: 1 << 20},
		script: `
			append 1 2+4096 3
			subscribe a 0 => snapshot
			subscribe b 1 => snapshot
			subscribe c 2 => resume`,
	},
	{
		name: "resumption by position",
		at:   "10.2",
		script: `
			append 12.2 15.2 20.3
			subscribe below 9.2 => snapshot
			subscribe zero 0.0 => snapshot
			subscribe floor 10.2 => resume
			subscribe floorterm 10.1 => snapshot
			subscribe change 15.2 => resume
			subscribe changeterm 15.3 => snapshot
			subscribe between 14.2 => snapshot
			subscribe last 20.3 => resume
			subscribe lastterm 20.2 => snapshot
			subscribe ahead 21.3 => refuse behind
			next floor => wake 250ms
			wait 250ms
			next floor => 10.2<12.2,15.2,20.3
			next change => 10.2<12.2,15.2,20.3 shared
			next last => -`,
	},
	{
		name: "a position ahead of the journal is lost once a later confirmation is below it",
		script: `
			append 5
			begin early
			subscribe a 9 => refuse behind
			needs => true
			confirm early 5
			subscribe a 9 => refuse behind
			begin late
			needs => false
			subscribe a 9 => refuse behind
			confirm late 5
			subscribe a 9 9 => refuse behind
			subscribe b 10 => refuse behind
			subscribe a 9 5 => snapshot`,
	},
	{
		name: "a position ahead of the journal is not lost if the majority has it",
		script: `
			append 5
			subscribe a 9 => refuse behind
			begin r
			confirm r 12
			subscribe a 9 => refuse behind
			append 9
			subscribe a 9 => resume`,
	},
	{
		name:   "limits of subscribers and snapshots",
		at:     "10",
		limits: Limits{Subscribers: 3, ConcurrentSnapshots: 1},
		script: `
			subscribe a 1 => snapshot
			subscribe b 1 => refuse busy
			subscribe c 10 => resume
			subscribe d 10 => resume
			subscribe e 10 => refuse full
			count => 3 1
			snapshot a 10 => ok
			count => 3 0
			remove c
			subscribe f 1 => snapshot
			count => 3 1
			remove f
			remove f
			count => 2 0`,
	},
	{
		name: "a subscriber receives nothing before its snapshot",
		at:   "10",
		script: `
			subscribe a 1 => snapshot
			heartbeat a 1 => begin
			append 11 12
			begin r
			confirm r 12
			wait 1s
			next a => -
			snapshot a 11 => ok
			snapshot a 11 => unknown
			next a => wake 250ms
			wait 250ms
			next a => 10<11,12 mark 12 of 1
			next a => -`,
	},
	{
		name:   "the journal is trimmed past a snapshot that is being sent",
		limits: Limits{JournalChanges: 2},
		at:     "10",
		script: `
			subscribe a 1 => snapshot
			subscribe b 1 => snapshot
			subscribe c 1 => snapshot
			append 11 12 13 14
			snapshot a 11 => overrun
			next a => overrun
			snapshot b 13.2 => overrun
			snapshot c 15 => overrun
			count => 3 0`,
	},
	{
		name: "a round covers the heartbeats received before it began",
		script: `
			subscribe a 0 => resume
			heartbeat a 1 => begin
			heartbeat a 1 => -
			begin r
			heartbeat a 2 => begin
			heartbeat a 3 => -
			next a => -
			confirm r 0
			next a => mark 0 of 1
			next a => -
			begin s
			begin t
			confirm t 0
			confirm s 0
			next a => mark 0 of 3
			heartbeat b 1 => -
			heartbeat a 2 => -`,
	},
	{
		name: "a late confirmation of an older round covers nothing newer",
		script: `
			subscribe a 0 => resume
			begin r
			heartbeat a 1 => begin
			begin s
			heartbeat a 2 => begin
			confirm s 0
			confirm r 0
			next a => mark 0 of 1
			next a => -`,
	},
	{
		name: "marks are sent even if rounds take longer than the heartbeat interval",
		script: `
			subscribe a 0 => resume
			heartbeat a 1 => begin
			begin r
			heartbeat a 2 => begin
			begin s
			heartbeat a 3 => begin
			begin t
			heartbeat a 4 => begin
			confirm r 0
			next a => mark 0 of 1
			confirm s 0
			next a => -
			confirm t 0
			next a => -
			begin u
			confirm u 0
			next a => mark 0 of 4`,
	},
	{
		name: "a heartbeat between a confirmation and its mark does not replace the mark",
		script: `
			subscribe a 0 => resume
			heartbeat a 1 => begin
			begin r
			heartbeat a 2 => begin
			begin s
			confirm s 0
			heartbeat a 3 => begin
			next a => mark 0 of 2
			begin t
			confirm t 0
			next a => mark 0 of 3`,
	},
	{
		name: "a mark waits for its changes",
		script: `
			subscribe a 0 => resume
			append 1
			heartbeat a 1 => begin
			begin r
			confirm r 2
			wait 250ms
			next a => wake 250ms
			wait 250ms
			next a => 0<1
			heartbeat a 2 => begin
			begin s
			confirm s 3
			next a => -
			append 2 4
			next a => wake 250ms
			wait 250ms
			next a => 1<2,4 mark 3 of 2`,
	},
	{
		name: "marks are sent even if a follower always lags",
		script: `
			subscribe a 0 => resume
			heartbeat a 1 => begin
			begin r
			confirm r 5
			next a => -
			heartbeat a 2 => begin
			begin s
			confirm s 6
			next a => -
			append 5
			next a => wake 250ms
			wait 250ms
			heartbeat a 3 => begin
			begin t
			confirm t 7
			next a => 0<5 mark 5 of 1
			append 6 7
			next a => wake 250ms
			wait 250ms
			next a => 5<6,7 mark 7 of 3`,
	},
	{
		name: "a reset overruns subscribers at other positions, and voids rounds",
		script: `
			subscribe a 0 => resume
			subscribe b 0 => resume
			subscribe c 9 => refuse behind
			append 3
			next a => wake 250ms
			wait 250ms
			next a => 0<3
			needs => true
			heartbeat a 1 => -
			begin r
			confirm r 3
			begin s
			reset 3
			last => 3
			next b => overrun
			next a => -
			confirm s 3
			next a => -
			begin t
			confirm t 3
			next a => mark 3 of 1
			reset 7.2
			next a => overrun
			subscribe d 3 => snapshot
			reset 20
			snapshot d 7.2 => overrun`,
	},
	{
		name: "a reset to an older position or another history overruns",
		at:   "5",
		script: `
			append 7
			subscribe old 5 => resume
			subscribe new 7 => resume
			subscribe other 7 => resume
			reset 5
			next old => -
			next new => overrun
			subscribe term 5 => resume
			reset 5.2
			next old => overrun
			next term => overrun
			count => 4 0`,
	},
	{
		name: "a replayed change is ignored",
		at:   "4",
		script: `
			subscribe a 4 => resume
			append 3 4 5 5
			next a => wake 250ms
			wait 250ms
			next a => 4<5`,
	},
}

func TestPublisher(t *testing.T) {
	for _, test := range publisherCases {
		t.Run(test.name, func(t *testing.T) {
			rig := newPublisherRig(t, test.limits, test.at)
			for line := range strings.Lines(test.script) {
				rig.step(strings.TrimSpace(line))
			}
		})
	}
}

// publisherRig runs a script. The expected result of a step follows "=>"; "-" means that there is none.
type publisherRig struct {
	t         *testing.T
	publisher *Publisher
	now       time.Time
	ids       map[string]SubscriberID
	rounds    map[string]Confirmation
	batches   map[string]*Batch // by their text, to check that they are shared
}

func newPublisherRig(t *testing.T, limits Limits, at string) *publisherRig {
	rig := &publisherRig{
		t: t, now: time.Unix(1000, 0), ids: map[string]SubscriberID{}, rounds: map[string]Confirmation{}, batches: map[string]*Batch{},
	}
	start := Position{}
	if at != "" {
		start = rig.position(at)
	}
	rig.publisher = NewPublisher(limits, Timing{}, start)
	return rig
}

func (r *publisherRig) step(line string) {
	r.t.Helper()
	if line == "" {
		return
	}
	command, want, hasWant := strings.Cut(line, " => ")
	got := r.run(strings.Fields(command))
	if hasWant && got != want || !hasWant && got != "" {
		r.t.Fatalf("%s: got %q", line, got)
	}
}

func (r *publisherRig) run(fields []string) string {
	name, args := fields[0], fields[1:]
	switch name {
	case "append":
		for _, arg := range args {
			r.publisher.Append(r.change(arg))
		}
	case "reset":
		r.publisher.Reset(r.position(args[0]))
	case "wait":
		r.now = r.now.Add(r.duration(args[0]))
	case "subscribe":
		return r.subscribe(args)
	case "snapshot":
		return errorText(r.publisher.SnapshotSent(r.ids[args[0]], r.position(args[1])))
	case "remove":
		r.publisher.Remove(r.ids[args[0]])
	case "next":
		return r.next(r.ids[args[0]])
	case "heartbeat":
		if r.publisher.Heartbeat(r.ids[args[0]], r.number(args[1])) {
			return "begin"
		}
		return "-"
	case "begin":
		r.rounds[args[0]] = r.publisher.BeginConfirmation()
	case "confirm":
		r.publisher.Confirm(r.rounds[args[0]], Revision(r.number(args[1])), "leader")
	case "needs":
		return fmt.Sprint(r.publisher.NeedsConfirmation())
	case "count":
		subscribers, snapshots := r.publisher.Subscribers()
		return fmt.Sprint(subscribers, snapshots)
	case "last":
		return positionText(r.publisher.Last())
	default:
		r.t.Fatalf("unknown step %q", name)
	}
	return ""
}

func (r *publisherRig) subscribe(args []string) string {
	confirmed := uint64(0)
	if len(args) > 2 {
		confirmed = r.number(args[2])
	}
	d := r.publisher.Subscribe(r.position(args[1]), Revision(confirmed), r.now)
	if d.Admission == AdmitReject {
		if d.RetryAfter <= 0 {
			r.t.Fatalf("rejection without Retry-After: %+v", d)
		}
		return fmt.Sprint(d.Admission, " ", d.Rejection)
	}
	r.ids[args[0]] = d.ID
	return string(d.Admission)
}

func (r *publisherRig) next(id SubscriberID) string {
	batch, mark, wake, err := r.publisher.Next(id, r.now)
	if err != nil {
		return errorText(err)
	}
	var parts []string
	if batch != nil {
		text := batchText(batch)
		if earlier, ok := r.batches[text]; ok && earlier == batch {
			text += " shared"
		}
		r.batches[batchText(batch)] = batch
		parts = append(parts, text)
	}
	if mark != nil {
		parts = append(parts, fmt.Sprintf("mark %d of %d", mark.Through, mark.Heartbeat))
	}
	if !wake.IsZero() {
		parts = append(parts, "wake "+wake.Sub(r.now).String())
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

// change parses revision.term, optionally followed by "+" and the size of the change's value.
func (r *publisherRig) change(text string) Change {
	at, size, _ := strings.Cut(text, "+")
	c := Change{Position: r.position(at), Kind: KindPut}
	if size != "" {
		c.Value = make([]byte, r.number(size))
	}
	return c
}

func (r *publisherRig) position(text string) Position {
	revision, term, ok := strings.Cut(text, ".")
	switch {
	case ok:
		return Position{Revision: Revision(r.number(revision)), Term: r.number(term)}
	case revision == "0":
		return Position{}
	}
	return Position{Revision: Revision(r.number(revision)), Term: 1}
}

func (r *publisherRig) number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.t.Fatal(err)
	}
	return n
}

func (r *publisherRig) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return d
}

func errorText(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrOverrun):
		return "overrun"
	case errors.Is(err, ErrUnknownSubscriber):
		return "unknown"
	case errors.Is(err, ErrGap):
		return "gap"
	}
	return err.Error()
}

func positionText(at Position) string {
	if at.Term <= 1 {
		return fmt.Sprint(at.Revision)
	}
	return fmt.Sprintf("%d.%d", at.Revision, at.Term)
}

func batchText(b *Batch) string {
	var changes []string
	for _, c := range b.Changes {
		changes = append(changes, positionText(c.Position))
	}
	return positionText(b.After) + "<" + strings.Join(changes, ",")
}
