package policy

import (
	"slices"
	"time"
)

// attempt is one send of a job to a worker.
type attempt struct {
	job           *job
	worker        *worker
	listing       Member // of the worker at the send, for the scope of the deduplication key
	number        int    // counted from 0
	sentAt        time.Duration
	overdueAt     time.Duration
	startedAt     time.Duration // 0: not reported
	expectedRun   float64       // at the fleet's mean pace
	cost          float64       // what it counts against the worker's budget
	slots         float64
	inFlight      bool
	waiting       bool // it did not start promptly
	foundFreeSlot bool // the worker was not full at the send, so the time to its end is run time
	overdue       bool // was found overdue
	cancelled     bool // cancelled, or never sent
	failed        bool // ended in error
}

// job is a request without a final answer, or one whose last attempts are being cancelled.
type job struct {
	Request
	class        *classCost
	affinity     *affinityStats // nil: the job has no affinity key
	seq          uint64         // arrival number
	expectedRun  float64        // at the fleet's mean pace
	cost         float64        // expectedRun times the slots
	valuePerCost float64
	answerBy     time.Duration // a later answer has no value
	maxAttempts  int           // the limit in force when the job arrived

	// In the queue.
	queue    *queue // nil: not queued
	index    int    // in queue.jobs
	queuedAt time.Duration
	agesAt   time.Duration // from then on no shorter job is sent before it
	aged     bool

	// Once sent.
	attempts         []*attempt // indexed by attempt number
	inFlight         int
	firstMayHaveRun  *attempt // the first one that has ended and may have run; nil: none
	startedAttempt   *attempt // the first one whose start was reported, while it is in flight; nil: none
	budgetedAttempts int      // the number of the latest attempt taken from the shared retry budget
	answered         bool     // it has its final answer, or a streamed answer has started
}

// inFlightAt reports whether a job has an attempt in flight at a worker.
func (j *job) inFlightAt(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.inFlight && a.worker == w })
}

// failedAt reports whether a job ended in error at a worker, or was recalled from it.
func (j *job) failedAt(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool {
		return (a.failed || a.cancelled) && a.worker == w
	})
}

// newJob adds a request to the table of jobs and its cost to the mean cost.
func (d *Dispatcher) newJob(c *classCost, r Request) *job {
	d.seq++
	r.Slots = max(1, r.Slots)
	j := &job{
		Request: r, class: c, affinity: d.affinityOf(r), seq: d.seq,
		expectedRun: d.expectedRun(c, r.Hint), maxAttempts: d.Limits.MaxAttempts,
	}
	j.cost = float64(j.expectedRun * r.Slots)
	d.meanCost += (j.cost - d.meanCost) / min(float64(d.seq), costWindow)
	d.jobs[r.ID] = j
	return j
}

// closeJob removes a job that has its final answer from the table. If attempts are still in flight,
// it cancels them and keeps the job until they have ended.
func (d *Dispatcher) closeJob(j *job) {
	d.dequeue(j)
	if j.inFlight == 0 {
		delete(d.jobs, j.ID)
		return
	}
	if !j.answered {
		d.cancelOthers(j, nil)
	}
	j.answered = true
}

// attempt returns an attempt by its number, or nil if it is not in flight.
func (d *Dispatcher) attempt(id string, n int) *attempt {
	if j := d.jobs[id]; j != nil && n >= 0 && n < len(j.attempts) && j.attempts[n].inFlight {
		return j.attempts[n]
	}
	return nil
}

// newAttempt returns the job's next attempt without adding it to any table.
func (d *Dispatcher) newAttempt(j *job, w *worker) *attempt {
	return &attempt{
		job: j, worker: w, listing: w.Member, number: len(j.attempts), sentAt: d.now,
		expectedRun: j.expectedRun, cost: d.budgetCost(j), slots: j.Slots, inFlight: true,
	}
}

// send starts an attempt and sets its timers.
func (d *Dispatcher) send(j *job, w *worker) {
	a := d.newAttempt(j, w)
	a.foundFreeSlot = len(w.attempts) == 0 || d.reportFresh(w, reportTTL) && w.freeSlots >= a.slots
	a.overdueAt = d.overdueTime(a)
	if d.warmingUp(w) {
		w.slowStartSends = append(w.slowStartSends, slowStartSend{d.now, j.cost})
	}
	d.recordSend(a)
	d.host.Send(j.ID, w.Number, 0)
	d.host.Timer(a.overdueAt-d.now, overdueToken)
	if d.lateStartSaturates() {
		d.host.Timer(promptStart, startToken)
	}
	if d.hedgeable(j) && len(j.attempts) == 1 {
		d.host.Timer(d.latestStart(j)-d.now, latestStartToken)
	}
}

// recordSend adds a sent attempt to the tables and sums.
func (d *Dispatcher) recordSend(a *attempt) {
	j, w := a.job, a.worker
	j.attempts = append(j.attempts, a)
	j.inFlight++
	if !w.listedBusy {
		d.busy, w.listedBusy = append(d.busy, w), true
	}
	w.attempts, w.lastSendAt = append(w.attempts, a), d.now
	w.outstandingCost += a.cost
	w.freeSlots -= a.slots
	w.freeMemory -= j.Memory
	d.reindex(w)
}

// releaseAttempt removes an attempt that has ended from the tables and sums.
func (d *Dispatcher) releaseAttempt(a *attempt) {
	w := a.worker
	a.inFlight = false
	a.job.inFlight--
	if a.waiting {
		w.waitingJobs--
	}
	if w.promptStartAt != 0 {
		w.promptStartAt = d.now
	}
	if a.job.startedAttempt == a {
		a.job.startedAttempt = nil
	}
	if i := slices.Index(w.attempts, a); i >= 0 {
		w.attempts = slices.Delete(w.attempts, i, i+1)
	}
	if w.outstandingCost -= a.cost; len(w.attempts) == 0 {
		w.outstandingCost = 0
	}
	d.reindex(w)
	w.freeSlots += a.slots
	w.freeMemory += a.job.Memory
}

// cancelAttempt cancels an attempt unless it was cancelled before or cancelling is not allowed.
func (d *Dispatcher) cancelAttempt(a *attempt) {
	if d.Limits.Cancel && !a.cancelled {
		a.cancelled = true
		d.host.Cancel(a.job.ID, a.number)
	}
}

// cancelOthers cancels the attempts of a job that are in flight, except the kept one (nil: all).
func (d *Dispatcher) cancelOthers(j *job, kept *attempt) {
	for _, a := range j.attempts {
		if a.inFlight && a != kept {
			d.cancelAttempt(a)
		}
	}
}
