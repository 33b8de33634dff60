package discovery

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// SettingNames are the settings' lists of zones and kinds; the gateway numbers zones and kinds by their index in these lists.
type SettingNames struct{ Zones, Kinds []string }

// The JSON form of the events in the configuration, whose field names differ from the terms used in the code: "known" holds the
// events up to a sequence number, "fleet" is an endpoint list, "full" marks a snapshot, "invalidate" is a purge, and "bucket"
// the group of objects purged.
type (
	knownEvents struct {
		Seq     uint64
		Results []knownEvent
	}
	knownEvent struct {
		Seq        uint64
		Fleet      *knownEndpointList
		Invalidate *knownPurge
	}
	knownEndpointList struct {
		Full    bool
		Servers []knownEndpoint
	}
	knownEndpoint struct {
		ID, Addr, Zone, Kind, State string
		Cell                        int
		Weight                      float64
		StartedMs                   float64 `json:"started_ms"`
	}
	knownPurge struct {
		Object string
		Bucket *uint16
		Time   float64
	}
)

// endpointStatesByName maps the state names of the configuration to endpoint states.
var endpointStatesByName = map[string]control.State{
	"Ready":       control.Ready,
	"Terminating": control.Draining,
	"Gone":        control.Gone,
}

// ParseKnown parses the events in the configuration. The watch is to resume after the sequence number that it returns.
func ParseKnown(text json.RawMessage, names SettingNames) (seq uint64, events []core.Event, err error) {
	if len(text) == 0 {
		return 0, nil, nil
	}
	var known knownEvents
	if err := json.Unmarshal(text, &known); err != nil {
		return 0, nil, fmt.Errorf("known: %w", err)
	}
	for i, entry := range known.Results {
		event, err := entry.toEvent(names)
		if err != nil {
			return 0, nil, fmt.Errorf("known.results[%d].%w", i, err)
		}
		if event != nil {
			events = append(events, event)
		}
	}
	return known.Seq, events, nil
}

// toEvent returns the event of an entry, or nil if it has none that the gateway uses.
func (e knownEvent) toEvent(names SettingNames) (core.Event, error) {
	switch {
	case e.Invalidate != nil:
		return e.Invalidate.toEvent()
	case e.Fleet != nil:
		return e.Fleet.toEvent(names)
	default:
		return nil, nil
	}
}

func (p knownPurge) toEvent() (core.Event, error) {
	if p.Bucket != nil {
		return core.Purge{Group: *p.Bucket, At: p.Time}, nil
	}
	object, err := strconv.ParseUint(p.Object, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("invalidate.object: %q is not a hexadecimal object hash", p.Object)
	}
	return core.Purge{Object: object, At: p.Time}, nil
}

func (l knownEndpointList) toEvent(names SettingNames) (core.Event, error) {
	list := core.EndpointList{Snapshot: l.Full}
	for i, entry := range l.Servers {
		endpoint, err := entry.toEndpoint(names)
		if err != nil {
			return nil, fmt.Errorf("fleet.servers[%d]%w", i, err)
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// toEndpoint validates and converts one entry of a list. Its errors start with the remainder of the path to the field.
func (e knownEndpoint) toEndpoint(names SettingNames) (core.Endpoint, error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(e.ID, "s-"), 16, 32)
	if err != nil {
		return core.Endpoint{}, fmt.Errorf(".id: %q is no id", e.ID)
	}
	state, ok := endpointStatesByName[e.State]
	if !ok {
		return core.Endpoint{}, fmt.Errorf(".state: %q is not a valid state", e.State)
	}
	zone := slices.Index(names.Zones, e.Zone)
	kind := slices.Index(names.Kinds, e.Kind)
	if zone < 0 || kind < 0 {
		return core.Endpoint{}, fmt.Errorf(": zone %q or kind %q is not in the settings", e.Zone, e.Kind)
	}
	return core.Endpoint{
		Addr: e.Addr,
		Info: control.Endpoint{
			ID:        control.EndpointID(id),
			State:     state,
			Zone:      zone,
			Kind:      kind,
			Cell:      e.Cell,
			Weight:    e.Weight,
			StartedAt: clock.Duration(max(0, e.StartedMs)),
		},
	}, nil
}
