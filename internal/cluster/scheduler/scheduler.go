// Package scheduler makes the scheduling decisions for the leader of a shard: which ready task
// starts on which runner and when, which runs are over, and which runs are stopped. It is a state
// machine without I/O: each input carries the time of the caller's monotonic clock, and TakeOutput
// returns the commands to commit and the orders to send.
//
// An order to start a run is sent only after its command is committed, so that every later leader
// can find out from the replicated state where a task may be running. A run counts as active until
// the runner reports its end or until it is certain that it no longer runs: because a report made
// after the order's deadline does not list it, because all task leases have expired, or because
// the runner's incarnation has ended (docs/scheduler-design.md, "When a run is over").
//
// The package is organized as follows:
//
//   - scheduler.go: the inputs and their dispatch; order.go: messages to and from runners;
//     outbox.go: commands to commit and orders to send.
//   - cycle.go: the scheduling cycle; cyclepause.go: the time until the next cycle. Policies of the
//     cycle: aging.go (the order of ready work, and reservations for aged work), urgency.go,
//     localitywait.go (waiting for a runner near the data) with forecast.go (when capacity will be
//     free), gang.go, cost.go, budgethold.go (runners held for work that waits for budgets).
//   - lease.go: task leases and polls; reconcile.go: processing of a runner's report;
//     incarnation.go: the platform's list, and the end of incarnations; unresponsive.go and replydelay.go: runners whose reply is overdue; masstimeout.go: several
//     runners that become unresponsive at once.
//   - starts.go, stops.go, ends.go, exhausted.go: the life cycle of a run; startwindow.go: the bound on starts in
//     flight.
//   - straggler.go and progress.go: slow runs; drain.go: runners about to leave; speculation.go:
//     runs that may be lost; suspicion.go: runners that fail.
//   - learning.go: run times and speeds; lateness.go: the causes of lateness of jobs; waitlog.go:
//     log lines about tasks that wait and why; recurring.go: occurrences that fall due;
//     retention.go: jobs that are over.
//   - group.go, run.go, runner.go: the shared data structures.
package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/saturating"
)

// Config holds the deployment's parameters that scheduling depends on.
type Config struct {
	// MaxLease is the longest task lease that a runner grants.
	MaxLease time.Duration
	// RemoteSlowdown is the factor by which a task's run time grows outside its data's rack; at
	// least 1.
	RemoteSlowdown float64
	// RestoreTime is how long a run that resumes from a checkpoint takes before it makes progress.
	RestoreTime time.Duration
	// StatusRetention is how long the state of a job that is over can still be queried.
	StatusRetention time.Duration
}

// Output is the result of TakeOutput: the actions that the caller has to carry out.
type Output struct {
	Commands     []job.Command // to be committed together, in order, and then acknowledged with Committed(Batch)
	Batch        uint64        // number of the batch; meaningless without commands
	Orders       []Order       // to be sent immediately, each of them once
	CyclePending bool          // a scheduling cycle is pending: call TakeOutput again within a few milliseconds
}

// Scheduler schedules the jobs of one shard during one epoch of its leadership. Its methods must
// not be called concurrently, and the store must not change during a call. The caller reports each
// change of the store with Applied.
type Scheduler struct {
	store  *job.Store
	config Config
	log    *slog.Logger

	now    time.Duration // monotonic time of the current input
	wallMs int64         // time of day at the last tick, Unix milliseconds

	runners  *runnerTable
	groups   *groupTable
	outbox   outbox
	sequence *sequence

	cycle        cycle
	startWindow  startWindow
	localityWait localityWaitPolicy
	learner      *runTimeLearner
	leases       *leaseManager
	massTimeout  massTimeoutDetector
	stragglers   *stragglerPolicy
	speculation  *speculationPolicy
	lateness     *latenessTracker
	waitLog      waitLog
	recurring    *recurringJobs
	retention    *retentionQueue

	lastTick time.Duration
}

