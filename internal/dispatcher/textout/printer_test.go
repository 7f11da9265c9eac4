package textout

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingWriter fails from its second write on.
type failingWriter struct {
	strings.Builder
	writes int
	err    error
}

func (w *failingWriter) Write(text []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		return 0, w.err
	}
	return w.Builder.Write(text)
}

// TestPrinterKeepsFirstError: nothing is written after an error, and that error is kept.
func TestPrinterKeepsFirstError(t *testing.T) {
	w := &failingWriter{err: errors.New("disk full")}
	p := New(w)
	p.Printf("%d jobs", 3)
	require.NoError(t, p.Err())
	p.Println("lost")
	w.err = errors.New("another error")
	p.Println("lost too")
	require.EqualError(t, p.Err(), "disk full")
	require.Equal(t, "3 jobs", w.String())
	require.Equal(t, 2, w.writes)
}
