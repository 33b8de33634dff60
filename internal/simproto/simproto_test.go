package simproto

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func noLoadFields(uint32) LoadFields { return nil }

// frame builds the content of a frame from a record count, a clock of 8.5 s and records, all hexadecimal.
func frame(t testing.TB, count string, records ...string) []byte {
	return unhex(t, count+"4021000000000000"+strings.Join(records, ""))
}

const (
	requestRecord       = "010a00000003000f84b95d3a91c400000091f03b7c55d20a643fceb851eb851eb84420000041300000404000000005"
	attemptResultRecord = "010600000003000f84b95d3a91c43f92f1a9fbe76c8b000203124a073f83404ea4a8c155000104" +
		"40e000003f1eb8523ecccccd3fa00000"
	endpointListRecord = "0100000000030200000000000000290000000100004018666666666666" + "2c9011f200013fc0000001"
)

func TestDecodeRecords(t *testing.T) {
	fieldOrder := func(uint32) LoadFields { return LoadFields{"inflight", "util", "new-value", "x1"} }
	var got []control.Event
	err := Decode(frame(t, "00000003", requestRecord, attemptResultRecord, endpointListRecord), fieldOrder,
		func(now time.Duration, r Record) error {
			if now != 8500*time.Millisecond || r.Instance != 3 {
				t.Errorf("clock %v, instance %d", now, r.Instance)
			}
			got = append(got, r.Event)
			return nil
		})
	if err != nil {
		t.Fatal(err)
	}
	q := got[0].(control.Request)
	if q.SizeKB != 640 || q.ObjectGroup != 11 || q.Part != 3 || q.Remaining != 240*time.Millisecond || !q.Write || q.Retry {
		t.Errorf("request %+v", q)
	}
	o := got[1].(control.AttemptResult)
	if o.Outcome != control.OK || o.Note != control.Filled || !o.RequestClosed || o.Attempt != 0 || o.Load == nil {
		t.Fatalf("attempt result %+v", o)
	}
	if o.Load.InFlight != 7 || math.Abs(o.Load.LinkUtilization-1.25) > 1e-6 || o.Load.HitRate != -1 {
		t.Errorf("load %+v: want values in the order of the settings, without unknown ones", *o.Load)
	}
	m := got[2].(control.EndpointList)
	if !m.Snapshot || len(m.Endpoints) != 1 || m.Endpoints[0].Weight != 1.5 || m.Endpoints[0].State != control.Ready {
		t.Errorf("endpoint list %+v", m)
	}
}

func TestDecodeMalformed(t *testing.T) {
	for name, b := range map[string][]byte{
		"too many records": frame(t, "00ffffff", requestRecord),
		"unknown code":     frame(t, "00000001", "0999000000030000"),
		"truncated record": frame(t, "00000001", requestRecord[:40]),
		"trailing bytes":   frame(t, "00000001", requestRecord, "00"),
		"too many entries": frame(t, "00000001", "0100000000030200000000000000297fffffff"),
		"unknown outcome":  frame(t, "00000001", strings.Replace(attemptResultRecord, "6c8b00", "6c8b77", 1)),
		"clock is NaN":     unhex(t, "000000007ff8000000000001"),
		"huge settings":    frame(t, "00000001", "01010000000300000000000000 01ffffffff"),
	} {
		err := Decode(b, noLoadFields, func(time.Duration, Record) error { return nil })
		var e *Error
		if !errors.As(err, &e) {
			t.Errorf("%s: error %v, want one with record and byte", name, err)
		}
	}
}

