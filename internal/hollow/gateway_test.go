package hollow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
)

// recorder is an Observer that records its notifications.
type recorder struct {
	mu      sync.Mutex
	purges  []uint64
	configs []string
}

func (r *recorder) PurgeApplied(object uint64, _ uint16, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purges = append(r.purges, object)
}

func (r *recorder) ConfigApplied(name string, _ []byte, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs = append(r.configs, name)
}

func newGateway(t testing.TB, observer Observer) *Gateway {
	t.Helper()
	operator, err := config.ParseOperator(OperatorText(DefaultEndpoints), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	g, err := New(Options{Operator: operator, Seed: 1, Clock: clock.System(), Log: zerolog.Nop(), Observer: observer})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := g.Close(); err != nil {
			t.Error(err)
		}
	})
	return g
}

// Purges are reported in order once the core has handled them, and Flush waits for all purges received before it.
func TestPurgesAreReportedInOrder(t *testing.T) {
	var recorded recorder
	g := newGateway(t, &recorded)
	const purges = 100
	for i := range purges {
		g.plane.Purged(distribution.Change{Kind: distribution.KindPurge, Object: uint64(i + 1), At: time.Now().UnixMilli()})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if !g.Flush(ctx) {
		t.Fatal("Flush returned before the core had handled the purges")
	}
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	if len(recorded.purges) != purges {
		t.Fatalf("%d purges reported, want %d", len(recorded.purges), purges)
	}
	for i, object := range recorded.purges {
		if object != uint64(i+1) {
			t.Fatalf("purge %d is of object %d", i, object)
		}
	}
}

// Policy and changes of the endpoint list are applied and reported to the observer. A deletion of an unknown name is not
// reported, and a gateway without voters in its configuration has no subscriber.
func TestConfigurationIsApplied(t *testing.T) {
	var recorded recorder
	g := newGateway(t, &recorded)
	g.plane.Configured(signed.ConfigPolicy, []byte(`{"leeway_ms":1000,"token_seconds":600}`))
	g.plane.Configured(ConfigEndpoints, []byte(`{"stores":[{"id":3,"addr":"127.0.0.1:9","zone":1,"kind":0,"weight":5}]}`))
	g.plane.Configured("withdrawn", nil)
	if len(recorded.configs) != 2 || recorded.configs[0] != signed.ConfigPolicy || recorded.configs[1] != ConfigEndpoints {
		t.Errorf("configuration reported: %v", recorded.configs)
	}
	if g.Subscriber() != nil {
		t.Error("gateway without voters has a subscriber")
	}
}

// Measures the cost of a purge in the control plane, including its handling by the core.
func BenchmarkPurge(b *testing.B) {
	g := newGateway(b, nil)
	for i := 0; b.Loop(); i++ {
		g.plane.Purged(distribution.Change{Kind: distribution.KindPurge, Object: uint64(i + 1), At: time.Now().UnixMilli()})
	}
	g.Flush(context.Background())
}
