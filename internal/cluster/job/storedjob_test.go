package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSnapshotHasTheSizeOfTheFirstBuild checks that a snapshot is as large as that of the first build, but for
// the description of the fields that were added since, so that it is sent in the same number of chunks.
func TestSnapshotHasTheSizeOfTheFirstBuild(t *testing.T) {
	const laterFailuresField = 16
	require.Len(t, snapshotOf(t, goldenStore()), len(golden(t, snapshotFile))+laterFailuresField)
}
