package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// terms are the limits of a bucket. They are immutable once published.
type terms struct {
	kind                                  Kind
	amount, burst, floor, floorBurst      float64
	settleTime, lease, leaseEnd, floorEnd time.Duration
}

const noEnd = time.Duration(math.MaxInt64)

// unlimited admits everything; blocked admits nothing.
var (
	unlimited = terms{amount: math.MaxInt64 / 4, burst: math.MaxInt64 / 4, settleTime: noEnd, leaseEnd: noEnd, floorEnd: noEnd}
	blocked   = terms{}
)

// amountAt returns what may be used at a time of the process's own clock: the share until
// the lease's expiry, then the floor until its own expiry, then nothing.
func (s *terms) amountAt(now time.Duration) float64 {
	switch {
	case now < s.leaseEnd:
		return s.amount
	case now < s.floorEnd:
		return s.floor
	}
	return 0
}

// paddedCounter is a counter that all threads write, padded so that it doesn't share a
// cache line with the fields that they read.
type paddedCounter struct {
	_ [64]byte
	atomic.Int64
	_ [56]byte
}
