package loadshed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// shareTTL is how long shares that are not told again are kept: three of the repetitions
// while they matter. A node that hears nothing falls back to what it sees itself.
const shareTTL = 1500 * time.Millisecond

// Board holds what this node was told of the room at services.
type Admitter struct {
	// limited counts the services that are short of room, so that nothing is locked without
	// overload.
	limitedCount atomic.Int64

	mutex sync.RWMutex
	// told is guarded by mutex.
	entries map[Key]shareEntry
}

// told are the shares of one service.
type shareEntry struct {
	shares Shares
	// measuredAt is when they were judged.
	measuredAt time.Time
	// isLocal says that this node has measured them by its own requests alone.
	isLocal bool
}

// NewAdmitter returns an empty board.
func NewAdmitter() *Admitter { return &Admitter{entries: make(map[Key]shareEntry)} }

// AdmitsAll reports whether every service is known to have room for all requests.
func (a *Admitter) AdmitsAll() bool { return a.limitedCount.Load() == 0 }

// Limited returns how many services are short of room.
func (a *Admitter) LimitedServices() int { return int(a.limitedCount.Load()) }

// Take notes the shares of a service as its owner judged them at a moment; older ones than
// those known are passed over.
func (a *Admitter) Update(key Key, shares Shares, measuredAt time.Time) {
	a.store(key, shareEntry{shares: shares, measuredAt: measuredAt})
}

// UpdateLocal notes shares that this node has judged by its own requests alone. Recent ones of
// an owner, who sees all, count before them.
func (a *Admitter) UpdateLocal(key Key, shares Shares, measuredAt time.Time) {
	a.store(key, shareEntry{shares: shares, measuredAt: measuredAt, isLocal: true})
}

// take notes shares, unless what is known of the service is newer or, for partial ones, a recent
// word of an owner. Full shares are noted too while any service is short of room, so that older
// ones that come later are passed over.
func (a *Admitter) store(key Key, entry shareEntry) {
	shares, measuredAt := entry.shares, entry.measuredAt
	if shares.IsFull() && a.AdmitsAll() {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	known, isKnown := a.entries[key]
	if isKnown && measuredAt.Before(known.measuredAt) {
		return
	}
	if isKnown && entry.isLocal && !known.isLocal && measuredAt.Sub(known.measuredAt) <= shareTTL {
		return
	}
	a.entries[key] = entry
	a.updateLimitedCount()
}

// updateLimitedCount counts the services that are short of room. The mutex is held.
func (a *Admitter) updateLimitedCount() {
	count := int64(0)
	for _, known := range a.entries {
		if !known.shares.IsFull() {
			count++
		}
	}
	a.limitedCount.Store(count)
}

// ShareOf returns the part of the requests of a class that a service has room for.
func (a *Admitter) ShareOf(key Key, class Class, now time.Time) float64 {
	if a.AdmitsAll() {
		return 1
	}
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	share, _ := a.shareOf(key, class, now)
	return share
}

// Decision is whether a request is let in.
type Decision struct {
	IsAdmitted bool
	// Class is what it was judged by.
	Class Class
	// Share is the part of the requests like this one that is let in.
	Share float64
	// Behind is how far the request's lot is from those that are let in, 0 to 1.
	Shortfall float64
	// Spared are the positions of services that are left to others, since the request can be
	// answered without them; nil for none.
	Skipped []int
	// Scarcest is the service that decided Share, and Age how old its shares are.
	LimitingService string
	ShareAge        time.Duration
}

// Admit decides about a request that needs some of the services, and is bound to the regions with
// a key. The requests with the greatest lots are let in, so that all services and nodes let in
// the same ones.
func (a *Admitter) Admit(
	services []string, regions string, required int, class Class, sample uint64, now time.Time,
) Decision {
	if a.AdmitsAll() {
		return Decision{IsAdmitted: true, Class: class, Share: 1}
	}
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	var buffer [maxSkippable + 1]limitedService
	skippable := min(max(0, len(services)-max(1, required)), maxSkippable)
	scarcest := buffer[:0]
	for index, service := range services {
		share, age := a.shareOf(Key{Service: service, Regions: regions}, class, now)
		if share < 1 {
			scarcest = insertScarcest(scarcest, limitedService{index: index, share: share, age: age}, skippable+1)
		}
	}
	decision := decide(services, scarcest, skippable, sample)
	decision.Class = class
	return decision
}

// maxSkippable bounds the services that a request leaves to others, so that the scarcest fit in
// an array of Admit.
const maxSkippable = 63

// scarce is a service of which only a part of the requests is let in.
type limitedService struct {
	index int
	share float64
	age   time.Duration
}

// insert keeps the scarcest services, the scarcest first, at most so many.
func insertScarcest(scarcest []limitedService, added limitedService, limit int) []limitedService {
	position := len(scarcest)
	for position > 0 && scarcest[position-1].share > added.share {
		position--
	}
	if position >= limit {
		return scarcest
	}
	if len(scarcest) < limit {
		scarcest = append(scarcest, limitedService{})
	}
	copy(scarcest[position+1:], scarcest[position:])
	scarcest[position] = added
	return scarcest
}

// decide lets a request in if enough services have room for it. Those that have none for it
// are left to others.
func decide(services []string, scarcest []limitedService, skippable int, sample uint64) Decision {
	quantile := 1 - float64(sample)/math.MaxUint64
	decision := Decision{IsAdmitted: true, Share: 1}
	if len(scarcest) > skippable {
		limiting := scarcest[skippable]
		decision.Share, decision.LimitingService, decision.ShareAge = limiting.share, services[limiting.index], limiting.age
		decision.IsAdmitted = quantile <= limiting.share
	}
	if !decision.IsAdmitted {
		decision.Shortfall = (quantile - decision.Share) / (1 - decision.Share)
		return decision
	}
	for _, each := range scarcest {
		if quantile > each.share && len(decision.Skipped) < skippable {
			decision.Skipped = append(decision.Skipped, each.index)
		}
	}
	return decision
}

// shareOf returns the share of a class at a service, 1 if nothing recent is known. The mutex
// is held.
func (a *Admitter) shareOf(key Key, class Class, now time.Time) (float64, time.Duration) {
	known, isKnown := a.entries[key]
	if !isKnown {
		return 1, 0
	}
	age := now.Sub(known.measuredAt)
	if age > shareTTL {
		return 1, 0
	}
	return known.shares.Of(class), age
}

// Sweep forgets shares that are old. It is called every second or so.
func (a *Admitter) Sweep(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for key, known := range a.entries {
		if now.Sub(known.measuredAt) > shareTTL {
			delete(a.entries, key)
		}
	}
	a.updateLimitedCount()
}
