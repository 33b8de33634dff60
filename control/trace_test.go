package control_test

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
)

// The traces in testdata/trace contain events and the actions of package control at commit e47e21a. Replaying them
// shows that a change of the code has changed no decision. They may be recorded again only if decisions are meant to
// change:
//
//	go test ./control -run TestDecisionsAsRecorded -update
//
// A trace is compressed with gzip. It contains a header, the settings, then records of (time since the last record,
// event, actions); see trace_codec_test.go for the fields. Times in actions are compared to the nanosecond. They
// result from floating-point arithmetic, so the traces are valid only for the architecture on which they were
// recorded, amd64: others may fuse multiplications and additions.
var update = flag.Bool("update", false, "record the decision traces again")

const (
	traceFolder  = "testdata/trace"
	traceHeader  = "turnfork control trace 1\n"
	traceSeed    = 7
	contextWidth = 3 // events printed before and after the first difference
	minEvents    = 100_000
)

// record is one event with the actions that it caused.
type record struct {
	at      time.Duration
	event   any
	actions []byte // as codec.action writes them
}

// trace is the recording of one scenario.
type trace struct {
	settings control.Settings
	records  []record
}

// encodeActions returns the recorded form of actions.
func encodeActions(now time.Duration, actions []any) []byte {
	c := codec{now: now}
	for _, action := range actions {
		c.action(action)
	}
	return c.buffer
}

// decodeActions decodes the recorded form of actions, for messages.
func decodeActions(now time.Duration, recorded []byte) (actions []any) {
	c := codec{now: now, reading: true, buffer: recorded}
	for len(c.buffer) > 0 {
		actions = append(actions, c.action(nil))
	}
	return actions
}

func (tr *trace) encode() []byte {
	c := codec{buffer: []byte(traceHeader)}
	c.settings(&tr.settings)
	last := time.Duration(0)
	for _, r := range tr.records {
		passed := r.at - last
		number(&c, &passed)
		c.event(r.event)
		c.buffer = binary.AppendUvarint(c.buffer, uint64(len(r.actions)))
		c.buffer = append(c.buffer, r.actions...)
		last = r.at
	}
	return c.buffer
}

func decodeTrace(text []byte) (*trace, error) {
	text, ok := bytes.CutPrefix(text, []byte(traceHeader))
	if !ok {
		return nil, errors.New("no trace of this format")
	}
	tr := &trace{}
	c := codec{buffer: text, reading: true}
	c.settings(&tr.settings)
	now := time.Duration(0)
	for len(c.buffer) > 0 {
		var passed time.Duration
		number(&c, &passed)
		now += passed
		event := c.event(nil)
		length, size := binary.Uvarint(c.buffer)
		if size <= 0 || length > uint64(len(c.buffer)-size) {
			c.fail(errTruncated)
			break
		}
		tr.records = append(tr.records, record{now, event, c.buffer[size : size+int(length)]})
		c.buffer = c.buffer[size+int(length):]
	}
	return tr, c.err
}

func readTrace(path string) (*trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	unzip, err := gzip.NewReader(file)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(unzip)
	if err != nil {
		return nil, err
	}
	return decodeTrace(text)
}

func writeTrace(path string, tr *trace) error {
	var out bytes.Buffer
	zip, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		return err
	}
	if _, err := zip.Write(tr.encode()); err != nil {
		return err
	}
	if err := zip.Close(); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// handle passes an event to the module, or calls the method of a query, and returns the actions or the result.
func handle(c *control.Controller, now time.Duration, event any) (actions []any) {
	q, isQuery := event.(query)
	if !isQuery {
		for _, action := range c.Handle(now, event.(control.Event), nil) {
			actions = append(actions, action)
		}
		return actions
	}
	var a answer
	switch q.kind {
	case kindQueryMaxCopyAge:
		a.value = int64(c.MaxCopyAge(control.RequestID(q.subject)))
	case kindQueryListed:
		if c.WasListed(control.EndpointID(q.subject)) {
			a.value = 1
		}
	case kindQueryDeadlineReached:
		a.value = int64(control.DeadlineReached(control.RequestID(q.subject)).Token)
	}
	return []any{a}
}

