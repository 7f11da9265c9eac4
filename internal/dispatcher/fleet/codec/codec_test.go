package codec

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type sample struct {
	Names map[string]uint64
	Rows  []float64
	Text  []byte
}

// TestSameValueSameBytes checks that equal values have equal encodings, and that input with bytes
// left over, or truncated, is refused.
func TestSameValueSameBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := sample{
			Names: rapid.MapOf(rapid.String(), rapid.Uint64()).Draw(t, "names"),
			Rows:  rapid.SliceOfN(rapid.Float64(), 1, 8).Draw(t, "rows"), Text: []byte{1},
		}
		again := sample{Names: map[string]uint64{}, Rows: v.Rows, Text: v.Text}
		for k, n := range v.Names { // another order of insertion
			again.Names[k] = n
		}
		a, err := Encode(v)
		require.NoError(t, err)
		b, err := Encode(again)
		require.NoError(t, err)
		require.Equal(t, a, b)
		var back sample
		require.NoError(t, Decode(a, &back))
		require.Equal(t, v, back)
		require.Error(t, Decode(append(a, 0), &back), "trailing bytes")
		require.Error(t, Decode(a[:len(a)-1], &back), "torn")
	})
}
