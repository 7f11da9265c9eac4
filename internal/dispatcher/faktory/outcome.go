package faktory

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/policy"
)

// Answer implements engine.Client: it handles the final answer to an attempt of the job. The
// engine's goroutine calls it.
func (t *task) Answer(a engine.Answer) {
	b := t.backlog
	b.counters.JobAnswered(a.Verdict.Outcome())
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.state != taskSubmitted {
		return
	}
	queue := t.job.Queue
	b.submitted--
	if !t.fetched {
		b.releaseUnfetched(queue)
	}
	b.workers.jobAnswered(t)
	now := time.Now()
	t.updatedAt = now
	b.countEnd(t, a)
	if b.disposition(t, a, now) == sets.WillRetry {
		t.state = taskWaiting
		b.notifyBatch(t, false)
		b.resetPromotionTimer()
	} else {
		b.conclude(t, a)
	}
	b.submitWanted(queue)
}

// countEnd counts the end of an attempt that no ACK or FAIL has counted: a pool member of
// another source ran it, or a reservation has ended.
func (b *backlog) countEnd(t *task, a engine.Answer) {
	if t.endCounted {
		return
	}
	if a.Verdict == engine.Served || a.Ran {
		b.processed++
	}
	if a.Verdict == engine.Failed || a.Ran {
		b.failures++
	}
}

// disposition decides what becomes of a job whose attempt has ended, and moves the job
// there. A job that may have run is retried only if its class is idempotent.
func (b *backlog) disposition(t *task, a engine.Answer, now time.Time) sets.Disposition {
	switch {
	case a.Verdict == engine.Served, t.pushPending:
		return sets.Discarded
	case t.failure != nil || a.Ran: // it was run, and the worker or pool member reported a failure
		if t.failure == nil {
			t.failure = &failure{errorType: "Error", message: "a pool member called it failed"}
		}
		idempotent := t.effect == policy.Idempotent
		t.job.MayHaveRun = !idempotent
		return b.store.Failed(now, t.job, idempotent, t.failure.errorType, t.failure.message, t.failure.backtrace)
	case a.Verdict == engine.Refused:
		return b.store.Rejected(now, t.job, a.RetryAt)
	}
	t.job.MayHaveRun = a.Verdict == engine.Failed
	return b.store.Failed(now, t.job, false, a.Verdict.String(), a.Reason.String(), nil)
}

// notifyBatch reports to a task's batch how an attempt ended. An attempt that did not run and is
// followed by another one is not reported.
func (b *backlog) notifyBatch(t *task, succeeded bool) {
	if t.batch != "" && (succeeded || t.failure != nil || t.state == taskFinal) {
		b.pushCallbacks(b.batches.JobRan(t.batch, t.id, succeeded))
	}
}

// conclude records the final answer of a job.
func (b *backlog) conclude(t *task, a engine.Answer) {
	j := t.job
	t.state, t.answer, t.updatedAt = taskFinal, &a, time.Now()
	if j != nil {
		if a.Verdict == engine.Served || j.Location() == "" {
			b.store.Unlock(j)
		}
		switch {
		case t.pushPending && t.batch != "":
			b.batches.Remove(t.batch, t.id)
		case j.Options != nil && j.CallbackOf != "" && a.Verdict == engine.Served:
			b.pushCallbacks(b.batches.CallbackSucceeded(j.CallbackOf, batch.Kind(j.CallbackKind)))
		}
		if !t.pushPending {
			b.notifyBatch(t, a.Verdict == engine.Served)
		}
		if j.Location() == "" {
			t.job = nil
		}
	}
	b.finished = append(b.finished, t)
	b.resultBytes += len(a.Body)
	b.forgetOldest()
}

// forgetOldest forgets the oldest finished jobs beyond the limits on their number and on the
// size of their results.
func (b *backlog) forgetOldest() {
	for len(b.finished) > 0 && (len(b.finished) > b.config.Jobs || b.resultBytes > maxResultBytes) {
		oldest := b.finished[0]
		b.finished[0] = nil
		b.finished = b.finished[1:]
		b.resultBytes -= len(oldest.answer.Body)
		if b.tasks[oldest.id] == oldest && oldest.state == taskFinal { // a later push of the jid has its own task
			delete(b.tasks, oldest.id)
		}
	}
}

// finish handles the ACK or FAIL of a worker; f is nil for an ACK. It reports false if the
// worker holds no reservation of the job any more.
func (b *backlog) finish(w *worker, jid string, s policy.Status, result []byte, f *failure) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.workers.reserved[jid]
	if d == nil || d.worker != w || d.ended {
		return false
	}
	if t, ok := d.flow.Transaction.Client.(*task); ok {
		t.failure, t.endCounted = f, true
	}
	b.processed++
	if f != nil {
		b.failures++
	}
	return b.workers.finish(w, jid, s, result)
}
