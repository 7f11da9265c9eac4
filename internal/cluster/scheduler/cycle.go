package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

const (
	// minCycleInterval is the minimum time between two cycles, so that inputs that arrive together
	// are handled by one cycle.
	minCycleInterval = 3 * time.Millisecond
	// maxCycleInterval is the maximum time between two cycles. Work ages, waits for a runner near
	// the data end and probes of suspect runners fall due even if there is no input.
	maxCycleInterval = 200 * time.Millisecond
)

// cycle is the state of the scheduling cycle. The candidates and runners are those of the current
// cycle; the next cycle reuses their slices.
type cycle struct {
	needed  bool          // something changed since the last cycle
	lastRun time.Duration // when it last ran
	pause   time.Duration // minimum time from lastRun to the next cycle

	candidates []placement.Candidate
	runners    []*runnerSession  // by Candidate.Key
	round      *placement.Round  // chooses among candidates
	request    placement.Request // of the group being assigned

	reservations agedReservations
	holds        budgetHolds
	forecast     capacityForecast

	examinedForGangs int // candidates examined for gangs that could not be placed
}

// runCycle starts the pending tasks that fit. For each task group, in the aged order, it chooses
// the best feasible runner whose budget has headroom, reserves the task's resources there and
// proposes the start. The order to the runner is sent once the start is committed.
//
// If some runner has the capacity for a group but no budget has headroom for it, the runners that
// could take it are held for the rest of the cycle, so that later groups can't use up their budgets.
// A group for which no runner has the capacity is skipped; once it has aged, a runner is reserved for
// it. No task starts while the start window is full.
func (s *Scheduler) runCycle() {
	s.cycle.lastRun, s.cycle.pause = s.now, minCycleInterval
	if s.startWindow.full() {
		return
	}
	ready := s.readyInAgedOrder()
	if len(ready) == 0 {
		return
	}
	s.collectCandidates()
	defer func() { s.cycle.pause = cyclePause(len(ready), s.cycle.examinedWithoutStart()) }()
	for _, group := range ready {
		group.queue.Wait(s.now, lateness.Queued)
	}
	for _, group := range ready {
		if s.startWindow.full() {
			return
		}
		if s.cycle.holds.hasAll(group.job.Service) {
			continue
		}
		request := s.requestFor(group)
		result := s.assign(group, request)
		if len(group.pending) == 0 || result == placement.Found {
			continue
		}
		if !request.LocalOnly {
			s.cycle.forecast.enqueue(len(group.pending))
		}
		group.queue.Wait(s.now, waitCause(request, group.step.Gang, result))
		s.logWait(group, request, result)
		switch {
		case result == placement.NoBudget:
			s.recordBlockedBudgets(group, request)
			s.cycle.holds.hold(request, s.cycle.candidates)
		case result == placement.NoCapacity && group.rank.Aged && s.cycle.reservations.count < s.cycle.maxReservations():
			s.cycle.reservations.reserve(request, s.cycle.candidates)
		}
	}
}

// collectCandidates collects the runners that accept new tasks at this time.
func (s *Scheduler) collectCandidates() {
	candidates, runners := s.cycle.candidates[:0], s.cycle.runners[:0]
	var service string
	var meanCost *admission.MeanCost // of service
	for _, runner := range s.runners.inOrder {
		if !runner.takesWork(s.now) {
			continue
		}
		if meanCost == nil || runner.service != service {
			service, meanCost = runner.service, s.learner.meanCost(runner.service)
		}
		suspect := runner.suspicion.suspect(s.now)
		s.logProbation(runner, suspect)
		candidates = append(candidates, placement.Candidate{
			Key:      len(runners),
			Service:  runner.service,
			Labels:   runner.labels,
			Capacity: runner.capacity,
			Free:     runner.capacity.Subtract(runner.load.reserved),
			Headroom: runner.load.budget.Headroom(runner.load.cost, meanCost),
			Idle:     runner.load.costly == 0,
			Slowdown: runner.speed.recentSlowdown(), RunTimeFactor: runner.speed.factor.Value(),
			Suspect:  suspect,
			Reserved: suspect && !runner.mayProbe(s.now),
		})
		runners = append(runners, runner)
	}
	s.cycle.candidates, s.cycle.runners = candidates, runners
	s.cycle.round = placement.NewRound(candidates)
	s.cycle.reservations, s.cycle.examinedForGangs = agedReservations{}, 0
	s.cycle.holds.reset()
	s.cycle.forecast.begin(candidates, runners)
}

// requestFor returns the placement request for a group's tasks. It is valid until the next call.
func (s *Scheduler) requestFor(group *taskGroup) *placement.Request {
	urgency := group.urgency()
	s.cycle.request = placement.Request{
		Service: group.job.Service, Count: len(group.pending),
		Resources: group.step.Resources, Cost: stepCost(group.expected, group.step), Constraints: group.step.Constraints,
		Urgency: urgency, HealthyOnly: urgency == placement.UrgencyHigh && s.now-group.readyAt < healthyOnlyWait,
		DataRack: group.step.Affinity, LocalOnly: group.step.Affinity != "" && s.config.RemoteSlowdown > 1,
	}
	return &s.cycle.request
}

