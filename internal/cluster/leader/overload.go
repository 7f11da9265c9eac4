package leader

import (
	"log/slog"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
)

const (
	// runTimeWindow is the window, in runs, of the average ratio of run times to their estimates. The first
	// minRunTimes runs count even while the leader is late.
	runTimeWindow = 256
	minRunTimes   = 64
)

// loadShedder decides which submissions a leader refuses because it is late: load shedding by queueing
// time. An accepted job can't be refused later. A leader that accepts jobs faster than they end, for lack of
// processor time, disks or runners, makes each job wait longer than the one before, until every job ends too
// late to have any value.
//
// By Little's law a job's expected time, from its acceptance to its end, is the number of the queue's
// unfinished jobs divided by the rate at which they end. A queue whose expected time stays so long that its
// jobs have no value sheds load: it accepts no more jobs than are expected to meet their objective. Load is
// tracked per queue, since urgent queues are served before the others and so become late last.
//
// Recurring and long-running jobs have no objective that counts from their acceptance and are not counted.
// It must not be used concurrently.
type loadShedder struct {
	log      *slog.Logger
	now      time.Duration // time of the last input
	queues   map[string]*queueLoad
	open     map[string]*queueLoad         // by the ID of an unfinished job
	pending  map[string]*pendingSubmission // by the ID of the job
	runs     map[job.TaskRef]firstRun
	refusals refusalTimes
}

// firstRun is the first run of a task, until it ends.
type firstRun struct {
	startedAt time.Duration
	estimate  time.Duration // by the client
}

// newLoadShedder returns the shedder of a new leader. It counts the store's unfinished jobs.
func newLoadShedder(now time.Duration, store *job.Store, log *slog.Logger) *loadShedder {
	l := &loadShedder{
		log:      log,
		now:      now,
		queues:   map[string]*queueLoad{},
		open:     map[string]*queueLoad{},
		pending:  map[string]*pendingSubmission{},
		runs:     map[job.TaskRef]firstRun{},
		refusals: refusalTimes{newer: map[string]time.Duration{}, newerSince: now},
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

// hasObjective reports whether a job has an objective that counts from its acceptance.
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

// queue returns the load of a submission's queue. It creates it if it does not exist yet.
func (l *loadShedder) queue(s *job.Submission) *queueLoad {
	q := l.queues[s.Queue]
	if q == nil {
		q = newQueueLoad(l.log.With("queue", s.Queue), l.now)
		l.queues[s.Queue] = q
	}
	return q
}

// tick sets the current time.
func (l *loadShedder) tick(now time.Duration) { l.now = now }

// refuse reports whether the submission of an unknown job is refused, and after how long the client may
// retry. A further attempt to submit a job whose submission is being committed is not refused: the client
// would conclude from the refusal that the job never runs.
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

// pendingSubmission is a job with attempts to submit it that are not yet committed.
type pendingSubmission struct {
	id       string
	attempts int
	queue    *queueLoad // the queue that counts the job; nil: the job has no objective
}

// submitting records that an attempt to submit a job is about to be proposed. The caller must pass the
// result to decided once the attempt was committed or failed.
func (l *loadShedder) submitting(s *job.Submission) *pendingSubmission {
	p := l.pending[s.ID]
	if p == nil {
		p = &pendingSubmission{id: s.ID}
		l.pending[s.ID] = p
		if hasObjective(s) {
			p.queue = l.queue(s)
			p.queue.addObjective(s)
			p.queue.submitting++
		}
	}
	p.attempts++
	return p
}

// decided records that an attempt to submit a job was committed or failed. The attempt may be from an earlier
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

// applied updates the load by a command that was applied to the store.
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
		q.addObjective(s)
	}
	if q.idle(l.now) {
		q.since = l.now
	}
	q.open++
	l.open[s.ID] = q
}

// runEnded updates the average run time ratio by a task's first run, if it completed the task. Later runs may
// resume from a checkpoint and don't count.
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
	if !late || q.runTimeRatio.Count < minRunTimes { // a late leader measures runs as longer than they are
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
	q.updateShedding(l.now)
}
