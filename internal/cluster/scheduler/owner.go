// Package scheduler decides for the owner of a shard: which ready task starts at which runner
// and when, which run is over, which is stopped. It is a state machine without I/O: inputs
// come with the time of the caller's steady clock, and Take returns the commands to commit
// and the orders to send.
//
// An order to start leaves only after its command was committed, so that each later owner
// knows where a task may run. A run counts as under way until its end is listed, or its
// absence is proven: by a look that the runner answered after the order's own deadline, by
// the end of all holds, or by the end of the runner's life.
package scheduler

import (
	"log/slog"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

// Config are the deployment's figures that decisions need.
type Config struct {
	MaxLease        time.Duration
	StopMs          int64
	RemoteSlowdown  float64
	RestoreTime     time.Duration
	StatusRetention time.Duration // how long the state of a job that is over is kept
}

// OrderKind tells what a runner is told to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderRenewLease OrderKind = iota + 1
	OrderStart
	OrderStop
)

// Order is what is to be sent to a runner. Its answer comes back by HoldAnswered,
// StartAnswered or StopAnswered.
type Order struct {
	Kind         OrderKind
	Runner       string // the life that is meant
	Address      string
	Token        uint64
	Task         job.TaskRef
	Attempt      int
	Spec         string
	Checkpoint   string
	DeadlineMs   int64 // runner's clock; 0: none
	AckedThrough uint64
	WaitMs       int64
	Sequence     uint64 // of a hold
}

// Output is what the owner wants done.
type Output struct {
	Commands []job.Command // to be committed together, in order; then Committed(Batch)
	Batch    uint64
	Orders   []Order
	Again    bool // call again within a few milliseconds
}

// Scheduler schedules one shard. Its methods must not be called concurrently, nor while the
// store changes but through Applied.
type Scheduler struct {
	store  *job.Store
	epoch  uint64
	bounds Config
	log    *slog.Logger

	sessions map[string]*session
	ordered  []*session // in the order of their coming
	bundles  map[bundleKey]*bundle
	byJob    map[string][]bundleKey
	sequence uint64
	repeats  map[string]*job.Job // jobs with times that are not due yet
	endings  []ending            // jobs that are over, oldest first
	ended    map[string]bool     // by ID, those in endings

	costs  *admission.RunTimeEstimates
	means  map[string]*admission.MeanCost // by service
	losses admission.Average              // share of holds that stay without an answer

	accounts map[string]*jobAccount // by job

	silences []time.Duration // when runners fell silent lately
	alarmAt  time.Duration   // all may be looked at again from then on

	scratchCandidates []placement.Candidate // of the last pass
	scratchSessions   []*session

	now      time.Duration
	wallMs   int64
	dirty    bool
	out      Output
	batch    uint64
	notes    map[uint64][]endNote // by batch
	tickedAt time.Duration
	passAt   time.Duration
}

// ending is a job that is over, to be forgotten later.
type ending struct {
	id   string
	atMs int64
}

// endNote says that a batch holds a runner's ends up to a number.
type endNote struct {
	session *session
	upTo    uint64
}

// New returns the owner of a store at the beginning of an epoch.
func New(store *job.Store, epoch uint64, bounds Config, now time.Duration, wallMs int64, log *slog.Logger) *Scheduler {
	o := &Scheduler{
		store: store, epoch: epoch, bounds: bounds, log: log, now: now, wallMs: wallMs,
		sessions: map[string]*session{}, bundles: map[bundleKey]*bundle{}, byJob: map[string][]bundleKey{}, repeats: map[string]*job.Job{},
		ended: map[string]bool{}, costs: admission.NewRunTimeEstimates(), means: map[string]*admission.MeanCost{}, notes: map[uint64][]endNote{}, dirty: true,
		accounts: map[string]*jobAccount{},
	}
	for _, id := range sortedKeys(store.Jobs) {
		o.inherit(store.Jobs[id])
	}
	return o
}

