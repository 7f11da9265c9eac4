package leader

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// shedderWorld offers jobs of one task to a shedder before a station that begins so many a second.
type shedderWorld struct {
	store    *job.Store
	shedder  *loadShedder
	estimate time.Duration
	// extension and targetMs make the objective.
	extension float64
	targetMs  int64
	pace      float64 // jobs that begin in a second at the most
	now       time.Duration
	free      float64
	waiting   []string
	ends      map[time.Duration][]string
	refused   int
	offered   int
}

const (
	shedderStep = 10 * time.Millisecond
	shedderWork = 600 * time.Millisecond
	shedderGoal = 250*time.Millisecond + shedderWork*3/2
)

func newShedderWorld(pace float64) *shedderWorld {
	store := job.NewStore()
	return &shedderWorld{
		store: store, shedder: newLoadShedder(time.Hour, store, slog.New(slog.DiscardHandler)), estimate: shedderWork, extension: 1.5, targetMs: 250, pace: pace,
		now: time.Hour, ends: map[time.Duration][]string{},
	}
}

func (w *shedderWorld) submission(id string) *job.Submission {
	return &job.Submission{
		ID: id, Queue: "h/q/", Service: "desk", TargetMs: w.targetMs, Extension: w.extension, Retries: 3,
		Spec: job.Spec{Steps: []job.Step{{Count: 1, EstimateMs: w.estimate.Milliseconds()}}},
	}
}

func (w *shedderWorld) apply(c job.Command) {
	w.shedder.applied(w.now, w.store, &c, w.store.Apply(c))
}

func (w *shedderWorld) submit() {
	w.offered++
	id := fmt.Sprint(w.offered)
	if _, refused := w.shedder.refuse("h/q/", id); refused {
		w.refused++
		return
	}
	s := w.submission(id)
	pending := w.shedder.submitting(s)
	w.apply(job.Command{Kind: job.AcceptJob, Submission: s})
	w.shedder.decided(pending)
	w.waiting = append(w.waiting, id)
}

// run offers so many jobs a second, evenly.
func (w *shedderWorld) run(perSecond float64, span time.Duration) {
	due := 0.0
	for end := w.now + span; w.now < end; w.now += shedderStep {
		w.shedder.tick(w.now)
		for due += perSecond * shedderStep.Seconds(); due >= 1; due-- {
			w.submit()
		}
		for w.free += w.pace * shedderStep.Seconds(); w.free >= 1; w.free-- {
			if len(w.waiting) > 0 {
				w.begin(w.waiting[0])
				w.waiting = w.waiting[1:]
			}
		}
		for _, id := range w.ends[w.now] {
			w.apply(job.Command{Kind: job.EndRun, Task: job.TaskRef{Job: id}, Attempt: 1, EndReason: job.EndDone})
		}
	}
}

// fill submits until a job is refused.
func (w *shedderWorld) fill() {
	for refused := w.refused; w.refused == refused; {
		w.submit()
	}
}

func (w *shedderWorld) begin(id string) {
	w.apply(job.Command{Kind: job.StartRun, Task: job.TaskRef{Job: id}, Attempt: 1, Runner: "i-1"})
	w.ends[w.now+shedderWork] = append(w.ends[w.now+shedderWork], id)
}

// TestShedderLetsBurstsPass: six times the usual load, a pause and a sudden return overload nothing.
func TestShedderLetsBurstsPass(t *testing.T) {
	w := newShedderWorld(2000)
	for _, load := range []float64{100, 600, 100, 0, 600, 1, 600} {
		w.run(load, 10*time.Second)
	}
	require.Zero(t, w.refused)
}

// TestShedderKnowsRoughEstimates: estimates that are wrong by 2.5 times refuse nothing.
func TestShedderKnowsRoughEstimates(t *testing.T) {
	for _, estimate := range []time.Duration{shedderWork * 2 / 5, shedderWork * 5 / 2} {
		w := newShedderWorld(2000)
		w.estimate = estimate
		w.run(200, 30*time.Second)
		require.Zero(t, w.refused, "estimate %v", estimate)
		w.pace = 100
		w.run(200, 60*time.Second)
		require.InDelta(t, 100, float64(w.offered-w.refused-200*30)/60, 15, "estimate %v: it accepts what it works off", estimate)
	}
}

// TestShedderAcceptsWhatMeetsItsObjective: of twice what is worked off it accepts half, and all again
// once the load is gone.
func TestShedderAcceptsWhatMeetsItsObjective(t *testing.T) {
	w := newShedderWorld(100)
	w.run(200, 15*time.Second)
	before, refused := w.offered, w.refused
	w.run(200, 30*time.Second)
	accepted := float64(w.offered - before - (w.refused - refused))
	require.InDelta(t, 100, accepted/30, 10)
	require.LessOrEqual(t, time.Duration(float64(len(w.waiting))/w.pace*float64(time.Second))+shedderWork, shedderGoal, "what it accepts is in time")
	w.run(50, shedQuietTime+time.Second)
	refused = w.refused
	w.run(90, 20*time.Second)
	require.Equal(t, refused, w.refused)
}

