package soak

import (
	"context"
	"syscall"
	"time"
)

// throttlePeriod is the period of which a throttled process has a part, as with a quota of processor time.
const throttlePeriod = 100 * time.Millisecond

// throttle lets a process run for a share of each period, until the context ends.
func (m *machine) throttle(ctx context.Context, share float64) {
	runs := time.Duration(share * float64(throttlePeriod))
	defer m.thaw()
	for pass(ctx, runs) {
		m.Signal(syscall.SIGSTOP)
		pass(ctx, throttlePeriod-runs)
		m.thaw()
	}
}

// thaw lets a process go on, unless an event holds it.
func (m *machine) thaw() {
	if !m.frozen.Load() {
		m.Signal(syscall.SIGCONT)
	}
}
