package fleet

import "time"

// evacuation is an operator's request to send nothing more to the servers of a zone.
type evacuation struct {
	// from is when the load begins to leave, until when nothing goes there any more.
	from, until time.Time
}

// progress returns how much of the load is to have left by now, 0 to 1. It grows evenly,
// so that the servers elsewhere do not get all of it in one moment.
func (e evacuation) progress(now time.Time) float64 {
	if !now.Before(e.until) {
		return 1
	}
	return max(0, float64(now.Sub(e.from))/float64(e.until.Sub(e.from)))
}

// Evacuate takes that nothing more is to be sent to the servers of a zone, and reports
// whether that is new. Within a span the load leaves it evenly; afterwards none of its
// servers is asked, also if its service has no other.
func (f *Fleet) Evacuate(zone string, within time.Duration, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, known := f.evacuations[zone]; known {
		return false
	}
	f.evacuations[zone] = evacuation{from: now, until: now.Add(within)}
	f.generation++
	return true
}

// EndEvacuation takes that the servers of a zone may be asked again, and reports whether
// they were not. They have served nothing meanwhile, so they are taken for cold until
// the span is over in which their service warms up.
func (f *Fleet) EndEvacuation(zone string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, known := f.evacuations[zone]; !known {
		return false
	}
	delete(f.evacuations, zone)
	f.generation++
	for _, each := range f.members {
		if each.Zone == zone {
			each.markCold(now.Add(f.warmUps[each.Service].Span))
			f.wakeWaiters(each, now)
		}
	}
	return true
}

// evacuatedShare returns how much of the load of a server is to have left it, since its
// zone is being evacuated. The mutex is held.
func (f *Fleet) evacuatedShare(server *member, now time.Time) float64 {
	found, known := f.evacuations[server.Zone]
	if !known {
		return 0
	}
	return found.progress(now)
}

// isWithdrawn reports whether a server is not asked at all: it has ended, or its zone is
// evacuated. The mutex is held.
func (f *Fleet) isWithdrawn(server *member, now time.Time) bool {
	return server.hasEnded(now) || f.evacuatedShare(server, now) >= 1
}

// isLastResort reports whether a server is asked only if its service has no other: it
// leaves, or this request is one of those that go elsewhere while its zone is being
// evacuated. The mutex is held.
func (f *Fleet) isLastResort(server *member, now time.Time) bool {
	if server.isLeaving(now) {
		return true
	}
	share := f.evacuatedShare(server, now)
	return share > 0 && f.settings.Random.Float64() < share
}
