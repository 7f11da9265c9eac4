package policy

// What a dispatcher keeps of workers, attempts and jobs, how it is kept, and the events that do no more
// than that. No decisions: those are in dispatcher.go.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/capacityindex"
)

// typeCost is the learned run time of a class: per unit of hint, and plainly.
type typeCost struct {
	Class
	perHint, plain float64 // at the fleet's mean pace
	patience       time.Duration
	runs           float64 // how many runs the averages are of, up to costWindow
}

// worker is what this dispatcher knows of a worker.
type worker struct {
	Member
	kind     *kind
	own      float64    // its run times beside its kind's mean
	runs     float64    // how many of them were seen, up to paceWindow
	member   bool       // of the subset
	attempts []*attempt // out, in the order of their sends
	out      float64    // the sum of their estimated costs
	budget   float64    // in cost; 0: not yet set
	full     bool       // its budget has held a job back since it last grew
	busy     bool       // in the list of those with attempts out; it may stay there for a tick after the last
	place    capacityindex.Position
	leftAt   uint64 // which search was the last before it left the vacancies
	lastCut  time.Duration
	coldFrom time.Duration // its latest start or return; it ramps up from there
	coldSent []sent        // what it got while cold, within the rule's window

	news          time.Duration // last sign of life
	promptAt      time.Duration // an own job started at once, or left its slot, then; 0: never
	reportAt      time.Duration // last report with free slots, 0: none
	free, memory  float64       // reported free slots and memory, less own sends since
	hasMem        bool
	wary          time.Duration // until then reports may be older than a refusal
	probing       bool
	probedAt      time.Duration
	ends, bad     float64       // jobs that ended there, and of them in error, both fading
	sentAt        time.Duration // the last attempt
	failing       bool          // it has more of them than the others
	closed        bool          // seen draining, or forgotten: it gets no new work until a later start
	shutTill      time.Duration // its reports are not believed until then
	goneAt        time.Duration // since then it is listed as gone, or not at all
	suspect, down bool          // no news though overdue; its process died or can't be reached
	waiting       int           // own jobs that wait there for their start
	silent        int           // jobs found overdue since one last ended well
	trial         time.Duration
	trialWait     time.Duration
}

// Tokens of the timers that Timer tells from others.
const (
	tickToken  = "tick"
	watchToken = "watch"
	trialToken = "trial"
)

// pace is a worker's run times beside the fleet's mean.
func (w *worker) pace() float64 { return w.kind.pace * w.own }

// least keeps what is divided by from 0: the rule's figures may let a worker start with nothing, or with all.
const least = 1e-6

// chilled is how much longer a job runs at a worker that may be cold: at most as the rule's figures allow,
// of which chill is the part that cold workers were found to take.
func (d *Dispatcher) chilled(w *worker) float64 {
	return 1 + d.chill*(1/max(least, d.share(w, d.now-w.coldFrom))-1)
}

// warmer takes a run at a cold worker into chill: the less it lacks of its capacity, the less it shows.
func (d *Dispatcher) warmer(w *worker, ratio, weight float64) {
	lack := max(least, 1-d.share(w, d.now-w.coldFrom))
	chill := min(1, max(0, (ratio*d.chilled(w)-1)*(1-lack)/lack))
	d.chill += (chill - d.chill) * lack * weight / paceWindow
}

// kind is what is known of the workers of one kind.
type kind struct {
	pace  float64 // their run times beside the fleet's mean
	slots float64 // most free slots, or slots of own jobs that ran side by side, seen at one
}

