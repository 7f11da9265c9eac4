package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

const (
	// slowRatio: a run that takes so many times longer than expected is slow.
	slowRatio = 2.2
	// stalledRatio: one that takes so many times longer has stalled, whatever else is known.
	stalledRatio = 50.0
	// slowJobs: the estimates of so many jobs at one runner are not all wrong.
	slowJobs = 3

	// A run migrates if what is left of it takes migrationGain times a new run, and the restoring
	// of a checkpoint and migrationCost beside that.
	migrationGain = 1.3
	migrationCost = 200 * time.Millisecond
	// maxMigratedAttempt: a run of this attempt, or a later one, stays where it is.
	maxMigratedAttempt = 4
	// A gang, whose migration costs all its tasks, migrates only after gangPatience of its expected
	// run times and gangPatienceFloor.
	gangPatience      = 2.5
	gangPatienceFloor = time.Second
)

// stragglerPolicy tells which runs are to migrate: those that have stalled, that are slow by the
// fault of their runner, or that would end with their runner. They are stopped, and start again
// elsewhere from what they saved.
type stragglerPolicy struct {
	store       *job.Store
	runners     *runnerTable
	restoreTime time.Duration              // how long a run that resumes makes no progress at first
	found       map[groupKey][]runSlowness // runs of the steps looked at in checkAll; nil outside of it
}

// runsToMigrate returns the runs of a runner that are to migrate, in a fixed order. It notes at the
// runner that it is slow.
func (p *stragglerPolicy) runsToMigrate(now time.Duration, runner *runnerSession) []*run {
	if !runner.contact.fenced || now-runner.contact.lastContact > contactTimeout || len(runner.load.runs) == 0 {
		return nil
	}
	slow := p.isSlow(now, runner)
	if slow {
		runner.recordSlow(now)
	}
	var migrating []*run
	for _, r := range runner.load.runs {
		if r.phase == phaseConfirmed && !r.ending && !r.stop.requested && p.shouldMigrate(now, runner, r, slow) {
			migrating = append(migrating, r)
		}
	}
	sortRuns(migrating)
	return migrating
}

// isSlow tells whether a runner is slow at this moment. That a run takes longer than expected says
// little: its job's estimate may be wrong. It counts where the same step's runs elsewhere do
// better, where it has stalled, or where all jobs that run here, several, are slow.
func (p *stragglerPolicy) isSlow(now time.Duration, runner *runnerSession) bool {
	slowJobIDs, normal, certain := map[string]bool{}, 0, false
	for _, r := range runner.load.runs {
		ratio := r.slowness(now)
		if ratio == 0 {
			continue
		}
		if ratio < slowRatio { // before the peers are looked at, which costs more
			normal++
			continue
		}
		elsewhere, known := p.slownessElsewhere(now, runner, r)
		if ratio < slowRatio*max(1, elsewhere) {
			normal++
			continue
		}
		slowJobIDs[r.task.Job] = true
		certain = certain || known || ratio > stalledRatio
	}
	return certain || normal == 0 && len(slowJobIDs) >= slowJobs
}

// recordSlow makes a runner suspect, and lets the slowness weigh in its recent run times.
func (r *runnerSession) recordSlow(now time.Duration) {
	if r.suspicion.slowObserved(now) {
		r.speed.slowdown.Add(maxSlowdown, slowdownWindow)
	}
}

// slownessElsewhere returns the mean slowness of the same step's runs at other runners; false:
// none is known.
func (p *stragglerPolicy) slownessElsewhere(now time.Duration, runner *runnerSession, r *run) (mean float64, known bool) {
	n := 0
	for _, peer := range p.stepSlowness(now, r.task) {
		if peer.runner != runner {
			mean += peer.slowness
			n++
		}
	}
	return mean / max(1, float64(n)), n > 0
}

// runSlowness is how slow a run is, where that is known, and where it runs.
type runSlowness struct {
	runner   *runnerSession
	slowness float64
}

// checkAll checks runners with the runs of each step found once, however many of them are slow: a step
// may have thousands. The check must change no run's progress.
func (p *stragglerPolicy) checkAll(check func()) {
	p.found = map[groupKey][]runSlowness{}
	check()
	p.found = nil
}

// stepSlowness returns the runs of a task's step whose slowness is known at this moment.
func (p *stragglerPolicy) stepSlowness(now time.Duration, ref job.TaskRef) []runSlowness {
	if p.found == nil {
		return p.findStepSlowness(now, ref)
	}
	key := groupOf(ref)
	runs, found := p.found[key]
	if !found {
		runs = p.findStepSlowness(now, ref)
		p.found[key] = runs
	}
	return runs
}

func (p *stragglerPolicy) findStepSlowness(now time.Duration, ref job.TaskRef) []runSlowness {
	_, step := p.store.Jobs[ref.Job].Task(ref)
	if step == nil {
		return nil
	}
	var runs []runSlowness
	for index := range step.Tasks {
		ref.Index = index
		for _, live := range step.Tasks[index].Runs {
			runner, r := p.runners.find(ref, live)
			if r == nil {
				continue
			}
			if slowness := r.slowness(now); slowness > 0 {
				runs = append(runs, runSlowness{runner: runner, slowness: slowness})
			}
		}
	}
	return runs
}

// shouldMigrate tells whether a run is to migrate from a runner that is slow, or not, at this
// moment.
func (p *stragglerPolicy) shouldMigrate(now time.Duration, runner *runnerSession, r *run, slow bool) bool {
	j := p.store.Jobs[r.task.Job]
	if j == nil || r.task.Step >= len(j.Spec.Steps) {
		return false
	}
	step := &j.Spec.Steps[r.task.Step]
	if step.LongRunning {
		return runner.drain.mustMigrate(now)
	}
	return slow && p.newRunIsSooner(now, runner, r, step) || runner.drain.interrupts(now, r, step.Checkpoints)
}

// newRunIsSooner tells whether a run takes so long that a new one elsewhere would end sooner.
func (p *stragglerPolicy) newRunIsSooner(now time.Duration, runner *runnerSession, r *run, step *job.Step) bool {
	if r.attempt >= maxMigratedAttempt || r.slowness(now) < slowRatio {
		return false
	}
	expected := r.expectedFraction(1)
	if elsewhere, known := p.slownessElsewhere(now, runner, r); known {
		expected = time.Duration(max(1, elsewhere) * float64(expected))
	}
	if step.Gang && now-r.orderedAt < time.Duration(gangPatience*float64(expected))+gangPatienceFloor {
		return false
	}
	remaining, known := r.remaining()
	return known && remaining > time.Duration(migrationGain*float64(expected))+p.restoreTime+migrationCost
}

// migrateStragglers stops the runs of a runner that are to migrate.
func (s *Scheduler) migrateStragglers(runner *runnerSession) {
	for _, r := range s.stragglers.runsToMigrate(s.now, runner) {
		s.log.Info("run is migrated", "task", r.task.String(), "attempt", r.attempt, "runner", runner.id, "percent", r.progress.percent,
			"elapsed", s.now-r.orderedAt, "expected_s", r.expected, "percent_per_s", r.progress.rate, "resumed", r.resumed)
		s.requestStop(runner, r)
	}
}
