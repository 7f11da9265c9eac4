package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/capacityindex"
	"basaltloft/internal/shared/saturating"
)

// Dispatcher makes the decisions of one dispatcher process. Its Handle methods take events in the
// order in which they happen; each is given the current time, which never runs backward. They must
// not be called concurrently.
type Dispatcher struct {
	Settings
	host         Host
	rng          *rand.Rand
	now          time.Duration // of the event being handled
	firstEventAt time.Duration // of the first event

	// Classes and learned averages; see learning.go.
	classes        map[string]*classCost
	kinds          map[string]*kindStats
	requiredKinds  []int   // the kinds that classes require, -1 for any
	meanRun        float64 // mean run time over all classes, at the fleet's mean pace
	meanRunSamples float64 // runs in meanRun, up to costWindow
	meanCost       float64 // mean cost of the jobs that arrived
	slowdown       float64 // recent run times of all workers, relative to their paces
	warmupPenalty  float64 // see warmupSlowdown
	bestPace       float64 // pace of the fastest kind in use
	// promptShare is the share of the jobs that start promptly: at warm workers, and at workers
	// that are warming up.
	promptShare [2]float64

	// Jobs without a final answer; see queue.go.
	jobs map[string]*job
	seq  uint64 // of the last job
	// queues has two queues for each kind and two for jobs of any kind: one for jobs of one slot
	// and one for wider jobs. Those of capabilityQueues follow.
	queues           []*queue
	capabilityQueues map[capabilityQueue]*queue
	lastLossAt       time.Duration // when a job was last dropped for lack of capacity; 0: never
	tickPending      bool

	// Workers; see membership.go and subset.go.
	workers      []*worker // in the order of their ids
	byID         map[uint32]*worker
	tableVersion uint64         // counts changes of the set of workers
	hasRemoved   bool           // some workers in the table are listed as removed
	unresponsive map[string]int // by zone: workers found unresponsive since one last responded
	watchBackoff time.Duration
	busy         []*worker // the workers with attempts in flight
	subset       []*worker
	vacant       capacityindex.Set[*worker] // members of the subset that may have capacity
	searches     uint64                     // searches for a worker so far
	peakJobs     float64                    // number of open jobs; falls slowly
	refilledAt   time.Duration              // when the subset was last refilled; 0: never
	widelyShared bool                       // each worker is shared by wideSharing dispatchers or more

	// Load reports; see reports.go.
	probesReportSlots bool // probe answers report the free slots
	slotsInX0         bool
	memoryInX1        bool
	probeCredit       float64 // probes that may be sent

	// Affinity; see affinity.go.
	affinities   map[uint32]*affinityStats // by hash of the key
	affinityJobs float64                   // decaying count of jobs with a key
	homeBuffer   []*worker                 // reused by each call of homes
}

// New returns a dispatcher that acts through the host. If a setting is invalid, it returns an error
// that names the setting.
func New(s Settings, h Host) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		Settings:         s,
		host:             h,
		rng:              rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		kinds:            make(map[string]*kindStats),
		slowdown:         1,
		warmupPenalty:    0.25,
		bestPace:         1,
		promptShare:      [2]float64{1, 1},
		jobs:             make(map[string]*job),
		capabilityQueues: make(map[capabilityQueue]*queue),
		byID:             make(map[uint32]*worker),
		unresponsive:     make(map[string]int),
		vacant:           capacityindex.New(func(w *worker) *capacityindex.Position { return &w.position }),
		slotsInX0:        s.ReportX0 == FreeSlots,
		memoryInX1:       s.ReportX1 == FreeMemory,
		affinities:       make(map[uint32]*affinityStats),
	}
	d.meanRun = float64(s.Classes[0].LatencyTarget) / 2
	d.setClassesAndLimits(s)
	d.probesReportSlots = d.slotsInX0 && s.Limits.Probes
	for range 2 * (len(s.Kinds) + 1) {
		d.queues = append(d.queues, &queue{})
	}
	return d, nil
}

// Reconfigure replaces the classes and limits; all other settings stay as they were given to New.
// The new classes apply to requests that arrive from now on: requests of a removed class are
// refused, and a changed class keeps its learned costs. Jobs in progress keep the class and the
// maximum number of attempts that were in force when they arrived. If a setting is invalid,
// Reconfigure returns an error and changes nothing.
func (d *Dispatcher) Reconfigure(now time.Duration, s Settings) error {
	next := d.Settings
	next.Classes, next.Limits = s.Classes, s.Limits
	if err := next.validate(); err != nil {
		return err
	}
	d.beginEvent(now)
	d.setClassesAndLimits(s)
	return nil
}

// setClassesAndLimits sets the classes and limits, which must be valid. A class that existed before
// keeps its learned costs.
func (d *Dispatcher) setClassesAndLimits(s Settings) {
	classes := make(map[string]*classCost, len(s.Classes))
	for _, c := range s.Classes {
		cost := &classCost{Class: c, runPerHint: 1}
		if old := d.classes[c.Name]; old != nil {
			cost.runPerHint, cost.meanRun, cost.samples = old.runPerHint, old.meanRun, old.samples
			cost.longestTimeLeft = old.longestTimeLeft
		}
		classes[c.Name] = cost
		if !slices.Contains(d.requiredKinds, c.Kind) {
			d.requiredKinds = append(d.requiredKinds, c.Kind)
		}
	}
	d.classes, d.Classes, d.Limits = classes, s.Classes, s.Limits
	if !s.Limits.RetryAfter {
		d.Limits.MaxRetryAfter = 0
	}
}

