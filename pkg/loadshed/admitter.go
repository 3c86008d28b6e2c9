package loadshed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// shareTTL is how long shares are kept after their measurement: three times republishInterval. A
// node that receives no update falls back to its own measurements.
const shareTTL = 1500 * time.Millisecond

// Admitter holds the shares of services that this node has received or measured, and admits
// requests by them. It is safe for concurrent use.
type Admitter struct {
	// limitedCount counts the loads of which only a part is admitted, so that no lock is needed
	// without overload.
	limitedCount atomic.Int64

	mutex sync.RWMutex
	// entries is guarded by mutex.
	entries map[Key]shareEntry
}

// shareEntry holds the shares of one load.
type shareEntry struct {
	shares Shares
	// measuredAt is when the shares were computed.
	measuredAt time.Time
	// isLocal is set if this node measured the shares from its own requests alone.
	isLocal bool
}

// NewAdmitter returns an Admitter that admits everything.
func NewAdmitter() *Admitter { return &Admitter{entries: make(map[Key]shareEntry)} }

// AdmitsAll reports whether no load is limited, so that every request is admitted.
func (a *Admitter) AdmitsAll() bool { return a.limitedCount.Load() == 0 }

// LimitedServices returns how many loads are limited. A service counts once for each of its keys.
func (a *Admitter) LimitedServices() int { return int(a.limitedCount.Load()) }

// Update stores the shares that the owner of a service computed at measuredAt, unless newer ones
// are known.
func (a *Admitter) Update(key Key, shares Shares, measuredAt time.Time) {
	a.store(key, shareEntry{shares: shares, measuredAt: measuredAt})
}

// UpdateLocal stores shares that this node has computed from its own requests alone. Recent shares
// of an owner, which sees all requests, take precedence.
func (a *Admitter) UpdateLocal(key Key, shares Shares, measuredAt time.Time) {
	a.store(key, shareEntry{shares: shares, measuredAt: measuredAt, isLocal: true})
}

// store keeps an entry unless the known one is newer or, for a local entry, comes from an owner and
// is not older than shareTTL. While any load is limited, full shares are stored too, so that older
// shares that arrive later are ignored.
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

// updateLimitedCount recounts the limited loads. The mutex must be held.
func (a *Admitter) updateLimitedCount() {
	count := int64(0)
	for _, known := range a.entries {
		if !known.shares.IsFull() {
			count++
		}
	}
	a.limitedCount.Store(count)
}

// ShareOf returns the part of the requests of a class that is admitted for a load, 0 to 1.
func (a *Admitter) ShareOf(key Key, class Class, now time.Time) float64 {
	if a.AdmitsAll() {
		return 1
	}
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	share, _ := a.shareOf(key, class, now)
	return share
}

// Decision is the result of admission for one request.
type Decision struct {
	IsAdmitted bool
	// Class is the class of the request.
	Class Class
	// Share is the part of the requests like this one that is admitted, 0 to 1.
	Share float64
	// Shortfall is how far a refused request is from admission: 0 if it just missed it, 1 for the
	// requests that are admitted last.
	Shortfall float64
	// Skipped holds the positions of limited services that the request leaves to others, since it
	// can be answered without them; nil for none.
	Skipped []int
	// LimitingService is the service whose share became Share, and ShareAge the time since that
	// share was measured; zero if nothing limits the request.
	LimitingService string
	ShareAge        time.Duration
}

// Admit decides whether a request is admitted. It needs answers of at least required of the
// services and is bound to the regions with the key regions; sample is its value from a Sampler.
// The requests with the greatest sampling values are admitted, so that all services and nodes admit
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

// maxSkippable bounds the services that a request leaves to others, so that the scarcest ones fit
// in the fixed-size array in Admit.
const maxSkippable = 63

// limitedService is a service that admits only a part of the requests.
type limitedService struct {
	index int
	share float64
	age   time.Duration
}

// insertScarcest adds a service to the limit services with the smallest shares, which are in
// ascending order of their shares.
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

// decide admits a request if enough services admit it. Services that do not are skipped.
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

// shareOf returns the share of a class for a load and its age, or 1 and 0 if nothing recent is
// known. The mutex must be held.
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

// Sweep removes expired shares. It has to be called about every second.
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
