package faktory

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
)

const (
	mostResults = 8 << 20 // bytes of results that are remembered
	dueAtOnce   = 500     // jobs that come due while the lock is held
	others      = 64      // jobs that are with the decisions beside those that a FETCH waits for
)

// backlog joins the sets and batches to the core. A job that was pushed waits
// here until a FETCH waits for its queue, or members of other fronts may have
// it; then it becomes a transaction like any other. What becomes of that comes
// back here: success, another try, or the dead.
//
// Its lock is the workers' too: what a FETCH finds and what is pushed must not
// miss each other. The core's goroutine takes it to tell answers and to start
// flows; posting to the core never waits, so it is done under the lock.
type backlog struct {
	hub    Hub
	intake Intake
	set    *settings.Faktory
	log    logrus.FieldLogger
	desk   *accounting.FrontCounters
	plans  Plans // nil: none can be run

	mu      sync.Mutex
	workers *workers
	book    *sets.Store
	batches *batch.Store
	tasks   map[string]*task // all jobs that are known, the final ones among them
	done    []*task          // final ones, the oldest first
	bytes   int              // of their results
	waiting map[string]int   // by queue: with the decisions and not fetched
	out     int              // with the decisions
	timer   *time.Timer
	owed    []batch.Callback
	ending  bool

	pushed, processed, failures int64
}

// task is what is known of a job that was pushed. It is its transaction's
// client.
type task struct {
	of      *backlog
	job     *sets.Job // nil: final
	id      string
	batch   string
	effect  policy.Effect
	state   taskState
	fetched bool // of this try
	counted bool // its end was counted when its worker told it
	pushing bool // its PUSH has not been answered: if it is refused now, it is not taken
	failed  *failure
	answer  *engine.Answer // final
	plan    *planned       // it is run as; nil: it is fetched
	said    *said          // by its worker
	at      time.Time
}

// said is what a worker says of a job that runs.
type said struct {
	percent int
	desc    string
}

type taskState uint8

const (
	waits taskState = iota // here
	isOut                  // with the decisions, or a worker
	final
)

// failure is what a worker said of a job that failed.
type failure struct {
	kind, message string
	backtrace     []string
}

func newBacklog(hub Hub, intake Intake, set *settings.Faktory, desk *accounting.FrontCounters, log logrus.FieldLogger) *backlog {
	b := &backlog{
		hub: hub, intake: intake, set: set, log: log, desk: desk,
		book: sets.NewStore(sets.Limits{
			Jobs: set.Waiting.Jobs, Bytes: set.Waiting.Bytes, QueueJobs: set.Waiting.QueueJobs, QueueBytes: set.Waiting.QueueBytes,
			ClientJobs: set.Waiting.OwnerJobs, ClientBytes: set.Waiting.OwnerBytes, Queues: mostQueues, Dead: set.Waiting.Dead, DeadBytes: set.Waiting.DeadBytes, DeadRetention: set.Waiting.DeadFor, BackoffUnit: set.BackoffUnit,
		}, uint64(time.Now().UnixNano())), batches: batch.NewStore(mostBatches),
		tasks: make(map[string]*task), waiting: make(map[string]int),
	}
	b.workers = newWorkers(hub, set, b)
	return b
}

const (
	mostBatches = 10000
	mostQueues  = 1000
)

// run moves jobs whose time has come until the context ends.
func (b *backlog) run(ctx context.Context) {
	b.mu.Lock()
	b.timer = time.NewTimer(time.Hour)
	timer := b.timer
	b.mu.Unlock()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			b.due()
		}
	}
}

// due moves what is due into the queues, some at a time, so that nobody waits
// long for the lock.
func (b *backlog) due() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		now := time.Now()
		queues, again := b.book.PromoteDue(now, dueAtOnce)
		for _, q := range queues {
			b.feed(q)
		}
		if again.IsZero() || again.After(now) {
			b.wakeAt(again)
			return
		}
		b.mu.Unlock()
		b.mu.Lock()
	}
}

// wakeAt sets the timer; zero is never.
func (b *backlog) wakeAt(at time.Time) {
	if b.timer == nil {
		return
	}
	if at.IsZero() {
		b.timer.Reset(time.Hour)
		return
	}
	b.timer.Reset(max(0, time.Until(at)))
}

// wake sets the timer for the next job that comes due.
func (b *backlog) wake() {
	var at time.Time
	for _, s := range []*sets.Set{b.book.Scheduled, b.book.Retries} {
		if j := s.Earliest(); j != nil && (at.IsZero() || j.OrderTime().Before(at)) {
			at = j.OrderTime()
		}
	}
	b.wakeAt(at)
}

