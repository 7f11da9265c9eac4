package controlplane

import (
	"runtime/metrics"
	"syscall"
	"time"

	"basaltloft/internal/shared/saturating"
)

// loadReportInterval is the interval at which a node logs its load.
const loadReportInterval = 5 * time.Second

// Names of the Go runtime metrics that are reported.
const (
	collectionsMetric   = "/gc/cycles/total:gc-cycles"
	collectorTimeMetric = "/cpu/classes/gc/total:cpu-seconds"
	heapMetric          = "/memory/classes/heap/objects:bytes"
)

// reportLoad samples the processor time that the process uses, and logs it at intervals together with the
// number of orders that each shard sent, until the node stops.
func (n *Node) reportLoad() {
	ticker := time.NewTicker(processorInterval)
	defer ticker.Stop()
	use, last, lastUsed := processorUse{}, n.now(), usedProcessorTime()
	collector := newCollectorMeter()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
		now, used := n.now(), usedProcessorTime()
		use.add(used-lastUsed, now-last, n.settings.Limits.CPUQuota)
		last, lastUsed = now, used
		if use.intervals < int(loadReportInterval/processorInterval) {
			continue
		}
		n.logLoad(use.takeTotals(), collector.takeTotals())
	}
}

// logLoad logs one report. Shards that sent no orders to runners are left out.
func (n *Node) logLoad(use processorUse, collector collectorUse) {
	n.log.Info("processor load",
		"used_ms", use.used.Milliseconds(), "intervals", use.intervals, "busy", use.busy,
		"saturated", use.saturated, "longest_saturated", use.longestSaturated, "worst_lag_ms", use.worstLag.Milliseconds(),
		"collections", collector.collections, "collector_ms", collector.time.Milliseconds(), "heap_kb", collector.heapBytes>>10)
	for _, loop := range n.shards {
		loop.counts.log(n.log, loop.number)
	}
}

// usedProcessorTime returns the processor time that this process has used.
func usedProcessorTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // the reports then show no processor time
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// collectorUse is the work that the Go garbage collector did since the last report.
type collectorUse struct {
	collections uint64
	time        time.Duration
	heapBytes   uint64 // heap size at the time of the report
}

// collectorMeter reads the garbage collector's work from the runtime metrics.
type collectorMeter struct {
	samples []metrics.Sample
	last    collectorUse // totals since the start of the process, at the last call of takeTotals
}

func newCollectorMeter() *collectorMeter {
	meter := &collectorMeter{samples: []metrics.Sample{{Name: collectionsMetric}, {Name: collectorTimeMetric}, {Name: heapMetric}}}
	meter.takeTotals()
	return meter
}

// takeTotals returns the collector's work since the last call, and the current heap size.
func (m *collectorMeter) takeTotals() collectorUse {
	metrics.Read(m.samples)
	now := collectorUse{
		collections: m.samples[0].Value.Uint64(),
		time:        saturating.Duration(m.samples[1].Value.Float64() * float64(time.Second)),
		heapBytes:   m.samples[2].Value.Uint64(),
	}
	since := collectorUse{collections: now.collections - m.last.collections, time: now.time - m.last.time, heapBytes: now.heapBytes}
	m.last = now
	return since
}
