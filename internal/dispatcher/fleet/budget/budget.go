// Package budget divides fleet-wide budgets: a total that all processes together may use,
// of which each holds a share under a lease. AllocationTable is the replicated state,
// changed by commands only. Allowance is the state of one process; a job's path uses its
// TokenBuckets without a lock. Neither does I/O, reads a clock or starts a goroutine.
//
// Why a total is never exceeded: for each holder the AllocationTable keeps an upper bound
// of what the holder may be using, which is the greatest of the share that it has
// acknowledged, the share offered to it, and what it reported in flight. A share grows only
// from what is available, so no grant makes the bounds of all holders, what is quarantined
// and what is reserved for floors sum to more than the total. A bound falls only with an
// acknowledgement, a planned shutdown, or the lease's expiry in fleet time, which comes
// after the expiry that the holder observes (LeaseMargin).
//
// Fleet time is the time that the commands carry; it never runs backward.
package budget

import (
	"errors"
	"fmt"
	"math"
	"time"

	"basaltloft/internal/shared/saturating"
)

// LeaseMargin is the fraction of a lease in fleet time that a process uses, by its own clock
// and counted from when it sent its renewal. It is safe with clocks that are up to 5%
// apart, as 0.95/1.05 = 0.904. A quarantine for a span of a process's own clock lasts for
// that span divided by LeaseMargin in fleet time.
const LeaseMargin = 0.9

// RefillPace is the factor by which a holder refills its share of a Rate more slowly than
// granted, by its own clock: a clock that runs 2.5% fast still doesn't exceed the share.
const RefillPace = 0.975

// Kind is the way in which a budget is used. It is stored as a number.
type Kind uint8

// Quantities that a budget can limit over all processes: a rate, jobs in flight, or a divided amount.
const (
	Rate     Kind = iota // at most Total jobs a second with Burst, over all processes
	InFlight             // at most Total jobs in flight, over all processes
	Divided              // each holder uses its part of Total; a freed part is quarantined for SettleTime
)

// String returns the kind's name for display.
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

	// Burst is, for Rate only, the number of jobs admitted at once, over all processes. Each
	// holder needs 1 of it: it must be at least 1 and should be at least the number of
	// processes.
	Burst float64

	// FloorSlots slots of Floor each are reserved. A process that has a slot holds Floor as
	// part of its share. If it loses contact to the fleet, it keeps Floor for FloorDuration
	// after its share has expired.
	Floor         float64
	FloorSlots    int           `cbor:"Floors"`
	FloorDuration time.Duration `cbor:"FloorFor"`

	// SettleTime is, for InFlight, the longest duration of a job: one that may last longer is
	// rejected. For Divided it is how long a freed part is quarantined.
	SettleTime time.Duration      `cbor:"Linger"`
	Weights    map[string]float64 // by process; 1 if absent; above 0
}

// Config is the fleet's configuration of budgets, as the operators set it.
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
	Demand       float64       // what it would use without a limit, a second or at a time
	InFlight     float64       `cbor:"UnderWay"` // number of jobs in flight
	MaxRemaining time.Duration `cbor:"Latest"`   // time until the latest deadline of these
}

// Departure is what a process leaves in flight of one budget at its planned shutdown.
type Departure struct {
	InFlight     float64       `cbor:"UnderWay"`
	MaxRemaining time.Duration `cbor:"Latest"` // time until the latest deadline of these
}

// Grant answers a renewal.
type Grant struct {
	Process     string
	Incarnation uint64
	Number      uint64 // increases; a grant with a lower number is older
	Lease       time.Duration
	RenewSoon   bool `cbor:"Soon"` // more is due to the process than was available: it should renew soon
	Shares      []Share
}

// Share is a holder's part of a budget for the duration of the lease.
type Share struct {
	Name          string
	Kind          Kind
	Amount        float64       // including the floor
	Burst         float64       // Rate only; including the floor's
	Floor         float64       // usable for FloorDuration after the lease's expiry; 0: no floor
	FloorDuration time.Duration `cbor:"FloorFor"`
	SettleTime    time.Duration `cbor:"Linger"`
}

// Errors of refused commands.
var (
	// ErrFenced is returned for a renewal of an incarnation that a newer one has superseded.
	ErrFenced = errors.New("an older incarnation than the one in force")
	// ErrNoName is returned for a command with an empty process name or incarnation 0.
	ErrNoName = errors.New("a process without a name or an incarnation")
)

// microsPerUnit is the number of millionths in a unit: amounts are kept in millionths, so
// that sums are exact whatever their order.
const microsPerUnit = 1_000_000

// maxTotal keeps the sums of ten thousand holders that may each hold it within 63 bits.
const maxTotal = 1e8

func toMicros(x float64) int64   { return saturating.Int64(math.Floor(float64(x*microsPerUnit) + 1e-3)) }
func fromMicros(n int64) float64 { return float64(n) / microsPerUnit }

// quarantineSpan returns the fleet time after which a span of a process's own clock has
// certainly ended.
func quarantineSpan(span time.Duration) time.Duration {
	return saturating.Duration(float64(span) / LeaseMargin)
}

// Check validates a received grant.
func (g Grant) Check() error {
	if g.Lease <= 0 {
		return fmt.Errorf("grant %d: lease of %v: not above 0", g.Number, g.Lease)
	}
	for i, s := range g.Shares {
		invalid := s.Name == "" || s.Kind > Divided || s.FloorDuration < 0 || s.SettleTime < 0 ||
			i > 0 && g.Shares[i-1].Name >= s.Name
		for _, x := range []float64{s.Amount, s.Burst, s.Floor} {
			invalid = invalid || !(x >= 0 && x <= maxTotal)
		}
		if invalid || s.Floor > s.Amount {
			return fmt.Errorf("grant %d: invalid share %d: %+v", g.Number, i, s)
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
	inRange := func(x, limit float64) bool { return x >= 0 && x <= limit } // false for NaN
	isWhole := func(x float64) bool { return x == math.Trunc(x) }
	switch {
	case b.Name == "":
		return errors.New("no name")
	case b.Kind > Divided:
		return fmt.Errorf("%v: no such kind", b.Kind)
	case !inRange(b.Total, maxTotal):
		return fmt.Errorf("whole %v: not from 0 to %v", b.Total, maxTotal)
	case b.Kind == Rate && !(b.Burst >= 1 && b.Burst <= maxTotal):
		return fmt.Errorf("burst %v: not from 1 to %v", b.Burst, maxTotal)
	case b.Kind != Rate && b.Burst != 0:
		return fmt.Errorf("burst %v: only a rate has one", b.Burst)
	case b.FloorSlots < 0 || !inRange(b.Floor, maxTotal) || b.FloorDuration < 0:
		return fmt.Errorf("%d floors of %v for %v: below 0 or too much", b.FloorSlots, b.Floor, b.FloorDuration)
	case float64(b.FloorSlots)*b.Floor > b.Total:
		return fmt.Errorf("%d floors of %v: more than the whole, %v", b.FloorSlots, b.Floor, b.Total)
	case b.Kind == Rate && b.Floor > 0 && float64(b.FloorSlots) >= b.Burst:
		return fmt.Errorf("%d floors: each needs 1 of the burst, %v, and the shares need some", b.FloorSlots, b.Burst)
	case b.Kind == InFlight && !(isWhole(b.Total) && isWhole(b.Floor)):
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

// burstPerFloor returns the part of the burst that one floor slot needs.
func (b *Budget) burstPerFloor() int64 {
	if b.Kind == Rate && b.Floor > 0 {
		return microsPerUnit
	}
	return 0
}
