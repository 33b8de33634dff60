package replica

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"

	"turnfork.dev/turnfork/distribution"
)

// Encoding and decoding a batch returns it unchanged, and a purge is encoded in few bytes.
func TestBatchMessage(t *testing.T) {
	at := func(revision distribution.Revision, term uint64) distribution.Position {
		return distribution.Position{Revision: revision, Term: term}
	}
	const now = 1764576000123
	purge := func(revision distribution.Revision, atMS int64) distribution.Change {
		return distribution.Change{Position: at(revision, 7), Kind: distribution.KindPurge, Object: math.MaxUint64 - uint64(revision), At: atMS}
	}
	batches := map[string]*distribution.Batch{
		"empty": {After: at(3, 1)},
		"every kind": {After: at(100, 6), Changes: []distribution.Change{
			purge(101, now),
			{Position: at(102, 7), Kind: distribution.KindPurge, Group: 17, At: now - 40},
			{Position: at(107, 7), Kind: distribution.KindPut, Name: "keys", Value: json.RawMessage(`[{"id":"a<b"}]`), At: now + 3},
			{Position: at(108, 9), Kind: distribution.KindRevoke, Name: "k/1", Until: math.MaxInt64, At: now + 3},
		}},
		"from the first position, times not ascending": {Changes: []distribution.Change{purge(1, now), purge(math.MaxUint64, 0)}},
	}
	for name, batch := range batches {
		t.Run(name, func(t *testing.T) {
			block, err := encodeBatch(batch)
			if err != nil {
				t.Fatal(err)
			}
			var message voterMessage
			if err := json.Unmarshal(block[blockHeaderSize:], &message); err != nil || message.Batch == nil {
				t.Fatalf("%s: %v", block[blockHeaderSize:], err)
			}
			got := message.Batch.batch()
			if got.After != batch.After || len(got.Changes) != len(batch.Changes) {
				t.Fatalf("got %+v, want %+v", got, batch)
			}
			for i := range got.Changes {
				if !reflect.DeepEqual(got.Changes[i], batch.Changes[i]) {
					t.Errorf("got %+v, want %+v", got.Changes[i], batch.Changes[i])
				}
			}
		})
	}

	const purges, maxBytes = 100, 45
	large := &distribution.Batch{After: at(1000, 7)}
	for i := range purges {
		large.Changes = append(large.Changes, purge(distribution.Revision(1001+i), now+int64(21*i)))
	}
	block, err := encodeBatch(large)
	if err != nil {
		t.Fatal(err)
	}
	if each := len(block) / purges; each > maxBytes {
		t.Errorf("%d bytes for each purge, want at most %d", each, maxBytes)
	}
}