// New returns the scheduler of a store at the beginning of an epoch. It takes over the runs that
// earlier leaders ordered.
func New(store *job.Store, epoch uint64, config Config, now time.Duration, wallMs int64, log *slog.Logger) *Scheduler {
	runners, counter := newRunnerTable(), &sequence{}
	s := &Scheduler{
		store: store, config: config, log: log, now: now, wallMs: wallMs,
		runners: runners, groups: newGroupTable(), outbox: newOutbox(epoch), sequence: counter,
		cycle: cycle{needed: true}, localityWait: localityWaitPolicy{remoteSlowdown: config.RemoteSlowdown},
		learner:     newRunTimeLearner(config.RemoteSlowdown),
		leases:      &leaseManager{maxLease: config.MaxLease, sequence: counter},
		stragglers:  &stragglerPolicy{store: store, runners: runners, restoreTime: config.RestoreTime},
		speculation: &speculationPolicy{runners: runners},
		lateness:    newLatenessTracker(config.RemoteSlowdown, log),
		recurring:   newRecurringJobs(), retention: newRetentionQueue(config.StatusRetention),
	}
	for _, id := range sortedKeys(store.Jobs) {
		s.inheritJob(store.Jobs[id])
	}
	return s
}

// inheritJob takes over a job, with its runs, from an earlier leader.
func (s *Scheduler) inheritJob(j *job.Job) {
	for occurrence, state := range j.Occurrences {
		if state == nil {
			continue
		}
		for step := range state.Steps {
			for index, task := range state.Steps[step].Tasks {
				for _, live := range task.Runs {
					s.inheritRun(j, job.TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}, live)
				}
			}
		}
	}
	if j.State.Terminal() {
		s.jobEnded(j)
		return
	}
	s.recurring.watch(j)
	for occurrence := range j.Occurrences {
		s.openOccurrence(j, occurrence)
	}
}

func (s *Scheduler) inheritRun(j *job.Job, ref job.TaskRef, live job.Run) {
	runner := s.ensureSession(live.Runner, live.Address)
	step := &j.Spec.Steps[ref.Step]
	r := &run{runKey: runKey{task: ref, attempt: live.Attempt}, phase: phaseInherited, resources: step.Resources, orderedAt: s.now, resumed: true}
	r.expected = s.learner.expected(j, ref.Step)
	r.cost = stepCost(r.expected, step)
	s.learner.meanCost(j.Service).Add(r.cost)
	runner.load.add(r)
	s.stopIfUnneeded(j, runner, r)
}

// takeoverSlack is how much longer than the duration of its own leases a new leader waits for the
// leases of its predecessor to expire: the predecessor's reading of the runner's clock may be
// older.
const takeoverSlack = 400 * time.Millisecond

// ensureSession returns the session with one incarnation of a runner and creates it if necessary.
func (s *Scheduler) ensureSession(id, address string) *runnerSession {
	runner := s.runners.byID[id]
	if runner == nil {
		runner = newRunnerSession(id, address, s.now)
		runner.lease.allExpiredAt = s.now + saturating.Duration(float64(s.leases.duration())/slowestClock) + takeoverSlack
		s.runners.add(runner)
	}
	return runner
}

// tickInterval is the minimum time between two checks of all runners. Tick may be called more
// often, but a check of thousands of runners takes milliseconds.
const tickInterval = 40 * time.Millisecond

// Tick performs the checks that depend on time. It must be called at least every 50 ms. wallMs is
// the time of day in Unix milliseconds.
func (s *Scheduler) Tick(now time.Duration, wallMs int64) {
	s.now, s.wallMs = now, wallMs
	if now < s.lastTick+tickInterval {
		return
	}
	s.lastTick = now
	s.stragglers.checkAll(func() {
		for _, runner := range s.runners.inOrder {
			s.checkRunner(runner)
		}
	})
	s.pollAllOnMassTimeout()
	s.runners.dropTerminated(now)
	for _, occurrence := range s.recurring.due(wallMs) {
		s.propose(job.Command{Kind: job.OpenOccurrence, Task: occurrence})
	}
	for _, id := range s.retention.expired(wallMs) {
		s.propose(job.Command{Kind: job.ForgetJob, Task: job.TaskRef{Job: id}})
	}
	if now > s.cycle.lastRun+maxCycleInterval {
		s.cycle.needed = true
	}
}

