package upgradetest_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Environment variables that name the folders of builds.
const (
	oldBuildVariable = "BASALTLOFT_OLD_BUILD"
	newBuildVariable = "BASALTLOFT_NEW_BUILD"
)

// Names of the programs in a build's folder.
const (
	coreProgram = "basaltloft-core"
	edgeProgram = "basaltloft-edge"
	ctlProgram  = "basaltloftctl"
)

// build is a folder with the system's programs.
type build string

func (b build) program(name string) string { return filepath.Join(string(b), name) }

// loadBuilds returns the two builds; those that are not named are the present source's.
func loadBuilds(t *testing.T) (older, newer build) {
	t.Helper()
	older, newer = build(os.Getenv(oldBuildVariable)), build(os.Getenv(newBuildVariable))
	if newer == "" {
		newer = compile(t)
	}
	if older == "" {
		older = newer
	}
	return older, newer
}

// compile builds the programs from the present source.
func compile(t *testing.T) build {
	t.Helper()
	folder := t.TempDir()
	arguments := []string{"build", "-o", folder}
	for _, program := range []string{coreProgram, edgeProgram, ctlProgram} {
		arguments = append(arguments, "basaltloft/cmd/"+program)
	}
	output, err := exec.CommandContext(t.Context(), "go", arguments...).CombinedOutput()
	require.NoError(t, err, string(output))
	return build(folder)
}
