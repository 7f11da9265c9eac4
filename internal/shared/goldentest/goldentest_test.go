package goldentest_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/goldentest"
)

// TestGoldenFilesAreNeverRewritten checks that a missing file is written only if WriteVariable is set, and
// that an existing one isn't changed.
func TestGoldenFilesAreNeverRewritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "testdata", "golden.txt")
	t.Setenv(goldentest.WriteVariable, "")
	goldentest.WriteMissingFile(t, path, []byte("unasked"))
	require.NoFileExists(t, path)

	t.Setenv(goldentest.WriteVariable, "1")
	goldentest.WriteMissingFile(t, path, []byte("first"))
	require.Equal(t, "first", string(goldentest.Read(t, path)))
	goldentest.WriteMissingFile(t, path, []byte("second"))
	require.Equal(t, "first", string(goldentest.Read(t, path)))
}

// TestGoldenFoldersAreNeverRewritten checks the same for folders.
func TestGoldenFoldersAreNeverRewritten(t *testing.T) {
	golden, written := filepath.Join(t.TempDir(), "golden"), t.TempDir()
	t.Setenv(goldentest.WriteVariable, "1")
	goldentest.WriteMissingFile(t, filepath.Join(written, "file"), []byte("first"))
	goldentest.WriteMissingFolder(t, written, golden)
	goldentest.WriteMissingFile(t, filepath.Join(written, "other"), []byte("second"))
	goldentest.WriteMissingFolder(t, written, golden)
	require.Equal(t, "first", string(goldentest.Read(t, filepath.Join(golden, "file"))))
	require.NoFileExists(t, filepath.Join(golden, "other"))

	copied := goldentest.CopyFolder(t, golden)
	require.Equal(t, "first", string(goldentest.Read(t, filepath.Join(copied, "file"))))
}