// checkRunner performs the checks of one runner that depend on time.
func (s *Scheduler) checkRunner(runner *runnerSession) {
	if runner.ended {
		return
	}
	if runner.leasesExpired(s.now) {
		s.logLoss(runner, s.endAllRuns(runner), evidenceLeases)
	}
	s.leases.checkOverdue(s.now, runner)
	if s.now >= runner.nextRunCheck {
		s.checkRuns(runner)
	}
	s.pollIfDue(runner)
}

// runCheckInterval is how often the runs of a runner are checked if none of them waits for the
// reply to an order to start or to stop.
const runCheckInterval = 160 * time.Millisecond

// checkRuns checks the runs of one runner: overdue starts, pending stops, missing replies and
// stragglers.
func (s *Scheduler) checkRuns(runner *runnerSession) {
	runner.nextRunCheck = s.now + runCheckInterval
	s.leases.pollForOverdueStarts(s.now, runner)
	var toStop []*run
	for _, r := range runner.load.runs {
		if r.stop.requested {
			toStop = append(toStop, r)
		}
		if r.stop.requested || r.phase == phaseOrdered {
			runner.nextRunCheck = s.now
		}
	}
	sortRuns(toStop)
	for _, r := range toStop {
		s.sendStop(runner, r)
	}
	s.checkResponsive(runner)
	s.migrateStragglers(runner)
}

// TakeOutput returns the actions that are due since the last call, after running a scheduling cycle
// if one is due. If includeCommands is false, the commands are kept for a later call.
func (s *Scheduler) TakeOutput(now time.Duration, includeCommands bool) Output {
	s.now = now
	if s.cycle.needed && now >= s.cycle.lastRun+s.cycle.pause {
		s.cycle.needed = false
		s.runCycle()
	}
	out := s.outbox.take(includeCommands)
	out.CyclePending = s.cycle.needed
	return out
}

// Committed records that all commands of a batch have been applied. It must be called after Applied
// was called for each of them.
func (s *Scheduler) Committed(now time.Duration, batch uint64) {
	s.now = now
	for _, ends := range s.outbox.committed(batch) {
		lease := &ends.runner.lease
		lease.ackedThrough = max(lease.ackedThrough, ends.through)
		lease.dueAt = now
		s.pollIfDue(ends.runner)
	}
}

// Applied processes the outcome of a command that was applied to the store.
func (s *Scheduler) Applied(now time.Duration, c job.Command, outcome job.Outcome) {
	s.now = now
	s.cycle.needed = true
	switch c.Kind {
	case job.AcceptJob:
		if outcome == job.Applied {
			s.jobAccepted(s.store.Jobs[c.Submission.ID])
		}
		return
	case job.StartRun:
		s.startCommitted(c, outcome)
		return
	}
	j := s.store.Jobs[c.Task.Job]
	if j == nil {
		return
	}
	switch c.Kind {
	case job.OpenOccurrence:
		if outcome == job.Applied {
			s.openOccurrence(j, c.Task.Occurrence)
		}
	case job.EndRun:
		s.endCommitted(j, c, outcome)
	case job.CancelJob:
		if outcome == job.Applied || outcome == job.AlreadyApplied || j.CancelledBeforeAcceptance {
			s.jobEnded(j)
		}
	}
}

func (s *Scheduler) jobAccepted(j *job.Job) {
	s.recurring.watch(j)
	s.openOccurrence(j, 0)
}

// jobEnded stops the runs of a job that is over and drops its pending tasks.
func (s *Scheduler) jobEnded(j *job.Job) {
	if !s.retention.add(j.ID, max(j.EndedMs, s.wallMs)) {
		return
	}
	s.recurring.remove(j.ID)
	s.lateness.forget(j.ID)
	s.groups.removeJob(j.ID)
	for occurrence, state := range j.Occurrences {
		for step := range state.Steps {
			for index := range state.Steps[step].Tasks {
				s.stopRunsOf(job.TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}, &state.Steps[step].Tasks[index])
			}
		}
	}
}

func (s *Scheduler) propose(c job.Command) {
	c.ProposedAtMs = s.wallMs
	s.outbox.propose(c)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
