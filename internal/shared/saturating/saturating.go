// Package saturating converts floating-point numbers to integers and durations. Go leaves a conversion that
// is out of range to the implementation, so that processors differ; here a value beyond either end of the
// type becomes that end, and NaN becomes 0. Fractions are truncated.
package saturating

import (
	"math"
	"time"
)

// The least floats that are out of range at the upper end: the largest integers themselves have no
// representation.
const (
	int64End  = float64(1 << 63)
	uint64End = float64(1 << 64)
)

// Int64 converts a number to an int64.
func Int64(x float64) int64 {
	switch {
	case x >= int64End:
		return math.MaxInt64
	case x < -int64End:
		return math.MinInt64
	case math.IsNaN(x):
		return 0
	}
	return int64(x)
}

// Int converts a number to an int.
func Int(x float64) int {
	return int(min(max(Int64(x), math.MinInt), math.MaxInt))
}

// Uint64 converts a number to a uint64.
func Uint64(x float64) uint64 {
	switch {
	case x >= uint64End:
		return math.MaxUint64
	case x > 0:
		return uint64(x)
	}
	return 0
}

// MaxDuration is the largest duration that Duration returns, some 73 years. A sum of several, or with the time
// of a clock, stays in range.
const MaxDuration = time.Duration(1 << 61)

// Duration converts a number of nanoseconds to a duration from -MaxDuration to MaxDuration.
func Duration(nanoseconds float64) time.Duration {
	return min(max(time.Duration(Int64(nanoseconds)), -MaxDuration), MaxDuration)
}
