package policy

import (
	"cmp"
	"time"
)

// recallRuns: a waiting job is recalled at the last moment at which this many expected run times
// elsewhere still end in time.
const recallRuns = 1.4

// recallWaiting recalls a job that still waits for its start, at the last moment at which an idle
// worker of the group can have it in time. Later it is late for sure; sooner, the first worker may
// yet start it, and would run on there beside the next attempt.
func (d *Dispatcher) recallWaiting(a *attempt) {
	j := a.job
	if a.cancelled || a.startedAt != 0 || j.answered || !d.lateStartSaturates() || !d.Limits.Cancel ||
		j.effect() == AtMostOnce || d.hedgeable(j) || len(j.attempts) >= j.maxAttempts {
		return
	}
	firstMayHaveRun := j.firstMayHaveRun
	j.firstMayHaveRun = cmp.Or(firstMayHaveRun, a)
	to := d.selectAny(j)
	j.firstMayHaveRun = firstMayHaveRun
	if to == nil || to.suspect || to.failing || len(to.attempts) > 0 {
		return
	}
	left := time.Duration(recallRuns * j.expectedRun * to.pace() * d.slowdown * d.warmupSlowdown(to))
	if d.now+left+tickInterval >= j.answerBy && d.takeRetryBudget(j) {
		a.worker.saturatedUntil = d.now + d.now - a.sentAt
		d.cancelAttempt(a)
	}
}

// hedgeable reports whether a job may wait at several workers until one starts it: where nobody
// reports free slots, a told start is the only evidence of room ("tied requests", Dean and Barroso,
// The Tail at Scale, 2013).
func (d *Dispatcher) hedgeable(j *job) bool {
	return !d.probesTellSlots && d.ReportsStart && d.Limits.ConcurrentAttempts && d.Limits.Cancel &&
		j.class.Effect == Idempotent
}

// hedge sends a further attempt of a job that does not start promptly. One that waits at workers
// until it is hopeless is given up like a held one: late work would fill their queues for good.
func (d *Dispatcher) hedge(j *job) {
	if d.hedgeable(j) && !j.answered && j.startedAttempt == nil && !d.dropIfHopeless(j) &&
		d.now >= j.attempts[len(j.attempts)-1].sentAt+promptStart && d.mayRetry(j) {
		if w := d.selectWorker(j); w != nil && d.takeRetryBudget(j) {
			d.send(j, w)
		}
	}
}
