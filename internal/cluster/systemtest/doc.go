// Package systemtest runs three control-plane nodes and a dispatcher in one process, on loopback
// addresses and temporary directories, against stand-ins for the platform's instance list and for
// runners. Its helpers are also used by other test packages; no program imports this package.
package systemtest

import (
	"testing"
	"time"

	"basaltloft/internal/cluster/standin"
)

// NewPlatform returns a started platform with an empty list. The caller closes its server.
func NewPlatform(t testing.TB) *standin.Platform {
	t.Helper()
	platform, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// NewRunner returns a started runner whose tasks run for taskDuration. The caller closes its server.
func NewRunner(t testing.TB, id string, taskDuration time.Duration) *standin.Runner {
	t.Helper()
	runner, err := standin.NewRunner(id, taskDuration)
	if err != nil {
		t.Fatal(err)
	}
	return runner
}
