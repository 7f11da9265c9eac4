package soak

import (
	"context"
	"syscall"
	"time"

	"basaltloft/internal/shared/saturating"
)

// throttlePeriod is the period of the processor quota: a throttled process runs for a share of each period.
const throttlePeriod = 100 * time.Millisecond

// throttle lets a process run for a share of each period, until the context ends.
func (m *machine) throttle(ctx context.Context, share float64) {
	runs := saturating.Duration(share * float64(throttlePeriod))
	defer m.continueUnlessFrozen()
	for sleep(ctx, runs) {
		m.Signal(syscall.SIGSTOP)
		sleep(ctx, throttlePeriod-runs)
		m.continueUnlessFrozen()
	}
}

// continueUnlessFrozen continues a process, unless an event keeps it frozen.
func (m *machine) continueUnlessFrozen() {
	if !m.frozen.Load() {
		m.Signal(syscall.SIGCONT)
	}
}
