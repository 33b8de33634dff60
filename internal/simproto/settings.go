package simproto

import (
	"encoding/json"
	"fmt"
	"time"

	"turnfork.dev/turnfork/control"
)

// settingsFile is the JSON form of the settings. Keys are matched without regard to case; times are in seconds.
type settingsFile struct {
	Gateway     int               `json:"me"`
	Gateways    int               `json:"balancers"`
	Zone        int               `json:"az"`
	Quantum     float64           `json:"quantum"`
	Discovery   string            `json:"discovery"`
	Weights     string            `json:"weights"`
	Kinds       []string          `json:"kinds"`
	Classes     []classSettings   `json:"classes"`
	Allowed     allowedSettings   `json:"allowed"`
	Clients     clientSettings    `json:"clients"`
	Site        siteSettings      `json:"family-info"`
	Guarantees  guaranteeSettings `json:"guarantees"`
	LoadReports reportSettings    `json:"report"`
}

type classSettings struct {
	LatencyObjective float64 `json:"aim"`
	ObjectiveStretch float64 `json:"aim-stretch"`
	Deadline         float64 `json:"deadline"`
	DedupScope       string  `json:"group"`
	DedupWindow      float64 `json:"key-ttl"`
	LateValue        float64 `json:"late-worth"`
	Repeat           string  `json:"repeat"`
	PriorityWeight   float64 `json:"worth"`
}

type allowedSettings struct {
	Cancel        bool    `json:"cancel"`
	MaxAttempts   int     `json:"max-attempts"`
	MaxRetryAfter float64 `json:"max-retry-after"`
	Hedging       bool    `json:"parallel-tries"`
	HealthChecks  bool    `json:"probes"`
	RetryAfter    bool    `json:"retry-after"`
}

type clientSettings struct {
	MarkRetries bool `json:"marks-retry"`
}

// siteSettings describe the site. Lists are indexed by class unless stated otherwise.
type siteSettings struct {
	StaleValue              []float64 `json:"aged-worth"`
	FreshFor                []float64 `json:"class-fresh"`
	ClientKBps              float64   `json:"client-kb-per-s"`
	Writes                  []bool    `json:"goes-through"`
	JoinFills               bool      `json:"joins"`
	LinkKBps                []float64 `json:"link-in-kb-per-s"` // by zone
	PurgeGrace              float64   `json:"notice-time"`
	OriginKind              *int      `json:"origin-kind"`
	ParentSlowStartShare    float64   `json:"parent-starts-at"`
	ParentSlowStartDuration float64   `json:"parent-warms-in"`
	PurgeCompletion         float64   `json:"purge-done"`
	Says                    string    `json:"says"`
	GatewaysByZone          []int     `json:"seats-by-zone"`
	ParentKind              *int      `json:"shield-kind"`
	PeerFillScope           string    `json:"sideways"`
	MaxStaleness            []float64 `json:"stale-for"`
	BypassCaches            bool      `json:"straight"`
	ParentCollapseMultiple  float64   `json:"upper-fall-multiple"`
	HubOfZone               []int     `json:"zone-hub"`
}

type guaranteeSettings struct {
	SlowStartDuration float64 `json:"cold"`
	SlowStartShare    float64 `json:"cold-share"`
	DrainGrace        float64 `json:"drain-grace"`
	CollapseWindow    float64 `json:"fall"`
	CollapseMultiple  float64 `json:"fall-multiple"`
}

type reportSettings struct {
	Fields []string `json:"fields"`
}

// Values of settings, and noSuchKind for a kind that the site does not have.
const (
	discoveryPolled  = "ask"
	weightsUnknown   = "silent"
	resultsDetailed  = "all"
	peersOfZone      = "location"
	peersAny         = "any"
	repeatIdempotent = "free"
	repeatByKey      = "guarded"
	dedupZone        = "zone"
	dedupCell        = "cell"
	noSuchKind       = -1
)

// Settings parses the settings of an instance. It also returns the names of its load report values, in their order. Unknown
// keys are ignored.
func Settings(text []byte) (control.Settings, LoadFields, error) {
	var file settingsFile
	if err := json.Unmarshal(text, &file); err != nil {
		return control.Settings{}, nil, fmt.Errorf("wire: settings: %w", err)
	}
	s := file.settings()
	for i := range file.Classes {
		s.Classes = append(s.Classes, file.class(i))
	}
	return s, LoadFields(file.LoadReports.Fields), nil
}