// TestShedderOfAStandingQueue: where nothing ends at all, nothing more is accepted but a few jobs.
func TestShedderOfAStandingQueue(t *testing.T) {
	w := newShedderWorld(100)
	w.run(50, 10*time.Second)
	w.pace = 0
	w.run(50, 10*time.Second)
	require.Less(t, len(w.waiting), int(50*(worthlessAfter+1)*shedderGoal.Seconds()))
	retryAfter, refused := w.shedder.refuse("h/q/", "new")
	require.True(t, refused)
	require.GreaterOrEqual(t, retryAfter, maxShedRetryAfter)
	_, refused = w.shedder.refuse("h/another/", "new")
	require.False(t, refused, "another queue")
	w.shedder.submitting(w.submission("waits"))
	_, refused = w.shedder.refuse("h/q/", "waits")
	require.False(t, refused, "another attempt at a submission that may be accepted already")
}

// TestShedderPrefersWhatIsInTime: a job that was refused so long ago that its end would be worth nothing is
// refused while load is shed, also where another is accepted, and accepted once load is shed no more.
func TestShedderPrefersWhatIsInTime(t *testing.T) {
	w := newShedderWorld(100)
	w.run(200, 15*time.Second)
	w.fill()
	w.shedder.refuse("h/q/", "early")
	w.run(90, 4*time.Second)
	_, refused := w.shedder.refuse("h/q/", "early")
	require.True(t, refused)
	_, refused = w.shedder.refuse("h/q/", "new")
	require.False(t, refused)
	w.run(50, shedQuietTime+time.Second)
	_, refused = w.shedder.refuse("h/q/", "early")
	require.False(t, refused)
}

// TestRefusedClientsComeAgainOneByOne: clients that were refused together all came again at the same moment,
// and kept the leader from everything else.
func TestRefusedClientsComeAgainOneByOne(t *testing.T) {
	w := newShedderWorld(100)
	w.run(400, 15*time.Second)
	w.fill()
	at := map[time.Duration]bool{}
	for i := range retryAfterSteps {
		retryAfter, refused := w.shedder.refuse("h/q/", fmt.Sprint("new", i))
		require.True(t, refused)
		require.LessOrEqual(t, retryAfter, 2*maxShedRetryAfter)
		at[retryAfter.Round(time.Millisecond)] = true
	}
	require.Len(t, at, retryAfterSteps)
}

// acceptUnended accepts jobs that don't end, whether the shedder would refuse them or not.
func (w *shedderWorld) acceptUnended(jobs int, estimate time.Duration) {
	for i := range jobs {
		s := w.submission(fmt.Sprint("unended", i))
		s.Spec.Steps[0].EstimateMs = estimate.Milliseconds()
		pending := w.shedder.submitting(s)
		w.apply(job.Command{Kind: job.AcceptJob, Submission: s})
		w.shedder.decided(pending)
	}
}

// TestJobsThatDontEndKeepNoOthersOut: jobs that no runner fits, or that are long, had their queue refuse
// everything else for good, though all that it accepted ended at once.
func TestJobsThatDontEndKeepNoOthersOut(t *testing.T) {
	for _, rate := range []float64{1, 3, 10} {
		for _, unended := range []int{8, 20, 50} {
			w := newShedderWorld(2000)
			w.run(rate, 20*time.Second)
			w.acceptUnended(unended, shedderWork)
			w.run(rate, time.Minute)
			refused := w.refused
			w.run(rate, time.Minute)
			require.Equal(t, refused, w.refused, "%d jobs that don't end beside %.0f a second", unended, rate)
		}
		w := newShedderWorld(2000)
		w.acceptUnended(20, 300*time.Second)
		w.run(rate, 250*time.Second)
		require.Zero(t, w.refused, "long jobs beside %.0f a second", rate)
	}
}

// TestSheddingEndsWhereTheObjectiveIsTight: a queue whose objective leaves little beside the work refused jobs
// for good after a stall, though nothing was short any more.
func TestSheddingEndsWhereTheObjectiveIsTight(t *testing.T) {
	for _, extension := range []float64{1, 1.2, 1.5} {
		w := newShedderWorld(2000)
		w.extension, w.targetMs = extension, 50
		w.run(20, 20*time.Second)
		w.pace = 0
		w.run(20, 6*time.Second)
		w.pace, w.free = 2000, 0
		w.run(20, 20*time.Second)
		refused := w.refused
		w.run(20, time.Minute)
		require.Equal(t, refused, w.refused, "extension %.1f", extension)
	}
}

// TestOneIDInTwoQueues: attempts to submit one ID to two queues ended the process.
func TestOneIDInTwoQueues(t *testing.T) {
	w := newShedderWorld(100)
	first, second := w.submission("x"), w.submission("x")
	second.Queue = "h/other/"
	a, b := w.shedder.submitting(first), w.shedder.submitting(second)
	w.shedder.decided(a)
	w.shedder.decided(b)
	require.Zero(t, w.shedder.queues[first.Queue].submitting)
	second.Extension = 0
	a, b = w.shedder.submitting(second), w.shedder.submitting(first)
	w.shedder.decided(a)
	w.shedder.decided(b)
	require.Empty(t, w.shedder.pending)
}
