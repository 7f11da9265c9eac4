// Package goldentest compares what a test made with golden files, which hold the
// bytes that an earlier build of the program stored or sent.
//
// The golden files of the packages that use it were written by commit 352ebf2, before
// packages, types and fields were renamed. They must never be rewritten by later code:
// a difference means that a rolling upgrade, a folder on disk or a client breaks. For
// that reason no file that exists is ever written here.
package goldentest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// WriteVariable names the environment variable that, set to 1, has missing golden
// files written. It is for new golden files only.
const WriteVariable = "BASALTLOFT_WRITE_MISSING_GOLDEN"

// Writing tells whether missing golden files are to be written.
func Writing() bool { return os.Getenv(WriteVariable) == "1" }

// Missing tells whether a golden file is to be written now: it does not exist and
// WriteVariable is set.
func Missing(path string) bool {
	_, err := os.Stat(path)
	return os.IsNotExist(err) && Writing()
}

// Read returns a golden file.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return text
}

// Equal requires that got is what the golden file holds.
func Equal(t testing.TB, path string, got []byte) {
	t.Helper()
	WriteMissingFile(t, path, got)
	want := Read(t, path)
	if utf8.Valid(want) && utf8.Valid(got) {
		require.Equal(t, string(want), string(got), "%s: what is stored, sent or read has changed", path)
		return
	}
	require.True(t, bytes.Equal(want, got), "%s: what is stored, sent or read has changed from byte %d of %d on, now %d bytes", path, same(want, got), len(want), len(got))
}

// same counts the bytes that two texts begin with alike.
func same(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// CopyFolder copies a golden folder into a temporary one and returns its path, so that
// code under test may change it.
func CopyFolder(t testing.TB, path string) string {
	t.Helper()
	copied := filepath.Join(t.TempDir(), filepath.Base(path))
	require.NoError(t, os.CopyFS(copied, os.DirFS(path)))
	return copied
}

// WriteMissingFile writes a golden file that does not exist yet.
func WriteMissingFile(t testing.TB, path string, content []byte) {
	t.Helper()
	if Missing(path) {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o750))
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
}

// WriteMissingFolder copies a folder that a test has written to a golden one that does not exist yet.
func WriteMissingFolder(t testing.TB, written, path string) {
	t.Helper()
	if Missing(path) {
		require.NoError(t, os.CopyFS(path, os.DirFS(written)))
	}
}
