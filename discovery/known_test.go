package discovery

import (
	"encoding/json"
	"testing"

	"turnfork.dev/turnfork/core"
)

func TestParseKnown(t *testing.T) {
	seq, evs, err := ParseKnown(json.RawMessage(`{"seq":43,"results":[
		{"seq":41,"fleet":{"version":7,"full":true,"servers":[{"id":"s-00c41f7a","addr":"10.1.0.9:5050","zone":"east",
		"kind":"std","cell":2,"state":"Ready","weight":4,"started_ms":1764576000123}]}},
		{"seq":42,"invalidate":{"object":"7f3a9c21e0b4d655","time":1764576000123}},
		{"seq":43,"invalidate":{"bucket":17,"time":1764576000480}}]}`), SettingNames{Zones: []string{"west", "east"}, Kinds: []string{"std"}})
	if err != nil || seq != 43 || len(evs) != 3 {
		t.Fatal(seq, evs, err)
	}
	if s := evs[0].(core.EndpointList); !s.Snapshot || s.Endpoints[0].Info.Zone != 1 || s.Endpoints[0].Info.ID != 0xc41f7a {
		t.Errorf("%+v", s)
	}
	if p := evs[2].(core.Purge); p.Group != 17 || p.Object != 0 {
		t.Errorf("%+v", p)
	}
	if _, _, err := ParseKnown(json.RawMessage(`{"results":[{"fleet":{"servers":[{"id":"s-1","zone":"x"}]}}]}`), SettingNames{}); err == nil {
		t.Error("an endpoint with an unknown zone was accepted")
	}
}
