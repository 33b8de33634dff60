package control

// Cache selection: which cache a request goes to.
//
// Weighted rendezvous hashing ("highest random weight"): each endpoint of a set gets a score from the hash
// of the object, the hash of the endpoint and its weight, and the endpoints are tried in the order of their
// scores. All gateways compute the same order, and none keeps a table of objects. A hot object, whose demand
// exceeds a share of one cache's link, is spread over several caches from the top of its order, and each
// request goes to the one of them with the least load.
//
// The order is the same as sorting all scores gives, but only its beginning is computed. A score takes a
// logarithm, which is skipped for all endpoints whose hash alone shows that they score below a cut. The cut
// is chosen such that a few endpoints are expected above it; if these do not suffice, the cut is lowered
// step by step until all endpoints are included.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	hotObjectShare  = 0.25            // each such share of a cache's link in demand adds one cache
	demandDecayTime = 2 * time.Second // time constant of the decay of an object's demand
)

const (
	prefixExpected        = 8       // endpoints expected above the first cut
	minPrefix             = 3       // a prefix with fewer endpoints is recomputed
	maxPrefix             = 4 * 8   // a prefix with more endpoints is recomputed
	cutFactor             = 8       // each further cut is expected to include this many times more endpoints
	maxRecentChanges      = 64      // set changes that are applied to a ranking one by one
	maxRankings           = 1 << 11 // capacity of the table of rankings
	rankingsClearInterval = 1 << 10 // set changes between clears of all rankings, to free endpoints
	minCut                = 1e-290  // below this cut, scores are too imprecise to skip endpoints by their hash
	hashMargin            = 1e-12   // safety margin on the hash bound, far above its rounding error
	endpointHashKey       = 0x9e3779b97f4a7c15
)

// ---- Selection ----

// selectCache returns the cache for a request, or nil if none can take it. If the link of that cache is
// full, it returns the cache that is known to hold the object, or the second one of the order if no fill is
// late.
func (c *Controller) selectCache(r *request) *endpoint {
	c.accrueBudgets(r)
	caches := c.firstCaches(r, 2)
	if len(caches) == 0 {
		return nil
	}
	o := c.objectEntry(r.demandKey())
	spread := 1 + int(o.demand/demandDecayTime.Seconds()/(hotObjectShare*caches[0].Weight))
	if spread > len(caches) {
		caches = c.firstCaches(r, spread)
	}
	best := slices.MinFunc(caches[:min(len(caches), max(1, spread))], func(a, b *endpoint) int {
		return cmp.Compare(a.relativeLoad(), b.relativeLoad())
	})
	if c.hasLinkCapacity(best) {
		return best
	}
	if holder := c.knownHolder(r); holder != nil && c.hasLinkCapacity(holder) {
		return holder
	}
	if len(caches) > 1 && c.hasLinkCapacity(caches[1]) && c.fillMayStart() && c.lateFills == 0 {
		return caches[1]
	}
	return best
}

// firstCaches returns the first caches of the request's order that may take it, at most limit of them. The
// next call reuses the slice.
func (c *Controller) firstCaches(r *request, limit int) []*endpoint {
	caches := c.candidates[:0]
	eligible := func(e *endpoint) bool { return e.available(c.now) && !r.failedAt(e) }
	rankings := c.rankingsOf(r)
	c.visitRanked(&rankings.caches, rankings.hash, setPair{&c.caches}, eligible, func(e *endpoint) bool {
		if c.permitted(r, e, e) {
			caches = append(caches, e)
		}
		return len(caches) < limit
	})
	c.candidates = caches
	return r.withoutLocalFailure(caches)
}

// knownHolder returns the cache that is known to hold the requested part, or nil if there is none or it
// cannot take the request.
func (c *Controller) knownHolder(r *request) *endpoint {
	e := c.endpoint(c.objectEntry(r.copyKey()).holder)
	if e == nil || !c.isCache(e) || !e.available(c.now) || r.failedAt(e) {
		return nil
	}
	if !c.permitted(r, e, e) || !c.knownToHold(r, e) {
		return nil
	}
	return e
}

// ---- Hashes and scores ----

// The multipliers of the finalizer of splitmix64.
const (
	splitmixMultiplier1 = 0xbf58476d1ce4e5b9
	splitmixMultiplier2 = 0x94d049bb133111eb
)

