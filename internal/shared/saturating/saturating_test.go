package saturating_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/saturating"
)

// TestConversions guards against values out of range that become what the processor makes of them.
func TestConversions(t *testing.T) {
	zero := 0.0
	for name, test := range map[string]struct {
		x      float64
		signed int64
		whole  uint64
	}{
		"fraction":                 {2.9, 2, 2},
		"negative fraction":        {-2.9, -2, 0},
		"zero":                     {0, 0, 0},
		"NaN":                      {math.NaN(), 0, 0},
		"zero by zero":             {zero / zero, 0, 0},
		"a zero divisor":           {1 / zero, math.MaxInt64, math.MaxUint64},
		"positive infinity":        {math.Inf(1), math.MaxInt64, math.MaxUint64},
		"negative infinity":        {math.Inf(-1), math.MinInt64, 0},
		"largest number":           {math.MaxFloat64, math.MaxInt64, math.MaxUint64},
		"smallest number":          {-math.MaxFloat64, math.MinInt64, 0},
		"first past int64":         {1 << 63, math.MaxInt64, 1 << 63},
		"last in int64":            {math.Nextafter(1<<63, 0), 1<<63 - 1024, 1<<63 - 1024},
		"least int64":              {-(1 << 63), math.MinInt64, 0},
		"first below int64":        {math.Nextafter(-(1 << 63), math.Inf(-1)), math.MinInt64, 0},
		"first past uint64":        {1 << 64, math.MaxInt64, math.MaxUint64},
		"last in uint64":           {math.Nextafter(1<<64, 0), math.MaxInt64, 1<<64 - 2048},
		"smallest above zero":      {math.SmallestNonzeroFloat64, 0, 0},
		"a day in nanoseconds":     {float64(24 * time.Hour), int64(24 * time.Hour), uint64(24 * time.Hour)},
		"its negative counterpart": {-float64(24 * time.Hour), -int64(24 * time.Hour), 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.signed, saturating.Int64(test.x))
			require.Equal(t, int(test.signed), saturating.Int(test.x))
			require.Equal(t, min(max(time.Duration(test.signed), -saturating.MaxDuration), saturating.MaxDuration), saturating.Duration(test.x))
			require.Equal(t, test.whole, saturating.Uint64(test.x))
		})
	}
}
