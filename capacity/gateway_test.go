package capacity_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/capacity"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// Settings and traffic of the measured gateway.
const (
	cacheKind, parentKind, originKind = 0, 1, 2

	endpointsPerParent = 10 // one endpoint of each ten is a parent
	endpointWeight     = 1200
	clientKBps         = 3400
	partKB             = 776
	purgeCompletion    = 7 * time.Second
	slowStartDuration  = 10 * time.Second
	startTimeMs        = 1e12
)

// endpointCounts are lengths of the list of endpoints: the current one, two in between, and the planned one.
var endpointCounts = []int{35, 100, 300, capacity.Planned.Endpoints}

// ports replaces the frontend and the endpoints. It records the attempts sent; the benchmarks deliver their results.
type ports struct {
	sent   []core.AttemptRequest
	probes int
}

func (p *ports) Answer(uint64, core.Answer)                 {}
func (p *ports) Send(s core.AttemptRequest)                 { p.sent = append(p.sent, s) }
func (p *ports) Cancel(core.AttemptKey, control.Outcome)    {}
func (p *ports) CancelUnsent(core.AttemptKey)               {}
func (p *ports) LimitCopyAge(core.AttemptKey, float64)      {}
func (p *ports) ConfirmCancel(core.AttemptKey, uint32) bool { return false }
func (p *ports) CheckHealth(uint32)                         { p.probes++ }
func (p *ports) UpdateEndpoints(core.EndpointList)          {}
func (p *ports) Exclude(member uint32, excluded bool)       {}

// settings returns the settings of a gateway in zone 0, given the number of gateways in its zone and in all zones that share
// the endpoints.
func settings(zoneGateways, gateways int) control.Settings {
	byZone, hubs := make([]int, capacity.Planned.Zones), make([]int, capacity.Planned.Zones)
	for i := range byZone {
		byZone[i] = zoneGateways
	}
	return control.Settings{
		Gateways: gateways, GatewaysByZone: byZone, HubOfZone: hubs, Kinds: 3, ParentKind: parentKind, OriginKind: originKind,
		BatchInterval: 2 * time.Millisecond, ClientKBps: clientKBps, WeightsKnown: true, MaxAttempts: 8, CanCancel: true, CanCheckHealth: true,
		CanRetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, CanBypassCaches: true, ResultsDetailed: true, PurgeCompletion: purgeCompletion,
		SlowStartShare: 0.25, SlowStartDuration: slowStartDuration, CollapseMultiple: 2, CollapseWindow: time.Second,
		ParentSlowStartShare: 0.25, ParentSlowStartDuration: slowStartDuration, ParentCollapseMultiple: 2,
		Classes: []control.Class{{LatencyObjective: 600 * time.Millisecond, Deadline: 5 * time.Second, PriorityWeight: 1}},
	}
}

// endpointList returns endpoints spread over the planned zones, with one origin.
func endpointList(endpoints int) (list []core.Endpoint) {
	for i := range endpoints {
		m := control.Endpoint{ID: control.EndpointID(i + 1), Zone: i % capacity.Planned.Zones, Weight: endpointWeight, State: control.Ready}
		switch {
		case i == 0:
			m.Kind = originKind
		case i%endpointsPerParent == 1:
			m.Kind = parentKind
		}
		list = append(list, core.Endpoint{Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i), Info: m})
	}
	return list
}

// gateway is a core with its decision module and a manual clock.
type gateway struct {
	core   *core.Core
	ports  *ports
	clock  *clock.Clock
	lastID uint64
}

func newGateway(tb testing.TB, s control.Settings, log zerolog.Logger) *gateway {
	tb.Helper()
	g := &gateway{ports: &ports{}, clock: clock.Manual(startTimeMs)}
	var err error
	g.core, err = core.New(core.Options{Settings: s, Classes: []string{"part"}, Seed: 1, Clock: g.clock, Log: log}, g.ports)
	if err != nil {
		tb.Fatal(err)
	}
	return g
}

// serve processes one request from its arrival to its response, ms after the previous one.
func (g *gateway) serve(object uint64, ms float64) (attempts int) {
	g.clock.Advance(ms)
	g.core.Tick()
	g.lastID++
	g.ports.sent = g.ports.sent[:0]
	g.core.Handle(core.Request{
		Frontend: g.ports, RequestTag: g.lastID, Txn: fmt.Sprintf("%016x", g.lastID), Class: "part", Object: object, ObjectName: "7f3a9c21e0b4d655",
		SizeKB: partKB, ReceivedAt: g.clock.Now(), Remaining: 5000,
	})
	for _, s := range g.ports.sent {
		g.core.Handle(core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.OK, Note: control.Hit})
	}
	return len(g.ports.sent)
}

// requestGap returns the mean time between the requests of a gateway at the planned peak, in ms.
func requestGap() float64 {
	return 1000 / capacity.Planned.MeanLoad(capacity.Planned.Gateways).RequestsPerSecond
}

