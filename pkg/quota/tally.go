package quota

// tally counts what a node decided about the requests of one tenant since its start. It outlives
// the tenant's meter, so that operators can read it after the tenant has become idle.
type tally struct {
	admitted int64
	refused  [refusalCount]uint64
}

// count records one decision.
func (t *tally) count(decision Decision) {
	if decision.IsAdmitted {
		t.admitted++
		return
	}
	t.refused[decision.Refusal]++
}

// tallyOf returns the tally of a tenant and creates it if there is none. The caller holds the
// mutex.
func (l *Limiter) tallyOf(tenant string) *tally {
	found := l.tallies[tenant]
	if found == nil {
		found = &tally{}
		l.tallies[tenant] = found
	}
	return found
}

// forgetTallies deletes the tallies of tenants that are no longer in the configuration. The caller
// holds the mutex.
func (l *Limiter) forgetTallies() {
	for tenant := range l.tallies {
		if l.meters[tenant] != nil {
			continue
		}
		if _, isKnown := l.options.LimitOf(tenant); !isKnown {
			delete(l.tallies, tenant)
		}
	}
}
