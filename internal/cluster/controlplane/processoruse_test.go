package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestProcessorUseCountsBursts(t *testing.T) {
	const quota = 0.5
	full := time.Duration(quota * float64(processorInterval))
	use := processorUse{}
	for range 3 {
		use.add(full, processorInterval, quota)
	}
	use.add(full*6/10, processorInterval, quota)
	use.add(0, processorInterval, quota)
	use.add(full, processorInterval, quota)

	got := use.takeTotals()
	assert.Equal(t, 6, got.intervals)
	assert.Equal(t, 5, got.busy)
	assert.Equal(t, 4, got.saturated)
	assert.Equal(t, 3, got.longestSaturated)
	assert.Equal(t, 4*full+full*6/10, got.used)
	assert.Zero(t, got.worstLag)

	use.add(full, processorInterval, quota)
	assert.Equal(t, 2, use.takeTotals().longestSaturated, "a sequence that continues across a report is counted in full")
}

func TestProcessorUseOfALateSample(t *testing.T) {
	use := processorUse{}
	use.add(processorInterval/2, 3*processorInterval, 1)
	got := use.takeTotals()
	assert.Equal(t, 2*processorInterval, got.worstLag)
	assert.Zero(t, got.busy, "the share is relative to the time that passed")
}

func TestProcessorShareWithoutAQuotaIsOfOneProcessor(t *testing.T) {
	assert.InDelta(t, 0.25, processorShare(processorInterval/4, processorInterval, 0), 1e-9)
}
