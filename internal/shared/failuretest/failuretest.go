// Package failuretest catches the failure of a check that a test expects to fail. It serves tests of
// invariant checks, which must fail when a fault was injected. Only tests import it.
package failuretest

import (
	"fmt"
	"testing"
)

// recorder is a testing.TB that records the first failure and stops there.
type recorder struct {
	testing.TB
	failure string
}

// stopped is the panic value by which Fatalf ends the function that CatchFatal runs.
type stopped struct{}

// Helper implements testing.TB.
func (r *recorder) Helper() {}

// Fatalf implements testing.TB.
func (r *recorder) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	panic(stopped{})
}

// CatchFatal runs a function whose checks call Fatalf, in the calling goroutine, and returns the message
// of the first call, or an empty string if there was none. Other methods of the function's testing.TB are
// those of t, so that a failure that they report fails t.
func CatchFatal(t testing.TB, run func(t testing.TB)) (failure string) {
	rec := &recorder{TB: t}
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(stopped); !ok {
				panic(r)
			}
			failure = rec.failure
		}
	}()
	run(rec)
	return ""
}
