package simproto

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"turnfork.dev/turnfork/control"
)

// deploymentSettings are the settings in which deployments differ, and the values that are expected from them.
type deploymentSettings struct {
	maxAttempts                                              int
	drainGrace, purgeGrace, collapseWindow, maxRetryAfter    float64 // seconds
	collapseMultiple, parentCollapseMultiple, slowStartShare float64
	slowStart, parentSlowStart, parentSlowStartShare         float64
	repeat, says, weights                                    string
	dedupWindow, freshFor                                    float64
	marksRetries, joinsFills, bypassesCaches                 bool
	reportFields                                             []string
	gatewaysByZone, hubOfZone                                []int
	linkKBps                                                 []float64
	wantIdempotency                                          control.Idempotency
	wantDetailedResults, wantWeightsKnown                    bool
}

// json returns the settings in the form of the wire.
func (f deploymentSettings) json() string {
	return fmt.Sprintf(`{"balancers":3,"az":1,"kinds":["box","parent","origin"],"weights":%q,"quantum":0.001,
		"allowed":{"max-attempts":%d,"max-retry-after":%g,"cancel":true},"clients":{"marks-retry":%t},
		"classes":[{"aim":0.7,"deadline":3,"repeat":%q,"group":"all","key-ttl":%g,"worth":3}],
		"guarantees":{"drain-grace":%g,"fall":%g,"fall-multiple":%g,"cold":%g,"cold-share":%g},
		"family-info":{"notice-time":%g,"upper-fall-multiple":%g,"parent-warms-in":%g,"parent-starts-at":%g,"says":%q,
		"joins":%t,"straight":%t,"class-fresh":[%g],"seats-by-zone":%s,"zone-hub":%s,"link-in-kb-per-s":%s,
		"client-kb-per-s":3400,"shield-kind":1,"origin-kind":2},"report":{"fields":%s,"via":"pull"}}`,
		f.weights, f.maxAttempts, f.maxRetryAfter, f.marksRetries, f.repeat, f.dedupWindow, f.drainGrace, f.collapseWindow,
		f.collapseMultiple, f.slowStart, f.slowStartShare, f.purgeGrace, f.parentCollapseMultiple, f.parentSlowStart,
		f.parentSlowStartShare, f.says, f.joinsFills, f.bypassesCaches, f.freshFor, toJSON(f.gatewaysByZone),
		toJSON(f.hubOfZone), toJSON(f.linkKBps), toJSON(f.reportFields))
}

func toJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: all values are lists of numbers or strings
	}
	return string(text)
}

// Every setting in which deployments differ is taken from the settings of the instance, not from a default.
func TestSettingsOfDifferentDeployments(t *testing.T) {
	for name, f := range map[string]deploymentSettings{
		"non-idempotent writes, detailed answers, known weights": {
			maxAttempts: 8, drainGrace: 0.25, purgeGrace: 1, collapseWindow: 1, maxRetryAfter: 0.5, collapseMultiple: 4,
			parentCollapseMultiple: 2, slowStartShare: 0.15, slowStart: 17, parentSlowStart: 18, parentSlowStartShare: 0.07,
			repeat: "single_shot", says: "all", weights: "nominal", dedupWindow: 5, freshFor: 12, bypassesCaches: true,
			reportFields: []string{"inflight", "util", "x0", "x1"}, gatewaysByZone: []int{0, 2, 1}, hubOfZone: []int{0, 0, 0},
			linkKBps:        []float64{0, 17871, 18528},
			wantIdempotency: control.NonIdempotent, wantDetailedResults: true, wantWeightsKnown: true,
		},
		"idempotent by key, plain answers, unknown weights": {
			maxAttempts: 6, drainGrace: 0.5, purgeGrace: 0.3, collapseWindow: 2, maxRetryAfter: 2, collapseMultiple: 3,
			parentCollapseMultiple: 2.5, slowStartShare: 0.18, slowStart: 16, parentSlowStart: 22, parentSlowStartShare: 0.09,
			repeat: "guarded", says: "hit", weights: "silent", dedupWindow: 2, marksRetries: true, joinsFills: true,
			reportFields: []string{"util", "x0"}, gatewaysByZone: []int{0, 1, 3, 1}, hubOfZone: []int{0, 1, 0, 1},
			linkKBps:        []float64{0, 0},
			wantIdempotency: control.IdempotentByKey,
		},
	} {
		s, fields, err := Settings([]byte(f.json()))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		c := s.Classes[0]
		for what, ok := range map[string]bool{
			"max attempts":    s.MaxAttempts == f.maxAttempts,
			"drain grace":     s.DrainGrace == seconds(f.drainGrace),
			"purge grace":     s.PurgeGrace == seconds(f.purgeGrace),
			"collapse":        s.CollapseWindow == seconds(f.collapseWindow) && s.CollapseMultiple == f.collapseMultiple && s.ParentCollapseMultiple == f.parentCollapseMultiple,
			"slow start":      s.SlowStartShare == f.slowStartShare && s.SlowStartDuration == seconds(f.slowStart) && s.ParentSlowStartDuration == seconds(f.parentSlowStart) && s.ParentSlowStartShare == f.parentSlowStartShare,
			"max Retry-After": s.MaxRetryAfter == seconds(f.maxRetryAfter),
			"idempotency":     c.Idempotency == f.wantIdempotency && c.DedupWindow == seconds(f.dedupWindow) && c.DedupScope == control.DedupScopeAll,
			"marked retries":  s.ClientsMarkRetries == f.marksRetries,
			"answer details":  s.ResultsDetailed == f.wantDetailedResults,
			"fill joining":    s.CanJoinFills == f.joinsFills,
			"cache bypass":    s.CanBypassCaches == f.bypassesCaches,
			"freshness":       c.FreshFor == seconds(f.freshFor),
			"weights":         s.WeightsKnown == f.wantWeightsKnown,
			"report fields":   slices.Equal(fields, f.reportFields),
			"gateways":        slices.Equal(s.GatewaysByZone, f.gatewaysByZone),
			"hubs":            slices.Equal(s.HubOfZone, f.hubOfZone),
			"links":           slices.Equal(s.LinkKBps, f.linkKBps),
		} {
			if !ok {
				t.Errorf("%s: %s differs from the settings: %+v", name, what, s)
			}
		}
	}
}