// replay passes the events of a trace to a new controller. It returns the index of the first event at which the
// actions differ, and the actions there; -1: there is none.
func replay(tr *trace) (first int, actions []byte, err error) {
	c, err := control.New(tr.settings, traceSeed)
	if err != nil {
		return 0, nil, err
	}
	for i, r := range tr.records {
		if actions := encodeActions(r.at, handle(c, r.at, r.event)); !bytes.Equal(actions, r.actions) {
			return i, actions, nil
		}
	}
	return -1, nil, nil
}

// difference describes the first difference, with the events around it.
func difference(tr *trace, first int, actions []byte) string {
	var b strings.Builder
	at := tr.records[first].at
	fmt.Fprintf(&b, "the actions at event %d of %d differ:\n", first, len(tr.records))
	want, got := decodeActions(at, tr.records[first].actions), decodeActions(at, actions)
	for i := range max(len(want), len(got)) {
		switch {
		case i >= len(got):
			fmt.Fprintf(&b, "  action %d: recorded %T%+v, now none\n", i, want[i], want[i])
		case i >= len(want):
			fmt.Fprintf(&b, "  action %d: recorded none, now %T%+v\n", i, got[i], got[i])
		case want[i] != got[i]:
			fmt.Fprintf(&b, "  action %d: recorded %T%+v\n             now %T%+v\n", i, want[i], want[i], got[i], got[i])
		}
	}
	b.WriteString("the events around it, with the recorded actions:\n")
	for i := max(0, first-contextWidth); i <= min(first+contextWidth, len(tr.records)-1); i++ {
		r := tr.records[i]
		mark := " "
		if i == first {
			mark = ">"
		}
		fmt.Fprintf(&b, "%s %d at %v: %T%+v", mark, i, r.at, r.event, r.event)
		if load := loadOf(r.event); load != nil {
			fmt.Fprintf(&b, ", load %+v", *load)
		}
		b.WriteByte('\n')
		for _, action := range decodeActions(r.at, r.actions) {
			fmt.Fprintf(&b, "      %T%+v\n", action, action)
		}
	}
	return b.String()
}

// loadOf returns the load report of an event, or nil if it has none.
func loadOf(event any) *control.LoadReport {
	switch event := event.(type) {
	case control.AttemptResult:
		return event.Load
	case control.HealthCheckResult:
		return event.Load
	}
	return nil
}

// tracePaths returns the paths of the recorded traces.
func tracePaths(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(traceFolder, "*.gz"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no traces in %s: %v", traceFolder, err)
	}
	return paths
}

// The same events give the same actions as at commit e47e21a.
func TestDecisionsAsRecorded(t *testing.T) {
	if *update {
		recordTraces(t)
	}
	for _, path := range tracePaths(t) {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".gz"), func(t *testing.T) {
			t.Parallel()
			tr, err := readTrace(path)
			if err != nil {
				t.Fatal(err)
			}
			first, actions, err := replay(tr)
			if err != nil {
				t.Fatal(err)
			}
			if first >= 0 {
				t.Error(difference(tr, first, actions))
			}
		})
	}
}

