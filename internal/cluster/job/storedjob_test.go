package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSnapshotHasTheSizeOfTheFirstBuild: as many chunks travel as before.
func TestSnapshotHasTheSizeOfTheFirstBuild(t *testing.T) {
	require.Len(t, snapshotOf(t, goldenStore()), len(golden(t, snapshotFile)))
}
