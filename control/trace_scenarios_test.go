package control_test

import (
	"time"

	"turnfork.dev/turnfork/control"
)

// scenario contains the settings of a gateway and of the world in which its trace is recorded.
type scenario struct {
	name     string
	settings control.Settings
	world    worldSettings
}

// worldSettings configures the behavior of the recorder's world. Rates are per second, shares between 0 and 1.
type worldSettings struct {
	caches, parents int // caches in the gateway's zone, parents in each hub
	foreignCaches   int // in other zones
	cells           int
	weight          float64
	requestRate     float64 // it varies periodically between half and double
	objects         int     // number of distinct objects that are requested
	sizesUnknown    bool
	clientGone      float64 // share of clients that disconnect before their response
	streamed        float64 // share of responses whose start is reported
	clientRetries   float64 // share of rejected clients that retry
	lossRate        float64 // share of attempts without a response
	errorRate       float64 // share of attempts that fail in another way
	originFailures  float64 // share of fills from the origin that are late or fail
	reportRate      float64 // share of responses with a load report
	reportsLink     bool    // reports include the utilization of the zone's link
	reportsCPU      bool    // reports include the utilization of the endpoint's cores
	listRate        float64 // changes of the endpoint list
	restartShare    float64 // share of these that are restarts
	listFailures    float64 // share of polls of the list that fail
	purgeRate       float64
	excludeRate     float64
	outageRate      float64 // an endpoint fails or becomes slow for a limited time
	outageSeconds   float64 // maximum duration
	processRate     float64 // changes of the number of processes
	badEventRate    float64 // events with unknown ids
}

const (
	hubZone   = 0
	otherHub  = 1
	ownZone   = 2
	otherZone = 3

	cacheKind  = 0
	parentKind = 1
	originKind = 2
	noParents  = -1
)

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// scenarioClasses returns one class of each kind.
func scenarioClasses() []control.Class {
	return []control.Class{
		{LatencyObjective: milliseconds(400), ObjectiveStretch: 1, Deadline: milliseconds(4000), PriorityWeight: 2, LateValue: 0.2},
		{LatencyObjective: milliseconds(300), Deadline: milliseconds(2000), PriorityWeight: 1, FreshFor: milliseconds(5000), MaxStaleness: milliseconds(5000), StaleValue: 0.5},
		{LatencyObjective: milliseconds(300), Deadline: milliseconds(2000), PriorityWeight: 1, Idempotency: control.NonIdempotent, Write: true},
		{LatencyObjective: milliseconds(300), Deadline: milliseconds(2000), PriorityWeight: 1, Idempotency: control.IdempotentByKey, DedupScope: control.DedupScopeCell, DedupWindow: milliseconds(1000)},
	}
}

// fullSettings returns the settings of a gateway in a zone with a hub, with every capability enabled.
func fullSettings() control.Settings {
	return control.Settings{
		Gateways: 4, Zone: ownZone, GatewaysByZone: []int{0, 0, 2, 2}, HubOfZone: []int{hubZone, otherHub, hubZone, otherHub},
		Kinds: 3, ParentKind: parentKind, OriginKind: originKind, BatchInterval: milliseconds(2), ClientKBps: 1000, WeightsKnown: true,
		MaxAttempts: 5, CanCancel: true, CanHedge: true, CanRetryAfter: true, MaxRetryAfter: milliseconds(500), CanBypassCaches: true,
		CanJoinFills: true, ResultsDetailed: true, PeerFillScope: control.PeerScopeZone, DrainGrace: milliseconds(500), SlowStartShare: 0.2,
		SlowStartDuration: milliseconds(10_000), CollapseMultiple: 2, CollapseWindow: milliseconds(2000), ParentSlowStartShare: 0.1,
		ParentSlowStartDuration: milliseconds(20_000), ParentCollapseMultiple: 2, PurgeGrace: milliseconds(300), PurgeCompletion: milliseconds(6000),
		Classes: scenarioClasses(),
	}
}

// fullWorld returns a world in which every kind of event happens at a low rate.
func fullWorld() worldSettings {
	return worldSettings{
		caches: 4, parents: 2, foreignCaches: 2, cells: 2, weight: 6, requestRate: 40, objects: 300, clientGone: 0.03,
		streamed: 0.2, clientRetries: 0.4, lossRate: 0.02, errorRate: 0.06, originFailures: 0.1, reportRate: 0.5, reportsLink: true,
		reportsCPU: true, listRate: 0.5, restartShare: 0.3, purgeRate: 0.3, excludeRate: 0.1, outageRate: 0.2, outageSeconds: 6,
		processRate: 0.05, badEventRate: 0.5,
	}
}

