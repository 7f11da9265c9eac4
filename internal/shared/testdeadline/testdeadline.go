// Package testdeadline bounds the waits of tests by the deadline of the test run. A test that waits
// for an event, and does not check how long that takes, should fail by a hang only: how fast the
// machine is, and what else it does, is nothing that it tests. Only tests import it.
package testdeadline

import (
	"context"
	"testing"
	"time"
)

const (
	// reserve is kept from the deadline, so that a wait that fails can say what it waited for and the
	// test can stop what it started.
	reserve = time.Minute
	// withoutDeadline is how long a wait lasts where the run has no deadline (go test -timeout 0).
	withoutDeadline = time.Hour
	// least is how long a wait lasts however little is left.
	least = 10 * time.Second
)

// Remaining returns how long a wait that begins now may last.
func Remaining(t *testing.T) time.Duration {
	t.Helper()
	deadline, ok := t.Deadline()
	return remaining(time.Now(), deadline, ok)
}

func remaining(now, deadline time.Time, hasDeadline bool) time.Duration {
	if !hasDeadline {
		return withoutDeadline
	}
	return max(least, deadline.Sub(now)-reserve)
}

// Context returns a context that ends when a wait that begins now has to end, and no later than the
// test.
func Context(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Remaining(t))
	t.Cleanup(cancel)
	return ctx
}
