package main

import (
	"bytes"
	"flag"
	"path/filepath"
	"testing"

	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// TestGoldenHelp checks that the flags and their defaults are printed as by commit 352ebf2.
func TestGoldenHelp(t *testing.T) {
	var errs bytes.Buffer
	_, err := parse([]string{"-h"}, &errs)
	require.ErrorIs(t, err, flag.ErrHelp)
	goldentest.Equal(t, filepath.Join("testdata", "golden", "help.txt"), errs.Bytes())
}
