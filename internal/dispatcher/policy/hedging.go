package policy

import (
	"cmp"

	"basaltloft/internal/shared/saturating"
)

// recallRunMultiple: a waiting job is recalled at the last moment at which this multiple of its
// expected run time at another worker still fits before its answer is due.
const recallRunMultiple = 1.4

// recallWaiting cancels an attempt that still waits for its start, at the last moment at which an
// idle worker could serve the job in time. Later, the job would certainly be late; sooner, the first
// worker might still start it, and the job would run there beside the next attempt.
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
	recallTime := recallRunMultiple * j.expectedRun * to.pace() * d.slowdown * d.warmupSlowdown(to)
	left := saturating.Duration(recallTime)
	if d.now+left+tickInterval >= j.answerBy && d.takeRetryBudget(j) {
		a.worker.saturatedUntil = d.now + d.now - a.sentAt
		d.cancelAttempt(a)
	}
}

// hedgeable reports whether a job may wait at several workers until one starts it: where no free
// slots are reported, a reported start is the only evidence of capacity ("tied requests", Dean and
// Barroso, The Tail at Scale, 2013).
func (d *Dispatcher) hedgeable(j *job) bool {
	return !d.probesReportSlots && d.ReportsStart && d.Limits.ConcurrentAttempts && d.Limits.Cancel &&
		j.class.Effect == Idempotent
}

// hedge sends a further attempt of a job that does not start promptly. A job that waits at workers
// until it is too late is dropped like a queued one: otherwise late work would fill the workers'
// queues permanently.
func (d *Dispatcher) hedge(j *job) {
	if d.hedgeable(j) && !j.answered && j.startedAttempt == nil && !d.dropIfTooLate(j) &&
		d.now >= j.attempts[len(j.attempts)-1].sentAt+promptStart && d.mayRetry(j) {
		if w := d.selectWorker(j); w != nil && d.takeRetryBudget(j) {
			d.send(j, w)
		}
	}
}
