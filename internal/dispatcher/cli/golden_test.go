package cli

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"basaltloft/internal/shared/goldentest"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

// TestGoldenHelp compares the help of the sub-commands, their flags and defaults with that printed by commit
// 352ebf2. Later code must not rewrite the golden files except for new sub-commands and flags.
func TestGoldenHelp(t *testing.T) {
	var paths []string
	var walk func(c *cobra.Command, path string)
	walk = func(c *cobra.Command, path string) {
		paths = append(paths, path)
		for _, sub := range c.Commands() {
			if sub.Name() != "help" {
				walk(sub, strings.TrimSpace(path+" "+sub.Name()))
			}
		}
	}
	walk(rootCommand(&bytes.Buffer{}, &bytes.Buffer{}), "")
	goldentest.Equal(t, filepath.Join("testdata", "golden", "commands.txt"), []byte(strings.Join(paths, "\n")+"\n"))
	for _, path := range paths {
		status, out, errs := call(append(strings.Fields(path), "--help")...)
		require.Equal(t, exitOK, status, path)
		require.Empty(t, errs, path)
		name := strings.ReplaceAll("help "+path, " ", "-")
		goldentest.Equal(t, filepath.Join("testdata", "golden", strings.TrimSuffix(name, "-")+".txt"), []byte(out))
	}
}
