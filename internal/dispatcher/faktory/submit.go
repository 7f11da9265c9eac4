package faktory

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"

	"github.com/valyala/fastjson"
)

// submitWanted submits jobs of a queue to the engine while they are wanted (maySubmit): by a FETCH
// for each, or by pool members of other sources. Jobs with a plan start as soon as they are the
// first of the queue. The lock is held, here and in all of this file.
func (b *backlog) submitWanted(queue string) {
	for b.maySubmit(queue) {
		if b.submitNext(queue) == "" {
			break
		}
	}
	b.startPlans(queue)
}

// maySubmit reports whether a further job of a queue is wanted.
func (b *backlog) maySubmit(queue string) bool {
	if b.unfetched[queue] < b.workers.waitingFetches[queue] {
		return true
	}
	return b.engine.HasOtherSources(SourceName) && b.submitted < maxOfferedToOthers
}

// submitNext submits the first job of a queue, and returns its jid; empty if there is none.
func (b *backlog) submitNext(queue string) string {
	now := time.Now()
	for {
		next, expired := b.store.Dequeue(now, queue)
		b.concludeExpired(expired)
		if next == nil {
			return ""
		}
		t := next.Attachment.(*task)
		if t.plan != nil {
			b.startPlan(t, now)
			continue
		}
		tx, err := b.newTransaction(t, now)
		if err != nil {
			// It was valid when it was pushed; its deadline may have passed since.
			b.conclude(t, engine.Answer{Verdict: engine.Denied, Body: []byte(err.Error() + "\n")})
			continue
		}
		t.state, t.failure, t.fetched, t.endCounted = taskSubmitted, nil, false, false
		b.unfetched[queue]++
		b.submitted++
		b.counters.JobStarted()
		b.engine.Submit(tx)
		b.counters.JobSubmitted()
		b.startPlans(queue)
		return next.ID
	}
}

// newTransaction makes the transaction of a job that was taken from its queue.
func (b *backlog) newTransaction(t *task, now time.Time) (*engine.Transaction, error) {
	_, j, err := b.parseStored(t, now)
	if err != nil {
		return nil, err
	}
	j.submission.Retry = t.job.IsRetry
	return b.transactions.NewTransaction(j.submission, now, t)
}

// parseStored parses the body of a job that was taken from its queue.
func (b *backlog) parseStored(t *task, now time.Time) (*fastjson.Value, job, error) {
	v, err := fastjson.ParseBytes(t.job.Body)
	if err != nil {
		return nil, job{}, err
	}
	j, err := parseJob(v, b.config, now)
	return v, j, err
}

// concludeExpired ends jobs that have waited too long.
func (b *backlog) concludeExpired(expired []*sets.Job) {
	for _, j := range expired {
		b.conclude(j.Attachment.(*task), engine.Answer{Verdict: engine.Refused, Body: []byte("the job has expired\n")})
	}
}

// releaseUnfetched counts a submitted job of a queue as no longer to be fetched: it was
// fetched, or it has its answer.
func (b *backlog) releaseUnfetched(queue string) {
	if b.unfetched[queue]--; b.unfetched[queue] <= 0 {
		delete(b.unfetched, queue)
	}
}