// scenarios returns the settings and worlds of the recorded traces.
func scenarios() []scenario {
	define := func(name string, alter func(*control.Settings, *worldSettings)) scenario {
		s := scenario{name, fullSettings(), fullWorld()}
		alter(&s.settings, &s.world)
		return s
	}
	return []scenario{
		define("everything", func(*control.Settings, *worldSettings) {}),
		define("one-cell-without-parents", func(s *control.Settings, w *worldSettings) {
			s.Gateways, s.Zone, s.GatewaysByZone, s.HubOfZone, s.ParentKind = 1, 0, nil, nil, noParents
			s.CanCancel, s.CanHedge, s.ResultsDetailed, s.CanJoinFills, s.CanBypassCaches, s.CanRetryAfter = false, false, false, false, false, false
			w.parents, w.foreignCaches, w.cells, w.reportRate, w.streamed = 0, 0, 1, 0, 0
			w.requestRate, w.outageRate, w.outageSeconds = 15, 0.1, 60
		}),
		define("idempotency-keys", func(s *control.Settings, w *worldSettings) {
			classes := scenarioClasses()
			zone, all := classes[3], classes[3]
			zone.DedupScope, all.DedupScope, all.DedupWindow = control.DedupScopeZone, control.DedupScopeAll, milliseconds(3000)
			s.Classes = []control.Class{classes[3], zone, all}
			s.ClientsMarkRetries, s.CanHedge, s.Zone = true, false, ownZone
			w.cells, w.clientRetries, w.errorRate, w.lossRate = 2, 0.9, 0.15, 0.05
		}),
		define("idempotency-keys-unmarked", func(s *control.Settings, w *worldSettings) {
			classes := scenarioClasses()
			all := classes[3]
			all.DedupScope, all.DedupWindow = control.DedupScopeAll, milliseconds(2500)
			s.Classes = []control.Class{classes[3], all, classes[2]}
			w.clientRetries, w.errorRate = 0.9, 0.12
		}),
		define("link-use-reported", func(s *control.Settings, w *worldSettings) {
			s.Classes = s.Classes[:2]
			w.requestRate, w.objects, w.weight, w.reportRate = 80, 3000, 12, 0.9
			w.outageRate, w.listRate, w.purgeRate, w.errorRate, w.lossRate = 0.02, 0.05, 0.02, 0.01, 0.005
		}),
		define("link-use-estimated", func(s *control.Settings, w *worldSettings) {
			s.LinkKBps, s.Classes = []float64{0, 0, 9000, 9000}, s.Classes[:2]
			w.requestRate, w.objects, w.reportRate, w.reportsLink = 60, 3000, 0.6, false
			w.reportsCPU, w.outageRate, w.originFailures = false, 0.05, 0.02
		}),
		define("slow-start", func(s *control.Settings, w *worldSettings) {
			s.Gateways, s.GatewaysByZone, s.Gateway = 24, []int{0, 0, 12, 12}, 5
			w.listRate, w.restartShare, w.excludeRate, w.objects = 1.5, 0.8, 0.3, 1000
		}),
		define("hundred-endpoints-polled", func(s *control.Settings, w *worldSettings) {
			s.PollEndpoints, s.CanCheckHealth, s.Gateways, s.GatewaysByZone = true, true, 12, []int{0, 0, 2, 10}
			w.caches, w.parents, w.foreignCaches, w.cells = 60, 10, 20, 6
			w.requestRate, w.objects, w.listFailures, w.listRate, w.outageRate = 60, 2000, 0.4, 3, 2
		}),
		define("purges", func(s *control.Settings, w *worldSettings) {
			s.Classes[0].FreshFor = milliseconds(3000)
			w.purgeRate, w.objects = 4, 60
		}),
		define("drains-and-exclusions", func(s *control.Settings, w *worldSettings) {
			w.listRate, w.restartShare, w.excludeRate, w.processRate = 3, 0.2, 1.5, 0.3
		}),
		define("health-checks", func(s *control.Settings, w *worldSettings) {
			s.CanCheckHealth, s.CanHedge = true, false
			s.Gateways, s.GatewaysByZone = 1, []int{0, 0, 1, 0}
			w.requestRate, w.outageRate, w.reportRate, w.caches = 30, 1.5, 0.3, 6
		}),
		define("overload", func(s *control.Settings, w *worldSettings) {
			w.requestRate, w.weight, w.objects, w.clientRetries, w.caches = 200, 4, 500, 0.7, 3
			w.outageRate, w.listRate, w.originFailures, w.lossRate = 0.05, 0.1, 0, 0.001
		}),
		define("sizes-untold", func(s *control.Settings, w *worldSettings) {
			s.ClientKBps, s.WeightsKnown, s.CanJoinFills = 0, false, false
			w.sizesUnknown = true
		}),
		define("origin-in-trouble", func(s *control.Settings, w *worldSettings) {
			s.Classes = s.Classes[:2]
			w.originFailures, w.objects, w.parents = 0.5, 4000, 3
		}),
		define("lost-answers", func(s *control.Settings, w *worldSettings) {
			s.CanHedge, s.Classes, s.MaxAttempts = false, s.Classes[:1], 8
			s.Classes[0].LatencyObjective = milliseconds(1500)
			w.lossRate, w.errorRate, w.objects, w.outageRate, w.caches = 0.3, 0.02, 100, 0.1, 8
		}),
		define("hot-objects", func(s *control.Settings, w *worldSettings) {
			s.CanCheckHealth, s.Gateways, s.GatewaysByZone, s.Classes = true, 1, []int{0, 0, 1, 0}, s.Classes[:2]
			w.objects, w.weight, w.requestRate, w.caches = 4, 3, 60, 5
		}),
		define("few-attempts-many-departures", func(s *control.Settings, w *worldSettings) {
			s.MaxAttempts, s.MaxRetryAfter, s.BatchInterval = 2, 0, milliseconds(10)
			w.clientGone, w.streamed, w.badEventRate = 0.3, 0.8, 4
		}),
	}
}
