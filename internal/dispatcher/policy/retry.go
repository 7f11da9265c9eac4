package policy

import "time"

// dedupHolds reports whether workers will still drop a repeat of a job that reaches them after the
// given delay. The window counts from the send of the first attempt that may have run or is in
// flight, which is the earliest time at which a worker can have seen the key.
func (d *Dispatcher) dedupHolds(j *job, in time.Duration) bool {
	first := j.firstMayHaveRun
	for i := 0; first == nil && i < len(j.attempts); i++ {
		if a := j.attempts[i]; a.inFlight {
			first = a
		}
	}
	return j.effect() == Deduplicated && first != nil && d.now+in-first.sentAt < j.class.DedupWindow
}

// mayRetry reports whether the job may have a further attempt at some worker: a job with an effect
// must not run twice.
func (d *Dispatcher) mayRetry(j *job) bool {
	harmless := j.firstMayHaveRun == nil || j.class.Effect == Idempotent ||
		d.dedupHolds(j, d.Limits.ConnectTimeout)
	free := j.inFlight == 0 || j.startedAttempt == nil && d.hedgeable(j)
	return harmless && free && len(j.attempts) < j.maxAttempts
}

// takeRetryBudget takes the job's next attempt from the shared retry budget, once for each attempt.
// It returns false if the budget is exhausted.
func (d *Dispatcher) takeRetryBudget(j *job) bool {
	if d.SharedBudget != nil && j.budgetedAttempts < len(j.attempts) {
		if !d.SharedBudget.TakeRetry(j.ID, j.class.Name) {
			return false
		}
		j.budgetedAttempts = len(j.attempts)
	}
	return true
}

// wouldFailAgain reports whether a job must not be retried after an attempt's end, because it would
// fail at any worker or its sender asked for no retry on errors.
func (d *Dispatcher) wouldFailAgain(a *attempt, s Status) bool {
	return s == InvalidRequest || s == Error && (a.job.NoRetryOnError || d.requestAtFault(a))
}

// requestAtFault reports whether an error is attributed to the request: it has failed in another
// attempt too, or many requests fail at all workers.
func (d *Dispatcher) requestAtFault(a *attempt) bool {
	fails := 0
	for _, b := range a.job.attempts {
		fails += boolToInt(b.failed)
	}
	return fails > 1 || !a.worker.failing && d.errorRateElsewhere(a.worker) > minErrorRate
}

// effect returns the effect of the job's class. A deduplicated job without a key counts as
// AtMostOnce, since workers can't detect its repeats.
func (j *job) effect() Effect {
	if j.class.Effect == Deduplicated && j.NoDedupKey {
		return AtMostOnce
	}
	return j.class.Effect
}