// HandleRequest handles a new request. A request of an unknown class is refused; one with the id of
// an open job is ignored.
func (d *Dispatcher) HandleRequest(now time.Duration, r Request) {
	d.beginEvent(now)
	c := d.classes[r.Class]
	if c == nil {
		d.host.Refuse(r.ID, d.Limits.MaxRetryAfter)
	}
	if c == nil || d.jobs[r.ID] != nil {
		return
	}
	j := d.newJob(c, r)
	d.probeCredit = min(d.probeCredit+probesPerRequest, float64(2*len(d.subset)+2))
	j.answerBy, j.valuePerCost = d.answerTime(j), c.Value
	if !d.ValueByWork {
		j.valuePerCost /= max(j.cost, 1)
	}
	slack := float64(j.answerBy-now) - float64(j.expectedRun*d.bestPace*d.slowdown)
	j.agesAt = now + saturating.Duration(max(0, min(agingMultiple*j.cost, slack/2)))
	d.growSubset()
	if d.tooLate(j) {
		d.answerUnserved(j)
		return
	}
	d.enqueue(j)
	d.dispatchQueued()
	if d.widelyShared && j.queue != nil {
		d.probeOldestReports()
	}
}

// HandleAttemptResult handles the end of an attempt. An attempt that is not in flight is ignored.
func (d *Dispatcher) HandleAttemptResult(now time.Duration, o AttemptResult) {
	d.beginEvent(now)
	a := d.attempt(o.Request, o.Attempt)
	if a == nil {
		return
	}
	d.releaseAttempt(a)
	if a.job.firstMayHaveRun == nil && !d.Rules.ProvesNotRun(o.Status) {
		a.job.firstMayHaveRun = a
	}
	d.learnFromResult(a, o)
	d.applyReport(a.worker, o.Report, a.slots)
	switch {
	case o.Final:
		d.closeJob(a.job)
	case a.job.answered || a.job.inFlight > 0:
	case d.wouldFailAgain(a, o.Status):
		d.answerUnserved(a.job)
	case d.mayRetry(a.job) && !d.tooLate(a.job) && d.takeRetryBudget(a.job):
		d.enqueue(a.job)
	default:
		d.answerUnserved(a.job)
	}
	d.dispatchQueued()
}

// HandleProbeResult handles the result of a probe.
func (d *Dispatcher) HandleProbeResult(now time.Duration, p ProbeResult) {
	d.beginEvent(now)
	w := d.byID[p.Worker]
	if w == nil {
		return
	}
	w.probePending = false
	d.applyReport(w, p.Report, 0)
	switch {
	case p.Status == OK && w.overdueJobs < 2: // a hung worker may answer probes: it must end a job then
		d.clearSuspicion(w)
	case p.Status == ConnectFailed:
		d.suspectWorker(w, true)
	}
	d.dispatchQueued()
}

// HandleTimer handles a timer of the host that has come due.
func (d *Dispatcher) HandleTimer(now time.Duration, token string) {
	d.beginEvent(now)
	d.tickPending = d.tickPending && token != tickToken
	if len(d.busy) < manyMembers || token == tickToken {
		d.checkAllOverdue()
	} else if d.armTick(); token == overdueToken || token == startToken {
		return // the tick checks for overdue attempts
	}
	if token == recheckToken {
		d.recheckSuspects()
	}
	for _, q := range d.queues {
		d.ageQueue(q)
	}
	if token == watchToken {
		d.host.Watch(true)
	}
	d.dispatchQueued()
	d.probeOldestReports()
}

// HandleMembers handles an update of the worker list, or a failed call for it.
func (d *Dispatcher) HandleMembers(now time.Duration, kind ListKind, entries []Member) {
	d.beginEvent(now)
	if d.PullsMembership {
		d.scheduleWatch(kind)
	}
	if kind != ListFailed {
		d.applyList(kind, entries)
		d.refillSubset()
	}
	d.dispatchQueued()
}

// HandleClientGone handles the end of a request without an answer of this dispatcher, because its
// client has gone.
func (d *Dispatcher) HandleClientGone(now time.Duration, id string) {
	d.beginEvent(now)
	if j := d.jobs[id]; j != nil {
		d.closeJob(j)
	}
	d.dispatchQueued()
}

// HandleStreamStart handles the start of a streamed answer, which counts as the job's final answer.
func (d *Dispatcher) HandleStreamStart(now time.Duration, f StreamStart) {
	d.beginEvent(now)
	if a := d.attempt(f.Request, f.Attempt); a != nil {
		d.cancelOthers(a.job, a)
		a.worker.lastContact, a.job.answered = now, true
		d.dequeue(a.job)
	}
}

// HandleAttemptUpdate handles an update about an attempt in flight.
func (d *Dispatcher) HandleAttemptUpdate(now time.Duration, n AttemptUpdate) {
	d.beginEvent(now)
	a := d.attempt(n.Request, n.Attempt)
	if a == nil {
		return
	}
	d.recordContact(a.worker)
	if n.Kind == UpdateStarted && a.startedAt == 0 {
		a.startedAt = now
		a.overdueAt = d.overdueTime(a)
		d.host.Timer(a.overdueAt-now, overdueToken)
		d.recordStart(a)
		a.job.startedAttempt = cmp.Or(a.job.startedAttempt, a) // the first attempt that starts is kept
		d.cancelOthers(a.job, a.job.startedAttempt)
	}
}

// beginEvent sets the time of the event being handled.
func (d *Dispatcher) beginEvent(now time.Duration) {
	d.pruneQueues()
	if d.firstEventAt == 0 {
		d.firstEventAt = now
	}
	d.now = now
}

// log writes a line to the operators' log.
func (d *Dispatcher) log(format string, args ...any) { d.host.Log(fmt.Sprintf(format, args...)) }

// jitter returns a random duration between 0.75 and 1.25 times t.
func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	return saturating.Duration(float64(t) * (0.75 + float64(0.5*d.rng.Float64())))
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
