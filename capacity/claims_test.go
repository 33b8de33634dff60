package capacity

import "testing"

// The life of a claim's record beyond its token: the leeway on both sides and the margin of package front/signed, and the retention
// of package replica, which bounds the number of records too.
const (
	claimRecords          = 1 << 20
	claimLeewaySeconds    = 2 * 10
	claimMarginSeconds    = 60
	claimRetentionSeconds = 600
	renewedUseSeconds     = 24 * 3600 // more for a token that can be renewed
)

// The replicated state carries as many uses of single-use tokens a second as docs/CAPACITY.md says, for tokens of each life.
func TestClaimRate(t *testing.T) {
	for _, x := range []struct {
		what        string
		lifeSeconds float64
		want        float64 // uses a second
	}{
		{"tokens of a day", 24 * 3600, 12},
		{"tokens of 20 s", 20, 1498},
		{"tokens of an hour", 3600, 245},
		{"tokens of an hour that can be renewed", 3600 + renewedUseSeconds, 11.6},
	} {
		kept := x.lifeSeconds + claimLeewaySeconds + claimMarginSeconds + claimRetentionSeconds
		rate := claimRecords / kept
		t.Logf("%s: %.1f uses/s", x.what, rate)
		checkNear(t, x.what, rate, x.want, 0.005)
	}
}
