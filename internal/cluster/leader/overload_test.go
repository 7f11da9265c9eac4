package leader

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// shedderSimulation simulates a queue of jobs of one task behind a shedder. It starts a limited number of jobs
// per second.
type shedderSimulation struct {
	store    *job.Store
	shedder  *loadShedder
	estimate time.Duration
	// extension and targetMs determine the objective.
	extension   float64
	targetMs    int64
	startRate   float64 // most jobs that start per second
	now         time.Duration
	startCredit float64                    // jobs that may start now
	waiting     []string                   // IDs of accepted jobs that have not started
	ends        map[time.Duration][]string // IDs of the started jobs, by when they end
	refused     int
	offered     int
}

const (
	shedderStep      = 10 * time.Millisecond
	shedderRunTime   = 600 * time.Millisecond
	shedderObjective = 250*time.Millisecond + shedderRunTime*3/2
)

func newShedderSimulation(startRate float64) *shedderSimulation {
	store := job.NewStore()
	return &shedderSimulation{
		store: store, shedder: newLoadShedder(time.Hour, store, slog.New(slog.DiscardHandler)), estimate: shedderRunTime, extension: 1.5, targetMs: 250, startRate: startRate,
		now: time.Hour, ends: map[time.Duration][]string{},
	}
}

func (sim *shedderSimulation) submission(id string) *job.Submission {
	return &job.Submission{
		ID: id, Queue: "h/q/", Service: "desk", TargetMs: sim.targetMs, Extension: sim.extension, Retries: 3,
		Spec: job.Spec{Steps: []job.Step{{Count: 1, EstimateMs: sim.estimate.Milliseconds()}}},
	}
}

func (sim *shedderSimulation) apply(c job.Command) {
	sim.shedder.applied(sim.now, sim.store, &c, sim.store.Apply(c))
}

func (sim *shedderSimulation) submit() {
	sim.offered++
	id := fmt.Sprint(sim.offered)
	if _, refused := sim.shedder.refuse("h/q/", id); refused {
		sim.refused++
		return
	}
	s := sim.submission(id)
	pending := sim.shedder.submitting(s)
	sim.apply(job.Command{Kind: job.AcceptJob, Submission: s})
	sim.shedder.decided(pending)
	sim.waiting = append(sim.waiting, id)
}

// run submits perSecond jobs a second, evenly spaced, for a time span.
func (sim *shedderSimulation) run(perSecond float64, span time.Duration) {
	due := 0.0
	for end := sim.now + span; sim.now < end; sim.now += shedderStep {
		sim.shedder.tick(sim.now)
		for due += perSecond * shedderStep.Seconds(); due >= 1; due-- {
			sim.submit()
		}
		for sim.startCredit += sim.startRate * shedderStep.Seconds(); sim.startCredit >= 1; sim.startCredit-- {
			if len(sim.waiting) > 0 {
				sim.start(sim.waiting[0])
				sim.waiting = sim.waiting[1:]
			}
		}
		for _, id := range sim.ends[sim.now] {
			sim.apply(job.Command{Kind: job.EndRun, Task: job.TaskRef{Job: id}, Attempt: 1, EndReason: job.EndDone})
		}
	}
}

// submitUntilRefused submits until a job is refused.
func (sim *shedderSimulation) submitUntilRefused() {
	for refused := sim.refused; sim.refused == refused; {
		sim.submit()
	}
}

func (sim *shedderSimulation) start(id string) {
	sim.apply(job.Command{Kind: job.StartRun, Task: job.TaskRef{Job: id}, Attempt: 1, Runner: "i-1"})
	sim.ends[sim.now+shedderRunTime] = append(sim.ends[sim.now+shedderRunTime], id)
}

// TestShedderAcceptsBursts checks that nothing is refused at six times the usual load, or when load returns
// suddenly after a pause, as long as jobs are started in time.
func TestShedderAcceptsBursts(t *testing.T) {
	sim := newShedderSimulation(2000)
	for _, load := range []float64{100, 600, 100, 0, 600, 1, 600} {
		sim.run(load, 10*time.Second)
	}
	require.Zero(t, sim.refused)
}

// TestShedderToleratesRoughEstimates checks that estimates that are wrong by a factor of 2.5 cause no refusals,
// and that an overloaded queue with such estimates still accepts as many jobs as it can start.
func TestShedderToleratesRoughEstimates(t *testing.T) {
	for _, estimate := range []time.Duration{shedderRunTime * 2 / 5, shedderRunTime * 5 / 2} {
		sim := newShedderSimulation(2000)
		sim.estimate = estimate
		sim.run(200, 30*time.Second)
		require.Zero(t, sim.refused, "estimate %v", estimate)
		sim.startRate = 100
		sim.run(200, 60*time.Second)
		require.InDelta(t, 100, float64(sim.offered-sim.refused-200*30)/60, 15, "estimate %v: it accepts as many jobs as it starts", estimate)
	}
}

// TestShedderAcceptsWhatMeetsItsObjective checks that at twice the load that can be started half of the jobs
// are accepted, and all of them again once the load has dropped.
func TestShedderAcceptsWhatMeetsItsObjective(t *testing.T) {
	sim := newShedderSimulation(100)
	sim.run(200, 15*time.Second)
	before, refused := sim.offered, sim.refused
	sim.run(200, 30*time.Second)
	accepted := float64(sim.offered - before - (sim.refused - refused))
	require.InDelta(t, 100, accepted/30, 10)
	require.LessOrEqual(t, time.Duration(float64(len(sim.waiting))/sim.startRate*float64(time.Second))+shedderRunTime, shedderObjective, "accepted jobs end in time")
	sim.run(50, shedQuietTime+time.Second)
	refused = sim.refused
	sim.run(90, 20*time.Second)
	require.Equal(t, refused, sim.refused)
}

