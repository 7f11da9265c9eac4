// Package scheduler decides for the leader of a shard which ready task starts at which runner
// and when, which run is over, and which is stopped. It is a state machine without I/O: inputs
// carry the time of the caller's monotonic clock, and TakeOutput returns the commands to commit
// and the orders to send.
//
// An order to start leaves only after its command was committed, so that each later leader
// knows where a task may run. A run counts as under way until its end is reported, or its
// absence is proven: by a report that the runner made after the order's own deadline, by the
// expiry of all task leases, or by the end of the runner's incarnation
// (docs/scheduler-design.md, "When a run is over").
//
// Where to find what:
//
//   - scheduler.go: the inputs and how they are passed on; order.go: messages to and from
//     runners; outbox.go: what is to be committed and sent.
//   - cycle.go: the scheduling cycle; cyclepause.go: when the next one may run. Its policies:
//     aging.go (the order of ready work, and reservations for aged work), urgency.go, patience.go
//     (waiting for a runner near the data, by forecast.go: when capacity will be free), gang.go,
//     cost.go.
//   - lease.go: task leases and polls; reconcile.go: what a runner's report says of its runs;
//     unresponsive.go: runners whose reply is overdue, by replydelay.go; masstimeout.go: several
//     that become so at once.
//   - starts.go, stops.go, ends.go: the way of one run; startwindow.go: how many starts are in
//     flight at once.
//   - straggler.go (with progress.go), drain.go, speculation.go, suspicion.go: what is done about
//     slow runs, runners that leave, runs that may be lost, and runners that fail.
//   - learning.go: run times and speeds; lateness.go: where the time of late jobs went;
//     recurring.go: occurrences that fall due; retention.go: jobs that are over.
//   - group.go, run.go, runner.go: the data that all of these share.
package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
)

// Config holds the deployment's parameters that decisions depend on.
type Config struct {
	// MaxLease is the longest task lease that a runner grants.
	MaxLease time.Duration
	// RemoteSlowdown is how many times longer a task runs away from its data's rack; 1 or more.
	RemoteSlowdown float64
	// RestoreTime is how long a run that resumes from a checkpoint makes no progress at first.
	RestoreTime time.Duration
	// StatusRetention is how long the state of a job that is over can still be asked for.
	StatusRetention time.Duration
}

// Output is what the scheduler wants done.
type Output struct {
	Commands     []job.Command // to be committed together, in order; then Committed(Batch)
	Batch        uint64        // number of the batch; without commands it has no meaning
	Orders       []Order       // to be sent at once, each one once
	CyclePending bool          // a scheduling cycle is pending: call again within a few milliseconds
}

// Scheduler schedules the jobs of one shard in one epoch of its leadership. Its methods must not
// be called concurrently, nor while the store changes but through Applied.
type Scheduler struct {
	store  *job.Store
	config Config
	log    *slog.Logger

	now    time.Duration // monotonic clock at the current input
	wallMs int64         // time of day at the last tick, Unix milliseconds

	runners  *runnerTable
	groups   *groupTable
	outbox   outbox
	sequence *sequence

	cycle       cycle
	startWindow startWindow
	patience    rackPatience
	learner     *runTimeLearner
	leases      *leaseManager
	massTimeout massTimeoutDetector
	stragglers  *stragglerPolicy
	speculation *speculationPolicy
	lateness    *latenessTracker
	recurring   *recurringJobs
	retention   *retentionQueue

	lastTick time.Duration
}

