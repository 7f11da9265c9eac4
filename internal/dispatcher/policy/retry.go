package policy

import "time"

// dedupHolds reports whether workers still drop a repeat of a job that reaches them so much later.
// The window counts from the first attempt that may have run, at the soonest from its send.
func (d *Dispatcher) dedupHolds(j *job, in time.Duration) bool {
	first := j.firstMayHaveRun
	for i := 0; first == nil && i < len(j.attempts); i++ {
		if a := j.attempts[i]; a.inFlight {
			first = a
		}
	}
	return j.effect() == Deduplicated && first != nil && d.now+in-first.sentAt < j.class.DedupWindow
}

// mayRetry reports whether a further attempt is allowed at some worker: an effect must not happen
// twice.
func (d *Dispatcher) mayRetry(j *job) bool {
	harmless := j.firstMayHaveRun == nil || j.class.Effect == Idempotent ||
		d.dedupHolds(j, d.Limits.ConnectTimeout)
	free := j.inFlight == 0 || j.startedAttempt == nil && d.hedgeable(j)
	return harmless && free && len(j.attempts) < j.maxAttempts
}

// takeRetryBudget takes the job's next attempt from what all dispatchers share, once; false: there
// is none left.
func (d *Dispatcher) takeRetryBudget(j *job) bool {
	if d.SharedBudget != nil && j.paidAttempts < len(j.attempts) {
		if !d.SharedBudget.TakeRetry(j.ID, j.class.Name) {
			return false
		}
		j.paidAttempts = len(j.attempts)
	}
	return true
}

// wouldFailAgain reports whether an attempt's end says that the job would fail anywhere.
func (d *Dispatcher) wouldFailAgain(a *attempt, s Status) bool {
	return s == InvalidRequest || s == Error && (a.job.NoRetryOnError || d.requestAtFault(a))
}

// requestAtFault reports whether an error is the request's: it failed at another worker too, or many
// do everywhere.
func (d *Dispatcher) requestAtFault(a *attempt) bool {
	fails := 0
	for _, b := range a.job.attempts {
		fails += boolToInt(b.failed)
	}
	return fails > 1 || !a.worker.failing && d.errorRateElsewhere(a.worker) > minErrorRate
}

// effect is that of the job's class; without a key workers know no repeat of a deduplicated job.
func (j *job) effect() Effect {
	if j.class.Effect == Deduplicated && j.NoDedupKey {
		return AtMostOnce
	}
	return j.class.Effect
}
