package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/shared/admission"
)

// groupKey identifies a task group: the tasks of one step of one occurrence of a job.
type groupKey struct {
	job        string
	occurrence int
	step       int
}

// groupOf returns the key of a task's group.
func groupOf(ref job.TaskRef) groupKey {
	return groupKey{job: ref.Job, occurrence: ref.Occurrence, step: ref.Step}
}

// taskGroup is the group of tasks of one step of one occurrence, which all have the same
// requirements. It exists from when they become ready until all of them are done.
type taskGroup struct {
	key      groupKey
	job      *job.Job
	step     *job.Step
	sequence uint64        // increases in the order in which groups become ready
	readyAt  time.Duration // when its tasks became ready

	pending  []int           // indexes of the tasks to start; speculative attempts come last
	listed   bool            // it is in groupTable.ready
	closed   bool            // it is complete, or its job is over
	failing  bool            // it is a gang that may not run again; the failure of its job is proposed
	starting map[int]bool    // indexes of tasks whose start is proposed and not yet committed
	avoid    map[string]bool // instance IDs of runners at which a task of the group failed or may be lost

	expected float64        // expected run time of a task, in seconds, as of the current cycle
	rank     admission.Rank // position in the aged order, as of the current cycle

	finished []admission.PeerRun // successful runs, from which the runners' run-time factors are learned

	arrivedMs int64 // start of the occurrence's objective, Unix milliseconds
	queue     *lateness.QueueAccount
	accounts  map[int]*lateness.TaskAccount // by task index
}

// state returns the replicated state of the group's step.
func (g *taskGroup) state() *job.StepState {
	return &g.job.Occurrences[g.key.occurrence].Steps[g.key.step]
}

// task returns the replicated state of one of the group's tasks.
func (g *taskGroup) task(index int) *job.Task { return &g.state().Tasks[index] }

// taskRef returns the reference to one of the group's tasks.
func (g *taskGroup) taskRef(index int) job.TaskRef {
	return job.TaskRef{Job: g.key.job, Occurrence: g.key.occurrence, Step: g.key.step, Index: index}
}

// account returns the lateness account of one of the group's tasks and creates it if necessary.
func (g *taskGroup) account(index int) *lateness.TaskAccount {
	account := g.accounts[index]
	if account == nil {
		account = &lateness.TaskAccount{}
		g.accounts[index] = account
	}
	return account
}

// interchangeable returns how many of the next pending tasks may be assigned to the same runner:
// all tasks without a run, which come first, or otherwise one task that needs a speculative
// attempt.
func (g *taskGroup) interchangeable() int {
	n := 0
	for n < len(g.pending) && len(g.task(g.pending[n]).Runs) == 0 {
		n++
	}
	return max(1, n)
}

// nextAttempt returns the number of a task's next attempt. All tasks of a gang share one number.
func (g *taskGroup) nextAttempt(index int) int {
	if !g.step.Gang {
		return g.task(index).Attempt + 1
	}
	highest := 0
	for _, task := range g.state().Tasks {
		highest = max(highest, task.Attempt)
	}
	return highest + 1
}

// findPending determines which tasks have to be started: first the tasks without a run, then those
// that need a speculative attempt. For a gang, it is either all tasks or none.
func (g *taskGroup) findPending(tasks []job.Task, speculation *speculationPolicy) {
	g.pending = g.pending[:0]
	var speculative []int
	for index := range tasks {
		task := &tasks[index]
		switch {
		case task.Done || g.starting[index]:
		case len(task.Runs) == 0:
			g.pending = append(g.pending, index)
		case speculation.shouldStart(g, index, task):
			speculative = append(speculative, index)
		}
	}
	g.pending = append(g.pending, speculative...)
	if g.step.Gang && len(g.pending) < len(tasks) {
		g.pending = g.pending[:0]
	}
}

// groupTable holds the groups that are ready and not complete.
type groupTable struct {
	byKey map[groupKey]*taskGroup
	byJob map[string][]groupKey // of jobs that are not over; includes complete groups

	// ready contains every group that has tasks to start, and possibly others. Groups keep the
	// order of the last cycle and new ones are appended: a mostly sorted slice is cheap to sort
	// again.
	ready []*taskGroup
}

func newGroupTable() *groupTable {
	return &groupTable{byKey: map[groupKey]*taskGroup{}, byJob: map[string][]groupKey{}}
}

// of returns the group of a task, or nil if the group is not ready or is complete.
func (t *groupTable) of(ref job.TaskRef) *taskGroup { return t.byKey[groupOf(ref)] }

func (t *groupTable) add(group *taskGroup) {
	t.byJob[group.key.job] = append(t.byJob[group.key.job], group.key)
	t.byKey[group.key] = group
}

// close removes a complete group and learns the run-time factors of runners from its runs.
func (t *groupTable) close(key groupKey) {
	if group := t.byKey[key]; group != nil {
		admission.LearnRunTimeFactors(group.finished)
	}
	t.remove(key)
}

func (t *groupTable) remove(key groupKey) {
	if group := t.byKey[key]; group != nil {
		group.closed = true
		delete(t.byKey, key)
	}
}

// markReady records that a group has tasks to start.
func (t *groupTable) markReady(group *taskGroup) {
	if !group.listed {
		group.listed = true
		t.ready = append(t.ready, group)
	}
}

// takeReady returns the groups that have tasks to start. The caller sorts the returned slice in
// place.
func (t *groupTable) takeReady() []*taskGroup {
	t.ready = slices.DeleteFunc(t.ready, func(group *taskGroup) bool {
		group.listed = !group.closed && len(group.pending) > 0
		return !group.listed
	})
	return t.ready
}

// closeOccurrence removes the groups of a complete occurrence.
func (t *groupTable) closeOccurrence(id string, occurrence int) {
	for _, key := range t.byJob[id] {
		if key.occurrence == occurrence {
			t.close(key)
		}
	}
}

// removeJob removes the groups of a job that is over.
func (t *groupTable) removeJob(id string) {
	for _, key := range t.byJob[id] {
		t.remove(key)
	}
	delete(t.byJob, id)
}

// openOccurrence creates the groups of an occurrence's steps that are ready and not complete.
func (s *Scheduler) openOccurrence(j *job.Job, occurrence int) {
	if occurrence >= len(j.Occurrences) || j.Occurrences[occurrence] == nil {
		return
	}
	state := j.Occurrences[occurrence]
	for step := range state.Steps {
		key := groupKey{job: j.ID, occurrence: occurrence, step: step}
		if s.groups.byKey[key] != nil || state.Steps[step].Complete() || !j.DependenciesComplete(state, step) {
			continue
		}
		group := &taskGroup{
			key: key, job: j, step: &j.Spec.Steps[step], sequence: s.sequence.next(), readyAt: s.now,
			starting: map[int]bool{}, avoid: map[string]bool{}, arrivedMs: arrivedMs(j, occurrence),
			queue: lateness.NewQueueAccount(s.now), accounts: map[int]*lateness.TaskAccount{},
		}
		s.groups.add(group)
		s.lateness.open(j, s.learner)
		s.refreshPending(group, j)
	}
}

// refreshPending updates the pending tasks of a group and requests a scheduling cycle.
func (s *Scheduler) refreshPending(group *taskGroup, j *job.Job) {
	s.cycle.needed = true
	s.failExhausted(group)
	if group.failing {
		group.pending = group.pending[:0]
		return
	}
	group.findPending(j.Occurrences[group.key.occurrence].Steps[group.key.step].Tasks, s.speculation)
	if len(group.pending) > 0 {
		s.groups.markReady(group)
	}
}
