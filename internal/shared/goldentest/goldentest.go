// Package goldentest compares the output of a test with golden files, which hold the bytes that an earlier
// build of the program stored or sent.
//
// The golden files of the packages that use it were written by commit 352ebf2, before packages, types and
// fields were renamed. They must never be rewritten by later code: a difference means that a rolling
// upgrade, existing data on disk or a client breaks. Therefore this package never overwrites an existing
// file.
package goldentest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// WriteVariable names the environment variable that, when set to 1, enables the writing of missing golden
// files. It is for new golden files only.
const WriteVariable = "BASALTLOFT_WRITE_MISSING_GOLDEN"

// Writing reports whether missing golden files are to be written.
func Writing() bool { return os.Getenv(WriteVariable) == "1" }

// Missing reports whether a golden file is to be written now: it doesn't exist, and WriteVariable is set
// to 1.
func Missing(path string) bool {
	_, err := os.Stat(path)
	return os.IsNotExist(err) && Writing()
}

// Read returns the content of a golden file.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return content
}

// Equal requires that got equals the content of the golden file. It first writes a missing file if Writing
// returns true.
func Equal(t testing.TB, path string, got []byte) {
	t.Helper()
	WriteMissingFile(t, path, got)
	want := Read(t, path)
	if utf8.Valid(want) && utf8.Valid(got) {
		require.Equal(t, string(want), string(got), "%s: what is stored, sent or read has changed", path)
		return
	}
	require.True(t, bytes.Equal(want, got), "%s: what is stored, sent or read has changed from byte %d of %d on, now %d bytes", path, commonPrefixLength(want, got), len(want), len(got))
}

// commonPrefixLength returns the length of the longest common prefix of a and b.
func commonPrefixLength(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// CopyFolder copies a golden folder into a temporary one, which the code under test may change, and returns
// the path of the copy.
func CopyFolder(t testing.TB, path string) string {
	t.Helper()
	copied := filepath.Join(t.TempDir(), filepath.Base(path))
	require.NoError(t, os.CopyFS(copied, os.DirFS(path)))
	return copied
}

// WriteMissingFile writes a golden file if Missing returns true for it.
func WriteMissingFile(t testing.TB, path string, content []byte) {
	t.Helper()
	if Missing(path) {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o750))
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
}

// WriteMissingFolder copies a folder that a test has written to the path of a golden one if Missing returns
// true for that path.
func WriteMissingFolder(t testing.TB, written, path string) {
	t.Helper()
	if Missing(path) {
		require.NoError(t, os.CopyFS(path, os.DirFS(written)))
	}
}