// notTaken says why a PUSH was not taken, in the protocol's words.
type notTaken string

func (n notTaken) Error() string { return string(n) }

func refused(a engine.Answer) notTaken {
	wait := comeBack
	if !a.RetryAt.IsZero() {
		wait = max(0, time.Until(a.RetryAt))
	}
	return notTaken(fmt.Sprintf("ERR refused, retry-after %.3f", wait.Seconds()))
}

func broken(err error) notTaken { return notTaken("ERR " + err.Error()) }

// push takes a job. Where the decisions see it at once and refuse it there and
// then, it is not taken, and its client is told when to come back. A jid that is
// known joins its first push.
func (b *backlog) push(v *fastjson.Value, owner string, now time.Time) error {
	j, err := b.read(v, now)
	if err != nil {
		return broken(err)
	}
	effect, ok := b.intake.Effect(j.arrival.Class)
	if !ok && j.plan == "" {
		return broken(fmt.Errorf("unknown class %q", j.arrival.Class))
	}
	t, err := b.enter(j, effect, owner, now)
	if err != nil || t == nil {
		return err
	}
	b.hub.Do(func() {}) // the decisions have seen it, if it went there
	b.mu.Lock()
	defer b.mu.Unlock()
	t.pushing = false
	if t.state != final || t.answer.Verdict == engine.Served {
		return nil
	}
	if t.answer.Verdict == engine.Refused {
		return refused(*t.answer)
	}
	return notTaken("ERR the job failed: " + strings.TrimSpace(string(t.answer.Body)))
}

// enter puts a job into its queue or set, and feeds the queue. It returns no
// task if nothing is to be waited for.
func (b *backlog) enter(j job, effect policy.Effect, owner string, now time.Time) (*task, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ending {
		return nil, refused(engine.Answer{})
	}
	known := b.tasks[j.id]
	if known != nil && !(known.state == final && retryable(known.answer.Verdict)) {
		return nil, nil
	}
	waiting := j.waiting()
	waiting.Client = owner
	if j.batch != "" {
		if err := b.batches.CheckAdd(j.batch); err != nil {
			return nil, broken(fmt.Errorf("batch %s: %w", j.batch, err))
		}
	}
	switch err := b.book.Push(now, waiting); {
	case errors.Is(err, sets.ErrNotUnique):
		return nil, notTaken("NOTUNIQUE Job not unique")
	case errors.Is(err, sets.ErrFull):
		b.log.WithError(err).Debug("a push found no room")
		return nil, refused(engine.Answer{})
	case err != nil:
		return nil, broken(err)
	}
	t := &task{of: b, job: waiting, id: j.id, batch: j.batch, effect: effect, at: now, plan: newPlanned(j.plan, known)}
	waiting.Attachment = t
	b.tasks[j.id] = t
	b.pushed++
	if j.batch != "" {
		b.batches.Add(j.batch, j.id)
	}
	if waiting.Location() == sets.InQueue {
		t.pushing = t.plan == nil
		b.feed(j.queue)
		if t.state == isOut && t.pushing {
			return t, nil
		}
		t.pushing = false
	} else {
		b.wake()
	}
	return nil, nil
}

// feed hands jobs of a queue to the core while somebody waits for them: a FETCH
// for each, or members of other fronts. Plans begin as soon as they are the first.
func (b *backlog) feed(queue string) {
	for b.mayFeed(queue) && b.feedOne(queue) != "" {
	}
	b.feedPlans(queue)
}

func (b *backlog) mayFeed(queue string) bool {
	return b.waiting[queue] < b.workers.wanting(queue) || b.hub.HasOtherSources(Source) && b.out < others
}

// feedOne hands the first job of a queue to the core, and returns its jid.
func (b *backlog) feedOne(queue string) string {
	now := time.Now()
	for {
		w, expired := b.book.Dequeue(now, queue)
		b.expire(expired)
		if w == nil {
			return ""
		}
		t := w.Attachment.(*task)
		if t.plan != nil {
			b.begin(t, now)
			continue
		}
		v, err := fastjson.ParseBytes(w.Body)
		if err == nil {
			var j job
			if j, err = readJob(v, b.set, now); err == nil {
				j.arrival.Retry = w.IsRetry
				var tx *engine.Transaction
				if tx, err = b.intake.NewTransaction(j.arrival, now, t); err == nil {
					t.state, t.failed, t.fetched, t.counted = isOut, nil, false, false
					b.waiting[queue]++
					b.out++
					b.desk.JobStarted()
					b.hub.Submit(tx)
					b.desk.JobSubmitted()
					b.feedPlans(queue)
					return w.ID
				}
			}
		}
		// It was readable when it was pushed: its time may be over.
		b.conclude(t, engine.Answer{Verdict: engine.Denied, Body: []byte(err.Error() + "\n")})
	}
}

