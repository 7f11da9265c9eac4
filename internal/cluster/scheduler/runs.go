package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/shared/admission"
)

// startApplied sends the order whose command was committed, or gives its place back.
func (o *Scheduler) startApplied(c job.Command, outcome job.Outcome) {
	key := runKey{task: c.Task, attempt: c.Attempt}
	s := o.sessions[c.Runner]
	if s == nil || s.runs[key] == nil {
		return
	}
	r := s.runs[key]
	j := o.store.Jobs[c.Task.Job]
	if outcome != job.Applied {
		s.remove(key)
		o.refill(j, c.Task)
		return
	}
	if b := o.bundles[keyOf(c.Task)]; b != nil {
		delete(b.waiting, c.Task.Index)
		b.trail(c.Task.Index).Add(lateness.Commit, o.now-r.sentAt)
	}
	r.phase = ordered
	if r.stopWanted || s.over || j.State.Terminal() {
		o.endRun(s, r, job.EndRejected, "") // its order never left
		return
	}
	o.sendStart(j, s, r)
}

func (o *Scheduler) sendStart(j *job.Job, s *session, r *run) {
	_, step := j.Task(r.task)
	task := &step.Tasks[r.task.Index]
	saved := task.Saved
	if j.Spec.Steps[r.task.Step].Gang {
		saved = step.Checkpoint
	}
	r.resumed = saved != ""
	r.saved = saved
	if r.resumed {
		r.restore = o.bounds.RestoreTime
	}
	r.sentAt, s.checkAt = o.now, o.now
	r.orderDeadline = s.clockNow(o.now) + orderLife
	s.extend(r.orderDeadline)
	o.order(Order{Kind: OrderStart, Runner: s.id, Address: s.address, Task: r.task, Attempt: r.attempt,
		Spec: j.Spec.Text, Checkpoint: saved, DeadlineMs: r.orderDeadline})
}

// StartReply is how a runner answered an order to start.
type StartReply uint8

// Replies to starts.
const (
	StartAccepted         StartReply = iota + 1
	StartNoCapacity                  // 409 room
	StartRefused                     // 409 otherwise, 400, 429, 503: it does not run and never will
	StartOtherIncarnation            // 421: another life answered
	StartNoReply                     // no answer
)

// StartReplied takes in the answer to an order to start.
func (o *Scheduler) StartReplied(now time.Duration, order Order, reply StartReply, clock int64) {
	o.now = now
	s := o.sessions[order.Runner]
	if s == nil {
		return
	}
	if reply == StartOtherIncarnation {
		o.lifeOver(s)
		return
	}
	if reply != StartNoReply {
		s.heard(now, clock)
	}
	r := s.runs[runKey{task: order.Task, attempt: order.Attempt}]
	if r == nil || r.ending {
		return
	}
	switch reply {
	case StartAccepted:
		r.phase, r.startedClock = confirmed, clock
		o.trust(r)
	case StartNoReply:
		s.budget.Shrink(r.sentAt, now, o.meansOf(s.service))
	default:
		s.budget.Shrink(r.sentAt, now, o.meansOf(s.service))
		o.log.Info("a runner refused a start", "runner", s.id, "task", order.Task.String(), "attempt", order.Attempt, "reply", reply)
		o.endRun(s, r, job.EndRejected, "")
	}
}

// dropIfUseless stops a run that nobody wants any more.
func (o *Scheduler) dropIfUseless(j *job.Job, s *session, r *run) {
	task, _ := j.Task(r.task)
	if j.State.Terminal() || task == nil || task.Done {
		o.wantStop(s, r)
	}
}

// wantStop stops a run, now and again until it is known to be over.
func (o *Scheduler) wantStop(s *session, r *run) {
	r.stopWanted, s.checkAt = true, o.now
	o.sendStop(s, r)
}

// stopAgain is the pause before a stop that was not answered is sent again.
const stopAgain = 400 * time.Millisecond

func (o *Scheduler) sendStop(s *session, r *run) {
	if r.phase == proposed || r.ending || r.stopOut || r.stopClock > 0 || s.over || o.now < r.stopAt {
		return
	}
	r.stopOut, r.stopAt = true, o.now+stopAgain
	o.order(Order{Kind: OrderStop, Runner: s.id, Address: s.address, Task: r.task, Attempt: r.attempt})
}

// StopReplied takes in the answer to a stop: a 200, or none that helps.
func (o *Scheduler) StopReplied(now time.Duration, order Order, ok, otherIncarnation bool, clock int64) {
	o.now = now
	s := o.sessions[order.Runner]
	if s == nil {
		return
	}
	if otherIncarnation {
		o.lifeOver(s)
		return
	}
	r := s.runs[runKey{task: order.Task, attempt: order.Attempt}]
	if r == nil {
		return
	}
	r.stopOut = false
	if ok {
		s.heard(now, clock)
		r.stopClock = clock
	}
}

