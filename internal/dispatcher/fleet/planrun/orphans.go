package planrun

// Orphans is how many runs wait for a coordinator.
func (b *Tracker) Orphans() int { return len(b.orphans) }
