// Package failuretest catches the failure of a check that a test expects to fail: with a mistake
// planted, say. Only tests import it.
package failuretest

import (
	"fmt"
	"testing"
)

// witness is a testing.TB that notes the first failure and goes no further.
type witness struct {
	testing.TB
	failed string
}

type stopped struct{}

// Helper implements testing.TB.
func (w *witness) Helper() {}

// Fatalf implements testing.TB.
func (w *witness) Fatalf(format string, args ...any) {
	w.failed = fmt.Sprintf(format, args...)
	panic(stopped{})
}

// CatchFatal runs a function whose checks call Fatalf, and returns what the first that failed
// said; empty: none did.
func CatchFatal(t testing.TB, run func(t testing.TB)) (failed string) {
	seen := &witness{TB: t}
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(stopped); !ok {
				panic(r)
			}
			failed = seen.failed
		}
	}()
	run(seen)
	return ""
}