// inherit takes over what an earlier owner left of a job.
func (o *Scheduler) inherit(j *job.Job) {
	for time, state := range j.Occurrences {
		if state == nil {
			continue
		}
		for step := range state.Steps {
			for index, task := range state.Steps[step].Tasks {
				for _, live := range task.Runs {
					o.inheritRun(j, job.TaskRef{Job: j.ID, Occurrence: time, Step: step, Index: index}, live)
				}
			}
		}
	}
	if j.State.Terminal() {
		o.jobOver(j)
		return
	}
	o.watchRepeats(j)
	for time := range j.Occurrences {
		o.openTime(j, time)
	}
}

func (o *Scheduler) inheritRun(j *job.Job, ref job.TaskRef, live job.Run) {
	s := o.session(live.Runner, live.Address)
	step := &j.Spec.Steps[ref.Step]
	r := &run{runKey: runKey{task: ref, attempt: live.Attempt}, phase: inherited, need: step.Resources, sentAt: o.now, resumed: true}
	r.expected = o.expected(j, ref.Step)
	r.cost = stepCost(r.expected, step)
	o.meansOf(j.Service).Add(r.cost)
	s.add(r)
	o.dropIfUseless(j, s, r)
}

// meansOf returns the mean costs of a service's tasks.
func (o *Scheduler) meansOf(service string) *admission.MeanCost {
	means := o.means[service]
	if means == nil {
		means = &admission.MeanCost{}
		o.means[service] = means
	}
	return means
}

// takeOverSlack is how much longer than its own holds an owner waits for those of the one
// before it: that one read the runner's clock a while before.
const takeOverSlack = 400 * time.Millisecond

// session returns that of a life of a runner, made if it was not known.
func (o *Scheduler) session(id, address string) *session {
	s := o.sessions[id]
	if s == nil {
		s = &session{id: id, address: address, runs: map[runKey]*run{}, heardAt: o.now, holdAt: o.now}
		s.overAt = o.now + time.Duration(float64(o.holdSpan())/slowestClock) + takeOverSlack
		o.sessions[id] = s
		o.ordered = append(o.ordered, s)
	}
	return s
}

// Runner is one entry of the platform's list.
type Runner struct {
	ID, Address string
	Service     string
	Labels      []string
	Capacity    job.Resources
	Draining    bool
	RemainingMs int64 // of a draining one, at least; 0: not told
}

// UpdateRunners takes in the runners of this shard's services, as the platform lists them.
func (o *Scheduler) UpdateRunners(now time.Duration, runners []Runner) {
	o.now = now
	current := map[string]bool{}
	at := map[string]string{}
	for _, r := range runners {
		current[r.ID] = true
		at[r.Address] = r.ID
		o.listed(r)
	}
	for _, s := range o.ordered {
		s.listed = current[s.id]
		if other, reused := at[s.address]; reused && other != s.id && !s.listed {
			o.lifeOver(s)
		}
	}
	o.dirty = true
}

func (o *Scheduler) listed(r Runner) {
	s := o.session(r.ID, r.Address)
	s.service, s.labels, s.capacity = r.Service, r.Labels, r.Capacity
	if r.Draining && !s.draining {
		o.log.Info("a runner drains", "runner", s.id, "remaining_ms", r.RemainingMs)
	}
	s.draining = s.draining || r.Draining
	if r.RemainingMs > 0 {
		s.leavesAt = o.now + time.Duration(r.RemainingMs)*time.Millisecond
	}
}

// lifeOver ends all that a life of a runner ran.
func (o *Scheduler) lifeOver(s *session) {
	if s.over {
		return
	}
	s.over = true
	o.log.Info("a runner's life is over", "runner", s.id, "runs", len(s.runs))
	o.endAll(s)
}

// endAll proposes that each run of a runner is over.
func (o *Scheduler) endAll(s *session) {
	for _, r := range s.sortedRuns() {
		if r.phase != proposed {
			o.endRun(s, r, job.EndLost, "")
		}
	}
}

