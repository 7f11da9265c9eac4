// Package quorum computes the value that a majority of voters has reached.
package quorum

import (
	"cmp"
	"slices"
)

// Majority returns the largest value that more than half of the voters have reached. Each element is one
// voter's value, for instance the last log index on its disk. Majority returns the zero value if there
// are no voters. It sorts the slice in place.
func Majority[V cmp.Ordered](values []V) V {
	if len(values) == 0 {
		var zero V
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
