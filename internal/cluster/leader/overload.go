package leader

import (
	"log/slog"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
)

const (
	// runTimeWindow is the window of the average run time, in runs, of which leastRunTimes are taken in
	// however late the leader is.
	runTimeWindow = 256
	leastRunTimes = 64
)

// loadShedder decides which submissions a leader refuses because it is late: load shedding by queueing
// time. What is accepted can't be taken back, so that a leader that accepts more than it works off,
// for lack of processor time, of disks or of runners, has each job wait for longer than the one before,
// until all that ends is too late to be worth anything.
//
// By Little's law a job's expected time, from its acceptance to its end, is the number of the queue's
// jobs that are not over by the pace at which they end. A queue for which that stays above what is
// worth anything sheds load: it accepts no more jobs than are expected to meet their objective. Queues
// are told apart, since urgent ones are served before the others and so are late last.
//
// Recurring and long-running jobs have no objective that counts from their acceptance and are not counted.
// It is used by one goroutine at a time.
type loadShedder struct {
	log      *slog.Logger
	now      time.Duration // as of the last input
	queues   map[string]*queueLoad
	open     map[string]*queueLoad         // by the ID of a job that is not over
	pending  map[string]*pendingSubmission // by the ID of the job
	runs     map[job.TaskRef]firstRun
	refusals refusalTimes
}

// firstRun is the first run of a task, while it lasts.
type firstRun struct {
	startedAt time.Duration
	estimate  time.Duration // by the client
}

// newLoadShedder returns the shedder of a new leader, with the jobs that it takes over.
func newLoadShedder(now time.Duration, store *job.Store, log *slog.Logger) *loadShedder {
	l := &loadShedder{
		log:      log,
		now:      now,
		queues:   map[string]*queueLoad{},
		open:     map[string]*queueLoad{},
		pending:  map[string]*pendingSubmission{},
		runs:     map[job.TaskRef]firstRun{},
		refusals: refusalTimes{newer: map[string]time.Duration{}, from: now},
	}
	var open []string
	for id, j := range store.Jobs {
		if !j.State.Terminal() {
			open = append(open, id)
		}
	}
	slices.Sort(open) // the same store gives the same averages
	for _, id := range open {
		l.accepted(&store.Jobs[id].Submission)
	}
	return l
}

// hasObjective tells whether a job has an objective that counts from its acceptance.
func hasObjective(s *job.Submission) bool {
	if s.Extension <= 0 || s.Spec.Repeats > 0 {
		return false
	}
	for i := range s.Spec.Steps {
		if s.Spec.Steps[i].LongRunning {
			return false
		}
	}
	return longestChain(&s.Spec) > 0
}

// longestChain returns the run time of a job's longest chain of steps, by the client's estimates.
func longestChain(spec *job.Spec) time.Duration {
	longest := int64(0)
	ends := make([]int64, len(spec.Steps))
	for i := range spec.Steps {
		for _, before := range spec.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += spec.Steps[i].EstimateMs
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// queue returns the load of a submission's queue.
func (l *loadShedder) queue(s *job.Submission) *queueLoad {
	q := l.queues[s.Queue]
	if q == nil {
		q = newQueueLoad(l.log.With("queue", s.Queue), l.now)
		l.queues[s.Queue] = q
	}
	return q
}

// tick lets time pass.
func (l *loadShedder) tick(now time.Duration) { l.now = now }

// refuse tells whether a submission of a job that is not known is refused, and after how long the client
// may come again. Another attempt at one that waits for its commitment is not refused: the client would
// take it for a job that never runs.
func (l *loadShedder) refuse(queue, id string) (retryAfter time.Duration, refused bool) {
	q := l.queues[queue]
	if q == nil || l.pending[id] != nil {
		return 0, false
	}
	waited := l.refusals.since(id, l.now)
	if retryAfter, refused = q.refuse(l.now, waited, id); refused && waited == 0 {
		l.refusals.add(id, l.now)
	}
	return retryAfter, refused
}

// pendingSubmission is a job of which attempts to submit it wait for their commitment.
type pendingSubmission struct {
	id       string
	attempts int
	queue    *queueLoad // in which the job counts; nil: it has no objective
}

// submitting notes that an attempt to submit a job goes on to be committed. The caller passes what it
// returns to decided.
func (l *loadShedder) submitting(s *job.Submission) *pendingSubmission {
	p := l.pending[s.ID]
	if p == nil {
		p = &pendingSubmission{id: s.ID}
		l.pending[s.ID] = p
		if hasObjective(s) {
			p.queue = l.queue(s)
			p.queue.noteObjective(s)
			p.queue.submitting++
		}
	}
	p.attempts++
	return p
}

// decided notes that an attempt to submit a job was committed, or failed. The attempt may be of an earlier
// leadership.
func (l *loadShedder) decided(p *pendingSubmission) {
	p.attempts--
	if p.attempts > 0 {
		return
	}
	if p.queue != nil {
		p.queue.submitting--
	}
	if l.pending[p.id] == p {
		delete(l.pending, p.id)
	}
}

// applied takes in a command that was applied to the store.
func (l *loadShedder) applied(now time.Duration, store *job.Store, c *job.Command, outcome job.Outcome) {
	l.now = now
	if outcome != job.Applied {
		return
	}
	if c.Kind == job.AcceptJob {
		l.accepted(c.Submission)
		return
	}
	j := store.Jobs[c.Task.Job]
	if j == nil {
		return
	}
	switch c.Kind {
	case job.StartRun:
		if c.Attempt == 1 {
			l.runs[c.Task] = firstRun{startedAt: l.now, estimate: time.Duration(j.Spec.Steps[c.Task.Step].EstimateMs) * time.Millisecond}
		}
	case job.EndRun:
		l.runEnded(c)
	}
	if j.State.Terminal() {
		l.jobOver(j)
	}
}

func (l *loadShedder) accepted(s *job.Submission) {
	if !hasObjective(s) {
		return
	}
	q := l.queue(s)
	if !q.objective.Known() {
		q.noteObjective(s)
	}
	if q.idle(l.now) {
		q.since = l.now
	}
	q.open++
	l.open[s.ID] = q
}

// runEnded learns from a task's first run, if it ended well: later ones may resume from a checkpoint.
func (l *loadShedder) runEnded(c *job.Command) {
	run, ok := l.runs[c.Task]
	if !ok || c.Attempt != 1 {
		return
	}
	delete(l.runs, c.Task)
	q := l.open[c.Task.Job]
	if q == nil || c.EndReason != job.EndDone || run.estimate == 0 {
		return
	}
	late := q.shedding || q.expectedTime(l.now) > q.objective.Value
	if !late || q.runTimeRatio.Count < leastRunTimes { // a late leader takes runs for longer than they are
		q.runTimeRatio.Add(float64(l.now-run.startedAt)/float64(run.estimate), runTimeWindow)
	}
}

func (l *loadShedder) jobOver(j *job.Job) {
	q := l.open[j.ID]
	if q == nil {
		return
	}
	delete(l.open, j.ID)
	delete(q.probes, j.ID)
	q.open--
	q.decay(l.now)
	if j.State != job.StateCanceled {
		q.ends++
	}
	q.observe(l.now)
}
