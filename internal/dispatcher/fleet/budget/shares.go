// Package budget divides fleet-wide budgets: a whole that all processes together
// may spend, held by each in a share that is a lease. Book is the replicated side,
// changed by commands alone; Purse is one process's side, which a job's path
// asks without a lock. Neither does I/O, reads a clock or starts a goroutine.
//
// The argument is the same for each kind. Book keeps, for each holder, an upper
// bound of what it may be using: the most of the share it has acknowledged, the one
// offered to it, and what it said is still under way. The bounds of all, what rests
// and what is set aside for floors never sum to more than the whole by anything
// that Book gives, because growth is given from the rest only; a bound falls
// only with an acknowledgement, a planned end, or the lease's end in fleet time,
// which comes after the end that the holder counts (Margin).
package budget

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// LeaseMargin is the part of a span of fleet time that a process uses, by its own clock
// and counted from when it asked: with clocks up to 5% apart 0.95/1.05 = 0.904 is
// safe. What rests in fleet time rests for its span divided by it.
const LeaseMargin = 0.9

// RefillPace is how fast a share of a Rate fills by the holder's own clock: a clock
// that runs 2.5% faster than true fills it no faster than the share says.
const RefillPace = 0.975

// Kind says how a budget is spent.
type Kind uint8

// The kinds.
const (
	Rate     Kind = iota // Whole a second with Burst, all processes together
	InFlight             // Whole at a time
	Divided              // a whole that is divided; who holds a part may use it; a part that is freed rests for Linger
)

// String is the name of a kind, for people.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

var kindNames = [...]string{"rate", "under way", "part"}

// Budget is what all processes together may spend.
type Budget struct {
	Name  string
	Kind  Kind
	Total float64 `cbor:"Whole"` // a second (Rate), or at a time
	Burst float64 // Rate: how many may come at once, of all processes. Each holder needs 1, so Burst is at least 1 and should be the number of processes or more

	// Floors slots of Floor each are set aside. A process that has one counts on it
	// with its share and, cut off, after its share for FloorFor.
	Floor         float64
	FloorSlots    int           `cbor:"Floors"`
	FloorDuration time.Duration `cbor:"FloorFor"`

	// SettleTime is, for UnderWay, the longest life of a job: one that may last
	// longer is not begun. For Part it is how long a freed part rests.
	SettleTime time.Duration      `cbor:"Linger"`
	Weights    map[string]float64 // by process; absent: 1
}

// Config is what the operators set for the fleet.
type Config struct {
	Lease   time.Duration // from a renewal to the end of what it gave, in fleet time
	Budgets []Budget
}

// Renewal is how a process asks for its shares, and acknowledges.
type Renewal struct {
	Process      string
	Incarnation  uint64
	AppliedGrant uint64           `cbor:"Bound"` // the number of the grant that it has applied; 0: none
	Usage        map[string]Usage `cbor:"Uses"`
}

// Usage is what a process says of one budget.
type Usage struct {
	Demand       float64       // what it would use if it could, a second or at a time
	InFlight     float64       `cbor:"UnderWay"` // how many are under way
	MaxRemaining time.Duration `cbor:"Latest"`   // the longest that one of those may still last
}

// Departure is what a process that ends as planned leaves under way.
type Departure struct {
	InFlight     float64       `cbor:"UnderWay"`
	MaxRemaining time.Duration `cbor:"Latest"` // the longest that one of those may still last
}

// Grant answers a renewal.
type Grant struct {
	Process     string
	Incarnation uint64
	Number      uint64 // grows; a grant of a lower number is an older one
	Lease       time.Duration
	RenewSoon   bool `cbor:"Soon"` // more is due to it than could be given yet: asking again soon is worth while
	Shares      []Share
}

// Share is a holder's part of a budget for the lease's length.
type Share struct {
	Name          string
	Kind          Kind
	Amount        float64       // with the floor
	Burst         float64       // Rate: with the floor's
	Floor         float64       // after the lease's end, for FloorFor more; 0: nothing
	FloorDuration time.Duration `cbor:"FloorFor"`
	SettleTime    time.Duration `cbor:"Linger"`
}

// The errors that commands are refused with.
var (
	ErrFenced = errors.New("an older incarnation than the one in force")
	ErrNoName = errors.New("a process without a name or an incarnation")
)

// microsPerUnit is one whole of an amount: amounts are kept in millionths, so that sums are
// exact whatever their order.
const microsPerUnit = 1_000_000

// maxTotal keeps the sums of ten thousand holders that each may hold it within 63 bits.
const maxTotal = 1e8

func toMicros(x float64) int64   { return int64(math.Floor(float64(x*microsPerUnit) + 1e-3)) }
func fromMicros(n int64) float64 { return float64(n) / microsPerUnit }

// quarantineSpan is how long something rests in fleet time so that a span of a
// process's clock is surely over.
func quarantineSpan(span time.Duration) time.Duration {
	return time.Duration(float64(span) / LeaseMargin)
}

// Check names what is wrong with a grant that came from outside.
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

// Check names what is wrong with a configuration.
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

// burstPerFloor is what a floor needs of the burst.
func (b *Budget) burstPerFloor() int64 {
	if b.Kind == Rate && b.Floor > 0 {
		return microsPerUnit
	}
	return 0
}
