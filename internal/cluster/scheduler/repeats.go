package scheduler

import "basaltloft/internal/cluster/job"

// repeatSchedule knows the jobs that have occurrences which are not due yet.
type repeatSchedule struct {
	jobs map[string]*job.Job // by ID
}

func newRepeatSchedule() *repeatSchedule { return &repeatSchedule{jobs: map[string]*job.Job{}} }

// watch adds a job, if it has occurrences to come.
func (s *repeatSchedule) watch(j *job.Job) {
	if len(j.Occurrences) < j.Spec.Occurrences() && j.Spec.Repeats > 0 {
		s.jobs[j.ID] = j
	}
}

// remove forgets a job that is over.
func (s *repeatSchedule) remove(id string) { delete(s.jobs, id) }

// due returns the occurrences that are due at a time of day, in Unix milliseconds, and not open
// yet. It returns the same ones again until the replicated state has them.
func (s *repeatSchedule) due(wallMs int64) []job.TaskRef {
	var due []job.TaskRef
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		for occurrence := len(j.Occurrences); occurrence < j.Spec.Occurrences() && j.Spec.DueMs(occurrence) <= wallMs; occurrence++ {
			due = append(due, job.TaskRef{Job: id, Occurrence: occurrence})
		}
		if len(j.Occurrences) >= j.Spec.Occurrences() {
			delete(s.jobs, id)
		}
	}
	return due
}
