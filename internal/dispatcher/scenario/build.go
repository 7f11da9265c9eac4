package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Build compiles the program once for all tests of a package, and returns its path. If the environment
// variable BASALTLOFT_BINARY is set, Build compiles nothing and returns the path in it, so that the tests run
// another build.
func Build() (string, error) {
	if other := os.Getenv("BASALTLOFT_BINARY"); other != "" {
		return other, nil
	}
	return BuildTags("")
}

var builds sync.Map // by build tags: functions that compile once and return the path

// BuildTags is Build with build tags. Each set of tags is compiled once.
func BuildTags(tags string) (string, error) {
	build, _ := builds.LoadOrStore(tags, sync.OnceValues(func() (string, error) { return compile(tags) }))
	return build.(func() (string, error))()
}

// compile builds the program into a new temporary directory and returns its path.
func compile(tags string) (string, error) {
	dir, err := os.MkdirTemp("", "basaltloft")
	if err != nil {
		return "", err
	}
	args := append([]string{"build"}, buildFlags...)
	args = append(args, "-tags", tags, "-o", dir, "basaltloft/cmd/basaltloft")
	out, err := exec.CommandContext(context.Background(), "go", args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return filepath.Join(dir, "basaltloft"), nil
}