// spread gives a rank its start and its stride on a ring of n: both are even over the ranks, since
// multiples of an irrational number are, and the stride meets every place.
func spread(rank, n int) (start, stride int) {
	at := func(by float64) int {
		_, f := math.Modf(float64(rank+1) * by)
		return int(f * float64(n))
	}
	start, stride = at(math.Phi), 1+at(math.Sqrt2)
	for gcd(stride, n) > 1 {
		stride++
	}
	return start, stride
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// sent is the cost sent to a cold worker at a time.
type sent struct {
	at   time.Duration
	cost float64
}

// attempt is one send of a job.
type attempt struct {
	job              *job
	worker           *worker
	to               Member // as it was listed when this was sent: who remembers a key lies by that
	n                int
	at, due, started time.Duration
	run, cost, slots float64
	waits            bool // not told to have started soon
	clean            bool // it found a free slot: its time to the end is run time
	out              bool
	overdue, called  bool // found overdue; cancelled
	failed           bool // ended in error
}

// job is a request that has no final answer yet.
type job struct {
	Request
	class     *typeCost
	subject   *subject      // nil: not told
	run, cost float64       // expected run time at the fleet's mean pace; times slots
	worth     float64       // worth per cost
	aim       time.Duration // an answer after this is worth nothing
	heldAt    time.Duration // since then it is held
	agedAt    time.Duration // from here no shorter job passes it
	aged      bool
	attempts  []*attempt
	outs      int
	ran       *attempt // the first that has ended and may have run
	running   *attempt // the first that told its start, while it is out
	queue     *queue   // nil: not held
	index     int
	seq       uint64
	most      int  // attempts it may have: the limit when it came
	paid      int  // the highest attempt, from 0, that was taken from what all share
	done      bool // it has its final answer, or a stream that is the client's
}

// effect is that of the job's class, but that a repeat is known by nothing where no key is told.
func (j *job) effect() Effect {
	if j.class.Effect == Deduplicated && j.NoDedupKey {
		return AtMostOnce
	}
	return j.class.Effect
}

// remembered tells whether workers drop a repeat of a job that comes in so much later. What they remember it
// by counts from its first attempt that may have run, at the soonest from the send.
func (d *Dispatcher) remembered(j *job, in time.Duration) bool {
	first := j.ran
	for i := 0; first == nil && i < len(j.attempts); i++ {
		if a := j.attempts[i]; a.out {
			first = a
		}
	}
	return j.effect() == Deduplicated && first != nil && d.now+in-first.at < j.class.Window
}

// waitsAt tells whether a job has an attempt out at a worker.
func (j *job) waitsAt(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.out && a.worker == w })
}

// queue holds the jobs of one kind and width that wait.
type queue struct {
	jobs     []*job
	overload bool
	need     need // the one that it is for, if any
}

func (q *queue) Len() int { return len(q.jobs) }
func (q *queue) Swap(i, k int) {
	q.jobs[i], q.jobs[k] = q.jobs[k], q.jobs[i]
	q.jobs[i].index, q.jobs[k].index = i, k
}
func (q *queue) Push(x any) {
	j := x.(*job)
	j.index, j.queue = len(q.jobs), q
	q.jobs = append(q.jobs, j)
}
func (q *queue) Pop() any {
	j := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	j.queue = nil
	return j
}

// Dispatcher decides for one submitter. Its methods take in events, in the order in which they happen;
// each is given the present time, which never runs backward. They must not be called concurrently.
type Dispatcher struct {
	Settings
	host      Host
	rng       *rand.Rand
	now       time.Duration
	classes   map[string]*typeCost
	workers   []*worker // in the order of their ids
	byID      map[uint32]*worker
	jobs      map[string]*job
	queues    []*queue // by kind, the last is for any kind; behind them those of needs
	needed    map[need]*queue
	known     float64    // mean run time of the types learned
	runs      float64    // that it is of, up to costWindow
	mean      float64    // mean cost of the jobs that came in
	prompt    [2]float64 // share of the jobs that start soon, at warm and at cold workers
	common    float64    // how slow all are beside their paces, of late
	kinds     map[string]*kind
	busy      []*worker                  // with attempts out
	subset    []*worker                  // those it works with
	vacant    capacityindex.Set[*worker] // and of them those that may have room
	searches  uint64
	gone      bool    // some in the table are called gone
	peak      float64 // jobs in hand, falling slowly
	filledAt  time.Duration
	crowded   bool // so many share a worker that own sums say little of it
	asks      bool // free slots are told, to probes
	born      time.Duration
	ticking   bool    // a tick is set
	needs     []int   // the kinds that classes require, -1 for any
	chill     float64 // see chilled
	best      float64 // pace of the fastest worker in use
	out       int
	seq       uint64
	probes    float64       // probes that may be sent
	lostAt    time.Duration // when a job was last given up for want of room
	slotsX0   bool
	memX1     bool
	backoff   time.Duration
	subjects  map[uint32]*subject // by hash
	told      float64             // jobs that they are of, fading
	lists     uint64              // counts changes of who is in the table of workers
	home      []*worker           // room for homes
	unheardOf map[string]int      // by zone, workers found silent since one gave a sign of life
}