// expire concludes jobs that waited too long.
func (b *backlog) expire(gone []*sets.Job) {
	for _, j := range gone {
		b.conclude(j.Attachment.(*task), engine.Answer{Verdict: engine.Refused, Body: []byte("the job has expired\n")})
	}
}

// fetched tells that a job of a queue is not to be fetched any more: it was, or
// it has its answer.
func (b *backlog) fetched(queue string) {
	if b.waiting[queue]--; b.waiting[queue] <= 0 {
		delete(b.waiting, queue)
	}
}

// Answer implements core.Client: a try of the job has its final answer.
func (t *task) Answer(a engine.Answer) {
	b := t.of
	b.desk.JobAnswered(a.Verdict.Outcome())
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.state != isOut {
		return
	}
	queue := t.job.Queue
	b.out--
	if !t.fetched {
		b.fetched(queue)
	}
	b.workers.ended(t)
	now := time.Now()
	t.at = now
	if !t.counted && (a.Verdict == engine.Served || a.Ran) { // by a member of another front
		b.processed++
	}
	if !t.counted && (a.Verdict == engine.Failed || a.Ran) {
		b.failures++
	}
	fate := sets.Discarded
	switch f := t.failed; {
	case a.Verdict == engine.Served:
	case t.pushing:
	case f != nil || a.Ran: // it was run, and somebody said that it failed
		if f == nil {
			f = &failure{kind: "Error", message: "a pool member called it failed"}
			t.failed = f
		}
		mayRepeat := t.effect == policy.Idempotent
		t.job.MayHaveRun = !mayRepeat
		fate = b.book.Failed(now, t.job, mayRepeat, f.kind, f.message, f.backtrace)
	case a.Verdict == engine.Refused:
		fate = b.book.Rejected(now, t.job, a.RetryAt)
	default:
		t.job.MayHaveRun = a.Verdict == engine.Failed
		fate = b.book.Failed(now, t.job, false, a.Verdict.String(), a.Reason.String(), nil)
	}
	if fate == sets.WillRetry {
		t.state = waits
		b.ran(t, false)
		b.wake()
	} else {
		b.conclude(t, a)
	}
	b.feed(queue)
}

// ran tells a task's batch how a try went.
func (b *backlog) ran(t *task, well bool) {
	if t.batch != "" && (well || t.failed != nil || t.state == final) {
		b.owe(b.batches.JobRan(t.batch, t.id, well))
	}
}

// conclude keeps what became of a job for good.
func (b *backlog) conclude(t *task, a engine.Answer) {
	j := t.job
	t.state, t.answer, t.at = final, &a, time.Now()
	if j != nil {
		if a.Verdict == engine.Served || j.Location() == "" {
			b.book.Unlock(j)
		}
		switch {
		case t.pushing && t.batch != "":
			b.batches.Remove(t.batch, t.id)
		case j.Options != nil && j.CallbackOf != "" && a.Verdict == engine.Served:
			b.owe(b.batches.CallbackSucceeded(j.CallbackOf, batch.Kind(j.CallbackKind)))
		}
		if !t.pushing {
			b.ran(t, a.Verdict == engine.Served)
		}
		if j.Location() == "" {
			t.job = nil
		}
	}
	b.done = append(b.done, t)
	b.bytes += len(a.Body)
	for len(b.done) > 0 && (len(b.done) > b.set.Jobs || b.bytes > mostResults) {
		oldest := b.done[0]
		b.done[0] = nil
		b.done = b.done[1:]
		b.bytes -= len(oldest.answer.Body)
		if b.tasks[oldest.id] == oldest && oldest.state == final { // a later push of the same jid has its own
			delete(b.tasks, oldest.id)
		}
	}
}

// owe pushes the call-backs that batches owe.
func (b *backlog) owe(due []batch.Callback) {
	b.owed = append(b.owed, due...)
	for len(b.owed) > 0 {
		c := b.owed[0]
		b.owed = b.owed[1:]
		if err := b.callBack(c); err != nil {
			b.log.WithError(err).WithFields(logrus.Fields{"batch": c.Batch, "callback": c.Kind}).Error("a batch's call-back can't be queued")
		}
	}
}

