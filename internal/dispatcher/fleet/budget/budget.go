// Package budget divides fleet-wide budgets: a total that all processes together may use,
// of which each holds a share that is a lease. AllocationTable is the replicated side,
// changed by commands only; Allowance is one process's side, whose TokenBuckets a job's
// path uses without a lock. Neither does I/O, reads a clock or starts a goroutine.
//
// Why a total is never exceeded: the AllocationTable keeps, for each holder, an upper bound
// of what it may be using, which is the greatest of the share it has acknowledged, the
// share offered to it, and what it reported in flight. The bounds of all holders, what is
// quarantined and what is reserved for floors never sum to more than the total through
// anything that the AllocationTable grants, because a share grows only from what is
// available; a bound falls only with an acknowledgement, a planned shutdown, or the lease's
// expiry in fleet time, which comes after the expiry that the holder observes
// (LeaseMargin).
package budget

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// LeaseMargin is the fraction of a span of fleet time that a process uses, by its own clock
// and counted from when it sent its renewal: it is safe with clocks that are up to 5%
// apart, as 0.95/1.05 = 0.904. A quarantine in fleet time lasts for its span divided by
// LeaseMargin.
const LeaseMargin = 0.9

// RefillPace is how fast a share of a Rate refills by the holder's own clock: a clock that
// runs 2.5% fast refills it no faster than the share says.
const RefillPace = 0.975

// Kind tells how a budget is used. It is stored as a number.
type Kind uint8

// Kinds.
const (
	Rate     Kind = iota // Total a second with Burst, over all processes
	InFlight             // Total at a time
	Divided              // a total of which each holder may use its part; a part that is freed is quarantined for SettleTime
)

// String returns the kind's name, for people.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

var kindNames = [...]string{"rate", "under way", "part"}

// Budget is what all processes together may use. It is sent and stored by the field names
// in its tags.
type Budget struct {
	Name  string
	Kind  Kind
	Total float64 `cbor:"Whole"` // a second (Rate), or at a time
	Burst float64 // Rate only: how many may come at once, over all processes. Each holder needs 1, so that it is at least 1 and should be at least the number of processes

	// FloorSlots slots of Floor each are reserved. A process that has a slot holds Floor as
	// part of its share and, without contact to the fleet, for FloorDuration after its share
	// has expired.
	Floor         float64
	FloorSlots    int           `cbor:"Floors"`
	FloorDuration time.Duration `cbor:"FloorFor"`

	// SettleTime is, for InFlight, the longest duration of a job: one that may last longer is
	// not begun. For Divided it is how long a freed part is quarantined.
	SettleTime time.Duration      `cbor:"Linger"`
	Weights    map[string]float64 // by process; 1 if absent; above 0
}

// Config is the operators' setting for the fleet.
type Config struct {
	Lease   time.Duration // from a renewal to the expiry of its grant, in fleet time
	Budgets []Budget
}

// Renewal asks for a process's shares, and acknowledges its last grant.
type Renewal struct {
	Process      string
	Incarnation  uint64
	AppliedGrant uint64           `cbor:"Bound"` // number of the grant that it has applied; 0: none
	Usage        map[string]Usage `cbor:"Uses"`
}

// Usage is a process's report on one budget.
type Usage struct {
	Demand       float64       // what it would use if it could, a second or at a time
	InFlight     float64       `cbor:"UnderWay"` // number of jobs in flight
	MaxRemaining time.Duration `cbor:"Latest"`   // the longest that one of those may still last
}

// Departure is what a process leaves in flight at its planned shutdown.
type Departure struct {
	InFlight     float64       `cbor:"UnderWay"`
	MaxRemaining time.Duration `cbor:"Latest"` // the longest that one of those may still last
}

// Grant answers a renewal.
type Grant struct {
	Process     string
	Incarnation uint64
	Number      uint64 // grows; a grant with a lower number is older
	Lease       time.Duration
	RenewSoon   bool `cbor:"Soon"` // more is due to the process than could be given yet: it should renew soon
	Shares      []Share
}

// Share is a holder's part of a budget for the duration of the lease.
type Share struct {
	Name          string
	Kind          Kind
	Amount        float64       // including the floor
	Burst         float64       // Rate only; including the floor's
	Floor         float64       // usable for FloorDuration after the lease's expiry; 0: nothing
	FloorDuration time.Duration `cbor:"FloorFor"`
	SettleTime    time.Duration `cbor:"Linger"`
}

// Errors with which commands are refused.
var (
	ErrFenced = errors.New("an older incarnation than the one in force")
	ErrNoName = errors.New("a process without a name or an incarnation")
)