// New returns a dispatcher that acts through the host. It fails if a setting is invalid, and names it.
func New(s Settings, h Host) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		Settings: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		classes: make(map[string]*typeCost), byID: make(map[uint32]*worker), jobs: make(map[string]*job),
		kinds: make(map[string]*kind), subjects: make(map[uint32]*subject), unheardOf: make(map[string]int), needed: make(map[need]*queue), common: 1, best: 1, chill: 0.25, prompt: [2]float64{1, 1},
		slotsX0: s.ReportX0 == FreeSlots, memX1: s.ReportX1 == FreeMemory,
		vacant: capacityindex.New(func(w *worker) *capacityindex.Position { return &w.place }),
	}
	d.known = float64(s.Classes[0].Aim) / 2
	for _, c := range s.Classes {
		t := &typeCost{Class: c, perHint: 1}
		d.classes[c.Name] = t
		if !slices.Contains(d.needs, c.Kind) {
			d.needs = append(d.needs, c.Kind)
		}
	}
	d.asks = d.slotsX0 && s.Limits.Probes
	if !s.Limits.RetryAfter {
		d.Limits.MaxRetryAfter = 0
	}
	for range 2 * (len(s.Kinds) + 1) {
		d.queues = append(d.queues, &queue{})
	}
	return d, nil
}

// Reconfigure takes new settings of classes and limits; the rest stays as it was
// set at New. A class that is new is in use for what comes from now on, one
// that is gone takes nothing more, one that changed is new from now on but
// keeps what was learned of its costs. Jobs under way keep the class and the
// number of attempts that they came with. It fails, and changes nothing, if a
// setting is invalid.
func (d *Dispatcher) Reconfigure(now time.Duration, s Settings) error {
	next := d.Settings
	next.Classes, next.Limits = s.Classes, s.Limits
	if err := next.validate(); err != nil {
		return err
	}
	d.start(now)
	classes := make(map[string]*typeCost, len(s.Classes))
	for _, c := range s.Classes {
		t := &typeCost{Class: c, perHint: 1}
		if old := d.classes[c.Name]; old != nil {
			t.perHint, t.plain, t.patience, t.runs = old.perHint, old.plain, old.patience, old.runs
		}
		classes[c.Name] = t
		if !slices.Contains(d.needs, c.Kind) {
			d.needs = append(d.needs, c.Kind)
		}
	}
	d.Settings, d.classes = next, classes
	if !s.Limits.RetryAfter {
		d.Limits.MaxRetryAfter = 0
	}
	return nil
}

func (d *Dispatcher) attempt(id string, n int) *attempt {
	if j := d.jobs[id]; j != nil && n >= 0 && n < len(j.attempts) && j.attempts[n].out {
		return j.attempts[n]
	}
	return nil
}

func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (0.75 + 0.5*d.rng.Float64()))
}

// trialIn sets the next trial of a suspect.
func (d *Dispatcher) trialIn(w *worker, in time.Duration) {
	w.trial = d.now + in
	d.host.Timer(in, trialToken)
}

// thronged tells whether so many share the workers that own sums say nothing of them.
func (d *Dispatcher) thronged() bool { return d.Instances >= throng }

