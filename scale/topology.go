package scale

import (
	"fmt"
	"slices"
)

// Sizes of the planned full deployment.
const (
	FullGateways = 3400
	FullSites    = 140
	FullVoters   = 5
	siteZones    = 28
	zoneRegions  = 8
)

// Topology assigns gateways to sites, sites to zones, and zones to regions.
type Topology struct {
	Gateways int
	Sites    int
}

// Site returns the site of a gateway.
func (t Topology) Site(gateway int) int { return gateway % t.Sites }

// zones and regions return the numbers of the full deployment, but no more zones than sites and no more regions than zones.
func (t Topology) zones() int   { return min(siteZones, t.Sites) }
func (t Topology) regions() int { return min(zoneRegions, t.zones()) }

// Zone returns the zone of a site.
func (t Topology) Zone(site int) int { return site * t.zones() / t.Sites }

// Region returns the region of a site.
func (t Topology) Region(site int) int { return t.Zone(site) * t.regions() / t.zones() }

// ZoneSites returns the sites of a zone.
func (t Topology) ZoneSites(zone int) []int {
	return t.sitesWhere(func(site int) bool { return t.Zone(site) == zone })
}

// RegionSites returns the sites of a region.
func (t Topology) RegionSites(region int) []int {
	return t.sitesWhere(func(site int) bool { return t.Region(site) == region })
}

func (t Topology) sitesWhere(matches func(site int) bool) (sites []int) {
	for site := range t.Sites {
		if matches(site) {
			sites = append(sites, site)
		}
	}
	return sites
}

// split divides the gateways into parts of about equal size, one per process. Empty parts are omitted.
func (t Topology) split(processes int) [][]int {
	parts := make([][]int, processes)
	for gateway := range t.Gateways {
		part := gateway * processes / t.Gateways
		parts[part] = append(parts[part], gateway)
	}
	return slices.DeleteFunc(parts, func(part []int) bool { return len(part) == 0 })
}

func gatewayName(gateway int) string { return fmt.Sprintf("gateway-%04d", gateway) }
func voterID(voter int) string       { return fmt.Sprintf("voter-%02d", voter+1) }
