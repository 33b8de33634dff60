package capacity_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/capacity"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/discovery"
	"turnfork.dev/turnfork/upstream/httpstore"
	"turnfork.dev/turnfork/upstream/mux"
	"turnfork.dev/turnfork/upstream/resp"
)

// fleetSizes are the usual number of endpoints of a fleet, and the largest.
var fleetSizes = []int{200, 3200}

const kindChanges = 2

// listChange is a kind of update of the list of endpoints, as the events that a gateway receives. The second half undoes the
// first, so that the events may be repeated.
type listChange struct {
	name   string
	events []core.EndpointList
}

// listChanges returns the kinds of updates of a list of endpoints: the complete list, a change of one entry, the replacement of
// a tenth of the endpoints by a burst of single changes, and the same replacement in one event, as after a gap.
func listChanges(endpoints int) []listChange {
	list := endpointList(endpoints)
	out, in := slices.Clone(list[endpoints-endpoints/10:]), endpointList(endpoints + endpoints/10)[endpoints:]
	one := slices.Clone(list[endpoints/2 : endpoints/2+1])
	one[0].Info.Weight++
	replaced := append(withState(out, control.Gone), withState(in, control.Ready)...)
	restored := append(withState(in, control.Gone), withState(out, control.Ready)...)
	var burst []core.EndpointList
	for _, s := range append(slices.Clone(replaced), restored...) {
		burst = append(burst, core.EndpointList{Endpoints: []core.Endpoint{s}})
	}
	return []listChange{
		{"whole", []core.EndpointList{{Snapshot: true, Endpoints: list}}},
		{"delta", []core.EndpointList{{Endpoints: one}, {Endpoints: list[endpoints/2 : endpoints/2+1]}}},
		{"burst", burst},
		{"gap", []core.EndpointList{{Endpoints: replaced}, {Endpoints: restored}}},
	}
}

// withState returns the endpoints with another state.
func withState(endpoints []core.Endpoint, state control.State) (changed []core.Endpoint) {
	for _, s := range endpoints {
		s.Info.State = state
		changed = append(changed, s)
	}
	return changed
}

// BenchmarkFleetList measures each kind of update in each part of a gateway. An iteration is a change and its reversal, or the
// complete list once.
func BenchmarkFleetList(b *testing.B) {
	for _, endpoints := range fleetSizes {
		for _, change := range listChanges(endpoints) {
			for name, update := range listConsumers(b) {
				b.Run(fmt.Sprintf("%s/%s/%d", name, change.name, endpoints), func(b *testing.B) {
					update(core.EndpointList{Snapshot: true, Endpoints: endpointList(endpoints)})
					b.ReportAllocs()
					for b.Loop() {
						for _, ev := range change.events {
							update(ev)
						}
					}
				})
			}
			b.Run(fmt.Sprintf("decode/%s/%d", change.name, endpoints), func(b *testing.B) { measureDecoding(b, change.events) })
		}
	}
}

// listConsumers returns the update functions of the parts of a gateway that receive the list.
func listConsumers(b *testing.B) map[string]func(core.EndpointList) {
	pool := resp.New(poolOptions(), func(core.Event) {})
	rest := resp.New(poolOptions(), func(core.Event) {})
	endpoints := map[uint32]httpstore.Endpoint{}
	httpUpstream := httpstore.New(httpstore.Options{Endpoints: endpoints, Clock: clock.System(), Log: zerolog.Nop()}, func(core.Event) {})
	mux := &mux.Upstream{Primary: httpUpstream, Fallback: rest}
	g := newGateway(b, settings(900, 900), zerolog.Nop())
	b.Cleanup(func() {
		pool.Close()
		rest.Close()
		httpUpstream.Close()
	})
	return map[string]func(core.EndpointList){
		"core": func(s core.EndpointList) { g.core.Handle(s) },
		"resp": pool.UpdateEndpoints,
		"web":  httpUpstream.UpdateEndpoints,
		"mux":  mux.UpdateEndpoints,
	}
}

func poolOptions() resp.Options {
	return resp.Options{DialTimeout: 400, HealthCheckTimeout: 240, MaxAttemptsPerConn: 100, MaxConns: 393, Clock: clock.System(), Log: zerolog.Nop()}
}