// TestShedderOfAStalledQueue checks that only a few more jobs are accepted once no job ends any more.
func TestShedderOfAStalledQueue(t *testing.T) {
	sim := newShedderSimulation(100)
	sim.run(50, 10*time.Second)
	sim.startRate = 0
	sim.run(50, 10*time.Second)
	require.Less(t, len(sim.waiting), int(50*(worthlessFactor+1)*shedderObjective.Seconds()))
	retryAfter, refused := sim.shedder.refuse("h/q/", "new")
	require.True(t, refused)
	require.GreaterOrEqual(t, retryAfter, maxShedRetryAfter)
	_, refused = sim.shedder.refuse("h/another/", "new")
	require.False(t, refused, "another queue")
	sim.shedder.submitting(sim.submission("waits"))
	_, refused = sim.shedder.refuse("h/q/", "waits")
	require.False(t, refused, "a further attempt at a submission that may already be accepted")
}

// TestShedderPrefersWhatIsInTime checks that a job that was first refused so long ago that it would end too late
// to have any value is refused while load is shed, even when another job is accepted, and that it is accepted
// once the queue has stopped shedding load.
func TestShedderPrefersWhatIsInTime(t *testing.T) {
	sim := newShedderSimulation(100)
	sim.run(200, 15*time.Second)
	sim.submitUntilRefused()
	sim.shedder.refuse("h/q/", "early")
	sim.run(90, 4*time.Second)
	_, refused := sim.shedder.refuse("h/q/", "early")
	require.True(t, refused)
	_, refused = sim.shedder.refuse("h/q/", "new")
	require.False(t, refused)
	sim.run(50, shedQuietTime+time.Second)
	_, refused = sim.shedder.refuse("h/q/", "early")
	require.False(t, refused)
}

// TestRefusedClientsRetryAtDifferentTimes guards against clients that were refused at the same time and all
// retry at the same time, which kept the leader from doing anything else.
func TestRefusedClientsRetryAtDifferentTimes(t *testing.T) {
	sim := newShedderSimulation(100)
	sim.run(400, 15*time.Second)
	sim.submitUntilRefused()
	at := map[time.Duration]bool{}
	for i := range retryAfterSteps {
		retryAfter, refused := sim.shedder.refuse("h/q/", fmt.Sprint("new", i))
		require.True(t, refused)
		require.LessOrEqual(t, retryAfter, 2*maxShedRetryAfter)
		at[retryAfter.Round(time.Millisecond)] = true
	}
	require.Len(t, at, retryAfterSteps)
}

// acceptUnended accepts jobs that don't end, without asking the shedder whether to refuse them.
func (sim *shedderSimulation) acceptUnended(jobs int, estimate time.Duration) {
	for i := range jobs {
		s := sim.submission(fmt.Sprint("unended", i))
		s.Spec.Steps[0].EstimateMs = estimate.Milliseconds()
		pending := sim.shedder.submitting(s)
		sim.apply(job.Command{Kind: job.AcceptJob, Submission: s})
		sim.shedder.decided(pending)
	}
}

// TestUnendingJobsDontBlockOthers guards against a queue that refuses all further jobs for good because it has
// some that no runner fits or that are long, although all other jobs that it accepts end at once.
func TestUnendingJobsDontBlockOthers(t *testing.T) {
	for _, rate := range []float64{1, 3, 10} {
		for _, unended := range []int{8, 20, 50} {
			sim := newShedderSimulation(2000)
			sim.run(rate, 20*time.Second)
			sim.acceptUnended(unended, shedderRunTime)
			sim.run(rate, time.Minute)
			refused := sim.refused
			sim.run(rate, time.Minute)
			require.Equal(t, refused, sim.refused, "%d jobs that don't end beside %.0f a second", unended, rate)
		}
		sim := newShedderSimulation(2000)
		sim.acceptUnended(20, 300*time.Second)
		sim.run(rate, 250*time.Second)
		require.Zero(t, sim.refused, "long jobs beside %.0f a second", rate)
	}
}

// TestSheddingEndsWithATightObjective guards against a queue whose objective is little longer than its jobs'
// work and which, after a stall, refuses jobs for good although there is capacity again.
func TestSheddingEndsWithATightObjective(t *testing.T) {
	for _, extension := range []float64{1, 1.2, 1.5} {
		sim := newShedderSimulation(2000)
		sim.extension, sim.targetMs = extension, 50
		sim.run(20, 20*time.Second)
		sim.startRate = 0
		sim.run(20, 6*time.Second)
		sim.startRate, sim.startCredit = 2000, 0
		sim.run(20, 20*time.Second)
		refused := sim.refused
		sim.run(20, time.Minute)
		require.Equal(t, refused, sim.refused, "extension %.1f", extension)
	}
}

// TestOneIDInTwoQueues guards against a crash of the process when one ID is submitted to two queues.
func TestOneIDInTwoQueues(t *testing.T) {
	sim := newShedderSimulation(100)
	first, second := sim.submission("x"), sim.submission("x")
	second.Queue = "h/other/"
	a, b := sim.shedder.submitting(first), sim.shedder.submitting(second)
	sim.shedder.decided(a)
	sim.shedder.decided(b)
	require.Zero(t, sim.shedder.queues[first.Queue].submitting)
	second.Extension = 0
	a, b = sim.shedder.submitting(second), sim.shedder.submitting(first)
	sim.shedder.decided(a)
	sim.shedder.decided(b)
	require.Empty(t, sim.shedder.pending)
}