// splitmix is the finalizer of splitmix64.
func splitmix(x uint64) uint64 {
	x = (x ^ x>>30) * splitmixMultiplier1
	x = (x ^ x>>27) * splitmixMultiplier2
	return x ^ x>>31
}

// endpointKey returns the hash of an endpoint's id.
func endpointKey(id EndpointID) uint64 { return splitmix(uint64(id) + endpointHashKey) }

// objectHash returns the hash of a part of an object.
func objectHash(object ObjectID, part uint32) uint64 { return uint64(object) + splitmix(uint64(part)) }

// score is the weighted rendezvous score of a hash.
func score(weight float64, hash uint64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(u)
}

// rankWeight returns the weight used in the ranking: the weight of the endpoint, halved for each level of
// slowdown.
func (e *endpoint) rankWeight() float64 { return e.Weight * math.Exp2(-e.slowdownLevel) }

// scored is an endpoint with its score for some object.
type scored struct {
	endpoint *endpoint
	score    float64
}

// byScore compares by descending score. Endpoints with equal scores, which are rare, are ordered by
// ascending id.
func byScore(a, b scored) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.endpoint.ID, b.endpoint.ID)
}

// rank returns the complete order of the endpoints for which include returns true.
func (c *Controller) rank(object uint64, include func(*endpoint) bool) []*endpoint {
	var all []scored
	for _, e := range c.endpoints {
		if include(e) {
			all = append(all, scored{e, score(e.rankWeight(), splitmix(object+endpointKey(e.ID)))})
		}
	}
	slices.SortFunc(all, byScore)
	var ranked []*endpoint
	for _, s := range all {
		ranked = append(ranked, s.endpoint)
	}
	return ranked
}

// ---- The sets, as the endpoint list changes ----

// rendezvousSet is a set of endpoints that are ranked together by rendezvous hashing.
type rendezvousSet struct {
	classes []*weightClass
	size    int
}

// weightClass holds the endpoints of a set whose weights lie between two powers of two. The keys are stored
// contiguously, as each request scans all of them, and an endpoint is not accessed before its score is
// known.
type weightClass struct {
	exponent    int
	maxWeight   float64 // upper bound of the weights in the class
	totalWeight float64
	keys        []uint64
	weights     []float64
	endpoints   []*endpoint
}

// placement records the sets and lists that an endpoint is in.
type placement struct {
	set          *rendezvousSet
	class        *weightClass
	index        int // in the class
	weight       float64
	origin       bool // it is in the list of origins
	slowStarting bool // it is in the list of caches in slow start
	reporting    bool // it is in the list of endpoints with recent load reports
}

// updatePlacement updates the sets and lists that an endpoint is in after a change of its list entry, its
// weight or its start time.
func (c *Controller) updatePlacement(e *endpoint) {
	set := c.setOf(e)
	weight := e.rankWeight()
	if set != e.placement.set || weight != e.placement.weight {
		e.placement.remove()
		e.placement.weight = weight
		set.add(e)
		c.recordChange(e)
	}
	if origin := c.isOrigin(e); origin != e.placement.origin {
		e.placement.origin = origin
		c.rebuildOrigins()
	}
	if !e.placement.slowStarting && c.isCache(e) && e.StartedAt > 0 {
		e.placement.slowStarting = true
		c.slowStarting = append(c.slowStarting, e)
	}
}

// removeFromSets removes an endpoint that is no longer listed.
func (c *Controller) removeFromSets(e *endpoint) {
	if e.placement.set != nil {
		e.placement.remove()
		c.recordChange(e)
	}
	if e.placement.origin {
		e.placement.origin = false
		c.rebuildOrigins()
	}
}

// recordChange increments the version of the sets and records which endpoint changed.
func (c *Controller) recordChange(e *endpoint) {
	c.setVersion++
	c.recentChanges[c.setVersion%maxRecentChanges] = e
	if c.setVersion%rankingsClearInterval == 0 {
		clear(c.rankings)
	}
}

// setOf returns the set that an endpoint belongs to, or nil if it belongs to none.
func (c *Controller) setOf(e *endpoint) *rendezvousSet {
	switch {
	case c.isCache(e):
		return &c.caches
	case c.isParent(e) && e.Zone == c.hubOf(c.settings.Zone):
		return &c.hubParents
	case c.isParent(e):
		return &c.otherParents
	}
	return nil
}