// New returns the scheduler of a store at the beginning of an epoch. It takes over the runs that
// earlier leaders ordered.
func New(store *job.Store, epoch uint64, config Config, now time.Duration, wallMs int64, log *slog.Logger) *Scheduler {
	runners, counter := newRunnerTable(), &sequence{}
	s := &Scheduler{
		store: store, config: config, log: log, now: now, wallMs: wallMs,
		runners: runners, groups: newGroupTable(), outbox: newOutbox(epoch), sequence: counter,
		cycle: cycle{needed: true}, patience: rackPatience{remoteSlowdown: config.RemoteSlowdown},
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

// inheritJob takes over what an earlier leader left of a job.
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
	s.stopIfUnwanted(j, runner, r)
}

// takeoverSlack is how much longer than its own leases a leader waits for those of the one
// before it: that one read the runner's clock a while before.
const takeoverSlack = 400 * time.Millisecond

// ensureSession returns the session with one incarnation of a runner, made if there was none.
func (s *Scheduler) ensureSession(id, address string) *runnerSession {
	runner := s.runners.byID[id]
	if runner == nil {
		runner = newRunnerSession(id, address, s.now)
		runner.lease.allExpiredAt = s.now + time.Duration(float64(s.leases.duration())/slowestClock) + takeoverSlack
		s.runners.add(runner)
	}
	return runner
}

// UpdateRunners takes in the runners of this shard's services, as the platform lists them.
func (s *Scheduler) UpdateRunners(now time.Duration, runners []Runner) {
	s.now = now
	listedIDs := map[string]bool{}
	idByAddress := map[string]string{}
	for _, listed := range runners {
		listedIDs[listed.ID] = true
		idByAddress[listed.Address] = listed.ID
		s.updateRunner(listed)
	}
	for _, runner := range s.runners.inOrder {
		runner.listed = listedIDs[runner.id]
		if other, reused := idByAddress[runner.address]; reused && other != runner.id && !runner.listed {
			s.endIncarnation(runner)
		}
	}
	s.cycle.needed = true
}

func (s *Scheduler) updateRunner(listed Runner) {
	runner := s.ensureSession(listed.ID, listed.Address)
	runner.service, runner.labels, runner.capacity = listed.Service, listed.Labels, listed.Capacity
	if listed.Draining && !runner.drain.draining {
		s.log.Info("runner is draining", "runner", runner.id, "remaining_ms", listed.RemainingMs)
	}
	runner.drain.draining = runner.drain.draining || listed.Draining
	if listed.RemainingMs > 0 {
		runner.drain.departsAt = s.now + time.Duration(listed.RemainingMs)*time.Millisecond
	}
}

// endIncarnation ends all that an incarnation of a runner ran.
func (s *Scheduler) endIncarnation(runner *runnerSession) {
	if runner.ended {
		return
	}
	runner.ended = true
	s.log.Info("runner incarnation ended", "runner", runner.id, "runs", len(runner.load.runs))
	s.endAllRuns(runner)
}

// tickInterval is the least time between two checks of all runners: calls to Tick may come more
// often, and a check of thousands of runners costs milliseconds.
const tickInterval = 40 * time.Millisecond

// Tick lets time pass; call it at least every 50 ms. wallMs is the time of day, in Unix
// milliseconds.
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

// checkRunner follows up what time has brought about at one runner.
func (s *Scheduler) checkRunner(runner *runnerSession) {
	if runner.ended {
		return
	}
	if runner.leasesExpired(s.now) && len(runner.load.runs) > 0 {
		s.endAllRuns(runner)
	}
	s.leases.checkOverdue(s.now, runner)
	if s.now >= runner.nextRunCheck {
		s.checkRuns(runner)
	}
	s.pollIfDue(runner)
}

// runCheckInterval is how often the runs of a runner are checked where none waits for a reply to
// its start or its stop.
const runCheckInterval = 160 * time.Millisecond

// checkRuns follows up what is pending for the runs of one runner.
func (s *Scheduler) checkRuns(runner *runnerSession) {
	runner.nextRunCheck = s.now + runCheckInterval
	s.leases.pollForOverdueStarts(s.now, runner)
	var unwanted []*run
	for _, r := range runner.load.runs {
		if r.stop.requested {
			unwanted = append(unwanted, r)
		}
		if r.stop.requested || r.phase == phaseOrdered {
			runner.nextRunCheck = s.now
		}
	}
	sortRuns(unwanted)
	for _, r := range unwanted {
		s.sendStop(runner, r)
	}
	s.checkResponsive(runner)
	s.migrateStragglers(runner)
}

// TakeOutput returns what is to be done since the last call. Where includeCommands is false,
// commands stay for a later call.
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

// Committed says that all commands of a batch were applied.
func (s *Scheduler) Committed(now time.Duration, batch uint64) {
	s.now = now
	for _, ends := range s.outbox.committed(batch) {
		lease := &ends.runner.lease
		lease.ackedThrough = max(lease.ackedThrough, ends.through)
		lease.dueAt = now
		s.pollIfDue(ends.runner)
	}
}

// Applied says what a command did to the store.
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

// jobEnded stops what runs of a job that is over and forgets what was to start.
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

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
