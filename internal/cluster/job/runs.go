package job

import "math/bits"

// openNextOccurrence opens the next occurrence of a repeated job.
func (j *Job) openNextOccurrence(command Command) Outcome {
	number := command.Task.Occurrence
	if j.State.Terminal() || number != len(j.Occurrences) || number >= j.Spec.OccurrenceCount() {
		return Rejected
	}
	j.openOccurrence(number)
	return Applied
}

// startRun records a run of a task. The run counts as ordered from now on.
func (s *Store) startRun(j *Job, command Command) Outcome {
	task, _ := j.Task(command.Task)
	if task == nil || !j.mayStart(task, command.Task, command.Attempt) {
		return Rejected
	}
	task.Attempt = command.Attempt
	task.Runs = append(task.Runs, Run{Attempt: command.Attempt, Runner: command.Runner, Address: command.Address})
	j.ActiveRuns++
	s.setState(j, StateRunning, command.ProposedAtMs)
	return Applied
}

// endRun applies the end of a run. A reported end counts once, even if the run was considered lost before.
func (s *Store) endRun(j *Job, command Command) Outcome {
	task, step := j.Task(command.Task)
	if task == nil {
		return Rejected
	}
	active := task.removeRun(command.Attempt)
	if active {
		j.ActiveRuns--
	}
	reported := command.EndReason.reported()
	if !active && (!reported || task.isEndCounted(command.Attempt)) {
		j.releaseFinished()
		return AlreadyApplied
	}
	if reported {
		task.countEnd(command.Attempt)
	}
	step.saveCheckpoint(&j.Spec.Steps[command.Task.Step], task, command.Checkpoint)
	switch command.EndReason { // all other reasons only end the run: the task may run again
	case EndDone:
		s.completeTask(j, task, step, command)
	case EndFailed:
		task.Failed++
		step.FailedAttempts |= 1 << min(command.Attempt, trackedAttempts-1)
		j.recordLaterFailure(command.Task, command.Attempt)
		s.failIfRetriesExhausted(j, task, step, command)
	}
	j.releaseFinished()
	return Applied
}

// completeTask marks a task as done. If the task was the last one of its step, occurrence or job, it completes
// these too.
func (s *Store) completeTask(j *Job, task *Task, step *StepState, command Command) {
	spec := &j.Spec.Steps[command.Task.Step]
	if task.Done || spec.LongRunning {
		return
	}
	if spec.Gang {
		step.markAllDone() // a gang's members end together: one report counts for all
	} else {
		step.markDone(task)
	}
	if !step.Complete() {
		return
	}
	occurrence := j.Occurrences[command.Task.Occurrence]
	occurrence.OpenSteps--
	if occurrence.OpenSteps > 0 {
		return
	}
	j.OpenOccurrences--
	if j.OpenOccurrences == 0 {
		s.setState(j, StateCompleted, command.ProposedAtMs)
	}
}

// failIfRetriesExhausted fails the job once a task or a gang has failed Retries times.
func (s *Store) failIfRetriesExhausted(j *Job, task *Task, step *StepState, command Command) {
	spec := &j.Spec.Steps[command.Task.Step]
	if spec.LongRunning || task.Done {
		return
	}
	failures := task.Failed
	if spec.Gang {
		failures = bits.OnesCount64(step.FailedAttempts)
	}
	if failures >= j.Retries {
		s.setState(j, StateFailed, command.ProposedAtMs)
	}
}

// saveCheckpoint stores a checkpoint of an active run.
func (j *Job) saveCheckpoint(command Command) Outcome {
	task, step := j.Task(command.Task)
	if task == nil || task.Done {
		return Rejected
	}
	for _, run := range task.Runs {
		if run.Attempt == command.Attempt {
			step.saveCheckpoint(&j.Spec.Steps[command.Task.Step], task, command.Checkpoint)
			return Applied
		}
	}
	return Rejected
}
