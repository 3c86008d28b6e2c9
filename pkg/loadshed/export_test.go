package loadshed

// Slots returns how many counts are held.
func (s *Sampler) Slots() int { return len(s.counts) }
