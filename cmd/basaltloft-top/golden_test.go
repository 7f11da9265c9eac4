package main

import (
	"path/filepath"
	"testing"

	"basaltloft/internal/shared/goldentest"
)

// TestGoldenHelp checks that the flags and their defaults are printed as by commit 352ebf2.
func TestGoldenHelp(t *testing.T) {
	goldentest.EqualHelp(t, filepath.Join("testdata", "golden", "help.txt"), "basaltloft-top")
}
