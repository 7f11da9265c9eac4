package policy

import (
	"cmp"
	"time"

	"basaltloft/internal/shared/saturating"
)

const (
	// overloadHold is how long the dispatcher counts as overloaded after a job was dropped for lack
	// of capacity.
	overloadHold = time.Second
	// bestCaseRun is the share of the expected run time in which a job ends in the best case.
	bestCaseRun = 0.8
)

// answerTime returns the time at which the job's answer is due. For a retry the latency target
// counts from the client's first try, since the answer is no less late for the retry. The time of
// the first try is estimated from the retry's deadline and the longest time left seen in its class.
// Where clients mark retries, an unmarked request with little time left is a first try of a client
// with a short timeout.
func (d *Dispatcher) answerTime(j *job) time.Duration {
	left, firstTryAt := j.Deadline-d.now, d.now
	j.class.longestTimeLeft = max(j.class.longestTimeLeft, min(left, j.class.ClientTimeout))
	if j.Retry || !d.ClientsMarkRetries && !j.KnownFirst {
		firstTryAt -= max(0, j.class.longestTimeLeft-left)
	}
	work := cmp.Or(float64(j.Hint), j.expectedRun)
	return min(firstTryAt+j.class.LatencyTarget+saturating.Duration(j.class.TargetPerWork*work), j.Deadline)
}

// dropIfTooLate drops a queued or waiting job that is too late, and reports whether it did so. The
// loss is recorded as a sign of overload.
func (d *Dispatcher) dropIfTooLate(j *job) bool {
	lost := d.tooLate(j)
	if lost {
		d.lastLossAt = d.now
		d.answerUnserved(j)
	}
	return lost
}

// tooLate reports whether a job would be late even on the fastest worker and in the best case.
func (d *Dispatcher) tooLate(j *job) bool { return d.now >= d.latestStart(j) }

// latestStart returns the time from which a job is too late.
func (d *Dispatcher) latestStart(j *job) time.Duration {
	start := j.answerBy - saturating.Duration(bestCaseRun*j.expectedRun*d.bestPace*d.slowdown)
	return min(start, j.Deadline-2*tickInterval) // queued jobs are answered by the tick
}

// answerUnserved answers a job that was not served: as refused if a retry by the client is harmless,
// otherwise as failed.
func (d *Dispatcher) answerUnserved(j *job) {
	c := j.class
	known := c.DedupScope == DedupAll && d.dedupHolds(j, d.Limits.MaxRetryAfter) // at the client's retry
	if j.firstMayHaveRun == nil && j.inFlight == 0 || c.Effect == Idempotent || known {
		d.host.Refuse(j.ID, d.Limits.MaxRetryAfter)
	} else {
		d.host.Fail(j.ID)
	}
	d.closeJob(j)
}
