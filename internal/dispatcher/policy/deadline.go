package policy

import (
	"cmp"
	"time"
)

const (
	// overloadHold is how long a job given up for want of room counts as overload.
	overloadHold = time.Second
	// bestCaseRun is the share of the expected run time in which a job ends with luck.
	bestCaseRun = 0.8
)

// answerTime is when the job must be done. A retry is timed from its first try, which its deadline
// shows beside the client's patience: it is late all the same. Where retries are marked, others in
// haste are impatient.
func (d *Dispatcher) answerTime(j *job) time.Duration {
	left, born := j.Deadline-d.now, d.now
	j.class.longestPatience = max(j.class.longestPatience, min(left, j.class.ClientTimeout))
	if j.Retry || !d.ClientsMarkRetries && !j.KnownFirst {
		born -= max(0, j.class.longestPatience-left)
	}
	work := cmp.Or(float64(j.Hint), j.expectedRun)
	return min(born+j.class.LatencyTarget+time.Duration(j.class.TargetPerWork*work), j.Deadline)
}

// dropIfHopeless gives up a held job that is hopeless: a loss for want of room shows overload.
func (d *Dispatcher) dropIfHopeless(j *job) bool {
	lost := d.hopeless(j)
	if lost {
		d.lastLossAt = d.now
		d.answerUnserved(j)
	}
	return lost
}

// hopeless reports that a job would be late even on the fastest worker and with luck.
func (d *Dispatcher) hopeless(j *job) bool { return d.now >= d.latestStart(j) }

// latestStart is when a job becomes hopeless.
func (d *Dispatcher) latestStart(j *job) time.Duration {
	start := j.answerBy - time.Duration(bestCaseRun*j.expectedRun*d.bestPace*d.slowdown)
	return min(start, j.Deadline-2*tickInterval) // held jobs are answered by the tick
}

// answerUnserved answers a job that was not served: refused where the client's retry can do no
// harm, else failed.
func (d *Dispatcher) answerUnserved(j *job) {
	c := j.class
	known := c.DedupScope == DedupAll && d.dedupHolds(j, d.Limits.MaxRetryAfter) // yet, when it comes again
	if j.firstMayHaveRun == nil && j.inFlight == 0 || c.Effect == Idempotent || known {
		d.host.Refuse(j.ID, d.Limits.MaxRetryAfter)
	} else {
		d.host.Fail(j.ID)
	}
	d.closeJob(j)
}
