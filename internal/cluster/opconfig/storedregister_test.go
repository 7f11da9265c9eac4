package opconfig_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSnapshotHasTheSizeOfTheFirstBuild checks the size because the number of chunks in which a snapshot is sent
// depends on it.
func TestSnapshotHasTheSizeOfTheFirstBuild(t *testing.T) {
	require.Len(t, snapshotOf(t, goldenRegister(t)), len(golden(t, registerFile)))
}
