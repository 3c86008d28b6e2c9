package configsync

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Time limits of a node that is not ready.
const (
	initialBootstrapBackoff = 250 * time.Millisecond
	maxBootstrapBackoff     = 4 * time.Second
	// storeReadTimeout bounds a full read of the store. During bootstrap it applies only if no ready
	// peer was reached; otherwise CallTimeout applies.
	storeReadTimeout = 15 * time.Second
	// peerPollInterval is the time between checks for a first peer.
	peerPollInterval = 100 * time.Millisecond
)

// fetchResult says which sources one bootstrap attempt has reached.
type fetchResult struct {
	// storeRead is set if the whole store was read.
	storeRead bool
	// readyPeers counts the ready peers with which a comparison succeeded.
	readyPeers int
}

// bootstrap fetches the templates from peers and the store until the node may become ready. It needs
// the store or, if the store is unavailable, at least one peer that is ready itself. Each attempt
// also merges the documents of every selected peer that answers.
func (r *Replica) bootstrap(ctx context.Context) {
	started := time.Now()
	r.awaitFirstPeer(ctx)
	backoff := initialBootstrapBackoff
	for ctx.Err() == nil {
		result := r.fetchAll(ctx)
		if r.isSufficient(result, time.Since(started)) {
			r.becomeReady(result)
			return
		}
		r.logger.Warn("not ready: neither the store nor a ready peer was reached", "waited", time.Since(started).String())
		if !r.pause(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, r.backoffLimit())
	}
}

// awaitFirstPeer waits up to PeerWait for membership to find a first peer.
func (r *Replica) awaitFirstPeer(ctx context.Context) {
	deadline := time.Now().Add(r.options.PeerWait)
	for len(r.alivePeers()) == 0 && time.Now().Before(deadline) {
		if !r.pause(ctx, peerPollInterval) {
			return
		}
	}
}

// backoffLimit returns the longest wait between two attempts. It grows with the number of nodes, so
// that all nodes together stay within StoreCallsPerSecond even if all of them start during an
// outage.
func (r *Replica) backoffLimit() time.Duration {
	nodes := len(r.zoneOrder(0)) * r.zoneCount()
	return max(maxBootstrapBackoff, seconds(float64(nodes)/r.options.StoreCallsPerSecond))
}

func (r *Replica) isSufficient(result fetchResult, waited time.Duration) bool {
	mayRunAlone := r.options.StandaloneAfter > 0 && waited >= r.options.StandaloneAfter
	return result.storeRead || result.readyPeers > 0 || mayRunAlone
}

func (r *Replica) becomeReady(result fetchResult) {
	r.ready.Store(true)
	r.logger.Info("ready", "store", result.storeRead, "peers", result.readyPeers, "templates", len(r.List()))
	r.notify()
}

// fetchAll compares with some peers and reads the store, once each. Peers come first: their
// documents are then known when the store is read, so a store that was rolled back is detected.
func (r *Replica) fetchAll(ctx context.Context) fetchResult {
	var result fetchResult
	for _, partner := range r.bootstrapPeers() {
		isReady, err := r.exchange(ctx, partner, SourceBootstrap)
		if err != nil {
			r.logger.Debug("bootstrap comparison with peer failed", "peer", partner.ID, "error", err)
			continue
		}
		if isReady {
			result.readyPeers++
		}
	}
	timeout := r.options.CallTimeout
	if result.readyPeers == 0 {
		timeout = storeReadTimeout
	}
	result.storeRead = r.fetchStore(ctx, timeout)
	return result
}

// bootstrapPeers picks up to BootstrapPeers random peers, at least one of them from another zone if
// there is one.
func (r *Replica) bootstrapPeers() []Peer {
	var sameZone, elsewhere []Peer
	r.mutex.Lock()
	subject := r.random.Uint64()
	r.mutex.Unlock()
	for _, candidate := range r.zoneOrder(subject) {
		if candidate.ID != r.options.Self.ID {
			sameZone = append(sameZone, candidate.Peer)
		}
	}
	for _, members := range r.otherZones(subject) {
		elsewhere = append(elsewhere, members[0].Peer)
	}
	if len(elsewhere) == 0 {
		return sameZone[:min(len(sameZone), r.options.BootstrapPeers)]
	}
	sameZone = sameZone[:min(len(sameZone), r.options.BootstrapPeers-1)]
	return append(sameZone, elsewhere[:min(len(elsewhere), r.options.BootstrapPeers-len(sameZone))]...)
}

// fetchStore reads all templates from the store with one call. It reports whether the read
// succeeded.
func (r *Replica) fetchStore(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	entries, index, err := r.options.Store.List(ctx, stored.Root)
	r.recordStoreCall(index, err)
	if err != nil {
		r.logger.Warn("bootstrap read of the store failed", "error", err)
		return false
	}
	r.applyStoreState(stored.Root, entries, started, SourceBootstrap)
	return true
}
