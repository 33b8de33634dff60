package hollow

import (
	"encoding/json"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// ConfigEndpoints is the configuration name under which the test rig distributes changes of the endpoint list.
const ConfigEndpoints = "stores"

// EndpointChange is the value of ConfigEndpoints: the endpoints whose entries change.
type EndpointChange struct {
	Endpoints []EndpointEntry `json:"stores"`
}

// EndpointEntry describes one endpoint in an EndpointChange.
type EndpointEntry struct {
	ID     uint32  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   int     `json:"zone"`
	Kind   int     `json:"kind"`
	Weight float64 `json:"weight"`
}

// updateEndpoints posts a change of the endpoint list to the core. Invalid values are logged and ignored.
func (g *Gateway) updateEndpoints(value []byte) {
	var change EndpointChange
	if err := json.Unmarshal(value, &change); err != nil {
		g.log.Error().Err(err).Msg("invalid JSON in endpoint list change; change ignored")
		return
	}
	event := core.EndpointList{}
	for _, entry := range change.Endpoints {
		event.Endpoints = append(event.Endpoints, core.Endpoint{Addr: entry.Addr, Info: control.Endpoint{
			ID: control.EndpointID(entry.ID), Zone: entry.Zone, Kind: entry.Kind, Weight: entry.Weight, State: control.Ready,
		}})
	}
	g.core.Post(event)
}
