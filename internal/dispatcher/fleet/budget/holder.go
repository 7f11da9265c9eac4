package budget

import (
	"time"
)

// totals are exact sums, which are updated with each change and do not drift.
type totals struct {
	amount, burst int64
	floors        int
}

// quarantine is what nobody holds and nobody may get yet.
type quarantine struct {
	_             struct{} `cbor:",toarray"`
	Amount, Burst int64
	Floor         bool // of a floor's slot
	Until         time.Duration
}

// holder is one incarnation of a process.
type holder struct {
	_                 struct{} `cbor:",toarray"`
	Process           string
	Incarnation       uint64
	LeaseEnd          time.Duration // of its lease
	AcknowledgedGrant uint64        // number of the grant that it has applied
	OfferedGrant      uint64        // number of the grant offered to it; nothing new is offered before it is acknowledged
	Superseded        bool          // a newer incarnation has joined
	Allocations       []allocation  // one for each budget, in their order
}

// allocation is what one holder has of one budget.
type allocation struct {
	_                     struct{} `cbor:",toarray"`
	Demand                float64  // that the division uses
	InFlight              int64    // InFlight budgets: as reported
	Latest                time.Duration
	Acknowledged, Offered allotment
	Due, DueBurst         int64         // what the division assigned, without the floor; with DueBurst
	Seated                bool          // has a seat, where there are fewer seats than holders
	Since                 time.Duration // of Seated, or of its lack
}

// allotment is what is offered or acknowledged, in millionths.
type allotment struct {
	_                         struct{} `cbor:",toarray"`
	Amount, Burst, Floor      int64
	FloorDuration, SettleTime time.Duration
}

// componentMax returns the componentwise maximum.
func (p allotment) componentMax(q allotment) allotment {
	return allotment{
		Amount: max(p.Amount, q.Amount), Burst: max(p.Burst, q.Burst), Floor: max(p.Floor, q.Floor),
		FloorDuration: max(p.FloorDuration, q.FloorDuration), SettleTime: max(p.SettleTime, q.SettleTime),
	}
}

// upperBound returns the most that the holder may be using.
func (l *allocation) upperBound() allotment {
	p := l.Acknowledged.componentMax(l.Offered)
	p.Amount = max(p.Amount, l.InFlight)
	return p
}

// hasFloor reports whether the holder has a floor's slot, or may believe so.
func (l *allocation) hasFloor() bool { return l.upperBound().Floor > 0 }

func (s *totals) add(l *allocation, sign int64) {
	p := l.upperBound()
	s.amount += sign * p.Amount
	s.burst += sign * p.Burst
	if p.Floor > 0 {
		s.floors += int(sign)
	}
}

func (s *totals) addQuarantine(r quarantine, sign int64) {
	s.amount += sign * r.Amount
	s.burst += sign * r.Burst
	if r.Floor {
		s.floors += int(sign)
	}
}
