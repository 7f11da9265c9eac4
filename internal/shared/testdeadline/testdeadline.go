// Package testdeadline limits the waits of tests by the deadline of the test run. A test that waits for an
// event, and doesn't check how long that takes, should fail only if the event never occurs, independently of
// the machine's speed and load. Only tests import it.
package testdeadline

import (
	"context"
	"testing"
	"time"
)

const (
	// reserve is the time between the end of a wait and the deadline of the run. In it the test reports
	// what it waited for and stops what it started.
	reserve = time.Minute
	// withoutDeadline is the limit of a wait if the run has no deadline (go test -timeout 0).
	withoutDeadline = time.Hour
	// minWait is the minimum limit of a wait, even if the deadline of the run is closer.
	minWait = 10 * time.Second
)

// Remaining returns the time limit of a wait that begins now.
func Remaining(t *testing.T) time.Duration {
	t.Helper()
	deadline, ok := t.Deadline()
	return remaining(time.Now(), deadline, ok)
}

func remaining(now, deadline time.Time, hasDeadline bool) time.Duration {
	if !hasDeadline {
		return withoutDeadline
	}
	return max(minWait, deadline.Sub(now)-reserve)
}

// Context returns a context that is canceled at the time limit of a wait that begins now, and at the end of
// the test at the latest.
func Context(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Remaining(t))
	t.Cleanup(cancel)
	return ctx
}
