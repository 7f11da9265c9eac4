package job

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/fnv"
	"math/bits"

	"github.com/cockroachdb/errors"
)

// State is what a client is told of its job.
type State uint8

// States of jobs.
const (
	StatePending State = iota
	StateRunning
	StateCompleted
	StateFailed
	StateCanceled
)

// String returns the state's name in the protocol.
func (s State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "canceled"}[s]
}

// Terminal tells whether nothing more is to run.
func (s State) Terminal() bool { return s >= StateCompleted }

// Run is one run of a task that may be under way: it was ordered, and is not known to be over.
type Run struct {
	Attempt int
	Runner  string
	Address string
}

// Task is the state of one task.
type Task struct {
	Attempt int    // the last number used
	Failed  int    // runs that ended by a failure
	Listed  uint64 // bit N: the end of attempt N was listed and counted
	Done    bool
	Saved   string
	Runs    []Run
}

// StepState is the state of one step of one time.
type StepState struct {
	Tasks []Task
	Done  int
	Saved string // of a gang: any member's is good for all
	Fails uint64 // of a gang, bit N: its attempt N ended by a failure
}

// Complete tells whether all its tasks ended done.
func (s *StepState) Complete() bool { return s.Done == len(s.Tasks) }

// Occurrence is the state of one time that a job's steps run.
type Occurrence struct {
	Steps []StepState // none once it is complete and nothing runs
	Open  int         // steps that are not complete
}

// Job is one job.
type Job struct {
	New
	State      State
	Times      []*Occurrence // those that are due; the others are not there yet
	OpenTimes  int
	Live       int // runs that may be under way
	AcceptedMs int64
	EndedMs    int64
	// Withdrawn: it was cancelled before it was handed in. Nothing is known of it but its ID
	// and queue, and a late try to hand it in is turned down for good.
	Withdrawn bool
}

// DependenciesComplete tells whether a step's tasks may start: all steps that it depends on are complete.
func (j *Job) DependenciesComplete(occurrence *Occurrence, step int) bool {
	for _, before := range j.Spec.Steps[step].DependsOn {
		if !occurrence.Steps[before].Complete() {
			return false
		}
	}
	return true
}

// Store holds the jobs of a shard.
type Store struct {
	Jobs    map[string]*Job
	Pending map[string]int // jobs in state pending, by queue
	// Sealed is, by queue that another shard has now, the version of the configuration that
	// moved it: under an older one nothing is accepted or withdrawn here any more.
	Sealed map[string]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Jobs: map[string]*Job{}, Pending: map[string]int{}, Sealed: map[string]int64{}}
}

// Snapshot returns the whole state.
func (s *Store) Snapshot() ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(s)
	return body.Bytes(), errors.Wrap(err, "encode the jobs")
}

// Restore replaces the whole state.
func (s *Store) Restore(content []byte) error {
	next := NewStore()
	if err := gob.NewDecoder(bytes.NewReader(content)).Decode(next); err != nil {
		return errors.Wrap(err, "decode the jobs")
	}
	*s = *next
	return nil
}

// Digest stands for the whole state: equal where the states are, however they came about.
func (s *Store) Digest() uint64 {
	sum := sumOf(s.Pending, s.Sealed)
	for _, j := range s.Jobs {
		sum ^= j.sum()
	}
	return sum
}

func (j *Job) sum() uint64 {
	hash := fnv.New64a()
	fmt.Fprintln(hash, j.New, j.State, j.OpenTimes, j.Live, j.AcceptedMs, j.EndedMs, j.Withdrawn, len(j.Times))
	for _, time := range j.Times {
		fmt.Fprintln(hash, *time)
	}
	return hash.Sum64()
}

func sumOf(parts ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprintln(hash, parts...) // fmt sorts maps by their keys
	return hash.Sum64()
}

// Lookup returns a job of a queue.
func (s *Store) Lookup(queue, id string) (*Job, bool) {
	j, ok := s.Jobs[id]
	if !ok || j.Queue != queue || j.Withdrawn {
		return nil, false
	}
	return j, true
}

// Outcome says what a command did.
type Outcome uint8

// Outcomes.
const (
	Applied                   Outcome = iota + 1
	AlreadyApplied                    // nothing changed: it had been done before
	Rejected                          // nothing changed: the state does not allow it
	UnknownJob                        // there is no such job, and there never will be
	QueueMoved                        // nothing changed: a newer configuration has sent the queue elsewhere
	CancelledBeforeAcceptance         // nothing changed: the job was cancelled before it was handed in
)

