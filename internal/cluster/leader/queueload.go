package leader

import (
	"log/slog"
	"math"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/shared/admission"
)

const (
	// worthlessAfter is how many times its objective a job may take until its end is worth nothing.
	worthlessAfter = 3
	// admittedShare of the objective is what a job that is accepted while load is shed is expected to
	// take: most of them are to meet it, not half.
	admittedShare = 0.75
	// leastOpenJobs of a queue are always accepted, and maxProbes beside jobs that don't end: without any,
	// its pace would not be known.
	leastOpenJobs = 8
	maxProbes     = 8
	// shedQuietTime: a queue that had to refuse nothing for so long accepts everything again.
	shedQuietTime = 5 * time.Second
	// leastRateWindow is the least window, in time, of the average pace at which jobs end.
	leastRateWindow = time.Second
	// leastObserved bounds the time over which the pace is taken from below.
	leastObserved = time.Millisecond
	// objectiveWindow is the window of the average objective, in jobs.
	objectiveWindow = 64

	// Retry-After is spread over so many steps, between once and twice the expected time: clients that
	// were refused together would come again together.
	retryAfterSteps   = 16
	minShedRetryAfter = time.Second
	maxShedRetryAfter = 5 * time.Second // before it is spread
)

// queueLoad is what is known of a queue's load under this leader.
type queueLoad struct {
	log        *slog.Logger
	since      time.Duration // first job
	open       int           // jobs that are accepted and not over
	submitting int           // jobs whose acceptance waits for its commitment
	ends       float64       // jobs that ended, decaying
	decayedAt  time.Duration

	objective    admission.Average // of its jobs, in seconds
	work         admission.Average // of its jobs: run time of the longest chain, in seconds
	runTimeRatio admission.Average // run times over the clients' estimates

	lateSince time.Duration // the expected time is beyond what is worth anything since then; 0: it is not
	shedding  bool
	refusedAt time.Duration // last
	refusals  int
	probes    map[string]time.Duration // jobs that were accepted beyond what is expected to be in time, by ID: until when each counts
}

func newQueueLoad(log *slog.Logger, now time.Duration) *queueLoad {
	return &queueLoad{log: log, since: now, decayedAt: now, probes: map[string]time.Duration{}}
}

// noteObjective takes in the objective of one more of the queue's jobs.
func (q *queueLoad) noteObjective(s *job.Submission) {
	work := longestChain(&s.Spec)
	if q.runTimeRatio.Known() {
		work = time.Duration(float64(work) * q.runTimeRatio.Value)
	}
	objective := lateness.Objective(work, s.Extension, time.Duration(s.TargetMs)*time.Millisecond)
	q.objective.Add(objective.Seconds(), objectiveWindow)
	q.work.Add(work.Seconds(), objectiveWindow)
}

// admittedTime is what a job that is accepted while load is shed is expected to take at most, in seconds.
// Where the objective leaves little beside the work, it is halfway between them: no job takes less than its
// work.
func (q *queueLoad) admittedTime() float64 {
	return max(admittedShare*q.objective.Value, (q.objective.Value+q.work.Value)/2)
}

// probe tells whether a job may be accepted though it is not expected to be in time, and counts it. Jobs
// that don't end, for lack of a runner that fits or since they are long, would keep the queue from
// accepting anything, and so from learning that others end quickly.
func (q *queueLoad) probe(now time.Duration, id string) bool {
	for other, until := range q.probes {
		if now > until {
			delete(q.probes, other)
		}
	}
	if len(q.probes) >= maxProbes {
		return false
	}
	q.probes[id] = now + time.Duration(worthlessAfter*q.objective.Value*float64(time.Second))
	return true
}

// rateWindow is the window of the average pace, in seconds.
func (q *queueLoad) rateWindow() float64 {
	return max(leastRateWindow.Seconds(), q.objective.Value)
}

func (q *queueLoad) decay(now time.Duration) {
	q.ends *= math.Exp(-(now - q.decayedAt).Seconds() / q.rateWindow())
	q.decayedAt = now
}

// expectedTime returns how long a job that were accepted now is expected to take, in seconds.
func (q *queueLoad) expectedTime(now time.Duration) float64 {
	unfinished := float64(q.open + q.submitting)
	if unfinished == 0 {
		return 0
	}
	return unfinished / q.rate(now) // +Inf: nothing ends
}

// rate returns how many jobs end in a second.
func (q *queueLoad) rate(now time.Duration) float64 {
	q.decay(now)
	window := q.rateWindow()
	observed := window * (1 - math.Exp(-(now-q.since).Seconds()/window)) // less than the window at first
	return q.ends / max(observed, leastObserved.Seconds())
}

// idle tells whether nothing of the queue is under way or has ended lately.
func (q *queueLoad) idle(now time.Duration) bool {
	q.decay(now)
	return q.open == 0 && q.ends < 1
}

// observe takes in how late the queue is. Shedding begins once the expected time was worthless for as
// long as a job's objective: the first jobs of a sudden burst end in less. At first, nothing has had the
// time to end.
func (q *queueLoad) observe(now time.Duration) {
	objective := q.objective.Value
	atFirst := (now - q.since).Seconds() <= objective
	switch {
	case atFirst || q.expectedTime(now) <= worthlessAfter*objective:
		q.lateSince = 0
	case q.lateSince == 0:
		q.lateSince = now
	case (now-q.lateSince).Seconds() > objective && !q.shedding:
		q.shedding, q.refusedAt = true, now
		q.log.Warn("queue sheds load", "unfinished", q.open, "ended_per_s", math.Round(q.rate(now)), "objective_ms", int64(1000*objective))
	}
	if q.shedding && now-q.refusedAt > shedQuietTime {
		q.shedding = false
		q.log.Info("queue sheds load no more", "refused", q.refusals, "unfinished", q.open)
	}
}

// refuse tells whether a further job is refused, and after how long its client may come again: once
// those before it are worked off. waited is how long ago the job was refused first: one whose end would
// be worth nothing does not take the place of one that is in time.
func (q *queueLoad) refuse(now, waited time.Duration, id string) (retryAfter time.Duration, refused bool) {
	q.observe(now)
	if !q.shedding || q.open+q.submitting < leastOpenJobs {
		return 0, false
	}
	expected, objective := q.expectedTime(now), q.objective.Value
	full := expected > q.admittedTime()
	if full {
		q.refusedAt = now
	}
	if !full && waited.Seconds()+expected <= worthlessAfter*objective {
		return 0, false
	}
	if waited.Seconds() <= worthlessAfter*objective && q.probe(now, id) {
		return 0, false
	}
	return q.nextRetryAfter(expected), true
}

// nextRetryAfter returns after how long the next client that is refused may come again.
func (q *queueLoad) nextRetryAfter(expected float64) time.Duration {
	seconds := min(max(expected, minShedRetryAfter.Seconds()), maxShedRetryAfter.Seconds())
	spread := 1 + float64(q.refusals%retryAfterSteps)/retryAfterSteps
	q.refusals++
	return time.Duration(seconds * spread * float64(time.Second))
}
