package budget

import (
	"time"
)

// totals are exact sums in millionths, updated incrementally with each change. floors
// counts floor slots.
type totals struct {
	amount, burst int64
	floors        int
}

// quarantine is a freed amount that must not be granted again before Until.
type quarantine struct {
	_             struct{} `cbor:",toarray"`
	Amount, Burst int64
	Floor         bool // it includes a floor slot
	Until         time.Duration
}

// holder is one incarnation of a process.
type holder struct {
	_                 struct{} `cbor:",toarray"`
	Process           string
	Incarnation       uint64
	LeaseEnd          time.Duration // in fleet time
	AcknowledgedGrant uint64        // number of the grant that it has applied
	OfferedGrant      uint64        // number of the last grant; the next one is offered after its acknowledgement
	Superseded        bool          // a newer incarnation has joined
	Allocations       []allocation  // one for each budget, in the order of the budgets
}

// allocation is what one holder has of one budget.
type allocation struct {
	_                     struct{}      `cbor:",toarray"`
	Demand                float64       // that the division uses
	InFlight              int64         // InFlight budgets: as reported, in millionths
	Latest                time.Duration // fleet time by which all jobs reported in flight have ended
	Acknowledged, Offered allotment
	Due, DueBurst         int64         // what the division assigned, without the floor
	Seated                bool          // has a seat, where there are fewer seats than holders
	Since                 time.Duration // when Seated changed, in fleet time
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

// upperBound returns the upper bound of what the holder may be using.
func (l *allocation) upperBound() allotment {
	p := l.Acknowledged.componentMax(l.Offered)
	p.Amount = max(p.Amount, l.InFlight)
	return p
}

// hasFloor reports whether the holder has a floor slot, or may still be using one.
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
