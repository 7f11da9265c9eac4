package admission_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/admission"
)

func TestHeadroomOfABudgetThatIsNotSet(t *testing.T) {
	notSet, large := admission.Headroom{BudgetNotSet: true}, admission.Headroom{Amount: 1e300}
	require.True(t, notSet.Covers(math.MaxFloat64))
	require.True(t, notSet.Exceeds(large))
	require.False(t, large.Exceeds(notSet))
	require.False(t, notSet.Exceeds(notSet))
	require.Equal(t, notSet, notSet.Plus(-5))
	require.Equal(t, notSet, notSet.AtLeast(5))
}

func TestHeadroomCountsTasksUpToTheLimit(t *testing.T) {
	for name, test := range map[string]struct {
		headroom, cost float64
		want           int
	}{
		"whole tasks":           {10, 4, 2},
		"limit":                 {100, 4, 7},
		"exceeded":              {-10, 4, 0},
		"a quotient over int64": {1e300, 1e-300, 7},
		"a tiny cost":           {10, math.SmallestNonzeroFloat64, 7},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, admission.Headroom{Amount: test.headroom}.Count(test.cost, 7))
		})
	}
}
