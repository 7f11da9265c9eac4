package opconfig_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSnapshotHasTheSizeOfTheFirstBuild: as many chunks travel as before.
func TestSnapshotHasTheSizeOfTheFirstBuild(t *testing.T) {
	require.Len(t, snapshotOf(t, goldenRegister(t)), len(golden(t, registerFile)))
}
