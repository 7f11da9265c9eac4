package scheduler

import "time"

const (
	// Progress is measured over spans of at least rateSpan, and of at least rateSpanPart of the
	// expected run time: what runners report are whole percents.
	rateSpan         = 150 * time.Millisecond
	rateSpanFraction = 0.2

	// A run that is reported at the same percentage for stalledAfter and, beside that, for
	// stalledPart of its expected run time has stalled.
	stalledAfter    = 400 * time.Millisecond
	stalledFraction = 0.08

	// slownessTolerance: a run counts as slow only by what it takes beside this.
	slownessTolerance = 300 * time.Millisecond
)

// runProgress is how far a run has come, as its runner reports it.
type runProgress struct {
	percent     int
	changedAt   time.Duration // when that percentage was first reported
	reportedAt  time.Duration // when it was last reported
	spanPercent int           // the percentage at the beginning of the current span
	spanStart   time.Duration
	rate        float64 // percent a second over the last span
	rateKnown   bool
}

// recordProgress takes in how far a run is, as its runner reports it.
func (r *run) recordProgress(now time.Duration, percent int) {
	p := &r.progress
	p.reportedAt = now
	if p.spanStart == 0 && r.resumed { // what it had done before is not this runner's progress
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

// stalledRemaining stands for the remaining time of a run that has stalled.
const stalledRemaining = time.Hour

// remaining returns how much longer a run takes at the rate of its last span; false: that is not
// known yet. One that was reported again and again at the same percentage has stalled; that its
// runner did not report says nothing.
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
	return time.Duration(float64(100-p.percent) / p.rate * float64(time.Second)), true
}

// slowness is how many times longer than expected a run takes in all; 0: that is not known yet.
func (r *run) slowness(now time.Duration) float64 {
	remaining, known := r.remaining()
	if !known || r.expected <= 0 {
		return 0
	}
	return max(0, (now-r.orderedAt+remaining-slownessTolerance).Seconds()) / r.expected
}
