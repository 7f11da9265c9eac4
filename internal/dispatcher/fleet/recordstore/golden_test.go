package recordstore

import (
	"os"
	"path/filepath"
	"testing"

	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// TestGoldenFence checks that the file testdata/golden/fence, written by commit 352ebf2, is
// read, and that the same bytes are written. Later code must never rewrite it.
func TestGoldenFence(t *testing.T) {
	golden := filepath.Join("testdata", "golden", "fence")
	fence := records.Fence{Edition: 17, Watermarks: []records.Watermark{
		{Tenant: "hrad-kamenec", Class: records.Failures, Position: records.Position{Ended: 1_780_000_000_000_000_000, Process: "n1", Epoch: 70, Seq: 9}},
		{Tenant: "zelena-hora", Class: records.Ordinary, Position: records.Position{Ended: 1_780_000_000_000_000_001, Process: "n2", Epoch: 71, Seq: 1}},
	}}
	folder := t.TempDir()
	require.NoError(t, SaveFence(folder, "fleet", fence))
	written, err := os.ReadFile(filepath.Join(folder, "fence"))
	require.NoError(t, err)
	goldentest.Equal(t, golden, written)

	copied := goldentest.CopyFolder(t, filepath.Dir(golden))
	read, err := LoadFence(copied, "fleet")
	require.NoError(t, err)
	require.Equal(t, fence, read)
}
