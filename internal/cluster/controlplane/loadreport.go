package controlplane

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// loadReportInterval is the interval of the log lines that tell a node's load.
const loadReportInterval = 5 * time.Second

// Names of the Go runtime's metrics that a report has.
const (
	collectionsMetric   = "/gc/cycles/total:gc-cycles"
	collectorTimeMetric = "/cpu/classes/gc/total:cpu-seconds"
	heapMetric          = "/memory/classes/heap/objects:bytes"
)

// reportLoad samples the process's use of the processor and logs it at intervals with the orders of the
// shards, until the node stops.
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
		n.logLoad(use.take(), collector.take())
	}
}

// logLoad writes a report. A node that sends no orders to runners writes none of orders.
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
		return 0 // a report tells no use then
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// collectorUse is the work of the Go runtime's garbage collector since the last report.
type collectorUse struct {
	collections uint64
	time        time.Duration
	heapBytes   uint64 // at the time of the report
}

// collectorMeter reads the collector's work from the runtime's metrics.
type collectorMeter struct {
	samples []metrics.Sample
	last    collectorUse // sums since the start of the process
}

func newCollectorMeter() *collectorMeter {
	meter := &collectorMeter{samples: []metrics.Sample{{Name: collectionsMetric}, {Name: collectorTimeMetric}, {Name: heapMetric}}}
	meter.take()
	return meter
}

// take returns the collector's work since the last call.
func (m *collectorMeter) take() collectorUse {
	metrics.Read(m.samples)
	now := collectorUse{
		collections: m.samples[0].Value.Uint64(),
		time:        time.Duration(m.samples[1].Value.Float64() * float64(time.Second)),
		heapBytes:   m.samples[2].Value.Uint64(),
	}
	since := collectorUse{collections: now.collections - m.last.collections, time: now.time - m.last.time, heapBytes: now.heapBytes}
	m.last = now
	return since
}
