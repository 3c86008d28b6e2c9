package loadshed

// Slots returns the number of counters.
func (s *Sampler) Slots() int { return len(s.counts) }
