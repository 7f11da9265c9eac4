package budget

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Leave processes a planned shutdown. The process has closed its Allowance before. What it
// held of a Rate is available at once, what it left in flight is quarantined until its
// latest deadline, and its parts of Divided budgets for SettleTime. A budget that departing
// does not name is treated as if the process had failed now. An unknown process is no error,
// since the call may arrive twice.
func (t *AllocationTable) Leave(at time.Duration, process string, incarnation uint64, departing map[string]Departure) error {
	if process == "" || incarnation == 0 {
		return fmt.Errorf("leaving of %q, %d: %w", process, incarnation, ErrNoName)
	}
	for _, s := range t.Budgets {
		if l := departing[s.Name]; !(l.InFlight >= 0 && l.InFlight <= maxTotal && l.MaxRemaining >= 0) {
			return fmt.Errorf("leaving of %q, %d: budget %q: below 0, no number or above %v: %+v", process, incarnation, s.Name, maxTotal, l)
		}
	}
	t.expireDue(at)
	i, ok := t.holderIndex(process, incarnation)
	if !ok {
		return nil
	}
	h := t.Holders[i]
	for k, s := range t.Budgets {
		held := h.Allocations[k].upperBound()
		u, reported := departing[s.Name]
		switch {
		case s.Kind == Divided || s.Kind == InFlight && !reported:
			s.addQuarantine(quarantine{Amount: held.Amount, Until: t.Now + quarantineSpan(max(held.SettleTime, s.SettleTime))})
		case s.Kind == InFlight:
			s.addQuarantine(quarantine{Amount: toMicros(u.InFlight), Until: t.Now + quarantineSpan(u.MaxRemaining)})
		}
	}
	t.removeHolder(h)
	return nil
}

// expireHolder removes a holder whose lease has expired, and quarantines what it may still
// be using; the injected fault sets quarantined to false. The holder may use its floor for
// FloorDuration more; jobs that it has begun by then last for SettleTime more at most, and
// its part of a Divided budget counts for as long.
func (t *AllocationTable) expireHolder(h *holder, quarantined bool) {
	for i, s := range t.Budgets {
		l := &h.Allocations[i]
		p := l.upperBound()
		settle := quarantineSpan(max(p.SettleTime, s.SettleTime))
		if s.Kind == Rate {
			settle = 0
		}
		floor, floorEnd := quarantine{}, h.LeaseEnd
		if p.Floor > 0 && p.FloorDuration > 0 {
			floorEnd += p.FloorDuration
			floor = quarantine{Amount: min(p.Floor, p.Amount), Burst: min(p.Burst, microsPerUnit), Floor: true, Until: floorEnd + settle}
		}
		if quarantined {
			s.addQuarantine(floor)
			if s.Kind != Rate {
				s.addQuarantine(quarantine{Amount: p.Amount - floor.Amount, Until: max(h.LeaseEnd+settle, l.Latest)})
			}
		}
	}
	t.removeHolder(h)
}

func (t *AllocationTable) removeHolder(h *holder) {
	for i, s := range t.Budgets {
		s.held.add(&h.Allocations[i], -1)
		s.NeedsDivision = true
	}
	i, _ := t.holderIndex(h.Process, h.Incarnation)
	t.Holders = slices.Delete(t.Holders, i, i+1)
	if t.activeHolders[h.Process] == h {
		delete(t.activeHolders, h.Process)
	}
	t.nextDue = min(t.nextDue, t.Now) // a quarantine that was just added may be over already
}

// expireDue advances the fleet time and ends the leases, quarantines and seat turns that
// are due. A quarantine that is already over when it is added is dropped in the same call.
func (t *AllocationTable) expireDue(at time.Duration) {
	t.Now = max(t.Now, at)
	if t.nextDue > t.Now {
		return
	}
	for i := 0; i < len(t.Holders); {
		if h := t.Holders[i]; h.LeaseEnd <= t.Now {
			t.expireHolder(h, true)
			continue
		}
		i++
	}
	t.nextDue = math.MaxInt64
	for _, h := range t.Holders {
		t.nextDue = min(t.nextDue, h.LeaseEnd)
	}
	for _, s := range t.Budgets {
		s.Quarantines = slices.DeleteFunc(s.Quarantines, func(r quarantine) bool {
			if r.Until > t.Now {
				t.nextDue = min(t.nextDue, r.Until)
				return false
			}
			s.quarantined.addQuarantine(r, -1)
			s.NeedsDivision = true
			return true
		})
		if s.SeatTurnAt > 0 && s.SeatTurnAt <= t.Now {
			s.SeatTurnAt, s.NeedsDivision = 0, true
		}
		if s.SeatTurnAt > 0 {
			t.nextDue = min(t.nextDue, s.SeatTurnAt)
		}
	}
}