func (d *Dispatcher) probe(w *worker) {
	if d.SharedBudget != nil && !d.SharedBudget.TakeProbe() {
		return
	}
	w.probing, w.probedAt = true, d.now
	d.host.Probe(w.Worker)
}

// near tells whether sends to the worker cost nothing extra.
func (d *Dispatcher) near(w *worker) bool { return d.CrossZonePrice == 0 || w.Zone == d.Zone }

// heard takes in a sign of life.
func (d *Dispatcher) heard(w *worker) {
	w.news = d.now
	delete(d.unheardOf, w.Zone)
}

// unheard takes in that a worker gives no sign of life, and sees to its trials.
func (d *Dispatcher) unheard(w *worker) {
	d.unheardOf[w.Zone]++
	if d.told > 0 { // it may be a home outside the subset
		d.join(w)
	}
}

// join makes a usable worker a member of the subset.
func (d *Dispatcher) join(w *worker) {
	if w.member || !d.usable(w) {
		return
	}
	d.subset, w.member = append(d.subset, w), true
	d.index(w)
	if w.suspect {
		d.trialIn(w, d.jitter(w.trialWait/2))
	}
}

// index keeps the vacancies: the members of the subset that a job might fit. One that is not among them fits no
// job, so that a search among them finds what one through the subset would. A search while it was not there
// would have found its budget too small.
func (d *Dispatcher) index(w *worker) {
	vacant := w.member && (len(w.attempts) == 0 || w.budget == 0 || w.out <= w.budget)
	if !d.vacant.Put(w, vacant) {
		return
	}
	if !vacant {
		w.leftAt = d.searches
	} else if d.searches > w.leftAt && len(d.subset) >= many {
		w.full = true
	}
}

// serves tells whether any worker of the subset may be sent a job that is no suspect.
func (d *Dispatcher) serves(j *job) bool {
	from := d.rng.IntN(len(d.subset) + 1)
	for i := range d.subset {
		if w := d.subset[(from+i)%len(d.subset)]; d.suits(j, w) && !j.waitsAt(w) && !d.dubious(w, j) {
			return true
		}
	}
	return false
}

// dubious tells whether a worker gets a job only if all are.
func (d *Dispatcher) dubious(w *worker, j *job) bool {
	return w.suspect || d.probation(w, j) || j.triedAt(w)
}

// lookAll looks at all workers with attempts out, and forgets those that have none any more.
func (d *Dispatcher) lookAll() {
	n := 0
	for _, w := range d.busy { // looking sends jobs, which makes others busy: those come behind
		d.look(w)
	}
	for _, w := range d.busy {
		if w.busy = len(w.attempts) > 0; w.busy {
			d.busy[n] = w
			n++
		}
	}
	clear(d.busy[n:])
	d.busy = d.busy[:n]
}

func (d *Dispatcher) suits(j *job, w *worker) bool {
	k := j.class.Kind
	if j.ExcludedWorker != 0 && j.ExcludedWorker == w.Worker || j.ExcludedZone != "" && j.ExcludedZone == w.Zone {
		return false
	}
	return d.usable(w) && (d.SharedBudget == nil || d.SharedBudget.HasHeadroom(w.Kind)) && (k < 0 || d.Kinds[k] == w.Kind) && (w.Capabilities == nil || j.Capability == "" || slices.Contains(w.Capabilities, j.Capability))
}

func (d *Dispatcher) free(a *attempt) {
	w := a.worker
	a.out = false
	a.job.outs--
	if a.waits {
		w.waiting--
	}
	if w.promptAt != 0 {
		w.promptAt = d.now
	}
	if a.job.running == a {
		a.job.running = nil
	}
	d.out--
	if i := slices.Index(w.attempts, a); i >= 0 {
		w.attempts = slices.Delete(w.attempts, i, i+1)
	}
	if w.out -= a.cost; len(w.attempts) == 0 {
		w.out = 0
	}
	d.index(w)
	w.free += a.slots
	w.memory += a.job.Memory
}

