package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/saturating"
)

const (
	// slowRatio is the ratio of the run time to the expected run time from which on a run is slow.
	slowRatio = 2.2
	// stalledRatio is the ratio above which a run has stalled, regardless of its peers.
	stalledRatio = 50.0
	// slowJobs is the number of jobs with slow runs at one runner from which on the runner is
	// considered slow: it is unlikely that the estimates of all these jobs are wrong.
	slowJobs = 3

	// A run migrates if its remaining time exceeds migrationGain times the run time of a new run,
	// plus the time to restore a checkpoint, plus migrationCost.
	migrationGain = 1.3
	migrationCost = 200 * time.Millisecond
	// maxMigratedAttempt is the attempt number from which on a run of a slow runner is no longer
	// migrated.
	maxMigratedAttempt = 4
	// The migration of a gang restarts all its tasks, so a gang's run migrates only after
	// gangMinElapsedRatio times its expected run time plus gangMinElapsed.
	gangMinElapsedRatio = 2.5
	gangMinElapsed      = time.Second
)

// stragglerPolicy decides which runs have to migrate: those that have stalled, those that are slow
// because of their runner, and those that would not end before their runner leaves. Migrating runs
// are stopped and started again elsewhere from their last checkpoint.
type stragglerPolicy struct {
	store       *job.Store
	runners     *runnerTable
	restoreTime time.Duration              // time that a resumed run takes before it makes progress
	found       map[groupKey][]runSlowness // runs of the steps examined during checkAll; nil outside of it
}

// runsToMigrate returns the runs of a runner that have to migrate, in a fixed order. If the runner
// is slow, it records that in the runner's session.
func (p *stragglerPolicy) runsToMigrate(now time.Duration, runner *runnerSession) []*run {
	if !runner.contact.tokenAccepted || now-runner.contact.lastContact > contactTimeout || len(runner.load.runs) == 0 {
		return nil
	}
	slow, jobs := p.isSlow(now, runner)
	if slow {
		runner.recordSlow(now, jobs)
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

// isSlow reports whether a runner is slow at this time, and the jobs of its slow runs. A single run that takes longer than
// expected is not sufficient, because its job's estimate may be wrong. A runner is slow if one of
// its runs has stalled, if a run is slow compared to runs of the same step on other runners, or if
// all its runs of known slowness are slow and belong to at least slowJobs jobs.
func (p *stragglerPolicy) isSlow(now time.Duration, runner *runnerSession) (slow bool, jobs []string) {
	slowJobIDs, normal, certain := map[string]bool{}, 0, false
	for _, r := range runner.load.runs {
		ratio := r.slowness(now)
		if ratio == 0 {
			continue
		}
		if ratio < slowRatio { // checked before the runs on other runners, which costs more
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
	return certain || normal == 0 && len(slowJobIDs) >= slowJobs, sortedKeys(slowJobIDs)
}

// recordSlow makes a runner suspect, at which runs of the given jobs are slow, and includes the
// slowness in its recent slowdown.
func (r *runnerSession) recordSlow(now time.Duration, jobs []string) {
	if r.suspicion.slowObserved(now, jobs...) {
		r.speed.slowdown.Add(maxSlowdown, slowdownWindow)
	}
}

// slownessElsewhere returns the mean slowness of the same step's runs on other runners, and whether
// any is known.
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

// runSlowness is the slowness of a run and the runner it runs on.
type runSlowness struct {
	runner   *runnerSession
	slowness float64
}

// checkAll calls check with a cache of the runs of each step, so that the runs of a step, of which
// there may be thousands, are searched only once. check must not change the progress of any run.
func (p *stragglerPolicy) checkAll(check func()) {
	p.found = map[groupKey][]runSlowness{}
	check()
	p.found = nil
}

// stepSlowness returns the runs of a task's step whose slowness is known at this time, from the
// cache if there is one.
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

// findStepSlowness returns the same as stepSlowness, without the cache.
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

// shouldMigrate reports whether a run has to migrate from its runner; slow is the result of isSlow
// for the runner.
func (p *stragglerPolicy) shouldMigrate(now time.Duration, runner *runnerSession, r *run, slow bool) bool {
	j := p.store.Jobs[r.task.Job]
	if j == nil || r.task.Step >= len(j.Spec.Steps) {
		return false
	}
	step := &j.Spec.Steps[r.task.Step]
	if step.LongRunning {
		return runner.drain.departureImminent(now)
	}
	return slow && p.newRunIsSooner(now, runner, r, step) || runner.drain.requiresMigration(now, r, step.Checkpoints)
}

// newRunIsSooner reports whether a new run elsewhere is expected to end sooner than this slow run.
func (p *stragglerPolicy) newRunIsSooner(now time.Duration, runner *runnerSession, r *run, step *job.Step) bool {
	if r.attempt >= maxMigratedAttempt || r.slowness(now) < slowRatio {
		return false
	}
	expected := r.expectedFraction(1)
	if elsewhere, known := p.slownessElsewhere(now, runner, r); known {
		expected = saturating.Duration(max(1, elsewhere) * float64(expected))
	}
	if step.Gang && now-r.orderedAt < saturating.Duration(gangMinElapsedRatio*float64(expected))+gangMinElapsed {
		return false
	}
	remaining, known := r.remaining()
	return known && remaining > saturating.Duration(migrationGain*float64(expected))+p.restoreTime+migrationCost
}

// migrateStragglers stops the runs of a runner that have to migrate.
func (s *Scheduler) migrateStragglers(runner *runnerSession) {
	for _, r := range s.stragglers.runsToMigrate(s.now, runner) {
		s.log.Info("run is migrated", "task", r.task.String(), "attempt", r.attempt, "runner", runner.id, "percent", r.progress.percent,
			"elapsed", s.now-r.orderedAt, "expected_s", r.expected, "percent_per_s", r.progress.rate, "resumed", r.resumed)
		s.requestStop(runner, r)
	}
}