// settings converts all settings except the classes.
func (f *settingsFile) settings() control.Settings {
	return control.Settings{
		Gateway:                 f.Gateway,
		Gateways:                f.Gateways,
		Zone:                    f.Zone,
		GatewaysByZone:          f.Site.GatewaysByZone,
		HubOfZone:               f.Site.HubOfZone,
		Kinds:                   len(f.Kinds),
		ParentKind:              valueOr(f.Site.ParentKind, noSuchKind),
		OriginKind:              valueOr(f.Site.OriginKind, noSuchKind),
		BatchInterval:           seconds(f.Quantum),
		LinkKBps:                f.Site.LinkKBps,
		ClientKBps:              f.Site.ClientKBps,
		WeightsKnown:            f.Weights != weightsUnknown,
		PollEndpoints:           f.Discovery == discoveryPolled,
		MaxAttempts:             f.Allowed.MaxAttempts,
		CanCancel:               f.Allowed.Cancel,
		CanCheckHealth:          f.Allowed.HealthChecks,
		CanHedge:                f.Allowed.Hedging,
		CanRetryAfter:           f.Allowed.RetryAfter,
		ClientsMarkRetries:      f.Clients.MarkRetries,
		MaxRetryAfter:           seconds(f.Allowed.MaxRetryAfter),
		CanBypassCaches:         f.Site.BypassCaches,
		CanJoinFills:            f.Site.JoinFills,
		PeerFillScope:           peerFillScope(f.Site.PeerFillScope),
		ResultsDetailed:         f.Site.Says == resultsDetailed,
		DrainGrace:              seconds(f.Guarantees.DrainGrace),
		SlowStartShare:          f.Guarantees.SlowStartShare,
		SlowStartDuration:       seconds(f.Guarantees.SlowStartDuration),
		CollapseMultiple:        f.Guarantees.CollapseMultiple,
		CollapseWindow:          seconds(f.Guarantees.CollapseWindow),
		ParentSlowStartShare:    f.Site.ParentSlowStartShare,
		ParentSlowStartDuration: seconds(f.Site.ParentSlowStartDuration),
		ParentCollapseMultiple:  f.Site.ParentCollapseMultiple,
		PurgeGrace:              seconds(f.Site.PurgeGrace),
		PurgeCompletion:         seconds(f.Site.PurgeCompletion),
	}
}

// class converts one class. Some of its settings are in the lists of siteSettings.
func (f *settingsFile) class(i int) control.Class {
	c := f.Classes[i]
	return control.Class{
		LatencyObjective: seconds(c.LatencyObjective),
		ObjectiveStretch: c.ObjectiveStretch,
		Deadline:         seconds(c.Deadline),
		PriorityWeight:   c.PriorityWeight,
		LateValue:        c.LateValue,
		Idempotency:      idempotency(c.Repeat),
		DedupScope:       dedupScope(c.DedupScope),
		DedupWindow:      seconds(c.DedupWindow),
		FreshFor:         seconds(elementOrZero(f.Site.FreshFor, i)),
		MaxStaleness:     seconds(elementOrZero(f.Site.MaxStaleness, i)),
		StaleValue:       elementOrZero(f.Site.StaleValue, i),
		Write:            elementOrZero(f.Site.Writes, i),
	}
}

func peerFillScope(value string) control.PeerScope {
	switch value {
	case peersOfZone:
		return control.PeerScopeZone
	case peersAny:
		return control.PeerScopeAny
	default:
		return control.PeerScopeNone
	}
}

// idempotency treats every unknown value as non-idempotent: requests of the class must not run twice.
func idempotency(value string) control.Idempotency {
	switch value {
	case repeatIdempotent:
		return control.Idempotent
	case repeatByKey:
		return control.IdempotentByKey
	default:
		return control.NonIdempotent
	}
}

func dedupScope(value string) control.DedupScope {
	switch value {
	case dedupZone:
		return control.DedupScopeZone
	case dedupCell:
		return control.DedupScopeCell
	default:
		return control.DedupScopeAll
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// elementOrZero returns an element of a list, or zero if the list is too short.
func elementOrZero[T any](list []T, i int) (element T) {
	if i < len(list) {
		element = list[i]
	}
	return element
}

func valueOr(p *int, defaultValue int) int {
	if p == nil {
		return defaultValue
	}
	return *p
}