func TestReadFrame(t *testing.T) {
	if _, err := ReadFrame(bytes.NewReader(nil), nil); err != io.EOF {
		t.Errorf("end of input between frames: %v", err)
	}
	for _, s := range []string{"0000", "00000003", "ffffffff", "0000000c00", "0fffffff00000000"} {
		if _, err := ReadFrame(bytes.NewReader(unhex(t, s)), nil); err == nil || err == io.EOF {
			t.Errorf("frame %s: error %v", s, err)
		}
	}
	b, err := ReadFrame(bytes.NewReader(unhex(t, "0000000c000000004020d3126e978d50")), nil)
	if err != nil || len(b) != 12 {
		t.Errorf("empty batch: %d bytes, %v", len(b), err)
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.Reset()
	if want := unhex(t, "0000000400000000"); !bytes.Equal(r.Bytes(), want) {
		t.Errorf("empty reply %x", r.Bytes())
	}
	r.Add(3, control.Attempt{ID: 0x000f84b95d3a91c4, To: 0x03124a07, Source: 0x2c9011f2, CacheRank: 2, JoinFill: true,
		Timeout: 900 * time.Millisecond, MaxAge: 1500 * time.Millisecond})
	want := unhex(t, "010c 00000003 000f84b95d3a91c4 02 01 03124a07 2c9011f2 3feccccccccccccd 3ff8000000000000")
	if got := r.Bytes(); !bytes.Equal(got[8:], want) || binary.BigEndian.Uint32(got[4:]) != 1 {
		t.Errorf("attempt %x, want %x", got[8:], want)
	}
	r.Reset()
	r.Add(3, control.Attempt{ID: 1, To: 2, Source: 3, CachedOnly: true})
	if got := r.Bytes()[8+15]; got != 2 {
		t.Errorf("flags %d of a cached-only attempt, want 2", got)
	}
	r.Reset()
	for _, a := range []control.Action{control.Reject{ID: 1}, control.Fail{ID: 1}, control.Cancel{ID: 1, Attempt: 2},
		control.HealthCheck{To: 1}, control.SetTimer{At: 1, Token: 2}, control.RefreshEndpoints{}} {
		r.Add(1, a)
	}
	if n := binary.BigEndian.Uint32(r.Bytes()[4:]); n != 6 {
		t.Errorf("%d records, want 6", n)
	}
}

func TestSettings(t *testing.T) {
	s, fields, err := Settings([]byte(`{"az":3,"balancers":2,"not-known":[1],"quantum":0.002,"weights":"silent",
		"classes":[{"aim":0.4,"deadline":6,"repeat":"free","worth":2},{"deadline":1,"repeat":"guarded","group":"cell","key-ttl":2},
		{"deadline":1,"repeat":"something new"}],"allowed":{"max-attempts":6,"parallel-tries":true},
		"clients":{"marks-retry":true},"family-info":{"link-in-kb-per-s":[0,17871],"class-fresh":[0,5],"sideways":"any","says":"all","shield-kind":2},
		"report":{"fields":["x1"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Zone != 3 || s.Gateways != 2 || s.WeightsKnown || !s.CanHedge || s.ParentKind != 2 || s.OriginKind != -1 {
		t.Errorf("settings %+v", s)
	}
	if s.Classes[1].FreshFor != 5*time.Second || s.Classes[1].Idempotency != control.IdempotentByKey || s.Classes[1].DedupScope != control.DedupScopeCell ||
		s.Classes[1].DedupWindow != 2*time.Second || !s.ClientsMarkRetries || len(s.LinkKBps) != 2 || s.LinkKBps[1] != 17871 {
		t.Errorf("class 1 %+v", s.Classes[1])
	}
	if s.Classes[2].Idempotency != control.NonIdempotent {
		t.Error("an unknown value of repeat must mean non-idempotent")
	}
	if s.PeerFillScope != control.PeerScopeAny || len(fields) != 1 {
		t.Errorf("peer fill scope %v, load report fields %v", s.PeerFillScope, fields)
	}
	if _, _, err := Settings([]byte(`{"az":`)); err == nil {
		t.Error("malformed settings were accepted")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, "00000003", requestRecord, attemptResultRecord, endpointListRecord))
	f.Add(frame(f, "00000001", "0105000000030000000000000001"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n := 0
		err := Decode(b, noLoadFields, func(_ time.Duration, r Record) error {
			n++
			if r.Start != nil {
				Settings(r.Start.Settings)
			}
			return nil
		})
		if err == nil && len(b) >= headerBytes && n != int(binary.BigEndian.Uint32(b)) {
			t.Errorf("decoded %d records of %d", n, binary.BigEndian.Uint32(b))
		}
	})
}
