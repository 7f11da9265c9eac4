// Package failuretest catches the failure of a check that a test expects to fail: a check of an
// invariant must fail where a fault was planted. Only tests import it.
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

// stopped is the panic by which Fatalf leaves the function under test.
type stopped struct{}

// Helper implements testing.TB.
func (r *recorder) Helper() {}

// Fatalf implements testing.TB.
func (r *recorder) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	panic(stopped{})
}

// CatchFatal runs a function whose checks call Fatalf, in the calling goroutine, and returns the text
// of the first failure; empty: nothing failed. Other methods of the function's testing.TB are t's
// own: what they report fails t itself.
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
