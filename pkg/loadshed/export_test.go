package loadshed

// Slots returns how many counts are held.
func (l *Sampler) Slots() int { return len(l.seen) }