// hold puts a job in the queue of its kind and width: four free slots are rare, and narrower jobs must not
// wait for them. Nor must other jobs wait for one whose need no worker serves just now: each need has queues
// of its own, while jobs wait there.
func (d *Dispatcher) hold(j *job) {
	at := 2*(j.class.Kind+1) + one(j.Slots > 1)
	q := d.queues[at]
	if j.Capability != "" {
		key := need{j.Capability, at}
		if q = d.needed[key]; q == nil {
			q = &queue{need: key}
			d.needed[key], d.queues = q, append(d.queues, q)
		}
	}
	j.heldAt = d.now
	heap.Push(q, j)
}

func (d *Dispatcher) drop(j *job) {
	if j.queue != nil {
		heap.Remove(j.queue, j.index)
	}
}

// prune drops the queues of needs for which no job waits, once there are many.
func (d *Dispatcher) prune() {
	if len(d.needed) < mostNeeds {
		return
	}
	d.queues = slices.DeleteFunc(d.queues, func(q *queue) bool {
		idle := q.need.name != "" && len(q.jobs) == 0
		if idle {
			delete(d.needed, q.need)
		}
		return idle
	})
}

// mostNeeds is how many queues of needs are kept though no job waits there.
const mostNeeds = 32

// need names a queue that is kept for one need.
type need struct {
	name string
	at   int // the kind and width
}

func (d *Dispatcher) log(format string, args ...any) { d.host.Log(fmt.Sprintf(format, args...)) }

func (s *Settings) validate() error {
	bad := func(field string) error { return fmt.Errorf("basaltloft: invalid setting %s", field) }
	switch {
	case s.Instances < 1:
		return bad("Instances")
	case s.Rank < 0 || s.Rank >= s.Instances:
		return bad("Rank")
	case len(s.Classes) == 0:
		return bad("Classes")
	case s.Limits.MaxAttempts < 1:
		return bad("Limits.MaxAttempts")
	case s.Rules.ColdCapacity < 0 || s.Rules.ColdCapacity > 1 || math.IsNaN(s.Rules.ColdCapacity):
		return bad("Rules.ColdFrom")
	}
	for i, c := range s.Classes {
		if c.Kind < -1 || c.Kind >= len(s.Kinds) || c.GiveUp <= 0 || c.Aim < 0 || c.Stretch < 0 || c.Worth < 0 {
			return bad(fmt.Sprintf("Classes[%d]", i))
		}
	}
	return nil
}

// apply brings the table of workers up to date, in the order of their ids. What an entry means for its
// worker is decided by listed and tryFirst.
func (d *Dispatcher) apply(kind ListKind, entries []Member) {
	if kind != ListDelta {
		listed := make(map[uint32]bool, len(entries))
		for _, m := range entries {
			listed[m.Worker] = true
		}
		for _, w := range d.workers {
			if m := w.Member; !listed[m.Worker] && m.State != Removed {
				m.State, d.gone = Removed, true
				d.listed(w, m)
			}
		}
	}
	var added []*worker
	for _, m := range entries {
		d.gone = d.gone || m.State == Removed
		if w := d.byID[m.Worker]; w != nil {
			d.listed(w, m)
		} else if m.State != Removed {
			w = &worker{Member: m, kind: d.kindOf(m.Kind), own: 1, coldFrom: m.StartedAt, closed: m.State == Draining}
			d.byID[m.Worker], added = w, append(added, w)
			d.tryFirst(w)
			d.joinCold(w)
		}
	}
	d.insert(added)
}

func (d *Dispatcher) kindOf(name string) *kind {
	k := d.kinds[name]
	if k == nil {
		k = &kind{pace: 1}
		d.kinds[name] = k
	}
	return k
}

// insert merges workers into the table. One after the other, thousands at once would cost too much.
func (d *Dispatcher) insert(added []*worker) {
	if len(added) == 0 {
		return
	}
	slices.SortFunc(added, func(a, b *worker) int { return cmp.Compare(a.Worker, b.Worker) })
	all := make([]*worker, 0, len(d.workers)+len(added))
	for _, w := range d.workers {
		for len(added) > 0 && added[0].Worker < w.Worker {
			all, added = append(all, added[0]), added[1:]
		}
		all = append(all, w)
	}
	d.workers = append(all, added...)
	d.lists++
}