// Apply carries out a command.
func (s *Store) Apply(c Command) Outcome {
	switch c.Kind {
	case AcceptJob:
		return s.accept(c)
	case CancelJob:
		return s.cancel(c)
	case SealQueue:
		return s.seal(c)
	}
	j := s.Jobs[c.Task.Job]
	if j == nil {
		return Rejected
	}
	switch c.Kind {
	case OpenOccurrence:
		return s.due(j, c)
	case StartRun:
		return s.start(j, c)
	case EndRun:
		return s.end(j, c)
	case SaveCheckpoint:
		return s.save(j, c)
	case ForgetJob:
		return s.forget(j)
	}
	return Rejected
}

func (s *Store) accept(c Command) Outcome {
	if old := s.Jobs[c.Submission.ID]; old != nil {
		return old.Resubmitted(c.Submission.Queue, c.Submission.Hash)
	}
	if c.Submission.Version < s.Sealed[c.Submission.Queue] {
		return QueueMoved
	}
	j := &Job{New: *c.Submission, AcceptedMs: c.ProposedAtMs}
	j.OpenTimes = j.Spec.Occurrences()
	s.Jobs[j.ID] = j
	s.Pending[j.Queue]++
	if j.Spec.Repeats == 0 {
		j.begin(0)
	}
	return Applied
}

// Resubmitted says what becomes of another try to hand a job in under the ID of this one.
func (j *Job) Resubmitted(queue string, hash uint64) Outcome {
	switch {
	case j.Withdrawn && j.Queue == queue:
		return CancelledBeforeAcceptance
	case j.Queue != queue || j.Hash != hash:
		return Rejected
	}
	return AlreadyApplied
}

// seal turns down from now on what comes under configurations before the one that moved the
// queue to another shard.
func (s *Store) seal(c Command) Outcome {
	if s.Sealed[c.Queue] >= c.ConfigVersion {
		return AlreadyApplied
	}
	s.Sealed[c.Queue] = c.ConfigVersion
	return Applied
}

// begin makes the tasks of the next time.
func (j *Job) begin(time int) {
	steps := make([]StepState, len(j.Spec.Steps))
	for at, step := range j.Spec.Steps {
		steps[at].Tasks = make([]Task, step.Count)
	}
	for len(j.Times) <= time {
		j.Times = append(j.Times, nil)
	}
	j.Times[time] = &Occurrence{Steps: steps, Open: len(steps)}
}

func (s *Store) due(j *Job, c Command) Outcome {
	if j.State.Terminal() || c.Task.Occurrence != len(j.Times) || c.Task.Occurrence >= j.Spec.Occurrences() {
		return Rejected
	}
	j.begin(c.Task.Occurrence)
	return Applied
}

// Task returns a task's state, and that of its step; nil: there is none, or none any more.
func (j *Job) Task(ref TaskRef) (*Task, *StepState) {
	if ref.Occurrence >= len(j.Times) || j.Times[ref.Occurrence] == nil || ref.Step >= len(j.Times[ref.Occurrence].Steps) {
		return nil, nil
	}
	step := &j.Times[ref.Occurrence].Steps[ref.Step]
	if ref.Index >= len(step.Tasks) {
		return nil, nil
	}
	return &step.Tasks[ref.Index], step
}

// mayStart tells whether the state allows that run.
func (j *Job) mayStart(task *Task, c Command) bool {
	step := j.Spec.Steps[c.Task.Step]
	switch {
	case j.State.Terminal(), task.Done, c.Attempt <= task.Attempt:
		return false
	case len(task.Runs) > 0 && !step.Speculative:
		return false
	case task.Failed >= j.Retries && !step.LongRunning:
		return false
	}
	return j.DependenciesComplete(j.Times[c.Task.Occurrence], c.Task.Step)
}

func (s *Store) start(j *Job, c Command) Outcome {
	task, _ := j.Task(c.Task)
	if task == nil || !j.mayStart(task, c) {
		return Rejected
	}
	task.Attempt = c.Attempt
	task.Runs = append(task.Runs, Run{Attempt: c.Attempt, Runner: c.Runner, Address: c.Address})
	j.Live++
	s.enter(j, StateRunning, c.ProposedAtMs)
	return Applied
}

// enter changes a job's state.
func (s *Store) enter(j *Job, state State, atMs int64) {
	if j.State == state || j.State.Terminal() {
		return
	}
	if j.State == StatePending {
		s.Pending[j.Queue]--
		if s.Pending[j.Queue] == 0 {
			delete(s.Pending, j.Queue)
		}
	}
	j.State = state
	if state.Terminal() {
		j.EndedMs = atMs
	}
}