// The traces together contain enough events, and every kind of event, attempt result, note, list update and action.
func TestRecordedTracesCoverAllEvents(t *testing.T) {
	events, results, notes, actions := map[int]int{}, map[control.Outcome]int{}, map[control.Note]int{}, map[int]int{}
	healthChecks, states := map[control.Outcome]int{}, map[control.State]int{}
	lists := map[string]int{}
	total := 0
	for _, path := range tracePaths(t) {
		tr, err := readTrace(path)
		if err != nil {
			t.Fatal(path, err)
		}
		for _, r := range tr.records {
			events[eventKind(r.event)]++
			switch event := r.event.(type) {
			case control.AttemptResult:
				results[event.Outcome]++
				notes[event.Note]++
			case control.HealthCheckResult:
				healthChecks[event.Outcome]++
			case control.EndpointList:
				lists[fmt.Sprintf("snapshot %t failed %t", event.Snapshot, event.Failed)]++
				for _, m := range event.Endpoints {
					states[m.State]++
				}
			}
			if _, isQuery := r.event.(query); !isQuery {
				total++
			}
			for _, action := range decodeActions(r.at, r.actions) {
				actions[actionKind(action)]++
			}
		}
	}
	if total < minEvents {
		t.Errorf("%d events, fewer than %d", total, minEvents)
	}
	t.Logf("%d events, not counting queries", total)
	for kind, name := range kindNames {
		if events[kind] == 0 {
			t.Errorf("no event of kind %s", name)
		}
		t.Logf("%6d %s", events[kind], name)
	}
	for result := control.OK; result <= control.NotSent; result++ {
		if results[result] == 0 {
			t.Errorf("no attempt ends as %v", result)
		}
		t.Logf("%6d attempts end as %v", results[result], result)
	}
	for note := control.NoNote; note <= control.OriginFailed; note++ {
		if notes[note] == 0 {
			t.Errorf("no attempt result has the note %q", note)
		}
		t.Logf("%6d attempt results with the note %q", notes[note], note)
	}
	for _, result := range []control.Outcome{control.OK, control.ServerError, control.TimedOut, control.ConnectFailed, control.ConnectionLost} {
		if healthChecks[result] == 0 {
			t.Errorf("no health check ends as %v", result)
		}
		t.Logf("%6d health checks end as %v", healthChecks[result], result)
	}
	for _, state := range []control.State{control.Gone, control.Ready, control.Draining} {
		if states[state] == 0 {
			t.Errorf("no endpoint is listed in state %d", state)
		}
	}
	for _, form := range []string{"snapshot true failed false", "snapshot false failed false", "snapshot false failed true"} {
		if lists[form] == 0 {
			t.Errorf("no list is %s", form)
		}
		t.Logf("%6d lists are %s", lists[form], form)
	}
	for _, kind := range []int{kindAttempt, kindReject, kindFail, kindCancel, kindHealthCheck, kindSetTimer, kindRefreshEndpoints, kindAnswer} {
		if actions[kind] == 0 {
			t.Errorf("no action of kind %d", kind)
		}
		t.Logf("%6d actions of kind %d", actions[kind], kind)
	}
}

// A replay finds the event at which decisions begin to differ, and no earlier one.
func TestReplayFindsFirstDifference(t *testing.T) {
	tr, err := readTrace(tracePaths(t)[0])
	if err != nil {
		t.Fatal(err)
	}
	changed := -1
	for i, r := range tr.records[len(tr.records)/2:] {
		if len(r.actions) > 0 {
			changed = len(tr.records)/2 + i
			break
		}
	}
	altered := slices.Clone(tr.records[changed].actions)
	altered[len(altered)-1] ^= 2
	tr.records[changed].actions = altered
	first, actions, err := replay(tr)
	if err != nil {
		t.Fatal(err)
	}
	if first != changed {
		t.Fatalf("the first difference is at event %d, found at %d", changed, first)
	}
	if text := difference(tr, first, actions); !strings.Contains(text, fmt.Sprintf("at event %d of", changed)) ||
		strings.Count(text, "\n> ") != 1 {
		t.Errorf("the message does not show the event:\n%s", text)
	}
}

// Reading a truncated trace returns an error, and a complete one is decoded as it was encoded.
func TestDamagedTraceIsAnError(t *testing.T) {
	tr, err := readTrace(tracePaths(t)[0])
	if err != nil {
		t.Fatal(err)
	}
	tr.records = tr.records[:50]
	text := tr.encode()
	if again, err := decodeTrace(text); err != nil || !bytes.Equal(again.encode(), text) {
		t.Fatalf("a decoded trace differs from the encoded one: %v", err)
	}
	for _, cut := range []int{0, 3, len(traceHeader) + 1, len(text) - 1} {
		if _, err := decodeTrace(text[:cut]); err == nil {
			t.Errorf("%d of %d bytes are read without an error", cut, len(text))
		}
	}
}
