package main

import (
	"path/filepath"
	"testing"

	"basaltloft/internal/shared/goldentest"
)

// TestGoldenHelp: the flags and their defaults, as commit 352ebf2 printed them.
func TestGoldenHelp(t *testing.T) {
	goldentest.EqualHelp(t, filepath.Join("testdata", "golden", "help.txt"), "basaltloft-plot")
}
