package upgradetest_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/processes"
)

// Environment variables that name the folders of builds.
const (
	oldBuildVariable = "BASALTLOFT_OLD_BUILD"
	newBuildVariable = "BASALTLOFT_NEW_BUILD"
)

// loadBuilds returns the two builds; those that are not named are the present source's.
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

// compile builds the programs from the present source.
func compile(t *testing.T) processes.Build {
	t.Helper()
	built, err := processes.Compile(t.Context(), t.TempDir())
	require.NoError(t, err)
	return built
}
