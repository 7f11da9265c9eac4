package quorum_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica/quorum"
)

func TestMajority(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []uint64
		want   uint64
	}{
		{"no voters", nil, 0},
		{"one voter", []uint64{7}, 7},
		{"two voters need both", []uint64{9, 4}, 4},
		{"three voters need two", []uint64{9, 1, 5}, 5},
		{"four voters need three", []uint64{9, 1, 5, 8}, 5},
		{"five voters need three", []uint64{3, 9, 1, 5, 8}, 5},
		{"equal values", []uint64{2, 2, 2}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, quorum.Majority(c.values))
		})
	}
}

// TestMajorityIsReachedByMoreThanHalf compares Majority with its definition, for all small sets of values.
func TestMajorityIsReachedByMoreThanHalf(t *testing.T) {
	const voters, largest = 5, 4
	reachedBy := func(values []int, value int) int {
		count := 0
		for _, v := range values {
			if v >= value {
				count++
			}
		}
		return count
	}
	var try func(values []int)
	try = func(values []int) {
		if len(values) > 0 {
			got := quorum.Majority(append([]int(nil), values...))
			require.Greater(t, 2*reachedBy(values, got), len(values), "%v", values)
			require.LessOrEqual(t, 2*reachedBy(values, got+1), len(values), "%v", values)
		}
		if len(values) == voters {
			return
		}
		for next := range largest {
			try(append(values[:len(values):len(values)], next))
		}
	}
	try(nil)
}