func (s *Store) end(j *Job, c Command) Outcome {
	task, step := j.Task(c.Task)
	if task == nil {
		return Rejected
	}
	live := task.take(c.Attempt)
	if live {
		j.Live--
	}
	listed := c.EndReason != EndRejected && c.EndReason != EndLost
	if !live && (!listed || task.counted(c.Attempt)) {
		j.trim()
		return AlreadyApplied
	}
	if listed {
		task.count(c.Attempt)
	}
	task.keep(step, j.Spec.Steps[c.Task.Step], c.Checkpoint)
	switch c.EndReason {
	case EndDone:
		s.taskDone(j, task, step, c)
	case EndFailed:
		task.Failed++
		step.Fails |= 1 << min(c.Attempt, 63)
		s.failIfSpent(j, task, step, c)
	}
	j.trim()
	return Applied
}

// take removes a run that may be under way.
func (t *Task) take(attempt int) bool {
	for at, run := range t.Runs {
		if run.Attempt == attempt {
			t.Runs = append(t.Runs[:at:at], t.Runs[at+1:]...)
			return true
		}
	}
	return false
}

func (t *Task) counted(attempt int) bool { return attempt < 64 && t.Listed>>attempt&1 == 1 }

func (t *Task) count(attempt int) {
	if attempt < 64 {
		t.Listed |= 1 << attempt
	}
}

// keep notes saved progress.
func (t *Task) keep(step *StepState, spec Step, saved string) {
	switch {
	case saved == "":
	case spec.Gang:
		step.Saved = saved
	default:
		t.Saved = saved
	}
}

func (s *Store) taskDone(j *Job, task *Task, step *StepState, c Command) {
	if task.Done || j.Spec.Steps[c.Task.Step].LongRunning {
		return
	}
	if j.Spec.Steps[c.Task.Step].Gang {
		for at := range step.Tasks { // one such end stands for all
			step.finish(&step.Tasks[at])
		}
	} else {
		step.finish(task)
	}
	if !step.Complete() {
		return
	}
	time := j.Times[c.Task.Occurrence]
	time.Open--
	if time.Open > 0 {
		return
	}
	j.OpenTimes--
	if j.OpenTimes == 0 {
		s.enter(j, StateCompleted, c.ProposedAtMs)
	}
}

func (s *StepState) finish(task *Task) {
	if !task.Done {
		task.Done = true
		s.Done++
	}
}

// failIfSpent fails the job once a task, or a gang, has failed as often as it may.
func (s *Store) failIfSpent(j *Job, task *Task, step *StepState, c Command) {
	spec := j.Spec.Steps[c.Task.Step]
	if spec.LongRunning || task.Done {
		return
	}
	failed := task.Failed
	if spec.Gang {
		failed = bits.OnesCount64(step.Fails)
	}
	if failed >= j.Retries {
		s.enter(j, StateFailed, c.ProposedAtMs)
	}
}

// trim drops what is not needed any more of times that are over.
func (j *Job) trim() {
	if j.Live > 0 {
		return
	}
	for at, time := range j.Times {
		if time != nil && (time.Open == 0 || j.State.Terminal()) {
			j.Times[at] = &Occurrence{}
		}
	}
	if j.State.Terminal() {
		j.Times, j.Spec = nil, Spec{Repeats: j.Spec.Repeats}
	}
}

func (s *Store) save(j *Job, c Command) Outcome {
	task, step := j.Task(c.Task)
	if task == nil || task.Done {
		return Rejected
	}
	for _, run := range task.Runs {
		if run.Attempt == c.Attempt {
			task.keep(step, j.Spec.Steps[c.Task.Step], c.Checkpoint)
			return Applied
		}
	}
	return Rejected
}

// cancel cancels a job. Where there is none of that ID, the ID is kept as withdrawn: a try to
// hand it in may still be on its way.
func (s *Store) cancel(c Command) Outcome {
	j := s.Jobs[c.Task.Job]
	switch {
	case j == nil:
		return s.withdraw(c)
	case c.Queue != "" && j.Queue != c.Queue, j.Withdrawn:
		return UnknownJob
	case j.State.Terminal():
		return AlreadyApplied
	}
	s.enter(j, StateCanceled, c.ProposedAtMs)
	j.trim()
	return Applied
}

func (s *Store) withdraw(c Command) Outcome {
	if c.ConfigVersion < s.Sealed[c.Queue] {
		return QueueMoved
	}
	s.Jobs[c.Task.Job] = &Job{New: New{ID: c.Task.Job, Queue: c.Queue}, State: StateCanceled, EndedMs: c.ProposedAtMs, Withdrawn: true}
	return UnknownJob
}

func (s *Store) forget(j *Job) Outcome {
	if !j.State.Terminal() || j.Live > 0 {
		return Rejected
	}
	delete(s.Jobs, j.ID)
	return Applied
}