func (d *Dispatcher) newAttempt(j *job, w *worker) *attempt {
	return &attempt{job: j, worker: w, to: w.Member, n: len(j.attempts), at: d.now, run: j.run, cost: d.load(j), slots: j.Slots,
		out: true}
}

// count takes an attempt that goes out into the sums.
func (d *Dispatcher) count(a *attempt) {
	j, w := a.job, a.worker
	j.attempts = append(j.attempts, a)
	j.outs++
	d.out++
	if !w.busy {
		d.busy, w.busy = append(d.busy, w), true
	}
	w.attempts, w.sentAt = append(w.attempts, a), d.now
	w.out += a.cost
	w.free -= a.slots
	w.memory -= j.Memory
	d.index(w)
}

// start begins the handling of an event.
func (d *Dispatcher) start(now time.Duration) {
	d.prune()
	if d.born == 0 {
		d.born = now
	}
	d.now = now
}

// sentSince is the cost sent to a cold worker since then; what is older is forgotten.
func (w *worker) sentSince(then time.Duration) (cost float64) {
	w.coldSent = slices.DeleteFunc(w.coldSent, func(s sent) bool { return s.at <= then })
	for _, s := range w.coldSent {
		cost += s.cost
	}
	return cost
}

// sentLately is what the attempts sent since then take.
func (w *worker) sentLately(then time.Duration) (slots, memory float64) {
	for i := len(w.attempts) - 1; i >= 0 && w.attempts[i].at > then; i-- {
		slots += w.attempts[i].slots
		memory += w.attempts[i].job.Memory
	}
	return slots, memory
}

// fastest is the pace of the fastest kind.
func (d *Dispatcher) fastest() float64 {
	best := math.Inf(1)
	for _, k := range d.kinds {
		best = min(best, k.pace)
	}
	return best
}

// callOff cancels an attempt, once.
func (d *Dispatcher) callOff(a *attempt) {
	if d.Limits.Cancel && !a.called {
		a.called = true
		d.host.Cancel(a.job.ID, a.n)
	}
}

// callOffBut cancels all attempts of a job that are out, but one.
func (d *Dispatcher) callOffBut(j *job, kept *attempt) {
	for _, a := range j.attempts {
		if a.out && a != kept {
			d.callOff(a)
		}
	}
}

// HandleMembers takes in news of the worker list.
func (d *Dispatcher) HandleMembers(now time.Duration, kind ListKind, entries []Member) {
	d.start(now)
	if d.PullsMembership {
		d.followList(kind)
	}
	if kind != ListFailed {
		d.apply(kind, entries)
		d.fill()
	}
	d.release()
}

// HandleClientGone takes in that a request ended without an answer of this dispatcher.
func (d *Dispatcher) HandleClientGone(now time.Duration, id string) {
	d.start(now)
	if j := d.jobs[id]; j != nil {
		d.finish(j)
	}
	d.release()
}

// HandleStreamStart takes in the start of a streamed answer; the job has its answer.
func (d *Dispatcher) HandleStreamStart(now time.Duration, f StreamStart) {
	d.start(now)
	if a := d.attempt(f.Request, f.Attempt); a != nil {
		d.callOffBut(a.job, a)
		a.worker.news, a.job.done = now, true
		d.drop(a.job)
	}
}

// finish forgets a job that has its final answer, and calls off what is still out.
func (d *Dispatcher) finish(j *job) {
	d.drop(j)
	if j.outs == 0 {
		delete(d.jobs, j.ID)
		return
	}
	if !j.done {
		d.callOffBut(j, nil)
	}
	j.done = true
}