// BenchmarkRequest measures the decisions on one request, without sockets, by the length of the list of endpoints. Objects are
// drawn from more than a gateway keeps state for.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("stores=%d", endpoints), func(b *testing.B) {
			g := newGateway(b, settings(121, 3400), zerolog.Nop())
			g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: endpointList(endpoints)})
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				sent += g.serve(1+random.Uint64N(1<<20), requestGap())
			}
			b.ReportMetric(float64(sent)/float64(b.N), "attempts/op")
		})
	}
}

// BenchmarkStoreList measures applying a complete list of endpoints, and a change of one entry.
func BenchmarkStoreList(b *testing.B) {
	for _, endpoints := range endpointCounts {
		for _, whole := range []bool{true, false} {
			b.Run(fmt.Sprintf("stores=%d/whole=%v", endpoints, whole), func(b *testing.B) {
				g := newGateway(b, settings(121, 3400), zerolog.Nop())
				list := endpointList(endpoints)
				g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: list})
				changed := list
				if !whole {
					changed = list[endpoints/2 : endpoints/2+1]
				}
				for b.Loop() {
					g.core.Handle(core.EndpointList{Snapshot: whole, Endpoints: changed})
				}
			})
		}
	}
}

// BenchmarkStoreMemory measures the memory of one entry of the list in the core and its decision module.
func BenchmarkStoreMemory(b *testing.B) {
	const copies = 20 // of the gateway, so that the memory of the list exceeds the noise
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("stores=%d", endpoints), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				var gateways []*gateway
				for range copies {
					gateways = append(gateways, newGateway(b, settings(121, 3400), zerolog.Nop()))
				}
				before := memoryInUse()
				for _, g := range gateways {
					g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: endpointList(endpoints)})
				}
				bytes = memoryInUse() - before
				runtime.KeepAlive(gateways)
			}
			reportWithoutTime(b, float64(bytes)/copies/float64(endpoints), "B/store")
		})
	}
}

// BenchmarkPurge measures one purge, at the planned rate, so that the module drops purges as they expire.
func BenchmarkPurge(b *testing.B) {
	for _, group := range []bool{false, true} {
		b.Run(fmt.Sprintf("group=%v", group), func(b *testing.B) {
			g := newGateway(b, settings(121, 3400), zerolog.Nop())
			g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: endpointList(capacity.Planned.Endpoints)})
			object := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				g.clock.Advance(1000 / capacity.Planned.PurgesPerSecond)
				g.core.Tick()
				p := core.Purge{At: g.clock.Unix()}
				if object++; group {
					p.Group = uint16(object)
				} else {
					p.Object = object
				}
				g.core.Handle(p)
			}
		})
	}
}

// BenchmarkPurgeMemory measures the memory of a purge that is in effect.
func BenchmarkPurgeMemory(b *testing.B) {
	for _, purges := range []int{368, 3680, 36800, 368000} { // 8 s at the planned rate, and multiples
		b.Run(fmt.Sprintf("purges=%d", purges), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				g := newGateway(b, settings(121, 3400), zerolog.Nop())
				before := memoryInUse()
				for i := range purges {
					g.core.Handle(core.Purge{Object: uint64(i + 1), At: g.clock.Unix()})
				}
				bytes = memoryInUse() - before
				runtime.KeepAlive(g)
			}
			reportWithoutTime(b, float64(bytes)/float64(purges), "B/purge")
		})
	}
}

// BenchmarkObjectMemory measures the memory of a gateway's state of requested objects, by their number.
func BenchmarkObjectMemory(b *testing.B) {
	for _, objects := range []int{4096, 8192, 16384, 32768, 65536, 131072} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				g := newGateway(b, settings(121, 3400), zerolog.Nop())
				g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: endpointList(35)})
				before := memoryInUse()
				for i := range objects {
					g.serve(uint64(i+1), requestGap())
				}
				g.clock.Advance(10000)
				g.core.Tick()
				bytes = memoryInUse() - before
				runtime.KeepAlive(g)
			}
			reportWithoutTime(b, float64(bytes)/1e6, "MB")
			b.ReportMetric(float64(bytes)/float64(objects), "B/object")
		})
	}
}

// BenchmarkProbes counts the probes that the gateways of a zone send to one endpoint. Each gateway has its own decision module
// and the planned load.
func BenchmarkProbes(b *testing.B) {
	const seconds, endpointsOfZone = 5, 20
	for _, gateways := range []int{3, 24, 121} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			probes := 0
			for b.Loop() {
				probes = 0
				for range gateways {
					g := newGateway(b, settings(gateways, 28*gateways), zerolog.Nop())
					g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: zoneEndpoints(endpointsOfZone)})
					for i := range int(seconds * 1000 / requestGap()) {
						g.serve(uint64(i%5000+1), requestGap())
						g.respondToProbes(endpointsOfZone)
					}
					probes += g.ports.probes
				}
			}
			reportWithoutTime(b, float64(probes)/seconds/endpointsOfZone, "probes/s/store")
			b.ReportMetric(float64(probes)/seconds/float64(gateways), "probes/s/gateway")
		})
	}
}

