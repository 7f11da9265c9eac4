// Package quorum is the arithmetic of majorities.
package quorum

import (
	"cmp"
	"slices"
)

// Majority returns the largest value that more than half of the voters have reached, where each
// element is one voter's value, for instance the last log index on its disk. It is the zero value
// where there are no voters. The slice is sorted in place.
func Majority[V cmp.Ordered](values []V) V {
	if len(values) == 0 {
		var zero V
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
