package configsync

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Waits between the attempts of a node that is not ready.
const (
	firstBootstrapWait = 250 * time.Millisecond
	maxBootstrapWait   = 4 * time.Second
	// slowStorePatience bounds a read of the store by a node without peers; a
	// node with peers waits only for CallTimeout.
	slowStorePatience = 15 * time.Second
	// peerPoll is the time between looks for a first peer.
	peerPoll = 100 * time.Millisecond
)

// evidence is what one attempt to fetch everything has reached.
type evidence struct {
	// store is whether the whole of the store was read.
	store bool
	// peers counts the ready peers that were compared with.
	peers int
}

// bootstrap fetches what peers and the store hold, until that is enough to be
// ready: the store and every peer that was asked and answers, or without the
// store at least one peer that is ready itself.
func (r *Replica) bootstrap(ctx context.Context) {
	started := time.Now()
	r.awaitPeers(ctx)
	wait := firstBootstrapWait
	for ctx.Err() == nil {
		reached := r.fetch(ctx)
		if r.isEnough(reached, time.Since(started)) {
			r.becomeReady(reached)
			return
		}
		r.logger.Warn("not ready: neither the store nor a ready peer was reached", "waited", time.Since(started).String())
		if !r.pause(ctx, wait) {
			return
		}
		wait = min(2*wait, r.bootstrapLimit())
	}
}

// awaitPeers waits a while for membership to find a first peer.
func (r *Replica) awaitPeers(ctx context.Context) {
	deadline := time.Now().Add(r.options.PeerWait)
	for len(r.alivePeers()) == 0 && time.Now().Before(deadline) {
		if !r.pause(ctx, peerPoll) {
			return
		}
	}
}

// bootstrapLimit bounds the wait between two attempts so that all nodes
// together, should all of them start during an outage, keep within the store's
// share of calls.
func (r *Replica) bootstrapLimit() time.Duration {
	nodes := len(r.zoneOrder(0)) * r.zoneCount()
	return max(maxBootstrapWait, seconds(float64(nodes)/r.options.StoreCallsPerSecond))
}

func (r *Replica) isEnough(reached evidence, waited time.Duration) bool {
	isAlone := r.options.StandaloneAfter > 0 && waited >= r.options.StandaloneAfter
	return reached.store || reached.peers > 0 || isAlone
}

func (r *Replica) becomeReady(reached evidence) {
	r.ready.Store(true)
	r.logger.Info("ready", "store", reached.store, "peers", reached.peers, "templates", len(r.List()))
	r.notify()
}

// fetch asks some peers and the store once each. Peers come first: what they
// hold is then known when the store is read, so a store that went back shows.
func (r *Replica) fetch(ctx context.Context) evidence {
	var reached evidence
	for _, partner := range r.bootstrapPeers() {
		isReady, err := r.exchange(ctx, partner, SourceBootstrap)
		if err != nil {
			r.logger.Debug("peer not reached", "peer", partner.ID, "error", err)
			continue
		}
		if isReady {
			reached.peers++
		}
	}
	patience := r.options.CallTimeout
	if reached.peers == 0 {
		patience = slowStorePatience
	}
	reached.store = r.fetchStore(ctx, patience)
	return reached
}

// bootstrapPeers picks random peers, one of them of another zone if there is
// one.
func (r *Replica) bootstrapPeers() []Peer {
	var own, others []Peer
	r.mutex.Lock()
	subject := r.random.Uint64()
	r.mutex.Unlock()
	for _, candidate := range r.zoneOrder(subject) {
		if candidate.ID != r.options.Self.ID {
			own = append(own, candidate.Peer)
		}
	}
	for _, members := range r.otherZones(subject) {
		others = append(others, members[0].Peer)
	}
	if len(others) == 0 {
		return own[:min(len(own), r.options.BootstrapPeers)]
	}
	own = own[:min(len(own), r.options.BootstrapPeers-1)]
	return append(own, others[:min(len(others), r.options.BootstrapPeers-len(own))]...)
}

// fetchStore reads all templates of the store with one call.
func (r *Replica) fetchStore(ctx context.Context, patience time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	started := time.Now()
	entries, index, err := r.options.Store.List(ctx, stored.Root)
	r.noteStoreCall(index, err)
	if err != nil {
		r.logger.Warn("store not read", "error", err)
		return false
	}
	r.takeStoreState(stored.Root, entries, started, SourceBootstrap)
	return true
}
