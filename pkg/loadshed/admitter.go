package loadshed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// shareLife is how long shares that are not told again are kept: three of the repetitions
// while they matter. A node that hears nothing falls back to what it sees itself.
const shareLife = 1500 * time.Millisecond

// Board holds what this node was told of the room at services.
type Admitter struct {
	// limited counts the services that are short of room, so that nothing is locked without
	// overload.
	limited atomic.Int64

	mutex sync.RWMutex
	// told is guarded by mutex.
	told map[Key]told
}

// told are the shares of one service.
type told struct {
	shares Shares
	// measuredAt is when they were judged.
	measuredAt time.Time
	// isPartial says that this node has measured them by its own requests alone.
	isPartial bool
}

// NewAdmitter returns an empty board.
func NewAdmitter() *Admitter { return &Admitter{told: make(map[Key]told)} }

// AdmitsAll reports whether every service is known to have room for all requests.
func (b *Admitter) AdmitsAll() bool { return b.limited.Load() == 0 }

// Limited returns how many services are short of room.
func (b *Admitter) LimitedServices() int { return int(b.limited.Load()) }

// Take notes the shares of a service as its owner judged them at a moment; older ones than
// those known are passed over.
func (b *Admitter) Update(key Key, shares Shares, measuredAt time.Time) {
	b.take(key, told{shares: shares, measuredAt: measuredAt})
}

// UpdateLocal notes shares that this node has judged by its own requests alone. Recent ones of
// an owner, who sees all, count before them.
func (b *Admitter) UpdateLocal(key Key, shares Shares, measuredAt time.Time) {
	b.take(key, told{shares: shares, measuredAt: measuredAt, isPartial: true})
}

// take notes shares, unless what is known of the service is newer or, for partial ones, a recent
// word of an owner. Full shares are noted too while any service is short of room, so that older
// ones that come later are passed over.
func (b *Admitter) take(key Key, taken told) {
	shares, measuredAt := taken.shares, taken.measuredAt
	if shares.IsFull() && b.AdmitsAll() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, isKnown := b.told[key]
	if isKnown && measuredAt.Before(known.measuredAt) {
		return
	}
	if isKnown && taken.isPartial && !known.isPartial && measuredAt.Sub(known.measuredAt) <= shareLife {
		return
	}
	b.told[key] = taken
	b.countLimited()
}

// countLimited counts the services that are short of room. The mutex is held.
func (b *Admitter) countLimited() {
	count := int64(0)
	for _, known := range b.told {
		if !known.shares.IsFull() {
			count++
		}
	}
	b.limited.Store(count)
}

// ShareOf returns the part of the requests of a class that a service has room for.
func (b *Admitter) ShareOf(key Key, class Class, now time.Time) float64 {
	if b.AdmitsAll() {
		return 1
	}
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	share, _ := b.shareOf(key, class, now)
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
func (b *Admitter) Admit(
	services []string, regions string, required int, class Class, lot uint64, now time.Time,
) Decision {
	if b.AdmitsAll() {
		return Decision{IsAdmitted: true, Class: class, Share: 1}
	}
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var room [maxSpareable + 1]scarce
	spareable := min(max(0, len(services)-max(1, required)), maxSpareable)
	least := room[:0]
	for index, service := range services {
		share, age := b.shareOf(Key{Service: service, Regions: regions}, class, now)
		if share < 1 {
			least = insert(least, scarce{index: index, share: share, age: age}, spareable+1)
		}
	}
	decision := decide(services, least, spareable, lot)
	decision.Class = class
	return decision
}

// maxSpareable bounds the services that a request leaves to others, so that the scarcest fit in
// an array of Admit.
const maxSpareable = 63

// scarce is a service of which only a part of the requests is let in.
type scarce struct {
	index int
	share float64
	age   time.Duration
}

// insert keeps the scarcest services, the scarcest first, at most so many.
func insert(least []scarce, added scarce, most int) []scarce {
	position := len(least)
	for position > 0 && least[position-1].share > added.share {
		position--
	}
	if position >= most {
		return least
	}
	if len(least) < most {
		least = append(least, scarce{})
	}
	copy(least[position+1:], least[position:])
	least[position] = added
	return least
}

// decide lets a request in if enough services have room for it. Those that have none for it
// are left to others.
func decide(services []string, least []scarce, spareable int, lot uint64) Decision {
	position := 1 - float64(lot)/math.MaxUint64
	decision := Decision{IsAdmitted: true, Share: 1}
	if len(least) > spareable {
		deciding := least[spareable]
		decision.Share, decision.LimitingService, decision.ShareAge = deciding.share, services[deciding.index], deciding.age
		decision.IsAdmitted = position <= deciding.share
	}
	if !decision.IsAdmitted {
		decision.Shortfall = (position - decision.Share) / (1 - decision.Share)
		return decision
	}
	for _, each := range least {
		if position > each.share && len(decision.Skipped) < spareable {
			decision.Skipped = append(decision.Skipped, each.index)
		}
	}
	return decision
}

// shareOf returns the share of a class at a service, 1 if nothing recent is known. The mutex
// is held.
func (b *Admitter) shareOf(key Key, class Class, now time.Time) (float64, time.Duration) {
	known, isKnown := b.told[key]
	if !isKnown {
		return 1, 0
	}
	age := now.Sub(known.measuredAt)
	if age > shareLife {
		return 1, 0
	}
	return known.shares.Of(class), age
}

// Sweep forgets shares that are old. It is called every second or so.
func (b *Admitter) Sweep(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key, known := range b.told {
		if now.Sub(known.measuredAt) > shareLife {
			delete(b.told, key)
		}
	}
	b.countLimited()
}
