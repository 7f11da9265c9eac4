package processes

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Names of the programs in a build's directory.
const (
	CoreProgram = "basaltloft-core"
	EdgeProgram = "basaltloft-edge"
	CtlProgram  = "basaltloftctl"
)

// Build is the path of a directory with the programs of the cluster scheduler.
type Build string

// Program returns the path of a program.
func (b Build) Program(name string) string { return filepath.Join(string(b), name) }

// Compile builds the programs from the current source into a directory. An error contains the compiler's output.
func Compile(ctx context.Context, folder string) (Build, error) {
	arguments := []string{"build", "-o", folder}
	for _, program := range []string{CoreProgram, EdgeProgram, CtlProgram} {
		arguments = append(arguments, "basaltloft/cmd/"+program)
	}
	output, err := exec.CommandContext(ctx, "go", arguments...).CombinedOutput()
	return Build(folder), errors.Wrapf(err, "build the programs: %s", output)
}
