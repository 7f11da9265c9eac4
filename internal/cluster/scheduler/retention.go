package scheduler

import "time"

// retentionMargin is how much longer than promised the state of a job that is over is kept, because
// the clocks of clients and leaders differ.
const retentionMargin = 30 * time.Second

// retentionQueue holds the jobs that are over until their state may be forgotten.
type retentionQueue struct {
	retention time.Duration
	jobs      []endedJob // oldest first
	known     map[string]bool
}

type endedJob struct {
	id      string
	endedMs int64 // time of day, Unix milliseconds
}

func newRetentionQueue(retention time.Duration) *retentionQueue {
	return &retentionQueue{retention: retention, known: map[string]bool{}}
}

// add adds a job that is over. It returns false if the job was already added.
func (q *retentionQueue) add(id string, endedMs int64) bool {
	if q.known[id] {
		return false
	}
	q.known[id] = true
	q.jobs = append(q.jobs, endedJob{id: id, endedMs: endedMs})
	return true
}

// expired returns and removes the jobs whose state may be forgotten.
func (q *retentionQueue) expired(wallMs int64) []string {
	var ids []string
	for len(q.jobs) > 0 && q.jobs[0].endedMs+(q.retention+retentionMargin).Milliseconds() < wallMs {
		ids = append(ids, q.jobs[0].id)
		delete(q.known, q.jobs[0].id)
		q.jobs = q.jobs[1:]
	}
	return ids
}
