package job

import (
	"math/bits"
	"slices"
)

// The bit sets Task.Listed and StepState.FailedAttempts distinguish the first attempts only, and
// replicas of older builds know nothing else. Later failures are therefore recorded beside them, and
// have no effect on how commands are applied: the leader reads them to decide what to propose.

// FailedRun is a run that ended as EndFailed.
type FailedRun struct {
	Task    TaskRef
	Attempt int
}

// recordLaterFailure records a failed run if the bit sets don't distinguish its attempt. Failures of
// long-running tasks, of which there is no limit, are not recorded.
func (j *Job) recordLaterFailure(ref TaskRef, attempt int) {
	failed := FailedRun{Task: ref, Attempt: attempt}
	if attempt < trackedAttempts-1 || j.Spec.Steps[ref.Step].LongRunning || slices.Contains(j.LaterFailures, failed) {
		return
	}
	j.LaterFailures = append(j.LaterFailures, failed)
}

// forgetLaterFailures drops the records of a complete occurrence.
func (j *Job) forgetLaterFailures(occurrence int) {
	j.LaterFailures = slices.DeleteFunc(j.LaterFailures, func(failed FailedRun) bool { return failed.Task.Occurrence == occurrence })
}

// IsLaterFailureCounted reports whether the failed end of a run was counted before though its
// attempt is not among those that the bit sets distinguish. Applied again, it would count twice.
func (j *Job) IsLaterFailureCounted(ref TaskRef, attempt int) bool {
	return attempt >= trackedAttempts && slices.Contains(j.LaterFailures, FailedRun{Task: ref, Attempt: attempt})
}

// MissingGangFailures returns how many failed attempts of a gang the state lacks to fail the job,
// although the gang has failed as often as its queue allows: its later attempts count as one there.
// It returns 0 if the gang may still run.
func (j *Job) MissingGangFailures(occurrence, step int) int {
	state := &j.Occurrences[occurrence].Steps[step]
	if !j.Spec.Steps[step].Gang || j.Spec.Steps[step].LongRunning || j.State.Terminal() || state.Complete() {
		return 0
	}
	if j.gangFailures(occurrence, step) < j.Retries {
		return 0
	}
	return max(0, j.Retries-bits.OnesCount64(state.FailedAttempts))
}

// gangFailures returns the number of attempts of a gang in which a member failed. Data of older
// builds lacks the later ones; a member that has failed often shows at least its own.
func (j *Job) gangFailures(occurrence, step int) int {
	const distinguished = 1<<(trackedAttempts-1) - 1
	state := &j.Occurrences[occurrence].Steps[step]
	later := map[int]bool{}
	for _, failed := range j.LaterFailures {
		if failed.Task.Occurrence == occurrence && failed.Task.Step == step {
			later[failed.Attempt] = true
		}
	}
	failures := bits.OnesCount64(state.FailedAttempts&distinguished) + len(later)
	for i := range state.Tasks {
		failures = max(failures, state.Tasks[i].Failed)
	}
	return failures
}

// UnusedAttempts returns up to count attempts of a gang's member, all in the past, of which no end
// was counted and no run is active.
func (j *Job) UnusedAttempts(ref TaskRef, count int) (attempts []int) {
	task, step := j.Task(ref)
	for attempt := 1; attempt < min(task.Attempt, trackedAttempts-1) && len(attempts) < count; attempt++ {
		active := slices.ContainsFunc(task.Runs, func(run Run) bool { return run.Attempt == attempt })
		if !active && !task.isEndCounted(attempt) && step.FailedAttempts>>attempt&1 == 0 {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}
