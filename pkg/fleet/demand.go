package fleet

import (
	"maps"
	"math"
	"time"
)

// Constants of the share of requests that a service can take.
const (
	// judgedSpan is over which time, and leastJudged over how many outcomes at least,
	// requests that ended for want of room are counted together.
	judgedSpan  = 100 * time.Millisecond
	leastJudged = 5
	// toleratedLoss is the part of the requests let in that may end for want of room
	// without a smaller share being let in. A little more than servers can take keeps
	// them busy; the order of the waits decides about the rest.
	toleratedLoss = 0.05
	// greatestCut bounds how much less is let in at once, shareStep is how much more is
	// let in after a judgedSpan with less loss: an overload that ends is found out within
	// some seconds.
	greatestCut = 0.5
	shareStep   = 0.02
	// leastShare is always let in, so that a change is noticed.
	leastShare = 0.05
	// absenceQuiet is the time without a request that found no server after which
	// nothing is known of it any more.
	absenceQuiet = time.Second
)

// demand is what is known of the load of a service beyond what its servers can take.
// The mutex of the Fleet guards it.
type demand struct {
	// share is the part of the requests that is let in, those with the greatest lots.
	share float64
	// cutAt is when the share was lowered last; requests that were let in before tell
	// nothing new.
	cutAt time.Time
	// judgedAt is when let and lost were judged last: the outcomes since.
	judgedAt  time.Time
	let, lost int
	// absentSince is since when requests have found no server, absentAt when one did
	// last.
	absentSince, absentAt time.Time
}

// DemandKey names the load on the servers that some requests may use.
type DemandKey struct {
	// Service is the first service of the requests.
	Service string
	// Regions is the key of the regions to which they are bound.
	Regions string
}

// demand names the load that a choice is counted in.
func (c Choice) demand() DemandKey { return DemandKey{Service: c.Service, Regions: c.Regions.Key()} }

// demandOf returns what is known of a load. The mutex is held.
func (f *Fleet) demandOf(key DemandKey, now time.Time) *demand {
	found := f.demands[key]
	if found == nil {
		found = &demand{share: 1, judgedAt: now}
		f.demands[key] = found
	}
	return found
}

// forgetDemands drops what is known of a service without servers. The mutex is held.
func (f *Fleet) forgetDemands(service string) {
	maps.DeleteFunc(f.demands, func(key DemandKey, _ *demand) bool { return key.Service == service })
}

// Admits reports whether a request of a lot is let in. What it does not let in would
// wait behind what it does, and the lots are alike at all services and nodes, so that
// the same requests are let in everywhere. The requests of a set of services are kept
// under the name of its first one.
func (f *Fleet) Admits(key DemandKey, lot uint64, now time.Time) bool {
	return float64(lot)/math.MaxUint64 >= 1-f.admittedShare(key, now)
}

// IsOverloaded reports whether only a part of the requests is let in.
func (f *Fleet) IsOverloaded(key DemandKey, now time.Time) bool {
	return f.admittedShare(key, now) < 1
}

func (f *Fleet) admittedShare(key DemandKey, now time.Time) float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.demands[key]
	if known == nil {
		return 1
	}
	known.judge(now)
	return known.share
}

// NoteDemand takes whether a request that was let in at a moment was served, in time or
// late, or ended for want of room.
func (f *Fleet) NoteDemand(key DemandKey, letIn time.Time, served bool, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if served && f.demands[key] == nil {
		return
	}
	noted := f.demandOf(key, now)
	if letIn.Before(noted.cutAt) {
		return
	}
	noted.let++
	if !served {
		noted.lost++
	}
	noted.judge(now)
}

// judge adapts the share to the outcomes since it was last done.
func (d *demand) judge(now time.Time) {
	spans := int(now.Sub(d.judgedAt) / judgedSpan)
	if spans <= 0 || d.lost > 0 && d.let < leastJudged {
		return
	}
	loss := float64(d.lost) / float64(max(1, d.let))
	if loss > toleratedLoss {
		d.share = max(leastShare, d.share*(1-min(loss-toleratedLoss, greatestCut)))
		d.cutAt = now
	} else {
		d.share = min(1, d.share+shareStep*float64(spans))
	}
	d.let, d.lost, d.judgedAt = 0, 0, now
}

// noteAbsent notes that a request has found no server. The mutex is held.
func (d *demand) noteAbsent(now time.Time) {
	if now.Sub(d.absentAt) > absenceQuiet {
		d.absentSince = now
	}
	d.absentAt = now
}

// AbsentFor returns for how long requests for a service have found no server; zero if
// they find one or nothing is known lately. It is expected to last about as long again.
func (f *Fleet) AbsentFor(key DemandKey, now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.demands[key]
	if known == nil || now.Sub(known.absentAt) > absenceQuiet {
		return 0
	}
	return now.Sub(known.absentSince)
}