// endApplied follows up a run that is over.
func (o *Scheduler) endApplied(j *job.Job, c job.Command, outcome job.Outcome) {
	key := runKey{task: c.Task, attempt: c.Attempt}
	if s := o.sessions[c.Runner]; s != nil {
		if r := s.remove(key); r != nil {
			o.learn(j, s, r, c.EndReason)
			task, _ := j.Task(c.Task)
			o.accountRun(s, r, c.EndReason, task != nil && len(task.Runs) > 0)
		}
	}
	if outcome != job.Applied {
		return
	}
	if c.EndReason == job.EndDone {
		o.accountEnd(j, c.Task)
	}
	if j.State.Terminal() {
		o.jobOver(j)
		return
	}
	if b := o.bundles[keyOf(c.Task)]; b != nil && c.EndReason == job.EndFailed {
		b.avoid[c.Runner] = true
	}
	o.stopCopies(j, c)
	o.followStep(j, c)
}

// stopCopies stops the other runs that the end of one makes useless: of the same task, once
// it is done, and of the same gang, if it is not.
func (o *Scheduler) stopCopies(j *job.Job, c job.Command) {
	task, step := j.Task(c.Task)
	if step == nil {
		return
	}
	gang := j.Spec.Steps[c.Task.Step].Gang
	if gang && c.EndReason != job.EndDone {
		for index := range step.Tasks {
			o.stopRunsOf(c.Task, index, &step.Tasks[index])
		}
	}
	if !gang && task.Done {
		o.stopRunsOf(c.Task, c.Task.Index, task)
	}
}

func (o *Scheduler) stopRunsOf(ref job.TaskRef, index int, task *job.Task) {
	ref.Index = index
	for _, live := range task.Runs {
		s := o.sessions[live.Runner]
		if s == nil {
			continue
		}
		if r := s.runs[runKey{task: ref, attempt: live.Attempt}]; r != nil {
			o.wantStop(s, r)
		}
	}
}

// followStep makes ready what an end allows: the task again, or the steps that waited.
func (o *Scheduler) followStep(j *job.Job, c job.Command) {
	_, step := j.Task(c.Task)
	if step == nil { // the whole time is complete, and its state was dropped
		o.dropTime(j.ID, c.Task.Occurrence)
		return
	}
	if !step.Complete() {
		o.refill(j, c.Task)
		return
	}
	o.closeBundle(keyOf(c.Task))
	o.openTime(j, c.Task.Occurrence)
}

// dropTime forgets what was to start of a time that is complete, and its account.
func (o *Scheduler) dropTime(id string, time int) {
	for _, key := range o.byJob[id] {
		if key.time != time {
			continue
		}
		o.closeBundle(key)
		if account := o.accounts[id]; account != nil {
			delete(account.paths, key)
		}
	}
}

// learn draws from an end what it says of the type's run time and of the runner.
func (o *Scheduler) learn(j *job.Job, s *session, r *run, how job.EndReason) {
	switch how {
	case job.EndDone:
		s.ends.Add(0, endsWindow)
	case job.EndFailed:
		s.ends.Add(1, endsWindow)
		return
	default:
		return
	}
	step := &job.Step{}
	if r.task.Step < len(j.Spec.Steps) {
		step = &j.Spec.Steps[r.task.Step]
	}
	if r.phase != confirmed || r.resumed || r.expected <= 0 {
		return
	}
	took := (o.now - r.sentAt).Seconds()
	near := took
	if r.far {
		near /= o.bounds.RemoteSlowdown
	}
	o.noteSpeed(s, r, near)
	ratio := took / r.expected
	s.pace.Add(min(ratio, slowestSeen), paceWindow)
	if ratio < slowBeyond && s.crawls {
		s.crawls, s.trials, s.trialAt = false, 0, o.now
	}
	if ratio > slowing && s.paceNow() > usualPace {
		s.budget.Shrink(r.sentAt, o.now, o.meansOf(s.service))
	} else {
		s.budget.Grow(r.cost, o.mostBudget(s))
	}
	if s.paceNow() < usualPace && len(j.Spec.Steps) > r.task.Step {
		o.costs.Learn(o.typeOf(j, r.task.Step), float64(step.EstimateMs)/1000, near/s.speed.Value())
	}
}

// noteSpeed keeps how long a run of a step took near its data, for what it tells of its
// runner's speed once the step is complete.
func (o *Scheduler) noteSpeed(s *session, r *run, took float64) {
	if b := o.bundles[keyOf(r.task)]; b != nil && !b.step.Gang && !b.step.LongRunning {
		b.ended = append(b.ended, admission.PeerRun{Factor: &s.speed, Took: took})
	}
}

// closeBundle forgets a step that is complete, and draws from its runs what they tell of the
// runners' speeds.
func (o *Scheduler) closeBundle(key bundleKey) {
	if b := o.bundles[key]; b != nil {
		admission.LearnRunTimeFactors(b.ended)
	}
	delete(o.bundles, key)
}

const (
	slowing   = 2.0 // a run so many times longer than expected shows a slowing
	usualPace = 1.6 // runs at a slower runner teach nothing of the type
)

// mostBudget bounds a runner's budget: its whole capacity, busy for some mean runs.
func (o *Scheduler) mostBudget(s *session) float64 {
	return weight(s.capacity) * 30
}
