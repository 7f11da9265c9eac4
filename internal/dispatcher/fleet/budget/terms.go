package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// terms are the limits of a bucket. They are immutable once published.
type terms struct {
	kind                              Kind
	amount, burst, floor, floorBurst  float64
	linger, lease, leaseEnd, floorEnd time.Duration
}

const noEnd = time.Duration(math.MaxInt64)

// unlimited lets all through; shut lets nothing.
var (
	unlimited = terms{amount: math.MaxInt64 / 4, burst: math.MaxInt64 / 4, linger: noEnd, leaseEnd: noEnd, floorEnd: noEnd} // unlimited admits everything; blocked admits nothing.
	blocked   = terms{}
)

// amountAt returns what may be used at a time of the own clock: the share, then the floor,
// then nothing.
func (s *terms) amountAt(now time.Duration) float64 {
	switch {
	case now < s.leaseEnd:
		return s.amount
	case now < s.floorEnd:
		return s.floor
	}
	return 0
}

// paddedCounter keeps a counter that all threads write off the cache line of the fields
// that they read.
type paddedCounter struct {
	_ [64]byte
	atomic.Int64
	_ [56]byte
}
