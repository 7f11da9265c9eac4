package budget

// updateAllocation changes an allocation and keeps the totals up to date.
func (t *AllocationTable) updateAllocation(s *budgetState, l *allocation, change func()) {
	s.held.add(l, -1)
	change()
	s.held.add(l, 1)
}

// addQuarantine adds a quarantine, unless it is empty.
func (s *budgetState) addQuarantine(r quarantine) {
	if r.Amount > 0 || r.Burst > 0 || r.Floor {
		s.Quarantines = append(s.Quarantines, r)
		s.quarantined.addQuarantine(r, 1)
	}
}

// reservedFloors returns what is reserved for the floor slots that no holder has.
func (s *budgetState) reservedFloors() (amount, burst int64) {
	slots := max(s.FloorSlots-s.held.floors-s.quarantined.floors, 0)
	if s.Floor == 0 {
		slots = 0
	}
	return int64(slots) * toMicros(s.Floor), int64(slots) * s.burstPerFloor()
}

// available returns what may be granted now. It is below 0 while holders still have more
// than a lowered total.
func (s *budgetState) available() (amount, burst int64) {
	amount, burst = s.reservedFloors()
	return toMicros(s.Total) - amount - s.held.amount - s.quarantined.amount,
		toMicros(s.Burst) - burst - s.held.burst - s.quarantined.burst
}

// grant offers a holder what is due to it, as far as that is available, and returns the
// grant that answers its renewal.
func (t *AllocationTable) grant(h *holder) Grant {
	g := Grant{Process: h.Process, Incarnation: h.Incarnation, Lease: t.Lease, Shares: make([]Share, len(t.Budgets))}
	if h.OfferedGrant == h.AcknowledgedGrant {
		changed := h.OfferedGrant == 0
		for i, s := range t.Budgets {
			l := &h.Allocations[i]
			t.updateAllocation(s, l, func() { changed = s.offer(l) || changed })
		}
		if changed {
			t.LastGrant++
			h.OfferedGrant = t.LastGrant
		}
	}
	g.Number = h.OfferedGrant
	for i, s := range t.Budgets {
		l := &h.Allocations[i]
		o := l.Offered
		g.Shares[i] = Share{
			Name: s.Name, Kind: s.Kind, Amount: fromMicros(o.Amount), Burst: fromMicros(o.Burst),
			Floor: fromMicros(o.Floor), FloorDuration: o.FloorDuration, SettleTime: o.SettleTime,
		}
		awaitsDivision := s.NeedsDivision && l.Due == 0 && l.Demand > 0
		if awaitsDivision || s.Kind != Divided && float64(o.Amount) < (1-demandTolerance)*float64(l.Due+o.Floor) {
			g.RenewSoon = true
		}
	}
	return g
}

// offer sets what is offered to a holder that has acknowledged its last grant, and reports
// whether that is a change. During the call the allocation must not be part of the totals.
func (s *budgetState) offer(l *allocation) bool {
	held, next, slot := l.upperBound(), allotment{SettleTime: s.SettleTime}, 0
	free, burst := s.available()
	if others := s.held.floors + s.quarantined.floors; s.Floor > 0 && others < s.FloorSlots && (held.Floor > 0 || free >= 0 && burst >= 0) {
		slot = 1 // the reservation of this slot is available to it
		next.Floor, next.FloorDuration = toMicros(s.Floor), s.FloorDuration
	}
	s.NeedsDivision = s.NeedsDivision || (slot > 0) != (held.Floor > 0)
	s.held.floors += slot
	free, burst = s.available()
	s.held.floors -= slot
	// Jobs in flight above the acknowledged amount allow no growth: they may be counted twice,
	// as a process that returns after its lease's expiry reports jobs that are already in
	// quarantine.
	next.Amount = min(l.Due+next.Floor, max(l.Acknowledged.Amount, free))
	next.Floor = min(next.Floor, next.Amount)
	switch s.Kind {
	case Rate:
		next.Burst = min(l.DueBurst+int64(slot)*s.burstPerFloor(), max(l.Acknowledged.Burst, burst))
		if next.Burst < microsPerUnit {
			next.Burst = 0
		}
	case InFlight:
		next.Amount -= next.Amount % microsPerUnit
	}
	changed := next != l.Acknowledged
	l.Offered = next
	return changed
}
