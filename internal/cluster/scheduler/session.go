package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/admission"
)

// phase is how far a run has come, as far as this owner knows.
type phase uint8

const (
	proposed  phase = iota // its start waits for its commitment; nothing was sent
	ordered                // the order was sent and has no answer
	confirmed              // the runner has it
	inherited              // an earlier owner ordered it
)

// runKey names a run.
type runKey struct {
	task    job.TaskRef
	attempt int
}

// run is one run that may be under way at a runner.
type run struct {
	runKey
	phase         phase
	need          job.Resources
	cost          float64 // at the time of its start
	expected      float64 // seconds, there
	orderDeadline int64   // runner's clock: the order is not carried out after it
	startedClock  int64   // runner's clock at the answer
	sentAt        time.Duration
	resumed       bool          // from saved progress
	restore       time.Duration // it stands still for so long at first
	looked        bool          // the runner was asked about it out of turn
	far           bool          // from its data
	doubted       bool          // its runner, or its order, was silent for a while
	ending        bool          // its end waits for its commitment
	stopWanted    bool
	stopOut       bool // a stop is on its way
	stopAt        time.Duration
	stopClock     int64 // runner's clock when a stop was answered; 0: none was
	saved         string
	percent       int
	percentAt     time.Duration // when that percentage was first seen
	listedAt      time.Duration // when it was last listed
	markPercent   int           // the percentage from which the rate is measured
	markAt        time.Duration
	rate          float64 // percent a second over the last span
	rated         bool
}

// session is this owner's dealing with one life of a runner.
type session struct {
	id, address string
	service     string
	labels      []string
	capacity    job.Resources
	listed      bool // in the platform's newest list
	draining    bool
	leavesAt    time.Duration // when a draining runner leaves at the soonest; 0: not told
	over        bool          // this life has ended

	clock   int64         // the runner's clock, in milliseconds
	clockAt time.Duration // when it was read at the latest
	fenced  bool          // it answered to this owner's token
	heardAt time.Duration
	overAt  time.Duration // by then all holds have surely ended, if it is not heard of

	holdOut      bool
	holdSequence uint64        // of the hold that is out
	holdLateAt   time.Duration // it counts as lost from then on
	holdAt       time.Duration // when the next hold is due
	failures     int           // holds in a row without an answer
	owes         bool          // an order to start has no answer, and nothing came since
	silentNoted  bool          // that it is silent was noted
	lookNow      bool          // the next hold is answered at once
	lastSeen     uint64        // ends up to it are committed
	taken        uint64        // ends up to it were proposed

	runs        map[runKey]*run
	checkAt     time.Duration // when its runs are looked at again
	used        job.Resources
	out         float64
	budget      admission.Budget
	ends        admission.Average // share of runs that failed
	crawls      bool              // its runs were seen to crawl or to stand still
	slowNotedAt time.Duration
	pace        admission.Average // run times beside the expected ones
	speed       admission.RunTimeFactor
	trialAt     time.Duration // a doubtful runner gets its next trial then
	trials      int
}

// Windows of the averages of one runner, in runs.
const (
	endsWindow = 8
	paceWindow = 8
)

// A runner is doubtful once more than doubtfulPart of at least leastEnds runs have failed.
const (
	leastEnds    = 3
	doubtfulPart = 0.45
)

const (
	contactWithin = 1200 * time.Millisecond // a runner heard of so lately is in touch
	slowestClock  = 0.98                    // a runner's clock runs no slower than this
	holdSpan      = 3300 * time.Millisecond
	holdMargin    = 150 // ms under the longest hold that is asked for
	orderLife     = 250 // ms that an order to start may take to arrive
)

// inTouch tells whether the runner can be given work.
func (s *session) inTouch(now time.Duration) bool {
	return s.fenced && !s.over && now-s.heardAt < contactWithin
}

// clockNow returns what the runner's clock shows, roughly.
func (s *session) clockNow(now time.Duration) int64 {
	return s.clock + (now - s.clockAt).Milliseconds()
}

// surelyPast returns when a time on the runner's clock is past even if that clock is slow.
func (s *session) surelyPast(deadline int64) time.Duration {
	ahead := float64(deadline-s.clock) / slowestClock
	return s.clockAt + time.Duration(ahead)*time.Millisecond + 50*time.Millisecond
}

// extend notes that a deadline was sent.
func (s *session) extend(deadline int64) { s.overAt = max(s.overAt, s.surelyPast(deadline)) }

// heard notes a reading of the runner's clock.
func (s *session) heard(now time.Duration, clock int64) {
	s.heardAt = now
	s.failures = 0
	s.owes = false
	if clock > 0 {
		s.clock, s.clockAt = clock, now
	}
}

func (s *session) add(r *run) {
	s.runs[r.runKey] = r
	s.used = s.used.Add(r.need)
	s.out += r.cost
}

func (s *session) remove(key runKey) *run {
	r := s.runs[key]
	if r == nil {
		return nil
	}
	delete(s.runs, key)
	s.used = s.used.Subtract(r.need)
	s.out = max(0, s.out-r.cost)
	if len(s.runs) == 0 {
		s.out = 0
	}
	return r
}

// doubtful tells whether the runner fails more than half of what it runs, or whether what it
// runs crawled or stood still and nothing has ended there in its time since.
func (s *session) doubtful() bool {
	return s.crawls || s.ends.Count >= leastEnds && s.ends.Value > doubtfulPart
}

// onTrial tells whether a run is under way that will tell something of the runner: lasting ones,
// which have no cost, end by their cancelling.
func (s *session) onTrial() bool {
	for _, r := range s.runs {
		if r.cost > 0 {
			return true
		}
	}
	return false
}

// paceNow returns the runner's run times beside the expected ones.
func (s *session) paceNow() float64 {
	if s.pace.Count < 2 {
		return 1
	}
	return s.pace.Value
}

// rack returns the label that names the runner's rack: the one with the affinity's form, by
// the protocol the last.
func (s *session) rack() string {
	if len(s.labels) == 0 {
		return ""
	}
	return s.labels[len(s.labels)-1]
}

// sortedRuns returns the runs in a fixed order, so that the same inputs give the same output.
func (s *session) sortedRuns() []*run {
	runs := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareKeys(a.runKey, b.runKey) })
	return runs
}

func compareKeys(a, b runKey) int {
	switch {
	case a.task.Job != b.task.Job:
		return compareText(a.task.Job, b.task.Job)
	case a.task.Occurrence != b.task.Occurrence:
		return a.task.Occurrence - b.task.Occurrence
	case a.task.Step != b.task.Step:
		return a.task.Step - b.task.Step
	case a.task.Index != b.task.Index:
		return a.task.Index - b.task.Index
	}
	return a.attempt - b.attempt
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}
