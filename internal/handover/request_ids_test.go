package handover

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"turnfork.dev/turnfork/core"
)

// openTables opens the table of a folder as two processes do, with a clock that the test sets.
func openTables(t *testing.T) (a, b *RequestIDs, now *atomic.Uint64, dir string) {
	t.Helper()
	dir, now = t.TempDir(), &atomic.Uint64{}
	now.Store(1_000_000)
	open := func() *RequestIDs {
		r, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.Close() })
		ids, err := r.OpenRequestIDs()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ids.Close() })
		ids.now = now.Load
		return ids
	}
	return open(), open(), now, dir
}

func TestRequestIDs(t *testing.T) {
	a, b, now, dir := openTables(t)
	expect := func(what string, got, want core.IDClaim) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %d, want %d", what, got, want)
		}
	}
	expect("first claim", a.Claim(7, 1000), core.IDClaimed)
	expect("claim at the other process", b.Claim(7, 1000), core.IDHeldByProcess)
	expect("second claim of the holder", a.Claim(7, 2000), core.IDClaimed)
	now.Add(1500)
	expect("before the expiry", b.Claim(7, 1000), core.IDHeldByProcess)
	a.Extend(7, 5000)
	now.Add(4000)
	expect("before the extended expiry", b.Claim(7, 1000), core.IDHeldByProcess)
	b.Release(7) // has no effect, as the other process holds it
	expect("after a release by another process", b.Claim(7, 1000), core.IDHeldByProcess)
	a.Release(7)
	expect("after the release", b.Claim(7, 1000), core.IDClaimed)
	now.Add(1002)
	expect("after the expiry", a.Claim(7, 1000), core.IDClaimed)

	for i := range uint64(bucketSlots - 1) { // the bucket has one claim
		expect("further claims of the bucket", a.Claim(7+(i+1)*requestIDBuckets, 1000), core.IDClaimed)
	}
	expect("full bucket", b.Claim(7+bucketSlots*requestIDBuckets, 1000), core.IDTableFull)
	now.Store(10) // the system was restarted, with the folder kept
	expect("claims of an earlier start of the system", b.Claim(7, 1000), core.IDClaimed)
	if info, err := os.Stat(filepath.Join(dir, requestIDsFile)); err != nil || info.Size() != int64(requestIDsSize) {
		t.Errorf("%v, %v", info, err)
	}
}

// Two processes that claim the same IDs at the same time must never both succeed.
func TestRequestIDsAreClaimedOnce(t *testing.T) {
	a, b, _, _ := openTables(t)
	const ids = 20_000
	var claimed [2][ids]bool
	for round := range uint64(3) {
		var claiming sync.WaitGroup
		for i, table := range []*RequestIDs{a, b} {
			claiming.Go(func() {
				for id := range uint64(ids) {
					key := round*ids + id
					claimed[i][id] = table.Claim(key, 60_000) == core.IDClaimed
				}
			})
		}
		claiming.Wait()
		both, none := 0, 0
		for id := range ids {
			if claimed[0][id] && claimed[1][id] {
				both++
			}
			if !claimed[0][id] && !claimed[1][id] {
				none++
			}
			a.Release(round*ids + uint64(id))
			b.Release(round*ids + uint64(id))
		}
		if both > 0 {
			t.Errorf("%d IDs were claimed by both processes", both)
		}
		t.Logf("%d of %d IDs were claimed by neither", none, ids)
	}
}

// A folder that can't hold the table is an error, not a crash at the first claim.
func TestRequestIDsWithoutFolder(t *testing.T) {
	r := New(filepath.Join(t.TempDir(), "missing"), nil)
	if ids, err := r.OpenRequestIDs(); err == nil {
		ids.Close()
		t.Error("opened a table in a folder that does not exist")
	}
}
