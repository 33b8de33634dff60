package core

import (
	"bytes"
	"encoding/json"
	"maps"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// At level debug the log has a line for the receipt of each request, the start and end of every attempt, and the response, with
// the request ID and in that order; at level info it has none of them.
func TestTraceOfRequest(t *testing.T) {
	for _, level := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel} {
		c, h, clk := newCore(t)
		var out bytes.Buffer
		c.opt.Log = zerolog.New(&out).Level(level)
		c.Handle(newRequest(h, 1, "tile", clk.Now()))
		if len(h.sent) != 1 {
			t.Fatalf("%d attempts", len(h.sent))
		}
		c.Handle(AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: control.OK, Note: control.Hit, Body: []byte("x")})
		var got []string
		for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
			var e struct {
				RequestID                       string `json:"request_id"`
				Message, Outcome, Note, Verdict string
			}
			if len(line) == 0 {
				continue
			}
			if err := json.Unmarshal(line, &e); err != nil || e.RequestID != "1" {
				t.Errorf("%v: %s", err, line)
			}
			got = append(got, e.Message+" "+e.Outcome+e.Note+e.Verdict)
		}
		want := []string{"request received ", "attempt started ", "attempt ended okhit", "response sent served"}
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

// The log has the time for which an attempt's end was unconfirmed, and whether that ended with the endpoint's acknowledgement or
// with the grace period.
func TestTraceOfCancellation(t *testing.T) {
	for _, graceExpires := range []bool{false, true} {
		c, h, clk := newCore(t)
		var out bytes.Buffer
		c.opt.Log = zerolog.New(&out)
		c.Handle(newRequest(h, 1, "tile", clk.Now()))
		if len(h.sent) != 1 {
			t.Fatalf("%d attempts", len(h.sent))
		}
		h.endAttempt(c, AttemptResult{AttemptKey: h.sent[0].AttemptKey, Outcome: control.ConnectionLost, Unconfirmed: true})
		wait := 5.0
		if graceExpires {
			wait = c.opt.CancelGrace
		}
		clk.Advance(wait)
		if graceExpires {
			c.Tick()
		} else {
			h.confirm(c, CancelConfirmed{AttemptKey: h.sent[0].AttemptKey})
		}
		var e struct {
			Message      string
			DurationMs   float64 `json:"duration_ms"`
			GraceExpired bool    `json:"grace_expired"`
		}
		for _, line := range bytes.Split(out.Bytes(), []byte("\n")) {
			if bytes.Contains(line, []byte("cancellation resolved")) {
				if err := json.Unmarshal(line, &e); err != nil {
					t.Fatal(err)
				}
			}
		}
		if e.Message != "cancellation resolved" || e.GraceExpired != graceExpires || e.DurationMs < wait-1 || e.DurationMs > wait+1 {
			t.Errorf("grace period expired %v after %v ms: %+v", graceExpires, wait, e)
		}
	}
}

// The log has the start time of an endpoint, from which its slow-start limit can be computed.
func TestTraceOfEndpointStarts(t *testing.T) {
	c, _, clk := newCore(t)
	var out bytes.Buffer
	c.opt.Log = zerolog.New(&out)
	c.Handle(EndpointList{Endpoints: []Endpoint{
		{Addr: "a", Info: control.Endpoint{ID: 7, Weight: 12, State: control.Ready, StartedAt: clock.Duration(clk.Now() - 1500)}},
		{Addr: "b", Info: control.Endpoint{ID: 8, Weight: 12, State: control.Ready}}, // no start time
	}})
	var line struct {
		Endpoint     uint32  `json:"endpoint"`
		Weight       float64 `json:"weight"`
		StartedAgoMs float64 `json:"started_ago_ms"`
		Message      string  `json:"message"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil { // fails also if there is more than one line
		t.Fatalf("%v: %s", err, out.Bytes())
	}
	if line.Endpoint != 7 || line.Weight != 12 || line.StartedAgoMs < 1499 || line.StartedAgoMs > 1501 || line.Message != "endpoint started" {
		t.Errorf("%+v", line)
	}
}

// At level info, requests of the sampled share are traced completely and others not at all; two gateways with the same share
// trace the same requests.
func TestTraceOfSampledShare(t *testing.T) {
	const requests, share = 400, 0.25
	traced := func() map[string]int {
		c, h, clk := newCore(t)
		var out bytes.Buffer
		c.opt.Log = zerolog.New(&out).Level(zerolog.InfoLevel)
		c.sampler = newSampler(share)
		for i := range requests {
			c.Handle(newRequest(h, uint64(i+1), "tile", clk.Now()))
			if sent := h.sent[len(h.sent)-1]; sent.AttemptKey.Number == 0 {
				c.Handle(AttemptResult{AttemptKey: sent.AttemptKey, Outcome: control.OK, Note: control.Hit, Body: []byte("x")})
			}
			clk.Advance(100) // 10 requests/s, of which the sampled share is below maxSampledPerSecond
			c.Tick()
		}
		lines := map[string]int{}
		for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
			var e struct {
				RequestID string `json:"request_id"`
			}
			if err := json.Unmarshal(line, &e); err != nil || e.RequestID == "" {
				t.Fatalf("%v: %s", err, line)
			}
			lines[e.RequestID]++
		}
		return lines
	}
	one, other := traced(), traced()
	if !maps.Equal(one, other) {
		t.Error("two gateways trace different requests")
	}
	if n := len(one); n < requests*share/2 || n > requests*share*2 {
		t.Errorf("%d of %d requests are traced", n, requests)
	}
	for requestID, lines := range one {
		if lines != 4 { // received, an attempt's start and end, the response
			t.Errorf("%s has %d lines", requestID, lines)
		}
	}
}
