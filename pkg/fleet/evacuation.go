package fleet

import "time"

// evacuation is an operator's request to stop sending requests to the servers of a zone.
type evacuation struct {
	// from is when the load begins to move away, until when no more requests are sent to the zone.
	from, until time.Time
}

// progress returns the share of the load, 0 to 1, that should have moved away by now. It grows
// linearly, so that the servers in other zones do not receive the whole load at once.
func (e evacuation) progress(now time.Time) float64 {
	if !now.Before(e.until) {
		return 1
	}
	return max(0, float64(now.Sub(e.from))/float64(e.until.Sub(e.from)))
}

// Evacuate starts the evacuation of a zone and reports whether it is new. The load moves away
// linearly within the given time. After that no request is sent to a server of the zone, even if
// its service has no other.
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

// EndEvacuation ends the evacuation of a zone and reports whether there was one. The servers of the
// zone have served nothing in the meantime, so they count as cold for the warm-up time of their
// service.
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

// evacuatedShare returns the share of a server's load that should have moved away because its zone
// is under evacuation. The mutex is held.
func (f *Fleet) evacuatedShare(server *member, now time.Time) float64 {
	found, known := f.evacuations[server.Zone]
	if !known {
		return 0
	}
	return found.progress(now)
}

// isWithdrawn reports whether no requests may be sent to a server: it has ended, or its zone has
// been evacuated. The mutex is held.
func (f *Fleet) isWithdrawn(server *member, now time.Time) bool {
	return server.hasEnded(now) || f.evacuatedShare(server, now) >= 1
}

// isLastResort reports whether a server is used only if its service has no other: the server is
// leaving, or its zone is under evacuation and this request belongs to the share that has moved
// away. The share is drawn at random for each call. The mutex is held.
func (f *Fleet) isLastResort(server *member, now time.Time) bool {
	if server.isLeaving(now) {
		return true
	}
	share := f.evacuatedShare(server, now)
	return share > 0 && f.settings.Random.Float64() < share
}
