package quota

import "time"

// windowSlots is the number of slots of a windowCount. A slot is a twentieth of the span, small
// compared with the bounds that the count enforces. Events of the oldest slot count in part, as if
// they were spread evenly over it.
const windowSlots = 20

// windowCount counts the events of the last span in slots, so that its size does not grow with
// their number.
type windowCount struct {
	// slot is the length of a slot; slots are numbered from since.
	slot  time.Duration
	since time.Time
	// counts is a ring of the last slots; sum is their sum.
	counts [windowSlots + 1]int32
	sum    int32
	// latest is the number of the newest slot.
	latest int64
}

// newWindowCount returns an empty count over the given span.
func newWindowCount(span time.Duration, now time.Time) windowCount {
	return windowCount{slot: max(1, span/windowSlots), since: now}
}

// add counts events at the given time. A negative number takes back events, at most those of the
// current slot.
func (w *windowCount) add(count int32, now time.Time) {
	w.advance(now)
	current := &w.counts[w.latest%int64(len(w.counts))]
	count = max(count, -*current)
	*current += count
	w.sum += count
}

// read returns the number of events in the last span.
func (w *windowCount) read(now time.Time) float64 {
	w.advance(now)
	// The ring holds one slot more than the span: the part of the oldest slot that has left the
	// span is subtracted.
	elapsed := float64(now.Sub(w.since)%w.slot) / float64(w.slot)
	return float64(w.sum) - elapsed*float64(w.counts[(w.latest+1)%int64(len(w.counts))])
}

// timeUntilBelow returns the time until fewer than count events are left.
func (w *windowCount) timeUntilBelow(count int, now time.Time) time.Duration {
	w.advance(now)
	left, slots := int(w.sum), int64(len(w.counts))
	for number := max(0, w.latest-slots+1); number <= w.latest; number++ {
		left -= int(w.counts[number%slots])
		if left < count {
			return w.since.Add(time.Duration(number+slots) * w.slot).Sub(now)
		}
	}
	return time.Duration(slots) * w.slot
}

// advance clears the slots that have left the ring.
func (w *windowCount) advance(now time.Time) {
	current, slots := int64(now.Sub(w.since)/w.slot), int64(len(w.counts))
	for number := max(w.latest+1, current-slots+1); number <= current; number++ {
		w.sum -= w.counts[number%slots]
		w.counts[number%slots] = 0
	}
	w.latest = max(w.latest, current)
}
