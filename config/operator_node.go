package config

import (
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// Module holds the settings of the decision module. Some keys of the file differ from the names in the code. The following
// list is the only place that maps them to the fields of [control.Settings]:
//
//	flow_kb_per_s       ClientKBps
//	max_attempts        MaxAttempts
//	probes              CanCheckHealth
//	max_retry_after_ms  MaxRetryAfter
//	gateways            Gateways, GatewaysByZone
//	purge_done_s        PurgeCompletion
//	cold_s              SlowStartDuration, ParentSlowStartDuration
//	cold_share          SlowStartShare, ParentSlowStartShare
//	fall_multiple       CollapseMultiple
//	fall_s              CollapseWindow
//
// and those of a class to the fields of [control.Class]:
//
//	aim_ms              LatencyObjective
//	aim_stretch         ObjectiveStretch
//	deadline_ms         Deadline
//	worth               PriorityWeight
//	late_worth          LateValue
//	fresh_s             FreshFor
//	write               Write, Idempotency
//	unsafe              Idempotency
type Module struct {
	ClientKBps       float64 `toml:"flow_kb_per_s"`
	MaxAttempts      int     `toml:"max_attempts"`
	HealthChecks     *bool   `toml:"probes"` // nil: true
	MaxRetryAfterMs  float64 `toml:"max_retry_after_ms"`
	DialTimeoutMs    float64 `toml:"dial_timeout_ms"`
	IdleTimeoutS     float64 `toml:"idle_close_s"`
	MaxOpen          int     `toml:"max_open"`
	Gateways         int     `toml:"gateways"` // number of gateways that share the endpoints
	PurgeCompletionS float64 `toml:"purge_done_s"`
	SlowStartS       float64 `toml:"cold_s"`
	SlowStartShare   float64 `toml:"cold_share"`
	CollapseMultiple float64 `toml:"fall_multiple"`
	CollapseWindowS  float64 `toml:"fall_s"`
}

// The zones of an operator's site: caches are in the local zone, parents and the origin in the hub zone.
const (
	hubZone   = 0
	localZone = 1
)

// Defaults, and settings that have no key in the operator's file.
const (
	defaultDialTimeoutMs    = 400
	defaultIdleTimeoutS     = 15
	defaultStreamsPerConn   = 100
	defaultStoreWeight      = 10
	defaultMaxAttempts      = 8
	defaultMaxRetryAfterMs  = 500
	defaultCollapseMultiple = 4
	defaultCollapseWindowS  = 1
	defaultPurgeCompletionS = 6
	defaultPriorityWeight   = 1

	objectiveShareOfDeadline = 0.25
	operatorBatchInterval    = 2 * time.Millisecond
	operatorDrainGrace       = 250 * time.Millisecond
	operatorPurgeGrace       = time.Second
	parentCollapseMultiple   = 2
)

// Node converts the operator's file to the configuration of a node.
func (o *Operator) Node(seed uint64) Node {
	n := Node{
		Name:           o.Name,
		Listen:         o.FastCGI,
		AdminAddr:      o.Console,
		Seed:           seed,
		Cores:          o.Limits.Cores,
		MemoryMB:       o.Limits.MemoryMB,
		Sockets:        o.Limits.Sockets,
		KnownEvents:    []core.Event{o.endpointList()},
		Settings:       o.settings(seed),
		MaxOpen:        o.Module.MaxOpen,
		DialTimeoutMs:  positiveOr(o.Module.DialTimeoutMs, defaultDialTimeoutMs),
		IdleTimeoutMs:  positiveOr(o.Module.IdleTimeoutS, defaultIdleTimeoutS) * 1000,
		StreamsPerConn: defaultStreamsPerConn,
	}
	for _, c := range o.Classes {
		n.Classes = append(n.Classes, c.Name)
		n.Settings.Classes = append(n.Settings.Classes, c.settings())
	}
	return n
}

// endpointList returns the configured endpoints in the form of a list from discovery.
func (o *Operator) endpointList() core.EndpointList {
	list := core.EndpointList{Snapshot: true}
	for _, s := range o.Endpoints {
		list.Endpoints = append(list.Endpoints, core.Endpoint{Addr: s.Addr, Info: s.endpoint()})
	}
	return list
}

func (s Endpoint) endpoint() control.Endpoint {
	zone := hubZone
	if s.Kind == cacheKind {
		zone = localZone
	}
	return control.Endpoint{
		ID:     control.EndpointID(s.ID),
		Zone:   zone,
		Kind:   kindNumbers[s.Kind],
		Weight: positiveOr(s.Weight, defaultStoreWeight),
		State:  control.Ready,
	}
}

// settings converts all settings except the classes.
func (o *Operator) settings(seed uint64) control.Settings {
	m := o.Module
	gateways := max(1, m.Gateways)
	slowStart := seconds(m.SlowStartS)
	return control.Settings{
		Gateway:                 int(seed % uint64(gateways)), // has no key; need not be unique
		Gateways:                gateways,
		Zone:                    localZone,
		GatewaysByZone:          []int{hubZone: 0, localZone: gateways},
		HubOfZone:               []int{hubZone: hubZone, localZone: hubZone},
		Kinds:                   len(kindNumbers),
		ParentKind:              o.parentKindNumber(),
		OriginKind:              kindNumbers[originKind],
		BatchInterval:           operatorBatchInterval,
		ClientKBps:              m.ClientKBps,
		WeightsKnown:            true,
		MaxAttempts:             positiveOr(m.MaxAttempts, defaultMaxAttempts),
		CanCancel:               true,
		CanCheckHealth:          m.HealthChecks == nil || *m.HealthChecks,
		CanRetryAfter:           true,
		MaxRetryAfter:           clock.Duration(positiveOr(m.MaxRetryAfterMs, defaultMaxRetryAfterMs)),
		CanBypassCaches:         true,
		ResultsDetailed:         true,
		DrainGrace:              operatorDrainGrace,
		SlowStartShare:          m.SlowStartShare,
		SlowStartDuration:       slowStart,
		CollapseMultiple:        positiveOr(m.CollapseMultiple, defaultCollapseMultiple),
		CollapseWindow:          seconds(positiveOr(m.CollapseWindowS, defaultCollapseWindowS)),
		ParentSlowStartShare:    m.SlowStartShare,
		ParentSlowStartDuration: slowStart,
		ParentCollapseMultiple:  parentCollapseMultiple,
		PurgeGrace:              operatorPurgeGrace,
		PurgeCompletion:         seconds(positiveOr(m.PurgeCompletionS, defaultPurgeCompletionS)),
	}
}

// parentKindNumber returns the kind of the parents; -1 if the site has none.
func (o *Operator) parentKindNumber() int {
	for _, s := range o.Endpoints {
		if s.Kind == parentKind {
			return kindNumbers[parentKind]
		}
	}
	return -1
}

func (c Class) settings() control.Class {
	class := control.Class{
		LatencyObjective: clock.Duration(positiveOr(c.LatencyObjectiveMs, c.DeadlineMs*objectiveShareOfDeadline)),
		ObjectiveStretch: c.ObjectiveStretch,
		Deadline:         clock.Duration(c.DeadlineMs),
		PriorityWeight:   positiveOr(c.PriorityWeight, defaultPriorityWeight),
		LateValue:        c.LateValue,
		FreshFor:         seconds(c.FreshForS),
		Write:            c.Write,
	}
	if c.NonIdempotent || c.Write { // a write may not be idempotent
		class.Idempotency = control.NonIdempotent
	}
	return class
}

func seconds(s float64) time.Duration { return clock.Duration(s * 1000) }

// positiveOr returns v if it is positive, otherwise the default.
func positiveOr[T int | float64](v, defaultValue T) T {
	if v > 0 {
		return v
	}
	return defaultValue
}
