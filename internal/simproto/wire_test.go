package simproto

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
)

// encode concatenates numbers, big-endian, and bytes.
func encode(t testing.TB, fields ...any) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, f := range fields {
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

// batch builds a frame's content: the number of records, the clock in seconds, the records.
func batch(t testing.TB, clock float64, records ...[]byte) []byte {
	return append(encode(t, uint32(len(records)), clock), bytes.Join(records, nil)...)
}

// decodeAll returns all records of a frame; order names the load report values.
func decodeAll(frame []byte, order LoadFields) (records []Record, err error) {
	err = Decode(frame, func(uint32) LoadFields { return order }, func(_ time.Duration, r Record) error {
		records = append(records, r)
		return nil
	})
	return records, err
}

// The load report used in all records that have one, and its encoded fields: one more than the settings name.
var (
	wantLoad   = &control.LoadReport{InFlight: 7, Utilization: 0.5, HitRate: 0.25, LinkUtilization: 1.5}
	loadFields = []any{uint8(5), float32(7), float32(0.5), float32(0.25), float32(1.5), float32(9)}
)

// endpointListFields are the encoded fields of a list of two endpoints.
var endpointListFields = []any{
	uint8(3), uint64(41), uint32(2),
	uint16(1), 1.5, uint32(11), uint8(0), uint8(2), float32(12), uint8(1),
	uint16(2), 0.0, uint32(12), uint8(1), uint8(0), float32(20), uint8(2),
}

// recordCase is an encoded record and the expected result of decoding it.
type recordCase struct {
	name   string
	code   uint16
	fields []any
	want   Record
}

// recordCases cover all kinds of records.
var recordCases = []recordCase{
	{"start", 257, []any{uint64(5), uint32(2), []byte("{}")}, Record{Start: &Start{Seed: 5, Settings: []byte("{}")}}},
	{"stop", 265, nil, Record{Stop: true}},
	{"timer", 261, []any{uint64(9)}, Record{Event: control.TimerFired{Token: 9}}},
	{"client gone", 259, []any{uint64(9)}, Record{Event: control.ClientGone{ID: 9}}},
	{"response started", 258, []any{uint64(9), float64(0.5), uint8(2), uint32(1)}, Record{Event: control.ResponseStarted{ID: 9, Attempt: 2}}},
	{"purged object", 263, []any{uint64(9), uint16(3), float64(0.25)}, Record{Event: control.Purged{Object: 9, Group: 3, Ago: 250 * time.Millisecond}}},
	{"peer message", 264, []any{uint16(1), uint16(3), []byte("abc")}, Record{}},
	{"health check", 260, append([]any{uint32(7), float64(0.5), uint8(255)}, loadFields...), Record{Event: control.HealthCheckResult{
		Endpoint: 7, Latency: 500 * time.Millisecond, Outcome: control.ServerError, Load: wantLoad,
	}}},
	{"health check without a report", 260, []any{uint32(7), float64(0.5), uint8(1), uint8(0)}, Record{Event: control.HealthCheckResult{
		Endpoint: 7, Latency: 500 * time.Millisecond, Outcome: control.Miss,
	}}},
	{"attempt result", 262, append([]any{uint64(9), float64(0.5), uint8(254), uint8(3), uint32(7), float64(0.25), uint8(2), uint8(1)}, loadFields...),
		Record{Event: control.AttemptResult{
			ID: 9, Latency: 500 * time.Millisecond, Outcome: control.Overloaded, Note: control.FilledByOrigin, Endpoint: 7,
			FirstByte: 250 * time.Millisecond, Attempt: 2, RequestClosed: true, Load: wantLoad,
		}}},
	{"request", 266, []any{uint64(9), uint8(1), uint16(77), uint64(8), float64(0.5), float32(640), float32(11), float32(3), uint16(2)}, Record{Event: control.Request{
		ID: 9, Class: 1, Object: 8, Remaining: 500 * time.Millisecond, SizeKB: 640, ObjectGroup: 11, Part: 3, Retry: true,
	}}},
	{"write", 266, []any{uint64(9), uint8(1), uint16(77), uint64(8), float64(0.5), float32(640), float32(-1), float32(1e12), uint16(4)}, Record{Event: control.Request{
		ID: 9, Class: 1, Object: 8, Remaining: 500 * time.Millisecond, SizeKB: 640, Part: 1<<32 - 1, Write: true,
	}}},
	{"endpoint change", 256, endpointListFields, Record{Event: control.EndpointList{Endpoints: []control.Endpoint{
		{Cell: 1, StartedAt: 1500 * time.Millisecond, ID: 11, Kind: 0, Zone: 2, Weight: 12, State: control.Ready},
		{Cell: 2, ID: 12, Kind: 1, Weight: 20, State: control.Draining},
	}}}},
	{"endpoint snapshot", 256, []any{uint8(0), uint64(41), uint32(0)}, Record{Event: control.EndpointList{Snapshot: true, Endpoints: []control.Endpoint{}}}},
	{"endpoint list failed", 256, []any{uint8(1), uint64(41), uint32(0)}, Record{Event: control.EndpointList{Failed: true, Endpoints: []control.Endpoint{}}}},
	{"endpoint list cached", 256, []any{uint8(2), uint64(41), uint32(0)}, Record{Event: control.EndpointList{Snapshot: true, Endpoints: []control.Endpoint{}}}},
}

// Every kind of record is decoded, and a record truncated at any byte is rejected.
func TestEveryRecordCode(t *testing.T) {
	for _, c := range recordCases {
		t.Run(c.name, func(t *testing.T) {
			record := encode(t, append([]any{c.code, uint32(3)}, c.fields...)...)
			got, err := decodeAll(batch(t, 8.5, record), LoadFields{"inflight", "util", "x0", "x1", "unknown"})
			if err != nil {
				t.Fatal(err)
			}
			c.want.Instance = 3
			if want := []Record{c.want}; !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
			for size := range record { // the error has the number of the truncated record
				_, err := decodeAll(batch(t, 8.5, record[:size]), nil)
				if err == nil || !strings.HasPrefix(err.Error(), "wire: record 0, byte ") {
					t.Errorf("%d of %d bytes: %v", size, len(record), err)
				}
			}
		})
	}
}

// Every defined outcome code is accepted, and every other one is rejected.
func TestEveryOutcome(t *testing.T) {
	known := map[uint8]control.Outcome{
		0: control.OK, 1: control.Miss, 255: control.ServerError, 254: control.Overloaded, 253: control.TimedOut, 252: control.ConnectFailed,
		251: control.ConnectionLost, 250: control.Canceled, 249: control.NotSent,
	}
	for code := range 256 {
		record := encode(t, uint16(260), uint32(3), uint32(7), 0.5, uint8(code), uint8(0))
		got, err := decodeAll(batch(t, 8.5, record), nil)
		outcome, ok := known[uint8(code)]
		if !ok {
			if want := fmt.Sprintf("wire: record 0, byte 35 of the frame: unknown outcome %d", code); err == nil || err.Error() != want {
				t.Errorf("%d: %v, want %s", code, err, want)
			}
			continue
		}
		if err != nil || got[0].Event.(control.HealthCheckResult).Outcome != outcome {
			t.Errorf("%d: %+v, %v", code, got, err)
		}
	}
}

// Malformed frames are rejected with an error that has the position and the problem.
func TestMalformedFrameErrors(t *testing.T) {
	timer := encode(t, uint16(261), uint32(3), uint64(9))
	for _, c := range []struct {
		name  string
		frame []byte
		want  string
	}{
		{"no clock", encode(t, uint32(0)), "wire: record 0, byte 8 of the frame: truncated"},
		{"clock is NaN", unhex(t, "000000007ff8000000000001"), "wire: record 0, byte 16 of the frame: invalid time"},
		{"clock too large", batch(t, 1e10), "wire: record 0, byte 16 of the frame: invalid time"},
		{"too many records", encode(t, uint32(100), 8.5, timer), "wire: record 0, byte 16 of the frame: invalid number of records 100"},
		{"second record truncated", append(encode(t, uint32(2), 8.5, timer), timer[:10]...), "wire: record 1, byte 36 of the frame: truncated"},
		{"trailing bytes", append(batch(t, 8.5, timer), 0, 0), "wire: record 0, byte 30 of the frame: 2 bytes after the last record"},
		{"event code", batch(t, 8.5, encode(t, uint16(2457), uint32(3))), "wire: record 0, byte 22 of the frame: unknown event code 2457"},
		{"list mode", batch(t, 8.5, encode(t, uint16(256), uint32(3), uint8(4), uint64(1), uint32(0))),
			"wire: record 0, byte 35 of the frame: unknown list mode 4"},
		{"number of entries", batch(t, 8.5, encode(t, uint16(256), uint32(3), uint8(0), uint64(1), uint32(1))),
			"wire: record 0, byte 35 of the frame: invalid number of entries 1"},
		{"state", batch(t, 8.5, encode(t, uint16(256), uint32(3), uint8(0), uint64(1), uint32(1), make([]byte, 20), uint8(3))),
			"wire: record 0, byte 56 of the frame: unknown state 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := decodeAll(c.frame, nil); err == nil || err.Error() != c.want {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
	for _, c := range []struct{ name, hex, want string }{
		{"length truncated", "0000", "wire: record 0, byte 0 of the frame: input truncated inside a frame's length"},
		{"length too short", "0000000b", "wire: record 0, byte 0 of the frame: invalid frame length 11"},
		{"length too long", "10000001", "wire: record 0, byte 0 of the frame: invalid frame length 268435457"},
		{"content truncated", "0000000c00", "wire: record 0, byte 4 of the frame: input truncated inside a frame of 12 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadFrame(bytes.NewReader(unhex(t, c.hex)), nil); err == nil || err.Error() != c.want {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}

// A frame longer than readStepBytes is read completely, first into a new buffer and then into the same one again.
func TestLongFrame(t *testing.T) {
	content := make([]byte, 3<<20+5)
	for i := range content {
		content[i] = byte(i)
	}
	buf := make([]byte, 7)
	for range 2 {
		var err error
		buf, err = ReadFrame(bytes.NewReader(append(encode(t, uint32(len(content))), content...)), buf)
		if err != nil || !bytes.Equal(buf, content) {
			t.Fatalf("%d bytes, %v", len(buf), err)
		}
	}
}

// Every action is encoded with the expected code and fields.
func TestEveryAction(t *testing.T) {
	for _, c := range []struct {
		name   string
		action control.Action
		code   uint16
		fields []any
	}{
		{"attempt", control.Attempt{ID: 9, To: 7, Source: 8, CacheRank: 2, JoinFill: true, CachedOnly: true, Timeout: time.Second / 2, MaxAge: time.Second},
			268, []any{uint64(9), uint8(2), uint8(3), uint32(7), uint32(8), 0.5, 1.0}},
		{"reject", control.Reject{ID: 9, RetryAfter: time.Second / 2}, 257, []any{uint64(9), 0.5}},
		{"fail", control.Fail{ID: 9}, 258, []any{uint64(9)}},
		{"cancel", control.Cancel{ID: 9, Attempt: 2}, 259, []any{uint64(9), uint8(2)}},
		{"health check", control.HealthCheck{To: 7}, 261, []any{uint32(7)}},
		{"timer", control.SetTimer{At: time.Second / 2, Token: 9}, 260, []any{0.5, uint64(9)}},
		{"refresh", control.RefreshEndpoints{}, 266, []any{uint8(1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Reply
			r.Reset()
			r.Add(3, c.action)
			body := encode(t, append([]any{uint32(1), c.code, uint32(3)}, c.fields...)...)
			if want := encode(t, uint32(len(body)), body); !bytes.Equal(r.Bytes(), want) {
				t.Errorf("%x, want %x", r.Bytes(), want)
			}
		})
	}
}

// everySetting sets each known key to a different value.
const everySetting = `{"me":1,"balancers":3,"az":2,"quantum":0.001,"discovery":"ask","weights":"nominal","kinds":["box","parent","origin"],
"classes":[{"aim":0.6,"aim-stretch":2,"deadline":5,"group":"zone","key-ttl":9,"late-worth":0.15,"repeat":"guarded","worth":3},
{"deadline":2,"group":"cell","repeat":"free"},{"deadline":1,"group":"all","repeat":"single_shot"}],
"allowed":{"cancel":true,"max-attempts":6,"max-retry-after":0.5,"parallel-tries":true,"probes":true,"retry-after":true},
"clients":{"marks-retry":true},
"family-info":{"aged-worth":[0.1,0.2],"class-fresh":[12,13],"client-kb-per-s":3400,"goes-through":[false,false,true],"joins":true,
"link-in-kb-per-s":[0,17871],"notice-time":1.25,"origin-kind":2,"parent-starts-at":0.07,"parent-warms-in":18,"purge-done":6,"says":"all",
"seats-by-zone":[0,2,1],"shield-kind":1,"sideways":"location","stale-for":[4,5],"straight":true,"upper-fall-multiple":2.5,"zone-hub":[0,0,1]},
"guarantees":{"cold":17,"cold-share":0.15,"drain-grace":0.25,"fall":1.5,"fall-multiple":4},
"report":{"fields":["inflight","x0"]}}`

// Every key of the settings is read into its field, in lower and in upper case.
func TestEverySetting(t *testing.T) {
	want := control.Settings{
		Gateway: 1, Gateways: 3, Zone: 2, GatewaysByZone: []int{0, 2, 1}, HubOfZone: []int{0, 0, 1}, Kinds: 3, ParentKind: 1, OriginKind: 2,
		BatchInterval: time.Millisecond, LinkKBps: []float64{0, 17871}, ClientKBps: 3400, WeightsKnown: true, PollEndpoints: true,
		MaxAttempts: 6, CanCancel: true, CanCheckHealth: true, CanHedge: true, CanRetryAfter: true, ClientsMarkRetries: true,
		MaxRetryAfter: 500 * time.Millisecond, CanBypassCaches: true, CanJoinFills: true, PeerFillScope: control.PeerScopeZone,
		ResultsDetailed: true, DrainGrace: 250 * time.Millisecond, SlowStartShare: 0.15, SlowStartDuration: 17 * time.Second,
		CollapseMultiple: 4, CollapseWindow: 1500 * time.Millisecond, ParentSlowStartShare: 0.07, ParentSlowStartDuration: 18 * time.Second,
		ParentCollapseMultiple: 2.5, PurgeGrace: 1250 * time.Millisecond, PurgeCompletion: 6 * time.Second,
		Classes: []control.Class{
			{
				LatencyObjective: 600 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second, PriorityWeight: 3, LateValue: 0.15,
				Idempotency: control.IdempotentByKey, DedupScope: control.DedupScopeZone, DedupWindow: 9 * time.Second,
				FreshFor: 12 * time.Second, MaxStaleness: 4 * time.Second, StaleValue: 0.1,
			},
			{Deadline: 2 * time.Second, DedupScope: control.DedupScopeCell, FreshFor: 13 * time.Second, MaxStaleness: 5 * time.Second, StaleValue: 0.2},
			{Deadline: time.Second, Idempotency: control.NonIdempotent, Write: true},
		},
	}
	check := func(t *testing.T, text string) {
		t.Helper()
		got, order, err := Settings([]byte(text))
		if err != nil || !reflect.DeepEqual(got, want) || !reflect.DeepEqual(order, LoadFields{"inflight", "x0"}) {
			t.Errorf("%v, order %v\ngot  %+v\nwant %+v", err, order, got, want)
		}
	}
	check(t, everySetting)
	for _, part := range strings.Split(everySetting, `"`) {
		quoted := `"` + part + `":`
		if !strings.Contains(everySetting, quoted) {
			continue
		}
		t.Run(part, func(t *testing.T) { check(t, strings.ReplaceAll(everySetting, quoted, strings.ToUpper(quoted))) })
	}
}

// A setting of a wrong type is rejected with an error that contains the path of its key.
func TestSettingOfWrongType(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"me":1`, `"me":"1"`, "me"},
		{`"az":2`, `"az":"2"`, "az"},
		{`"aim":0.6`, `"aim":"0.6"`, "classes.aim"},
		{`"worth":3`, `"worth":"3"`, "classes.worth"},
		{`"max-attempts":6`, `"max-attempts":1.5`, "allowed.max-attempts"},
		{`"marks-retry":true`, `"marks-retry":1`, "clients.marks-retry"},
		{`"parent-warms-in":18`, `"parent-warms-in":"18"`, "family-info.parent-warms-in"},
		{`"fall-multiple":4`, `"fall-multiple":"4"`, "guarantees.fall-multiple"},
		{`["inflight","x0"]`, `"x0"`, "report.fields"},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, _, err := Settings([]byte(strings.Replace(everySetting, c.old, c.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), "wire: settings: json: ") || !strings.Contains(strings.ToLower(err.Error()), "."+c.want+" of type ") {
				t.Errorf("%v, want an error that names %s", err, c.want)
			}
		})
	}
}