// send starts an attempt.
func (d *Dispatcher) send(j *job, w *worker) {
	a := d.newAttempt(j, w)
	a.clean = len(w.attempts) == 0 || d.fresh(w, reportLife) && w.free >= a.slots
	a.due = d.dueAt(a)
	if d.cold(w) {
		w.coldSent = append(w.coldSent, sent{d.now, j.cost})
	}
	d.count(a)
	d.host.Send(j.ID, w.Worker, 0)
	d.host.Timer(a.due-d.now, "due")
	if d.watches() {
		d.host.Timer(startSoon, "start")
	}
	if d.tied(j) && len(j.attempts) == 1 {
		d.host.Timer(d.lastChance(j)-d.now, "chance")
	}
}

// same tells whether two workers are of one group.
func (g DedupScope) same(a, b Member) bool {
	return g == DedupAll || a.Zone == b.Zone && (g == DedupZone || a.Cell == b.Cell)
}

// triedAt tells whether a job ended in error at a worker, or was asked back from it.
func (j *job) triedAt(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return (a.failed || a.called) && a.worker == w })
}

// countRun counts a run, and tells how many its own pace is the mean of: the first ones say much to a dispatcher
// that sends few jobs there, beside two that were as long as expected.
func (w *worker) countRun() float64 {
	w.runs = min(w.runs+1, paceWindow)
	return min(w.runs+2, paceWindow)
}

// countEnd takes a job's end into the share of those that end in error; bad is 1 for one that does.
func (w *worker) countEnd(bad float64) {
	w.ends += 1 - w.ends/badWindow
	w.bad += bad - w.bad/badWindow
}

// badElsewhere is the share of jobs that end in error at the other workers in use, of which those on probation
// say nothing unless they are the most. Few ends say little.
func (d *Dispatcher) badElsewhere(w *worker) float64 {
	ends, bad, failing := [2]float64{badWindow / 4, badWindow / 4}, [2]float64{}, 0
	for _, o := range d.subset {
		of := one(o.failing)
		if failing += of; o != w {
			ends[of], bad[of] = ends[of]+o.ends, bad[of]+o.bad
		}
	}
	if 2*failing > len(d.subset) {
		return (bad[0] + bad[1]) / (ends[0] + ends[1])
	}
	return bad[0] / ends[0]
}

// sweep drops the workers that are forgotten, and members that are not usable any more.
func (d *Dispatcher) sweep() {
	if d.gone {
		d.gone = false
		d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
			forgotten := d.forgotten(w)
			if forgotten {
				delete(d.byID, w.Worker)
				d.lists++
				w.closed = true
			}
			d.gone = d.gone || w.State == Removed && !forgotten
			return forgotten
		})
	}
	d.subset = slices.DeleteFunc(d.subset, func(w *worker) bool {
		w.member = d.usable(w)
		d.index(w)
		return !w.member
	})
}

// HandleAttemptUpdate takes in news of an attempt that is out.
func (d *Dispatcher) HandleAttemptUpdate(now time.Duration, n AttemptUpdate) {
	d.start(now)
	a := d.attempt(n.Request, n.Attempt)
	if a == nil {
		return
	}
	d.heard(a.worker)
	if n.Kind == UpdateStarted && a.started == 0 {
		a.started = now
		a.due = d.dueAt(a)
		d.host.Timer(a.due-now, "due")
		d.countStart(a)
		a.job.running = cmp.Or(a.job.running, a) // the first copy that starts is kept
		d.callOffBut(a.job, a.job.running)
	}
}

// drawn is this instance's draw for a cold worker, from 0 to 1, the same for as long as the rule's window and whatever
// it asks for; the draws of the instances change one after the other. Those of one window lie evenly: that many win
// as the mean says, and no more. One that began before this instance was started may have been used: it does not win.
func (d *Dispatcher) drawn(w *worker) float64 {
	each := max(1, float64(d.Rules.ColdOverloadWindow))
	phase := w.chance(uint64(d.Rank)) * each
	n := math.Floor((float64(d.now-w.coldFrom) + phase) / each)
	if began := w.coldFrom + time.Duration(n*each-phase); began < d.born && w.coldFrom < d.born {
		return math.Inf(1)
	}
	window := 3 * uint64(max(0, n))
	in, stride := uint64(d.Instances), 1+int(w.chance(1<<32+window)*float64(d.Instances))
	for gcd(stride, d.Instances) > 1 {
		stride++
	}
	first := w.chance(1<<32 + window + 1)
	place := (uint64(d.Rank)*uint64(stride) + uint64(first*float64(in))) % in
	return (float64(place) + w.chance(1<<32+window+2)) / float64(in)
}

