package core

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/control"
)

// At the level Debug each request leaves its taking in, every attempt with its end, and its answer, under its Txn and
// in that order; at Info none of it.
func TestTraceFollowsARequest(t *testing.T) {
	for _, level := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel} {
		c, w, clk := newCore(t)
		var out bytes.Buffer
		c.opt.Log = zerolog.New(&out).Level(level)
		c.Handle(ask(w, 1, "tile", clk.Now()))
		if len(w.sends) != 1 {
			t.Fatalf("%d attempts", len(w.sends))
		}
		c.Handle(Ended{Key: w.sends[0].Key, Result: control.OK, Note: control.Hit, Body: []byte("x")})
		var got []string
		for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
			var e struct{ Txn, Message, Result, Note, Verdict string }
			if len(line) == 0 {
				continue
			}
			if err := json.Unmarshal(line, &e); err != nil || e.Txn != "1" {
				t.Errorf("%v: %s", err, line)
			}
			got = append(got, e.Message+" "+e.Result+e.Note+e.Verdict)
		}
		want := []string{"take ", "attempt ", "end okhit", "answer served"}
		if level == zerolog.InfoLevel {
			want = nil
		}
		if len(got) != len(want) {
			t.Fatalf("%v: %q", level, got)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%v: line %d is %q, not %q", level, i, got[i], want[i])
			}
		}
	}
}
