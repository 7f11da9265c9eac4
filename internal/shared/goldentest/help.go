package goldentest

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// EqualHelp builds the command in the test's directory and requires that its output for -h equals the golden
// file. The path of the built program in the output is replaced by the command's name.
func EqualHelp(t testing.TB, path, command string) {
	t.Helper()
	program := filepath.Join(t.TempDir(), command)
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(built))
	var printed bytes.Buffer
	help := exec.CommandContext(t.Context(), program, "-h")
	help.Stderr = &printed
	require.NoError(t, help.Run())
	Equal(t, path, []byte(strings.ReplaceAll(printed.String(), program, command)))
}