// measureDecoding measures reading the frames that encode the events, and reports their size.
func measureDecoding(b *testing.B, events []core.EndpointList) {
	var frames []byte
	for i, ev := range events {
		kind := byte(kindChanges)
		if ev.Snapshot {
			kind = kindSnapshot
		}
		whole := encodeListFrame(len(ev.Endpoints))
		frames = append(frames, encodeFrame(uint64(i+1), kind, whole[13:])...)
	}
	b.ReportAllocs()
	for b.Loop() {
		for r := bytes.NewReader(frames); r.Len() > 0; {
			if _, err := discovery.ReadFrame(r); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(len(frames)), "B")
}

// BenchmarkFleetMemory measures the memory of the list in the core with its decision module after requests, and in the
// connection pool without connections.
func BenchmarkFleetMemory(b *testing.B) {
	const copies = 10
	for _, endpoints := range fleetSizes {
		b.Run(fmt.Sprintf("core/%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				var gateways []*gateway
				for range copies {
					gateways = append(gateways, newGateway(b, settings(900, 900), zerolog.Nop()))
				}
				before := memoryInUse()
				for _, g := range gateways {
					g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: endpointList(endpoints)})
					for i := range 5000 { // more objects than the module caches rankings for
						g.serve(uint64(i+1), requestGap())
					}
				}
				reportWithoutTime(b, float64(memoryInUse()-before)/copies/1e6, "MB")
				runtime.KeepAlive(gateways)
			}
		})
		b.Run(fmt.Sprintf("resp/%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				var pools []*resp.Pool
				for range copies {
					pools = append(pools, resp.New(poolOptions(), func(core.Event) {}))
				}
				before := memoryInUse()
				for _, p := range pools {
					p.UpdateEndpoints(core.EndpointList{Snapshot: true, Endpoints: endpointList(endpoints)})
				}
				reportWithoutTime(b, float64(memoryInUse()-before)/copies/1e6, "MB")
				for _, p := range pools {
					p.Close()
				}
			}
		})
	}
}

// BenchmarkFleetReach counts the endpoints to which one gateway sends attempts within a minute at 20 requests per second, and
// its probes, by the size of the fleet and the number of zones that it is spread over: each such endpoint needs a connection.
// After half of the requests a tenth of the endpoints is replaced. Half of the requests are for 200 objects, the others for
// objects that are requested once.
func BenchmarkFleetReach(b *testing.B) {
	for _, zones := range []int{1, capacity.Planned.Zones} {
		for _, endpoints := range fleetSizes {
			b.Run(fmt.Sprintf("zones=%d/%d", zones, endpoints), func(b *testing.B) {
				for b.Loop() {
					before, all, probes := countContacted(b, endpoints, zones)
					reportWithoutTime(b, float64(before), "stores-asked-in-30s")
					b.ReportMetric(float64(all), "stores-asked-in-60s")
					b.ReportMetric(float64(probes), "probes")
				}
			})
		}
	}
}

func countContacted(b *testing.B, endpoints, zones int) (before, all, probes int) {
	const requests, gap = 1200, 50
	g := newGateway(b, settings(900/zones, 900), zerolog.Nop())
	list := endpointList(endpoints + endpoints/10)
	for i := range list {
		list[i].Info.Zone = i % zones
	}
	g.core.Handle(core.EndpointList{Snapshot: true, Endpoints: list[:endpoints]})
	random := rand.New(rand.NewPCG(1, 1))
	asked := map[uint32]bool{}
	for i := range requests {
		if i == requests/2 {
			before = len(asked)
			g.core.Handle(core.EndpointList{Endpoints: append(withState(list[endpoints-endpoints/10:endpoints], control.Gone), list[endpoints:]...)})
		}
		object := uint64(1000 + i)
		if i%2 == 0 {
			object = 1 + random.Uint64N(200)
		}
		g.serve(object, gap)
		for _, s := range g.ports.sent {
			asked[s.Endpoint] = true
		}
	}
	return before, len(asked), g.ports.probes
}
