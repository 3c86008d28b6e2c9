package configsync

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Waits between the attempts of a node that is not ready.
const (
	initialBootstrapBackoff = 250 * time.Millisecond
	maxBootstrapBackoff     = 4 * time.Second
	// storeReadTimeout bounds a read of the store by a node without peers; a
	// node with peers waits only for CallTimeout.
	storeReadTimeout = 15 * time.Second
	// peerPollInterval is the time between looks for a first peer.
	peerPollInterval = 100 * time.Millisecond
)

// evidence is what one attempt to fetch everything has reached.
type fetchResult struct {
	// store is whether the whole of the store was read.
	storeRead bool
	// peers counts the ready peers that were compared with.
	readyPeers int
}

// bootstrap fetches what peers and the store hold, until that is enough to be
// ready: the store and every peer that was asked and answers, or without the
// store at least one peer that is ready itself.
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

// awaitFirstPeer waits a while for membership to find a first peer.
func (r *Replica) awaitFirstPeer(ctx context.Context) {
	deadline := time.Now().Add(r.options.PeerWait)
	for len(r.alivePeers()) == 0 && time.Now().Before(deadline) {
		if !r.pause(ctx, peerPollInterval) {
			return
		}
	}
}

// backoffLimit bounds the wait between two attempts so that all nodes
// together, should all of them start during an outage, keep within the store's
// share of calls.
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

// fetch asks some peers and the store once each. Peers come first: what they
// hold is then known when the store is read, so a store that went back shows.
func (r *Replica) fetchAll(ctx context.Context) fetchResult {
	var result fetchResult
	for _, partner := range r.bootstrapPeers() {
		isReady, err := r.exchange(ctx, partner, SourceBootstrap)
		if err != nil {
			r.logger.Debug("peer not reached", "peer", partner.ID, "error", err)
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

// bootstrapPeers picks random peers, one of them of another zone if there is
// one.
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

// fetchStore reads all templates of the store with one call.
func (r *Replica) fetchStore(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	entries, index, err := r.options.Store.List(ctx, stored.Root)
	r.recordStoreCall(index, err)
	if err != nil {
		r.logger.Warn("store not read", "error", err)
		return false
	}
	r.applyStoreState(stored.Root, entries, started, SourceBootstrap)
	return true
}
