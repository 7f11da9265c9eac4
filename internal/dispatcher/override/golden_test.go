package override

import (
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// goldenOverrides is a file of overrides as commit 352ebf2 saved it in $TMPDIR. It must never be rewritten
// by later code: a new build that is started beside an old one must be able to read it.
var goldenOverrides = filepath.Join("testdata", "golden", "basaltloft-n0.hand.json")

// TestGoldenOverrides: the golden file is decoded to the right fields, and the same state is encoded to the
// same bytes.
func TestGoldenOverrides(t *testing.T) {
	back := time.UnixMilli(1_780_000_000_123)
	s := New()
	for _, id := range []string{"r-2", "r-1", "r \"3\"", "r-4"} {
		require.True(t, s.TakeOut(id))
	}
	require.True(t, s.PutBack("r-4", back))
	goldentest.Equal(t, goldenOverrides, s.Encode("n0"))

	read, err := Decode(goldentest.Read(t, goldenOverrides), "n0")
	require.NoError(t, err)
	require.Equal(t, []string{"r \"3\"", "r-1", "r-2"}, read.OutMembers())
	require.Equal(t, []string{"r-4"}, read.RestoredMembers())
	require.Equal(t, back, read.RestoredAt("r-4"))
}
