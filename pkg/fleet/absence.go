package fleet

import (
	"maps"
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// absenceExpiry is how long an absence is remembered after the last request that found no server.
const absenceExpiry = time.Second

// absence records a period in which requests of one load found no server: since is when the first
// of them failed to find one, lastAt when the last did. The mutex of the Fleet guards it.
type absence struct{ since, lastAt time.Time }

// loadKey returns the key of the load that this choice is counted in.
func (c Choice) loadKey() loadshed.Key {
	return loadshed.Key{Service: c.Service, Regions: c.Regions.Key()}
}

// recordAbsence records that a request has found no server. The mutex is held.
func (f *Fleet) recordAbsence(key loadshed.Key, now time.Time) {
	known := f.absences[key]
	if now.Sub(known.lastAt) > absenceExpiry {
		known.since = now
	}
	known.lastAt = now
	f.absences[key] = known
}

// forgetAbsences drops the absences of a service that has no servers any more. The mutex is held.
func (f *Fleet) forgetAbsences(service string) {
	maps.DeleteFunc(f.absences, func(key loadshed.Key, _ absence) bool { return key.Service == service })
}

// NoServerDuration returns for how long requests of a load have found no server; zero if they find
// one or if none was sent within absenceExpiry. The absence is expected to last about as long
// again.
func (f *Fleet) NoServerDuration(key loadshed.Key, now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.absences[key]
	if !isKnown || now.Sub(known.lastAt) > absenceExpiry {
		return 0
	}
	return now.Sub(known.since)
}