// assign starts as many of a group's tasks as fit, several at one runner where they fit there.
// Tasks with data affinity start in the rack that holds their data; those that fit no runner there
// wait or run remotely (see localityWaitPolicy). A result other than Found is the reason why the
// remaining tasks wait; after Found, they wait for the start window.
func (s *Scheduler) assign(group *taskGroup, request *placement.Request) placement.Result {
	if group.step.Gang {
		return s.assignGang(group, request)
	}
	result := s.assignTasks(group, request, len(group.pending))
	if !request.LocalOnly || result == placement.Found {
		return result
	}
	waiting := s.waitingTasks(group, request)
	request.LocalOnly = false
	if remote := s.assignTasks(group, request, len(group.pending)-waiting); remote != placement.Found || waiting == 0 {
		return remote
	}
	request.LocalOnly = true
	return placement.NoCapacity
}

// assignTasks starts at most the given number of a group's pending tasks, as far as they fit.
func (s *Scheduler) assignTasks(group *taskGroup, request *placement.Request, limit int) placement.Result {
	for limit > 0 && !s.startWindow.full() {
		if result, rejected := s.cycle.round.Rejects(request); rejected {
			return result
		}
		request.Count = min(group.interchangeable(), limit)
		chosen, result := s.chooseRunner(group, request)
		if result != placement.Found {
			return result
		}
		for range chosen.Count {
			index := group.pending[0]
			s.start(group, index, group.nextAttempt(index), chosen.Candidate, request)
			group.pending = group.pending[1:]
			limit--
		}
	}
	return placement.Found
}

// chooseRunner chooses a runner for a group's next tasks. It prefers runners that group.avoid
// doesn't name, and never chooses one that already has a run of the same task.
func (s *Scheduler) chooseRunner(group *taskGroup, request *placement.Request) (placement.Assignment, placement.Result) {
	running := group.task(group.pending[0]).Runs
	request.Limit = s.perRunnerLimit(group, running, group.avoid)
	chosen, result := s.cycle.round.Choose(request)
	if result != placement.Found && len(group.avoid) > 0 {
		request.Limit = s.perRunnerLimit(group, running, nil)
		chosen, result = s.cycle.round.Choose(request)
	}
	return chosen, result
}

// perRunnerLimit returns a function that returns how many of a group's next tasks a runner, given
// by its key, may take: none at a runner that has one of the running runs or that is in avoid. It
// returns nil if there is no limit.
func (s *Scheduler) perRunnerLimit(group *taskGroup, running []job.Run, avoid map[string]bool) func(key int) int {
	if group.step.AntiAffinity == 0 && len(running) == 0 && len(avoid) == 0 {
		return nil
	}
	spread := s.spreadLimit(group)
	return func(key int) int {
		id := s.cycle.runners[key].id
		if avoid[id] || slices.ContainsFunc(running, func(live job.Run) bool { return live.Runner == id }) {
			return 0
		}
		return spread(key)
	}
}

// spreadLimit returns a function that returns how many more tasks of a step a runner may take in
// addition to those it has, according to the step's anti-affinity.
func (s *Scheduler) spreadLimit(group *taskGroup) func(key int) int {
	if group.step.AntiAffinity == 0 {
		return func(int) int { return group.step.Count }
	}
	return func(key int) int {
		left := group.step.AntiAffinity
		for other := range s.cycle.runners[key].load.runs {
			if groupOf(other.task) == group.key {
				left--
			}
		}
		return left
	}
}

// start reserves a task's resources at a candidate and proposes the start of the task there.
func (s *Scheduler) start(group *taskGroup, index, attempt, candidate int, request *placement.Request) {
	s.cycle.candidates[candidate].Assign(request)
	s.cycle.reservations.assigned()
	runner := s.cycle.runners[s.cycle.candidates[candidate].Key]
	ref := group.taskRef(index)
	r := &run{runKey: runKey{task: ref, attempt: attempt}, resources: request.Resources, cost: request.Cost, expected: group.expected, orderedAt: s.now}
	r.remote = request.DataRack != "" && !slices.Contains(runner.labels, request.DataRack)
	if r.remote {
		r.expected *= s.config.RemoteSlowdown
	}
	r.expected *= runner.speed.factor.Value()
	runner.suspicion.runStarted(s.now)
	s.startWindow.start(r)
	runner.load.add(r)
	group.starting[index] = true
	group.account(index).Started(group.queue.Waited(s.now))
	s.learner.meanCost(group.job.Service).Add(request.Cost)
	s.propose(job.Command{Kind: job.StartRun, Task: ref, Attempt: attempt, Runner: runner.id, Address: runner.address})
}
