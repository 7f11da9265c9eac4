package goldentest

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// EqualHelp builds the command of the test's directory and requires that its flag -h prints what the golden
// file holds, with the command's name where the program names itself.
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
