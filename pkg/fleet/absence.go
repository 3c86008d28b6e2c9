package fleet

import (
	"maps"
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// absenceExpiry is the time without a request that found no server after which nothing is
// known of it any more.
const absenceExpiry = time.Second

// absence is since when requests of a load have found no server, and when one did last. The
// mutex of the Fleet guards it.
type absence struct{ since, lastAt time.Time }

// load names the load that a choice is counted in.
func (c Choice) loadKey() loadshed.Key {
	return loadshed.Key{Service: c.Service, Regions: c.Regions.Key()}
}

// recordAbsence notes that a request has found no server. The mutex is held.
func (f *Fleet) recordAbsence(key loadshed.Key, now time.Time) {
	known := f.absences[key]
	if now.Sub(known.lastAt) > absenceExpiry {
		known.since = now
	}
	known.lastAt = now
	f.absences[key] = known
}

// forgetAbsences drops what is known of a service without servers. The mutex is held.
func (f *Fleet) forgetAbsences(service string) {
	maps.DeleteFunc(f.absences, func(key loadshed.Key, _ absence) bool { return key.Service == service })
}

// NoServerDuration returns for how long requests for a service have found no server; zero if
// they find one or nothing is known lately. It is expected to last about as long again.
func (f *Fleet) NoServerDuration(key loadshed.Key, now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.absences[key]
	if !isKnown || now.Sub(known.lastAt) > absenceExpiry {
		return 0
	}
	return now.Sub(known.since)
}