// add inserts an endpoint into the set, in the class of its weight. A nil set ignores it.
func (s *rendezvousSet) add(e *endpoint) {
	p := &e.placement
	p.set = s
	if s == nil {
		return
	}
	class := s.classOf(p.weight)
	p.class = class
	p.index = len(class.keys)
	class.maxWeight = max(class.maxWeight, p.weight)
	class.totalWeight += p.weight
	class.keys = append(class.keys, endpointKey(e.ID))
	class.weights = append(class.weights, p.weight)
	class.endpoints = append(class.endpoints, e)
	s.size++
}

// classOf returns the class for a weight, and creates it if needed.
func (s *rendezvousSet) classOf(weight float64) *weightClass {
	_, exponent := math.Frexp(weight)
	for _, class := range s.classes {
		if class.exponent == exponent {
			return class
		}
	}
	class := &weightClass{exponent: exponent}
	s.classes = append(s.classes, class)
	return class
}

// remove removes the endpoint from its set. The last endpoint of its class is moved to the freed index.
func (p *placement) remove() {
	if p.set == nil {
		return
	}
	class := p.class
	last := len(class.keys) - 1
	class.keys[p.index] = class.keys[last]
	class.weights[p.index] = class.weights[last]
	class.endpoints[p.index] = class.endpoints[last]
	class.endpoints[p.index].placement.index = p.index
	class.endpoints[last] = nil
	class.keys = class.keys[:last]
	class.weights = class.weights[:last]
	class.endpoints = class.endpoints[:last]
	class.totalWeight -= p.weight
	if last == 0 {
		class.totalWeight = 0
		class.maxWeight = 0
	}
	p.set.size--
	p.set = nil
	p.class = nil
}

// ---- The order for one object ----

// setPair is the one or two sets whose endpoints are ranked together.
type setPair [2]*rendezvousSet

// ranking is the beginning of the order of the endpoints of some sets for one object: all endpoints whose
// score is not below the cut.
type ranking struct {
	version int // version of the sets for which it is valid; 0: not computed yet
	sets    setPair
	cut     float64
	prefix  []scored
}

// objectRankings are the rankings for one object.
type objectRankings struct {
	hash            uint64 // of the object
	caches          ranking
	parents         ranking
	fallbackParents ranking // used if no parent in parents is available
}

// cutFor returns the score above which about the expected number of endpoints of the sets lies. It returns
// minus infinity, which includes all endpoints, if that number is a large part of them.
func (sets setPair) cutFor(expected int) float64 {
	size := 0
	weight := 0.0
	for _, set := range sets {
		if set == nil {
			continue
		}
		size += set.size
		for _, class := range set.classes {
			weight += class.totalWeight
		}
	}
	cut := weight / float64(expected)
	if size <= 2*expected || !(cut > minCut) || math.IsInf(cut, 1) {
		return math.Inf(-1)
	}
	return cut
}

// minHash returns a hash below which no endpoint of the class can score as high as the cut.
func (class *weightClass) minHash(cut float64) uint64 {
	if !(cut > 0) {
		return 0
	}
	return uint64(max(0, math.Exp(-class.maxWeight/cut)-hashMargin) * (1 << 64))
}

// scan appends, in ranking order, the endpoints with a score of at least cut and less than below (NaN: no
// upper bound) for which eligible returns true. A nil eligible accepts all endpoints.
func (sets setPair) scan(
	list []scored, object uint64, cut, below float64, eligible func(*endpoint) bool,
) []scored {
	for _, set := range sets {
		if set == nil {
			continue
		}
		for _, class := range set.classes {
			list = class.scan(list, object, cut, below, eligible)
		}
	}
	slices.SortFunc(list, byScore)
	return list
}

// scan appends the matching endpoints of the class, unsorted.
func (class *weightClass) scan(
	list []scored, object uint64, cut, below float64, eligible func(*endpoint) bool,
) []scored {
	least := class.minHash(cut)
	keys := class.keys
	for i := nextAtLeast(keys, 0, object, least); i < len(keys); i = nextAtLeast(keys, i+1, object, least) {
		s := score(class.weights[i], splitmix(object+keys[i]))
		if s < cut || s >= below || eligible != nil && !eligible(class.endpoints[i]) {
			continue
		}
		list = append(list, scored{class.endpoints[i], s})
	}
	return list
}

