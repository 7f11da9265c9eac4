package leader

import (
	"log/slog"
	"math"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/saturating"
)

const (
	// worthlessFactor is the multiple of its objective after which a job that ends has no value.
	worthlessFactor = 3
	// admittedShare is the share of the objective that a job accepted while load is shed is expected to
	// take at most: most of these jobs are to meet the objective, not only half of them.
	admittedShare = 0.75
	// A queue always accepts jobs while fewer than minOpenJobs are unfinished, and up to maxProbes further
	// jobs where unfinished jobs don't end. Otherwise the rate at which its jobs end would not be known.
	minOpenJobs = 8
	maxProbes   = 8
	// shedQuietTime is how long a queue must not have been too full for a job until it stops shedding load.
	shedQuietTime = 5 * time.Second
	// minRateWindow is the shortest window over which the rate at which jobs end is averaged.
	minRateWindow = time.Second
	// minObservedTime is the shortest time by which ended jobs are divided to get their rate.
	minObservedTime = time.Millisecond
	// objectiveWindow is the window of the average objective, in jobs.
	objectiveWindow = 64

	// Retry-After is spread over retryAfterSteps steps between one and two times the expected time.
	// Otherwise clients that were refused at the same time would retry at the same time.
	retryAfterSteps   = 16
	minShedRetryAfter = time.Second
	maxShedRetryAfter = 5 * time.Second // before it is spread
)

// queueLoad holds the measured load of a queue under this leader.
type queueLoad struct {
	log        *slog.Logger
	since      time.Duration // when the first job was accepted after the queue was idle
	open       int           // accepted and unfinished jobs
	submitting int           // jobs whose acceptance is not yet committed
	ends       float64       // exponentially decayed number of ended jobs, as of decayedAt
	decayedAt  time.Duration

	objective    admission.Average // average of its jobs, in seconds
	work         admission.Average // average of its jobs: run time of the longest chain of steps, in seconds
	runTimeRatio admission.Average // average of the run times divided by the clients' estimates

	lateSince  time.Duration // since when the expected time has been too long for jobs to have any value; 0: it is not too long
	shedding   bool
	lastFullAt time.Duration // when it was last too full for a job, or began to shed load
	refusals   int
	probes     map[string]time.Duration // jobs accepted though not expected to be in time, by ID, with the time until which each counts
}

func newQueueLoad(log *slog.Logger, now time.Duration) *queueLoad {
	return &queueLoad{log: log, since: now, decayedAt: now, probes: map[string]time.Duration{}}
}

// addObjective adds the objective and the work of one of the queue's jobs to the averages.
func (q *queueLoad) addObjective(s *job.Submission) {
	work := longestChain(&s.Spec)
	if q.runTimeRatio.Known() {
		work = saturating.Duration(float64(work) * q.runTimeRatio.Value)
	}
	objective := lateness.Objective(work, s.Extension, time.Duration(s.TargetMs)*time.Millisecond)
	q.objective.Add(objective.Seconds(), objectiveWindow)
	q.work.Add(work.Seconds(), objectiveWindow)
}

// admittedTime returns how long a job that is accepted while load is shed is expected to take at most, in
// seconds. If the objective is little longer than the work, it is halfway between the two, since no job takes
// less than its work.
func (q *queueLoad) admittedTime() float64 {
	return max(admittedShare*q.objective.Value, (q.objective.Value+q.work.Value)/2)
}

// tryProbe reports whether a job may be accepted as a probe, though it is not expected to be in time, and
// counts it. Without probes, jobs that don't end, because no runner fits them or because they are long, would
// keep the queue from accepting any job, and so from measuring that others end quickly.
func (q *queueLoad) tryProbe(now time.Duration, id string) bool {
	for other, until := range q.probes {
		if now > until {
			delete(q.probes, other)
		}
	}
	if len(q.probes) >= maxProbes {
		return false
	}
	q.probes[id] = now + saturating.Duration(worthlessFactor*q.objective.Value*float64(time.Second))
	return true
}

// rateWindow returns the window over which the rate at which jobs end is averaged, in seconds.
func (q *queueLoad) rateWindow() float64 {
	return max(minRateWindow.Seconds(), q.objective.Value)
}

func (q *queueLoad) decay(now time.Duration) {
	q.ends *= math.Exp(-(now - q.decayedAt).Seconds() / q.rateWindow())
	q.decayedAt = now
}

// expectedTime returns how long a job accepted now would be expected to take, in seconds.
func (q *queueLoad) expectedTime(now time.Duration) float64 {
	unfinished := float64(q.open + q.submitting)
	if unfinished == 0 {
		return 0
	}
	return unfinished / q.rate(now) // +Inf: nothing ends
}

// rate returns how many jobs end per second.
func (q *queueLoad) rate(now time.Duration) float64 {
	q.decay(now)
	window := q.rateWindow()
	observed := window * (1 - math.Exp(-(now-q.since).Seconds()/window)) // shorter than the window at first
	return q.ends / max(observed, minObservedTime.Seconds())
}

// idle reports whether the queue has no unfinished jobs and almost none that ended recently.
func (q *queueLoad) idle(now time.Duration) bool {
	q.decay(now)
	return q.open == 0 && q.ends < 1
}

// updateShedding updates whether the queue sheds load. Shedding begins once the expected time has been longer
// than worthlessFactor objectives for the time of one objective: the first jobs of a sudden burst end in less
// than that. A queue is not late during its first objective, when no job has had the time to end.
func (q *queueLoad) updateShedding(now time.Duration) {
	objective := q.objective.Value
	atFirst := (now - q.since).Seconds() <= objective
	switch {
	case atFirst || q.expectedTime(now) <= worthlessFactor*objective:
		q.lateSince = 0
	case q.lateSince == 0:
		q.lateSince = now
	case (now-q.lateSince).Seconds() > objective && !q.shedding:
		q.shedding, q.lastFullAt = true, now
		q.log.Warn("queue sheds load", "unfinished", q.open, "ended_per_s", math.Round(q.rate(now)), "objective_ms", saturating.Int64(1000*objective))
	}
	if q.shedding && now-q.lastFullAt > shedQuietTime {
		q.shedding = false
		q.log.Info("queue stopped shedding load", "refused", q.refusals, "unfinished", q.open)
	}
}

// refuse reports whether a further job is refused, and after how long its client may retry: when the jobs
// before it are expected to have ended. waited is how long ago the job was first refused: a job that would
// end too late to have any value does not take the place of one that is in time.
func (q *queueLoad) refuse(now, waited time.Duration, id string) (retryAfter time.Duration, refused bool) {
	q.updateShedding(now)
	if !q.shedding || q.open+q.submitting < minOpenJobs {
		return 0, false
	}
	expected, objective := q.expectedTime(now), q.objective.Value
	full := expected > q.admittedTime()
	if full {
		q.lastFullAt = now
	}
	if !full && waited.Seconds()+expected <= worthlessFactor*objective {
		return 0, false
	}
	if waited.Seconds() <= worthlessFactor*objective && q.tryProbe(now, id) {
		return 0, false
	}
	return q.nextRetryAfter(expected), true
}

// nextRetryAfter returns after how long the next refused client may retry.
func (q *queueLoad) nextRetryAfter(expected float64) time.Duration {
	seconds := min(max(expected, minShedRetryAfter.Seconds()), maxShedRetryAfter.Seconds())
	spread := 1 + float64(q.refusals%retryAfterSteps)/retryAfterSteps
	q.refusals++
	return saturating.Duration(seconds * spread * float64(time.Second))
}
