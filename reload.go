package turnfork

import (
	"context"
	"sync"

	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/discovery"
)

// watchReloads applies each reloaded configuration until ctx ends, without an effect on requests in flight. The endpoint list is
// watched at its new address from the last sequence number received, or a list in the file itself replaces the old one, and the
// runtime limits are set again. All other settings take effect at the next start.
func (gw *gateway) watchReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case node := <-gw.Reload:
			gw.reload(ctx, node)
		}
	}
}

// reload applies one configuration.
func (gw *gateway) reload(ctx context.Context, node config.Node) {
	SetRuntimeLimits(node.Cores, node.MemoryMB)
	switch {
	case gw.node.DiscoveryAddr == "":
		for _, event := range node.KnownEvents {
			gw.core.Post(event)
		}
	case node.DiscoveryAddr == "":
		gw.Log.Error().Str("field", "changelog").Str("reason", "missing").Msg("reload rejected")
		return
	default:
		select {
		case gw.addressChanges <- discovery.AddressChange{Addr: node.DiscoveryAddr}:
		case <-ctx.Done():
			return
		}
	}
	gw.Log.Info().Str("changelog", node.DiscoveryAddr).Msg("configuration reloaded")
}

// newWatcher creates the watcher of the endpoint list. Once the watcher has caught up for the first time, the gateway is marked
// as ready in this respect.
func (gw *gateway) newWatcher(ctx context.Context) *discovery.Watcher {
	watcher := &discovery.Watcher{
		Addr: gw.node.DiscoveryAddr, Seq: gw.node.KnownSeq, AddressChanges: gw.addressChanges, Post: gw.core.Post, Log: gw.Log,
	}
	var once sync.Once
	watcher.OnSynced = func() { once.Do(func() { gw.awaitEndpoints(ctx) }) }
	return watcher
}

// awaitEndpoints waits until the core has processed all events posted so far, and marks the endpoint list as synced. The core
// handles events in order, so the reply to a query posted now shows that.
func (gw *gateway) awaitEndpoints(ctx context.Context) {
	reply := make(chan core.Stats, 1)
	gw.core.Post(core.GetStats{Reply: reply})
	select {
	case <-reply:
		gw.admin.markReady(endpointsUnsynced)
	case <-ctx.Done():
	}
}