// microsPerUnit is the number of millionths in a unit: amounts are kept in millionths, so
// that sums are exact whatever their order.
const microsPerUnit = 1_000_000

// maxTotal keeps the sums of ten thousand holders that may each hold it within 63 bits.
const maxTotal = 1e8

func toMicros(x float64) int64   { return int64(math.Floor(float64(x*microsPerUnit) + 1e-3)) }
func fromMicros(n int64) float64 { return float64(n) / microsPerUnit }

// quarantineSpan returns how long something is quarantined in fleet time so that a span of
// a process's own clock is surely over.
func quarantineSpan(span time.Duration) time.Duration {
	return time.Duration(float64(span) / LeaseMargin)
}

// Check validates a grant that came from outside.
func (g Grant) Check() error {
	if g.Lease <= 0 {
		return fmt.Errorf("grant %d: a lease of %v", g.Number, g.Lease)
	}
	for i, s := range g.Shares {
		bad := s.Name == "" || s.Kind > Divided || s.FloorDuration < 0 || s.SettleTime < 0 || i > 0 && g.Shares[i-1].Name >= s.Name
		for _, x := range []float64{s.Amount, s.Burst, s.Floor} {
			bad = bad || !(x >= 0 && x <= maxTotal)
		}
		if bad || s.Floor > s.Amount {
			return fmt.Errorf("grant %d: share %d: %+v", g.Number, i, s)
		}
	}
	return nil
}

// Check validates a configuration.
func (c Config) Check() error {
	if c.Lease < 100*time.Millisecond || c.Lease > time.Hour {
		return fmt.Errorf("lease %v: not from 100ms to 1h", c.Lease)
	}
	seen := map[string]bool{}
	for _, b := range c.Budgets {
		if seen[b.Name] {
			return fmt.Errorf("budget %q: given twice", b.Name)
		}
		seen[b.Name] = true
		if err := b.check(); err != nil {
			return fmt.Errorf("budget %q: %w", b.Name, err)
		}
	}
	return nil
}

func (b *Budget) check() error {
	inside := func(x, most float64) bool { return x >= 0 && x <= most } // false for NaN
	whole := func(x float64) bool { return x == math.Trunc(x) }
	switch {
	case b.Name == "":
		return errors.New("no name")
	case b.Kind > Divided:
		return fmt.Errorf("%v: no such kind", b.Kind)
	case !inside(b.Total, maxTotal):
		return fmt.Errorf("whole %v: not from 0 to %v", b.Total, maxTotal)
	case b.Kind == Rate && !(b.Burst >= 1 && b.Burst <= maxTotal):
		return fmt.Errorf("burst %v: not from 1 to %v", b.Burst, maxTotal)
	case b.Kind != Rate && b.Burst != 0:
		return fmt.Errorf("burst %v: only a rate has one", b.Burst)
	case b.FloorSlots < 0 || !inside(b.Floor, maxTotal) || b.FloorDuration < 0:
		return fmt.Errorf("%d floors of %v for %v: below 0 or too much", b.FloorSlots, b.Floor, b.FloorDuration)
	case float64(b.FloorSlots)*b.Floor > b.Total:
		return fmt.Errorf("%d floors of %v: more than the whole, %v", b.FloorSlots, b.Floor, b.Total)
	case b.Kind == Rate && b.Floor > 0 && float64(b.FloorSlots) >= b.Burst:
		return fmt.Errorf("%d floors: each needs 1 of the burst, %v, and the shares need some", b.FloorSlots, b.Burst)
	case b.Kind == InFlight && !(whole(b.Total) && whole(b.Floor)):
		return fmt.Errorf("whole %v, floor %v: jobs under way are whole numbers", b.Total, b.Floor)
	case b.SettleTime < 0 || b.Kind != Rate && b.SettleTime == 0:
		return fmt.Errorf("linger %v: must be above 0", b.SettleTime)
	}
	for name, w := range b.Weights {
		if !(w > 0 && w <= 1e6) {
			return fmt.Errorf("weight %v of a process (%q): not above 0 and up to 1e6", w, name)
		}
	}
	return nil
}

func (b *Budget) weight(process string) float64 {
	if w, ok := b.Weights[process]; ok {
		return w
	}
	return 1
}

// burstPerFloor is the part of the burst that one floor needs.
func (b *Budget) burstPerFloor() int64 {
	if b.Kind == Rate && b.Floor > 0 {
		return microsPerUnit
	}
	return 0
}
