package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/shared/admission"
)

// bundleKey names the tasks of one step of one time of a job.
type bundleKey struct {
	job  string
	time int
	step int
}

func keyOf(ref job.TaskRef) bundleKey {
	return bundleKey{job: ref.Job, time: ref.Occurrence, step: ref.Step}
}

// bundle is what is to start of one step: tasks that are alike.
type bundle struct {
	key     bundleKey
	job     *job.Job
	step    *job.Step
	pending []int        // tasks to be started, by index
	waiting map[int]bool // tasks whose start waits for its commitment
	readyAt time.Duration
	seq     uint64
	avoid   map[string]bool // runners at which a task of it failed
	rank    admission.Rank
	expects float64
	ended   []admission.PeerRun // runs that ended well, for the runners' speeds
	cameMs  int64               // time of day from which on the job's time is owed
	queue   *lateness.QueueAccount
	trails  map[int]*lateness.TaskAccount // by task
}

// weight is the size of resources in cores. One accelerator counts as eight cores.
func weight(r job.Resources) float64 {
	const coresPerGPU, coresPerMB = 8, 1.0 / 2048
	return max(float64(r.CPU)/1000, float64(r.MemMB)*coresPerMB) + float64(r.GPU)*coresPerGPU
}

// cost is what a task is expected to take of a runner, in core-seconds.
func cost(seconds float64, need job.Resources) float64 { return seconds * max(0.1, weight(need)) }

// stepCost is the cost of a step's task. A lasting task has none: it takes capacity for good,
// and no end of it would ever give its part of a budget back.
func stepCost(seconds float64, step *job.Step) float64 {
	if step.LongRunning {
		return 0
	}
	return cost(seconds, step.Resources)
}

func (o *Scheduler) typeOf(j *job.Job, step int) admission.TaskType {
	return admission.TaskType{Queue: j.Queue, Step: step}
}

// expected returns the run time to expect of a step's task, in seconds.
func (o *Scheduler) expected(j *job.Job, step int) float64 {
	return o.costs.Expect(o.typeOf(j, step), float64(j.Spec.Steps[step].EstimateMs)/1000)
}

// openTime makes bundles of the steps of a time that are ready and not complete.
func (o *Scheduler) openTime(j *job.Job, time int) {
	if time >= len(j.Occurrences) || j.Occurrences[time] == nil {
		return
	}
	state := j.Occurrences[time]
	for step := range state.Steps {
		key := bundleKey{job: j.ID, time: time, step: step}
		if o.bundles[key] != nil || state.Steps[step].Complete() || !j.DependenciesComplete(state, step) {
			continue
		}
		o.sequence++
		o.byJob[j.ID] = append(o.byJob[j.ID], key)
		o.bundles[key] = &bundle{key: key, job: j, step: &j.Spec.Steps[step], waiting: map[int]bool{}, avoid: map[string]bool{}, readyAt: o.now, seq: o.sequence,
			cameMs: cameMs(j, time), queue: lateness.NewQueueAccount(o.now), trails: map[int]*lateness.TaskAccount{}}
		o.accountOf(j)
		o.refill(j, job.TaskRef{Job: j.ID, Occurrence: time, Step: step})
	}
}

// refill finds anew which tasks of a step are to be started, one of which does not wait for
// the commitment of its start any more.
func (o *Scheduler) refill(j *job.Job, ref job.TaskRef) {
	b := o.bundles[keyOf(ref)]
	if b == nil || j == nil {
		return
	}
	delete(b.waiting, ref.Index)
	o.fill(b, j)
}

// fill finds anew which tasks of a step are to be started, those last that run already.
func (o *Scheduler) fill(b *bundle, j *job.Job) {
	o.dirty = true
	b.pending = b.pending[:0]
	step := &j.Occurrences[b.key.time].Steps[b.key.step]
	var copies []int
	for index := range step.Tasks {
		task := &step.Tasks[index]
		switch {
		case task.Done || b.waiting[index]:
		case len(task.Runs) == 0:
			b.pending = append(b.pending, index)
		case o.wantsCopy(b, index, task):
			copies = append(copies, index)
		}
	}
	b.pending = append(b.pending, copies...)
	if b.step.Gang && len(b.pending) < len(step.Tasks) {
		b.pending = b.pending[:0]
	}
}

// taskOf returns the state of one task of a bundle.
func (o *Scheduler) taskOf(b *bundle, index int) *job.Task {
	return &b.job.Occurrences[b.key.time].Steps[b.key.step].Tasks[index]
}

func (o *Scheduler) nextAttempt(b *bundle, index int) int {
	step := &b.job.Occurrences[b.key.time].Steps[b.key.step]
	if !b.step.Gang {
		return step.Tasks[index].Attempt + 1
	}
	highest := 0
	for _, task := range step.Tasks {
		highest = max(highest, task.Attempt)
	}
	return highest + 1
}
