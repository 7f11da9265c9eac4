package scheduler

import (
	"time"

	"basaltloft/internal/shared/saturating"
)

const (
	// The rate of progress is measured over spans of at least rateSpan and at least
	// rateSpanFraction of the expected run time, because runners report progress in whole percents.
	rateSpan         = 150 * time.Millisecond
	rateSpanFraction = 0.2

	// A run has stalled if it is reported at the same percentage for stalledAfter plus
	// stalledFraction of its expected run time.
	stalledAfter    = 400 * time.Millisecond
	stalledFraction = 0.08

	// slownessTolerance is subtracted from a run's total time before it is compared to the expected
	// run time.
	slownessTolerance = 300 * time.Millisecond
)

// runProgress is the progress of a run as reported by its runner.
type runProgress struct {
	percent     int
	changedAt   time.Duration // time of the first report of this percentage
	reportedAt  time.Duration // time of the last report
	spanPercent int           // percentage at the start of the current span
	spanStart   time.Duration
	rate        float64 // percent per second over the last span
	rateKnown   bool
}

// recordProgress records the progress of a run that its runner reports.
func (r *run) recordProgress(now time.Duration, percent int) {
	p := &r.progress
	p.reportedAt = now
	if p.spanStart == 0 && r.resumed { // progress before the resume was not made at this runner
		p.spanStart, p.spanPercent = now, percent
	}
	if p.spanStart == 0 {
		p.spanStart = r.orderedAt
	}
	if now-p.spanStart >= max(rateSpan, r.expectedFraction(rateSpanFraction)) {
		p.rate = float64(percent-p.spanPercent) / (now - p.spanStart).Seconds()
		p.rateKnown = true
		p.spanStart, p.spanPercent = now, percent
	}
	if percent != p.percent || p.changedAt == 0 {
		p.percent, p.changedAt = percent, now
	}
}

// stalledRemaining is used as the remaining time of a stalled run.
const stalledRemaining = time.Hour

// remaining returns the remaining time of a run at the rate of its last span, and whether it is
// known. A run has stalled if it was reported repeatedly at the same percentage; missing reports
// alone don't count.
func (r *run) remaining() (time.Duration, bool) {
	p := &r.progress
	switch {
	case !p.rateKnown:
		return 0, false
	case p.reportedAt-p.changedAt >= stalledAfter+r.expectedFraction(stalledFraction)+r.restoreTime:
		return stalledRemaining, true
	case p.rate <= 0:
		return 0, false
	}
	return saturating.Duration(float64(100-p.percent) / p.rate * float64(time.Second)), true
}

// slowness returns the ratio of a run's estimated total time to its expected run time, or 0 if it
// is not known yet.
func (r *run) slowness(now time.Duration) float64 {
	remaining, known := r.remaining()
	if !known || r.expected <= 0 {
		return 0
	}
	return max(0, (now-r.orderedAt+remaining-slownessTolerance).Seconds()) / r.expected
}
