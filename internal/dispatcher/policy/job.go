package policy

import (
	"slices"
	"time"
)

// attempt is one send of a job to a worker.
type attempt struct {
	job           *job
	worker        *worker
	listing       Member // the worker as it was listed at the send: the scope of a key goes by that
	number        int    // counted from 0
	sentAt        time.Duration
	overdueAt     time.Duration
	startedAt     time.Duration // 0: not told
	expectedRun   float64       // at the fleet's mean pace
	cost          float64       // what it counts against the worker's budget
	slots         float64
	inFlight      bool
	waiting       bool // it did not start promptly
	foundFreeSlot bool // the time to its end is run time
	overdue       bool // found overdue
	cancelled     bool // or never sent
	failed        bool // ended in error
}

// job is a request that has no final answer yet, or one whose last attempts are being cancelled.
type job struct {
	Request
	class        *classCost
	affinity     *affinityStats // nil: the request has no affinity key
	seq          uint64         // in the order of arrival
	expectedRun  float64        // at the fleet's mean pace
	cost         float64        // expectedRun times the slots
	valuePerCost float64
	answerBy     time.Duration // a later answer is worth nothing
	maxAttempts  int           // the limit when it came

	// In the queue.
	queue    *queue // nil: not queued
	index    int    // in queue.jobs
	queuedAt time.Duration
	agesAt   time.Duration // no shorter job passes it from then on
	aged     bool

	// Sent.
	attempts        []*attempt // by their numbers
	inFlight        int
	firstMayHaveRun *attempt // the first that has ended and may have run; nil: none
	startedAttempt  *attempt // the first that told its start, while it is in flight; nil: none
	paidAttempts    int      // the highest number that was taken from the shared budget
	answered        bool     // it has its final answer, or a stream that is the client's
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

// newJob puts a request into the table of jobs and its cost into the mean.
func (d *Dispatcher) newJob(c *classCost, r Request) *job {
	d.seq++
	r.Slots = max(1, r.Slots)
	j := &job{
		Request: r, class: c, affinity: d.affinityOf(r), seq: d.seq,
		expectedRun: d.expectedRun(c, r.Hint), maxAttempts: d.Limits.MaxAttempts,
	}
	j.cost = j.expectedRun * r.Slots
	d.meanCost += (j.cost - d.meanCost) / min(float64(d.seq), costWindow)
	d.jobs[r.ID] = j
	return j
}

// closeJob forgets a job that has its final answer, and cancels what is still in flight.
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

// newAttempt returns the job's next attempt, which is not in any table yet.
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
		d.host.Timer(d.latestStart(j)-d.now, chanceToken)
	}
}

// recordSend puts an attempt that is sent into the tables and sums.
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

// releaseAttempt takes an attempt that has ended out of the tables and sums.
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

// cancelAttempt cancels an attempt, once.
func (d *Dispatcher) cancelAttempt(a *attempt) {
	if d.Limits.Cancel && !a.cancelled {
		a.cancelled = true
		d.host.Cancel(a.job.ID, a.number)
	}
}

// cancelOthers cancels the attempts of a job that are in flight, but for one (nil: all of them).
func (d *Dispatcher) cancelOthers(j *job, kept *attempt) {
	for _, a := range j.attempts {
		if a.inFlight && a != kept {
			d.cancelAttempt(a)
		}
	}
}
