package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// TestGoldenHelp: the flags and their defaults, as commit 352ebf2 printed them.
func TestGoldenHelp(t *testing.T) {
	program := filepath.Join(t.TempDir(), "basaltloft-top")
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(built))
	var errs bytes.Buffer
	help := exec.CommandContext(t.Context(), program, "-h")
	help.Stderr = &errs
	require.NoError(t, help.Run())
	got := strings.ReplaceAll(errs.String(), program, "basaltloft-top")
	goldentest.Equal(t, filepath.Join("testdata", "golden", "help.txt"), []byte(got))
}
