package loadshed

// Slots returns how many counts are held.
func (l *Lots) Slots() int { return len(l.seen) }
