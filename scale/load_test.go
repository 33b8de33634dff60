package scale

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/hollow"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

var fullLoad = Load{Purges: 46, ChangesPerDay: 8100, Burst: 100, Revocations: 0.5, EndpointListInterval: 20 * time.Second}

// The same seed generates the same operations and another seed different ones, in chronological order. Each operation that
// is observed at gateways has a unique key.
func TestOperationsAreReproducibleFromSeed(t *testing.T) {
	const duration = 10 * time.Minute
	operations := fullLoad.Operations(duration, 7)
	if !reflect.DeepEqual(operations, fullLoad.Operations(duration, 7)) {
		t.Error("the same seed generated different operations")
	}
	if reflect.DeepEqual(operations, fullLoad.Operations(duration, 8)) {
		t.Error("another seed generated the same operations")
	}
	counts := map[distribution.Kind]int{}
	keys := map[uint64]bool{}
	for i, operation := range operations {
		counts[operation.Kind]++
		if operation.Key != 0 && keys[operation.Key] {
			t.Errorf("two operations have the key %d", operation.Key)
		}
		keys[operation.Key] = true
		if i > 0 && operation.At < operations[i-1].At {
			t.Errorf("operation %d is out of order", i)
		}
	}
	within := func(kind distribution.Kind, least, most int) {
		if n := counts[kind]; n < least || n > most {
			t.Errorf("%d operations of kind %s, want %d to %d", n, kind, least, most)
		}
	}
	within(distribution.KindPurge, 26000, 29000)        // mean 27,600
	within(distribution.KindPut, 100+30+20, 100+30+100) // a burst, 30 changes of the endpoint list and a mean of 56 more
	within(distribution.KindRevoke, 200, 400)           // mean 300
}

// Generated configuration values are valid for the parsers of gateways, and keys, policy and endpoint list all occur.
func TestGeneratedValuesAreValid(t *testing.T) {
	seen := map[string]bool{}
	for _, operation := range fullLoad.Operations(5*time.Minute, 1) {
		if operation.Kind != distribution.KindPut {
			continue
		}
		seen[operation.Name] = true
		if operation.Key != ConfigKey(operation.Name, operation.Value) {
			t.Errorf("the key of %s does not match its content", operation.Name)
		}
		switch operation.Name {
		case signed.ConfigKeys:
			var keys []token.Key
			if err := json.Unmarshal(operation.Value, &keys); err != nil {
				t.Error(err)
			}
			if _, err := ring.New(keys); err != nil {
				t.Error(err)
			}
		case signed.ConfigPolicy:
			var policy signed.Policy
			if err := json.Unmarshal(operation.Value, &policy); err != nil || policy.TokenSeconds <= 0 || policy.LeewayMs > 300000 {
				t.Errorf("%+v, %v", policy, err)
			}
		case hollow.ConfigEndpoints:
			var change hollow.EndpointChange
			if err := json.Unmarshal(operation.Value, &change); err != nil || len(change.Endpoints) == 0 {
				t.Errorf("%+v, %v", change, err)
			}
		}
	}
	for _, name := range []string{signed.ConfigKeys, signed.ConfigPolicy, hollow.ConfigEndpoints} {
		if !seen[name] {
			t.Errorf("no change of %s was generated", name)
		}
	}
}

// Every site is in one zone, every zone in one region, and split assigns every gateway to one process.
func TestTopologyNestsAndSplits(t *testing.T) {
	topology := Topology{Gateways: FullGateways, Sites: FullSites}
	sites := 0
	for zone := range siteZones {
		sites += len(topology.ZoneSites(zone))
		region := topology.Region(topology.ZoneSites(zone)[0])
		for _, site := range topology.ZoneSites(zone) {
			if topology.Region(site) != region {
				t.Errorf("zone %d spans two regions", zone)
			}
		}
	}
	inRegions := 0
	for region := range zoneRegions {
		inRegions += len(topology.RegionSites(region))
	}
	if sites != FullSites || inRegions != FullSites {
		t.Errorf("%d sites in zones, %d in regions, want %d", sites, inRegions, FullSites)
	}
	gateways := 0
	for _, part := range topology.split(7) {
		gateways += len(part)
	}
	if gateways != FullGateways {
		t.Errorf("%d gateways in processes", gateways)
	}
}
