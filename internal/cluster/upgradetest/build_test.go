package upgradetest_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/processes"
)

// Environment variables with the paths of the builds' directories.
const (
	oldBuildVariable = "BASALTLOFT_OLD_BUILD"
	newBuildVariable = "BASALTLOFT_NEW_BUILD"
)

// loadBuilds returns the two builds. A build whose environment variable is not set is made from the current
// source.
func loadBuilds(t *testing.T) (older, newer processes.Build) {
	t.Helper()
	older, newer = processes.Build(os.Getenv(oldBuildVariable)), processes.Build(os.Getenv(newBuildVariable))
	if newer == "" {
		newer = compile(t)
	}
	if older == "" {
		older = newer
	}
	return older, newer
}

// compile builds the programs from the current source.
func compile(t *testing.T) processes.Build {
	t.Helper()
	built, err := processes.Compile(t.Context(), t.TempDir())
	require.NoError(t, err)
	return built
}
