package scheduler

import "basaltloft/internal/cluster/job"

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

// due returns the occurrences that are due at a time of day, in Unix milliseconds, and that are not
// yet open. It returns an occurrence repeatedly until the replicated state contains it.
func (r *recurringJobs) due(wallMs int64) []job.TaskRef {
	var due []job.TaskRef
	for _, id := range sortedKeys(r.jobs) {
		j := r.jobs[id]
		for occurrence := len(j.Occurrences); occurrence < j.Spec.OccurrenceCount() && j.Spec.DueMs(occurrence) <= wallMs; occurrence++ {
			due = append(due, job.TaskRef{Job: id, Occurrence: occurrence})
		}
		if len(j.Occurrences) >= j.Spec.OccurrenceCount() {
			delete(r.jobs, id)
		}
	}
	return due
}