// nextAtLeast returns the first index, starting at from, of a key whose hash with the object may be at least
// the given minimum. Only the upper 31 bits are compared.
func nextAtLeast(keys []uint64, from int, object, least uint64) int {
	least &^= 1<<33 - 1
	i := from
	for ; i+4 <= len(keys); i += 4 { // unrolled: takes a third less time than one key at a time
		four := keys[i : i+4 : i+4]
		if splitmixHighBits(object+four[0]) >= least || splitmixHighBits(object+four[1]) >= least ||
			splitmixHighBits(object+four[2]) >= least || splitmixHighBits(object+four[3]) >= least {
			break
		}
	}
	for ; i < len(keys); i++ {
		if splitmixHighBits(object+keys[i]) >= least {
			break
		}
	}
	return i
}

// splitmixHighBits is splitmix without its last step, which does not affect the upper 31 bits.
func splitmixHighBits(x uint64) uint64 {
	x = (x ^ x>>30) * splitmixMultiplier1
	return (x ^ x>>27) * splitmixMultiplier2
}

// rankingsOf returns the rankings for the requested part. The table is direct-mapped: objects that share an
// entry replace each other, and a replaced ranking is recomputed.
func (c *Controller) rankingsOf(r *request) *objectRankings {
	if c.rankings == nil {
		c.rankings = make([]*objectRankings, maxRankings)
	}
	hash := objectHash(r.Object, r.Part)
	entry := &c.rankings[splitmix(hash)%maxRankings]
	if *entry == nil {
		*entry = &objectRankings{}
	}
	rankings := *entry
	if rankings.hash != hash {
		rankings.hash = hash
		rankings.caches.version = 0
		rankings.parents.version = 0
		rankings.fallbackParents.version = 0
	}
	return rankings
}

// updateRanking brings a ranking up to date: it applies the changes of the sets one by one if they are few,
// and recomputes the ranking otherwise.
func (c *Controller) updateRanking(rank *ranking, object uint64, sets setPair) {
	known := rank.version > 0 && rank.sets == sets && c.setVersion-rank.version <= maxRecentChanges
	for known && rank.version < c.setVersion {
		rank.version++
		rank.applyChange(c.recentChanges[rank.version%maxRecentChanges], object)
	}
	complete := math.IsInf(rank.cut, -1)
	if known && len(rank.prefix) <= maxPrefix && (len(rank.prefix) >= minPrefix || complete) {
		return
	}
	rank.version = c.setVersion
	rank.sets = sets
	rank.cut = sets.cutFor(prefixExpected)
	c.scanned = sets.scan(c.scanned[:0], object, rank.cut, math.NaN(), nil)
	rank.prefix = append(rank.prefix[:0], c.scanned...)
}

// applyChange applies the change of one endpoint to the ranking.
func (rank *ranking) applyChange(e *endpoint, object uint64) {
	rank.prefix = slices.DeleteFunc(rank.prefix, func(s scored) bool { return s.endpoint == e })
	set := e.placement.set
	if set == nil || set != rank.sets[0] && set != rank.sets[1] {
		return
	}
	s := scored{e, score(e.placement.weight, splitmix(object+endpointKey(e.ID)))}
	if s.score < rank.cut {
		return
	}
	i, _ := slices.BinarySearchFunc(rank.prefix, s, byScore)
	rank.prefix = slices.Insert(rank.prefix, i, s)
}

// visitRanked calls yield for the endpoints of the sets for which eligible returns true, in the order of
// their scores for an object, until yield returns false. eligible must have no side effects: it is called
// for more endpoints than are yielded.
func (c *Controller) visitRanked(
	rank *ranking, object uint64, sets setPair, eligible, yield func(*endpoint) bool,
) {
	c.updateRanking(rank, object, sets)
	for _, s := range rank.prefix {
		if eligible(s.endpoint) && !yield(s.endpoint) {
			return
		}
	}
	cut := rank.cut
	for expected := prefixExpected * cutFactor; !math.IsInf(cut, -1); expected *= cutFactor {
		below := cut
		cut = min(cut, sets.cutFor(expected))
		c.scanned = sets.scan(c.scanned[:0], object, cut, below, eligible)
		for _, s := range c.scanned {
			if !yield(s.endpoint) {
				return
			}
		}
	}
}