func (b *backlog) callBack(c batch.Callback) error {
	v, err := fastjson.ParseBytes(c.Job)
	if err != nil {
		return err
	}
	var a fastjson.Arena
	if v.Get("custom") == nil {
		v.Set("custom", a.NewObject())
	}
	v.Get("custom").Set("_bid", a.NewString(c.Batch))
	v.Get("custom").Set("_cb", a.NewString(string(c.Kind)))
	now := time.Now()
	j, err := b.read(v, now)
	if err != nil {
		return err
	}
	effect, _ := b.intake.Effect(j.arrival.Class)
	w := j.waiting()
	if w.Options == nil {
		w.Options = new(sets.Options)
	}
	w.CallbackOf, w.CallbackKind = c.Batch, string(c.Kind)
	if err := b.book.Push(now, w); err != nil {
		return err
	}
	t := &task{of: b, job: w, id: j.id, batch: j.batch, effect: effect, at: now, plan: newPlanned(j.plan, nil)}
	w.Attachment = t
	b.tasks[j.id] = t
	b.pushed++
	if w.Location() == sets.InQueue {
		b.feed(w.Queue)
	} else {
		b.wake()
	}
	return nil
}

// mutate does something to a set, and to what is known of its jobs.
func (b *backlog) mutate(c sets.Command, target string, f sets.Filter, voucher string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	picked, err := b.book.Mutate(time.Now(), c, target, f, voucher != "")
	queues := make(map[string]bool)
	for _, j := range picked {
		t := j.Attachment.(*task)
		switch c {
		case sets.Requeue:
			if t.state == final { // it was dead, and lives again
				b.revive(t, j)
			}
			queues[j.Queue] = true
			if voucher != "" {
				b.log.WithFields(logrus.Fields{"job": j.ID, "by": voucher}).Warn("a job is queued again on somebody's word that it has not run")
			}
		case sets.Kill:
			if t.state != final {
				b.conclude(t, engine.Answer{Verdict: engine.Failed, Body: []byte("killed\n")})
			}
		default:
			if t.state != final {
				b.conclude(t, engine.Answer{Verdict: engine.Failed, Body: []byte("discarded\n")})
			}
			t.job = nil
		}
	}
	for q := range queues {
		b.feed(q)
	}
	b.wake()
	return err
}

// revive makes a task whose job was dead one that waits again.
func (b *backlog) revive(dead *task, j *sets.Job) {
	t := &task{of: b, job: j, id: dead.id, batch: dead.batch, effect: dead.effect, at: time.Now(), plan: dead.plan}
	j.Attachment = t
	b.tasks[t.id] = t
	if t.batch != "" {
		b.batches.Add(t.batch, t.id)
	}
}

// drop forgets jobs that were thrown away where they waited.
func (b *backlog) drop(gone []*sets.Job, why string) {
	for _, j := range gone {
		if t := j.Attachment.(*task); t.state != final {
			b.conclude(t, engine.Answer{Verdict: engine.Failed, Body: []byte(why)})
		}
	}
	b.wake()
}

// finish takes an ACK or a FAIL of a worker.
func (b *backlog) finish(w *worker, jid string, s policy.Status, result []byte, f *failure) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.workers.held[jid]
	if e == nil || e.worker != w || e.over {
		return false
	}
	if t, ok := e.flow.Transaction.Client.(*task); ok {
		t.failed, t.counted = f, true
	}
	b.processed++
	if f != nil {
		b.failures++
	}
	return b.workers.finish(w, jid, s, result)
}

// drain takes no more, and says what the end of the process will lose.
func (b *backlog) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ending = true
	if n := b.book.Len(); n > 0 {
		b.log.WithFields(logrus.Fields{
			"queued": n - b.book.Scheduled.Len() - b.book.Retries.Len(), "scheduled": b.book.Scheduled.Len(), "retries": b.book.Retries.Len(),
		}).Warn("Faktory jobs that wait end with this process")
	}
}

// newID is an id that nobody else has.
func newID() string {
	text := make([]byte, 12)
	rand.Read(text)
	return hex.EncodeToString(text)
}

// seconds reads a span in seconds; it is never longer than a century.
func seconds(n float64) time.Duration {
	return time.Duration(min(max(n, 0), 100*365*86400) * float64(time.Second))
}

// whole is a number without a fraction, as an int that it fits.
func wholeNumber(f float64) int { return int(min(max(math.Trunc(f), -1), math.MaxInt32)) }

func retryable(v engine.Verdict) bool { return v == engine.Refused || v == engine.Denied }