// zoneEndpoints returns endpoints that are all caches in the gateway's zone.
func zoneEndpoints(endpoints int) []core.Endpoint {
	list := endpointList(endpoints)
	for i := range list {
		list[i].Info.Zone, list[i].Info.Kind = 0, cacheKind
	}
	return list
}

// respondToProbes reports a successful health check of every endpoint.
func (g *gateway) respondToProbes(endpoints int) {
	for i := range endpoints {
		g.core.Handle(core.HealthCheckResult{Endpoint: uint32(i + 1), Outcome: control.OK, Load: &control.LoadReport{InFlight: 10, Utilization: -1, HitRate: -1, LinkUtilization: -1}})
	}
}

// BenchmarkColdStore counts the requests that one gateway sends to an endpoint in the ten seconds after the endpoint's start,
// by the number of gateways that share it: each gateway gets 20 requests per second and has no other endpoint for them.
// Gateways that have served requests before have measured their latency; those that start together with the endpoint assume
// the latency objective of the class.
func BenchmarkColdStore(b *testing.B) {
	const samples = 100 // gateways, spread evenly over the numbers by which gateways take turns
	for _, fresh := range []bool{false, true} {
		for _, weight := range []float64{12, endpointWeight} {
			for _, gateways := range []int{3, 24, 121, 425, 3400} {
				b.Run(fmt.Sprintf("fresh=%v/weight=%v/gateways=%d", fresh, weight, gateways), func(b *testing.B) {
					sent, none := 0, 0
					for b.Loop() {
						sent, none = 0, 0
						for sample := range samples {
							n := requestsToColdEndpoint(b, gateways, sample*gateways/samples, weight, fresh)
							if sent += n; n == 0 {
								none++
							}
						}
					}
					reportWithoutTime(b, float64(sent)/samples, "requests/gateway")
					b.ReportMetric(float64(sent)/samples*float64(gateways), "requests/store")
					b.ReportMetric(float64(none)/samples, "share-without")
				})
			}
		}
	}
}

// singleEndpointList returns a list with a single endpoint.
func singleEndpointList(id control.EndpointID, weight float64, started time.Duration) control.EndpointList {
	return control.EndpointList{Snapshot: true, Endpoints: []control.Endpoint{{ID: id, Weight: weight, State: control.Ready, StartedAt: started}}}
}

// requestsToColdEndpoint returns the number of requests that are sent to an endpoint during its slow start.
func requestsToColdEndpoint(b *testing.B, gateways, number int, weight float64, fresh bool) (sent int) {
	s := settings(gateways, gateways)
	s.SlowStartDuration, s.Gateway = slowStartDuration, number
	c, err := control.New(s, uint64(number))
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	if !fresh {
		c.Handle(now, singleEndpointList(2, weight, 0), nil)
		offerRequests(c, &now, 1, slowStartDuration)
	}
	c.Handle(now, singleEndpointList(1, weight, now), nil)
	return offerRequests(c, &now, 1<<20, slowStartDuration-time.Second/10) // ends before the slow start does
}

// offerRequests offers a controller 20 requests per second for a duration, and returns the number of attempts sent. Each
// attempt succeeds after the time that a transfer at the client's rate takes.
func offerRequests(c *control.Controller, now *time.Duration, firstID control.RequestID, duration time.Duration) (sent int) {
	const (
		gap      = 50 * time.Millisecond
		timeTick = 0xfd
	)
	var acts []control.Action
	for i := range control.RequestID(duration / gap) {
		*now += gap
		id := firstID + i
		for _, ev := range []control.Event{
			control.TimerFired{Token: timeTick},
			control.Request{ID: id, Object: control.ObjectID(id), SizeKB: partKB, Remaining: 5 * time.Second},
		} {
			acts = c.Handle(*now, ev, acts[:0])
			for _, act := range acts {
				if a, ok := act.(control.Attempt); ok {
					sent++
					c.Handle(*now, control.AttemptResult{ID: a.ID, Endpoint: a.To, Outcome: control.OK, Note: control.Hit,
						Latency: partKB * time.Second / clientKBps}, nil)
				}
			}
		}
	}
	return sent
}

// countingWriter counts the bytes and lines written to it.
type countingWriter struct{ bytes, lines int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	w.lines++
	return len(p), nil
}

var _ io.Writer = (*countingWriter)(nil)

// BenchmarkTrace measures a request that is served by one attempt, and the log that it produces, by log level.
func BenchmarkTrace(b *testing.B) {
	for _, level := range []zerolog.Level{zerolog.InfoLevel, zerolog.DebugLevel} {
		b.Run(level.String(), func(b *testing.B) {
			w := &countingWriter{}
			g := newGateway(b, settings(121, 3400), zerolog.New(w).Level(level).With().Timestamp().Logger())
			g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: endpointList(35)})
			for i := uint64(0); b.Loop(); i++ {
				g.serve(i%5000+1, requestGap())
			}
			b.ReportMetric(float64(w.bytes)/float64(b.N), "B/request")
			b.ReportMetric(float64(w.lines)/float64(b.N), "lines/request")
		})
	}
}
