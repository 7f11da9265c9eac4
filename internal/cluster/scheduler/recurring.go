package scheduler

import "basaltloft/internal/cluster/job"

// maxOpenedAtOnce limits how many occurrences of a job are opened at once: many may be long due when
// the job is accepted, or after a loss of the control plane.
const maxOpenedAtOnce = 4

// recurringJobs holds the jobs that have occurrences which are not yet due.
type recurringJobs struct {
	jobs map[string]*job.Job // by job ID
}

func newRecurringJobs() *recurringJobs { return &recurringJobs{jobs: map[string]*job.Job{}} }

// watch adds a job if it has further occurrences.
func (r *recurringJobs) watch(j *job.Job) {
	if len(j.Occurrences) < j.Spec.OccurrenceCount() && j.Spec.Repeats > 0 {
		r.jobs[j.ID] = j
	}
}

// remove removes a job that is over.
func (r *recurringJobs) remove(id string) { delete(r.jobs, id) }

// due returns occurrences that are due at a time of day, in Unix milliseconds, and that are not yet
// open, up to maxOpenedAtOnce of each job. It returns an occurrence repeatedly until the replicated
// state contains it.
func (r *recurringJobs) due(wallMs int64) []job.TaskRef {
	var due []job.TaskRef
	for _, id := range sortedKeys(r.jobs) {
		j := r.jobs[id]
		next := len(j.Occurrences)
		for occurrence := next; occurrence < min(j.Spec.OccurrenceCount(), next+maxOpenedAtOnce) && j.Spec.DueMs(occurrence) <= wallMs; occurrence++ {
			due = append(due, job.TaskRef{Job: id, Occurrence: occurrence})
		}
		if len(j.Occurrences) >= j.Spec.OccurrenceCount() {
			delete(r.jobs, id)
		}
	}
	return due
}