// endRun proposes the end of a run, once.
func (o *Scheduler) endRun(s *session, r *run, how job.EndReason, saved string) {
	if r.ending {
		return
	}
	r.ending = true
	o.propose(job.Command{Kind: job.EndRun, Task: r.task, Attempt: r.attempt, Runner: s.id, EndReason: how, Checkpoint: saved})
}

func (o *Scheduler) propose(c job.Command) {
	c.ProposedAtMs = o.wallMs
	o.out.Commands = append(o.out.Commands, c)
}

func (o *Scheduler) order(order Order) {
	order.Token = o.epoch
	o.out.Orders = append(o.out.Orders, order)
}

// passPause is the least pause between two passes over the ready work.
const passPause = 3 * time.Millisecond

// TakeOutput returns what is to be done since the last call. Where commands is false, those stay
// for the next call.
func (o *Scheduler) TakeOutput(now time.Duration, commands bool) Output {
	o.now = now
	if o.dirty && now >= o.passAt+passPause {
		o.dirty = false
		o.pass()
	}
	out := Output{Orders: o.out.Orders, Again: o.dirty}
	o.out.Orders = nil
	if !commands || len(o.out.Commands) == 0 {
		return out
	}
	out.Commands, o.out.Commands = o.out.Commands, nil
	out.Batch = o.batch
	o.batch++
	return out
}

// Committed tells that all commands of a batch were applied.
func (o *Scheduler) Committed(now time.Duration, batch uint64) {
	o.now = now
	for _, note := range o.notes[batch] {
		s := note.session
		s.lastSeen = max(s.lastSeen, note.upTo)
		s.holdAt = now
		o.holdIfDue(s)
	}
	delete(o.notes, batch)
}

// Applied tells what a command did to the store.
func (o *Scheduler) Applied(now time.Duration, c job.Command, outcome job.Outcome) {
	o.now = now
	o.dirty = true
	switch c.Kind {
	case job.AcceptJob:
		if outcome == job.Applied {
			o.accepted(o.store.Jobs[c.Submission.ID])
		}
		return
	case job.StartRun:
		o.startApplied(c, outcome)
		return
	}
	j := o.store.Jobs[c.Task.Job]
	if j == nil {
		return
	}
	switch c.Kind {
	case job.OpenOccurrence:
		if outcome == job.Applied {
			o.openTime(j, c.Task.Occurrence)
		}
	case job.EndRun:
		o.endApplied(j, c, outcome)
	case job.CancelJob:
		if outcome == job.Applied || outcome == job.AlreadyApplied || j.CancelledBeforeAcceptance {
			o.jobOver(j)
		}
	}
}

func (o *Scheduler) accepted(j *job.Job) {
	o.watchRepeats(j)
	o.openTime(j, 0)
}

func (o *Scheduler) watchRepeats(j *job.Job) {
	if len(j.Occurrences) < j.Spec.Occurrences() && j.Spec.Repeats > 0 {
		o.repeats[j.ID] = j
	}
}

// jobOver stops what runs of a job that is over and forgets what was to start.
func (o *Scheduler) jobOver(j *job.Job) {
	if o.ended[j.ID] {
		return
	}
	o.ended[j.ID] = true
	o.endings = append(o.endings, ending{id: j.ID, atMs: max(j.EndedMs, o.wallMs)})
	delete(o.repeats, j.ID)
	delete(o.accounts, j.ID)
	for _, key := range o.byJob[j.ID] {
		delete(o.bundles, key)
	}
	delete(o.byJob, j.ID)
	for time, state := range j.Occurrences {
		for step := range state.Steps {
			for index := range state.Steps[step].Tasks {
				o.stopRunsOf(job.TaskRef{Job: j.ID, Occurrence: time, Step: step}, index, &state.Steps[step].Tasks[index])
			}
		}
	}
}
