package faktory

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
)

// mutate applies a command to the jobs of a set that a filter selects, and to their tasks.
// confirmedBy names the person who confirms that selected jobs which may have run have not run;
// empty: this is not confirmed.
func (b *backlog) mutate(c sets.Command, target string, f sets.Filter, confirmedBy string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	selected, err := b.store.Mutate(time.Now(), c, target, f, confirmedBy != "")
	queues := make(map[string]bool)
	for _, j := range selected {
		t := j.Attachment.(*task)
		switch c {
		case sets.Requeue:
			if t.state == taskFinal { // it was dead
				b.replaceDeadTask(t, j)
			}
			queues[j.Queue] = true
			if confirmedBy != "" {
				b.log.Warn("a job that may have run is requeued: an operator vouches that it has not", "job", j.ID, "by", confirmedBy)
			}
		case sets.Kill:
			if t.state != taskFinal {
				b.conclude(t, engine.Answer{Verdict: engine.Failed, Body: []byte("killed\n")})
			}
		default:
			if t.state != taskFinal {
				b.conclude(t, engine.Answer{Verdict: engine.Failed, Body: []byte("discarded\n")})
			}
			t.job = nil
		}
	}
	for q := range queues {
		b.submitWanted(q)
	}
	b.resetPromotionTimer()
	return err
}

// replaceDeadTask makes a new, waiting task for a dead job that was queued again.
func (b *backlog) replaceDeadTask(dead *task, j *sets.Job) {
	t := &task{backlog: b, job: j, id: dead.id, batch: dead.batch, effect: dead.effect, updatedAt: time.Now(), plan: dead.plan}
	j.Attachment = t
	b.tasks[t.id] = t
	if t.batch != "" {
		b.batches.Add(t.batch, t.id)
	}
}

// concludeDropped ends jobs that an operator dropped from their queues or sets. The lock is
// held.
func (b *backlog) concludeDropped(dropped []*sets.Job, result string) {
	for _, j := range dropped {
		if t := j.Attachment.(*task); t.state != taskFinal {
			b.conclude(t, engine.Answer{Verdict: engine.Failed, Body: []byte(result)})
		}
	}
	b.resetPromotionTimer()
}
