package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"basaltloftctl": main})
}

// TestCommandLines compares the command's output with its output at commit 352ebf2.
func TestCommandLines(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