// chance is a number from 0 to 1, even over numbers and workers. By that of a job it is the same however often
// the job asks while it is held, by 0 it is the same at all instances.
func (w *worker) chance(of uint64) float64 {
	x := (of<<32 | uint64(w.Worker)) * 0x9e3779b97f4a7c15 // mixed as splitmix64 does
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// newJob takes a request into the table of jobs and the mean cost.
func (d *Dispatcher) newJob(c *typeCost, r Request) *job {
	d.seq++
	r.Slots = max(1, r.Slots)
	j := &job{Request: r, class: c, subject: d.about(r), seq: d.seq, run: d.expect(c, r.Hint), most: d.Limits.MaxAttempts}
	j.cost = j.run * r.Slots
	d.mean += (j.cost - d.mean) / min(float64(d.seq), costWindow)
	d.jobs[r.ID] = j
	return j
}

// countWait takes in that an attempt did not start soon.
func (d *Dispatcher) countWait(a *attempt) {
	if !a.waits {
		a.waits = true
		a.worker.waiting++
		a.worker.promptAt = 0
		d.prompt[one(d.cold(a.worker))] *= 1 - 1/paceWindow
	}
}

// countStart takes in that an attempt has started.
func (d *Dispatcher) countStart(a *attempt) {
	runs := 0.0 // side by side, which takes so many slots, whatever is reported
	for _, b := range a.worker.attempts {
		runs += b.slots * float64(one(b.started != 0))
	}
	a.worker.kind.slots = max(a.worker.kind.slots, runs)
	if a.waits {
		a.waits = false
		a.worker.waiting--
		a.worker.shutTill = d.now + d.now - a.at
		return
	}
	a.worker.shutTill, a.worker.promptAt = 0, d.now
	p := &d.prompt[one(d.cold(a.worker))]
	*p += (1 - *p) / paceWindow
}

// again takes the job's next attempt from what all dispatchers share, once; false: there is none left.
func (d *Dispatcher) again(j *job) bool {
	if d.SharedBudget != nil && j.paid < len(j.attempts) {
		if !d.SharedBudget.TakeRetry(j.ID, j.class.Name) {
			return false
		}
		j.paid = len(j.attempts)
	}
	return true
}

// divided makes what all may send to a cold worker this dispatcher's part of it, where it has one.
func (d *Dispatcher) divided(whole *float64) bool {
	if d.SharedBudget == nil {
		return false
	}
	part, ok := d.SharedBudget.ColdShare()
	if ok {
		*whole *= part
	}
	return ok
}

// one is 1 for true.
func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// counted takes in one more run of a type, and tells how much of it is put down to how slow all are. Of a type
// without hints little is known at first: what its first runs took is its own, else a start at a wrong guess would
// count as a slowness of all, and stay. Nor do the paces of the kinds, that are set beside each other, drift together.
func (d *Dispatcher) counted(j *job) float64 {
	c := j.class
	c.runs, d.runs = min(c.runs+1, costWindow), min(d.runs+1, costWindow)
	if j.Hint > 0 {
		return 1
	}
	mean := 0.0
	for _, name := range d.Kinds {
		mean += math.Log(d.kindOf(name).pace) / float64(len(d.Kinds))
	}
	mean = math.Exp(mean)
	for _, name := range d.Kinds {
		d.kindOf(name).pace /= mean
	}
	d.known *= mean
	for _, c := range d.classes {
		c.perHint, c.plain = c.perHint*mean, c.plain*mean
	}
	return c.runs / costWindow
}
