package policy

// Every decision of the library: basaltloft.go has its interface, state.go its books, docs/design.md why.

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"basaltloft/internal/shared/admission"
)

// Tunables. None of them depends on a deployment.
const (
	costWindow = 40.0 // jobs in the moving average of a type's run time and of a kind's pace
	paceWindow = 12.0 // jobs in the moving averages of a worker's pace and of how slow all are
	badWindow  = 20.0 // jobs in the moving share of a worker's jobs that end in error
	badShare   = 0.04 // a smaller share is the jobs' own
	badBeside  = 3.0  // and so is one under this multiple of the share at the other workers
	outlier    = 3.0  // a run this many times off the expected one counts as this much

	startBudget = 2.0  // budget of a new worker, in mean costs
	minBudget   = 0.5  // least budget, in mean costs
	growth      = 0.02 // share of a good job's cost that a fully used budget grows by
	firstGrowth = 0.5  // and, where nobody shares the worker, until it is cut for the first time
	cut         = 0.75 // what remains of a budget after a refusal, time-out or slowing
	slowing     = 2.0  // slowing: an answer after this many times the run time at the worker's pace

	agingMultiple = 2.0 // a job is passed by shorter ones until it has waited this many of its costs
	hope          = 0.8 // the share of the expected run time in which a job may end with luck

	coldFirst   = 1e13        // outweighs any room
	nearFirst   = 1e15        // outweighs that
	subsetLeast = 10.0        // workers in a subset, at least
	subsetEach  = 2.0         // and for each job in hand
	subsetEvery = time.Second // the subset is looked at this often
	many        = 64          // with so many members searches are sampled, and looks are a tick apart
	sample      = 24          // that many members with room are weighed for a job
	crowd       = 8           // where so many dispatchers share a worker, own sums say little of it
	throng      = 16          // where so many share the workers, own sums say nothing of them
	promptGain  = 4.0         // a worker at which an own job just started at once counts so much more
	promptMeans = 2.0         // and that fades in so many mean costs
	widePart    = 0.4         // the part of the workers that wide jobs go to first, and others last
	astray      = 0.1         // a worker of the other part counts so much less
	dither      = 0.1         // spread of the chance that keeps dispatchers which know the same apart

	reportLag  = 100 * time.Millisecond  // sends this recent are not in a report yet
	reportLife = 1200 * time.Millisecond // a report older than this says nothing
	waryFor    = 1200 * time.Millisecond // reports may be older than a refusal for this long
	probeEvery = 80 * time.Millisecond   // a worker is not asked for its report more often
	probeShare = 1.0                     // probes for each request, at most
	askWait    = 100 * time.Millisecond  // in a crowd a job waits this long for reports, or longer

	overdueRuns  = 5.0                    // an attempt is overdue after this many expected run times
	overdueFloor = 400 * time.Millisecond // and this much
	startSoon    = 25 * time.Millisecond  // a job starts this soon at a worker that has room
	startMeans   = 3.0                    // where starts are told, one not started after so many mean costs
	rescueRuns   = 1.4                    // a job moves while so many expected runs elsewhere are in time
	trialFirst   = 250 * time.Millisecond // first wait between trials of a suspect worker
	trialLast    = 4 * time.Second        // longest wait
	unsafeTrial  = 8 * time.Second        // left alone so long, it is tried with any job
	evidenceFor  = 2 * time.Second        // a sign of life counts against a list for this long
	keepGone     = time.Minute            // a worker called gone is remembered for this long
	coldSure     = 0.6                    // share of the cold rule's budget that even parts use
	coldSafety   = 0.7                    // share of its bound, with chance, that won draws make up
	coldEven     = 1.3                    // where few share it, what one may take beside its even part
	coldOwn      = 0.2                    // the share of the bound that one job may take
	overloadFor  = time.Second            // how long a job lost for want of room means overload

	tickEvery = 20 * time.Millisecond
	watchEach = 25 * time.Millisecond // what the list service may take for one dispatcher's call
	watchMax  = 8 * time.Second       // longest wait before a failed watch is renewed
)

// Less puts the shortest job first, aged ones before it; in overload, where some are lost, the most worth.
func (q *queue) Less(i, k int) bool {
	a, b := q.jobs[i], q.jobs[k]
	if q.overload && a.worth != b.worth {
		return a.worth > b.worth
	}
	return admission.Compare(a.rank(q.overload), b.rank(q.overload)) < 0
}

// rank is a job's place in the queue. In overload most have aged: oldest first would serve each one late.
func (j *job) rank(overload bool) admission.Rank {
	return admission.Rank{Aged: j.aged && !overload, AgedAt: j.agedAt, Cost: j.cost, Seq: j.seq}
}

// HandleRequest takes in a request.
func (d *Dispatcher) HandleRequest(now time.Duration, r Request) {
	d.start(now)
	c := d.classes[r.Class]
	if c == nil {
		d.host.Refuse(r.ID, d.Limits.MaxRetryAfter)
	}
	if c == nil || d.jobs[r.ID] != nil {
		return
	}
	j := d.newJob(c, r)
	d.probes = min(d.probes+probeShare, float64(2*len(d.subset)+2))
	j.aim, j.worth = d.aim(j), c.Worth
	if !d.ValueByWork {
		j.worth /= max(j.cost, 1)
	}
	slack := float64(j.aim-now) - j.run*d.best*d.common
	j.agedAt = now + time.Duration(max(0, min(agingMultiple*j.cost, slack/2)))
	d.widen()
	if d.hopeless(j) {
		d.end(j)
		return
	}
	d.hold(j)
	d.release()
	if d.crowded && j.queue != nil {
		d.ask()
	}
}

// aim is when the job must be done. A retry is timed from its first try, which its deadline shows beside the
// client's patience: it is late all the same. Where retries are marked, others in haste are impatient.
func (d *Dispatcher) aim(j *job) time.Duration {
	left, born := j.Deadline-d.now, d.now
	j.class.patience = max(j.class.patience, min(left, j.class.GiveUp))
	if j.Retry || !d.ClientsMarkRetries && !j.KnownFirst {
		born -= max(0, j.class.patience-left)
	}
	work := cmp.Or(float64(j.Hint), j.run)
	return min(born+j.class.Aim+time.Duration(j.class.Stretch*work), j.Deadline)
}

// HandleAttemptResult takes in the end of an attempt.
func (d *Dispatcher) HandleAttemptResult(now time.Duration, o AttemptResult) {
	d.start(now)
	a := d.attempt(o.Request, o.Attempt)
	if a == nil {
		return
	}
	d.free(a)
	if a.job.ran == nil && !d.Rules.ProvesNotRun(o.Status) {
		a.job.ran = a
	}
	d.judge(a, o)
	d.report(a.worker, o.Report, a.slots)
	switch {
	case o.Final:
		d.finish(a.job)
	case a.job.done || a.job.outs > 0:
	case o.Status == InvalidRequest ||
		o.Status == Error && (a.job.NoRetryOnError || d.ownFault(a)): // it would fail anywhere
		d.end(a.job)
	case d.mayResend(a.job) && !d.hopeless(a.job) && d.again(a.job):
		d.hold(a.job)
	default:
		d.end(a.job)
	}
	d.release()
}

// HandleProbeResult takes in the answer to a probe.
func (d *Dispatcher) HandleProbeResult(now time.Duration, p ProbeResult) {
	d.start(now)
	w := d.byID[p.Worker]
	if w == nil {
		return
	}
	w.probing = false
	d.report(w, p.Report, 0)
	switch {
	case p.Status == OK && w.silent < 2: // a hung worker may answer probes: then it must end a job
		d.trust(w)
	case p.Status == ConnectFailed:
		d.doubt(w, true)
	}
	d.release()
}

// HandleTimer takes in a timer that has come due.
func (d *Dispatcher) HandleTimer(now time.Duration, token string) {
	d.start(now)
	d.ticking = d.ticking && token != tickToken
	if len(d.busy) < many || token == tickToken {
		d.lookAll()
	} else if d.tick(); token == "due" || token == "start" {
		return // the tick looks at what is due
	}
	for i := 0; token == trialToken && i < len(d.subset); i++ {
		if w := d.subset[i]; w.suspect && now >= w.trial {
			d.trialIn(w, d.jitter(w.trialWait))
			if w.suspect = !w.failing && d.Limits.Probes; w.suspect && !w.probing {
				d.probe(w) // a failing one is tried with jobs: no probe tells that it is mended
			}
		}
	}
	for _, q := range d.queues {
		d.age(q)
	}
	if token == watchToken {
		d.host.Watch(true)
	}
	d.release()
	d.ask()
}

// tick sets the tick while jobs are held, or are out and not in a crowd. All else due has its own timer.
func (d *Dispatcher) tick() {
	held := slices.ContainsFunc(d.queues, func(q *queue) bool { return len(q.jobs) > 0 })
	if !d.ticking && (held || len(d.jobs) > 0 && (!d.crowded || len(d.busy) >= many)) {
		d.ticking = true
		d.host.Timer(tickEvery, tickToken)
	}
}

// expect is the run time to expect at the mean pace. New types start at the hint, else at the mean of all.
func (d *Dispatcher) expect(c *typeCost, hint time.Duration) float64 {
	if hint > 0 {
		return c.perHint * float64(hint)
	}
	return cmp.Or(c.plain, d.known)
}

// learn takes a run time into the averages of its type, its worker's pace and how slow all are of late. Each
// is divided out of the others: a slow worker inflates no shared average, a slowdown of all soon goes.
func (d *Dispatcher) learn(a *attempt, run float64) {
	c, w := a.job.class, a.worker
	ratio := min(max(run/(a.run*w.pace()*d.common*d.chilled(w)), 1/outlier), outlier)
	weight := min(1, a.run/max(1, d.mean)) // short runs are mostly network
	d.common *= 1 + (ratio-1)*weight/paceWindow*d.counted(a.job)
	c.perHint *= 1 + (ratio-1)*weight/costWindow
	c.plain += (a.run*ratio - c.plain) / c.runs
	d.known += (a.run*ratio - d.known) / d.runs
	if d.cold(w) {
		d.warmer(w, ratio, weight)
	} else {
		w.kind.pace *= 1 + (ratio-1)*weight/costWindow
		w.own *= 1 + (ratio-1)*weight/w.countRun()
	}
}

// judge draws from an outcome what it says of the worker: its pace, its budget, its health.
func (d *Dispatcher) judge(a *attempt, o AttemptResult) {
	w := a.worker
	switch o.Status {
	case OK:
		w.countEnd(0)
		w.silent, w.trialWait = 0, w.trialWait/2 // trust returns step by step
		w.failing = w.failing && d.worse(w)
		d.trust(w)
		slow := float64(d.now-a.at) > slowing*a.run*w.pace()*d.common+float64(tickEvery)
		from := a.at
		if a.started != 0 { // what the run took says nothing of the load then
			from, slow = a.started, false
		}
		if !a.overdue && (a.started != 0 || a.clean) { // a hang or a wait is no run time
			d.learn(a, float64(d.now-from))
		}
		if slow {
			d.cutBudget(w, a.at)
		} else if w.full { // slowly, also where starts are told: too large a budget fills a queue
			if w.budget += growth * a.cost; w.lastCut == 0 && d.Instances == 1 {
				w.budget += (firstGrowth - growth) * a.cost
			}
			w.full = false
			d.index(w)
		}
	case Rejected:
		d.heard(w)
		d.cutBudget(w, a.at)
		w.free, w.reportAt, w.wary = 0, d.now, d.now+waryFor
	case Error:
		a.failed = true
		d.failed(w)
	case InvalidRequest:
		// It says nothing of the worker: else one client's bad input would eject them all in turn.
		d.heard(w)
	case NotSent:
		a.called = true // it never arrived, which proves little, but others are tried first
	case TimedOut, ConnectFailed, Reset: // one broke: whether the process died shows when the next one fails
		if d.cutBudget(w, a.at); o.Status != TimedOut {
			d.doubt(w, o.Status == ConnectFailed)
		}
	}
}

// failed takes in an error. A worker that fails all, or many, looks idle and fast, and would draw all work:
// it is on probation then, whatever single jobs end well between.
func (d *Dispatcher) failed(w *worker) {
	d.heard(w)
	w.countEnd(1)
	if w.failing = d.worse(w); w.failing {
		d.doubt(w, false)
	}
}

// worse tells whether a worker fails a larger share of its jobs than the others do. Errors as likely at all
// are the requests' own.
func (d *Dispatcher) worse(w *worker) bool {
	return w.bad/w.ends > max(badShare, badBeside*d.badElsewhere(w))
}

// probation tells whether a worker that fails many of its jobs is no place for this one: it gets one at a
// time, of those that may be sent again elsewhere, until its share has fallen.
func (d *Dispatcher) probation(w *worker, j *job) bool {
	return w.failing && (len(w.attempts) > 0 || j.effect() == AtMostOnce && d.now < w.sentAt+unsafeTrial)
}

// ownFault tells whether an error is the request's: it failed at another worker too, or many do everywhere.
func (d *Dispatcher) ownFault(a *attempt) bool {
	fails := 0
	for _, b := range a.job.attempts {
		fails += one(b.failed)
	}
	return fails > 1 || !a.worker.failing && d.badElsewhere(a.worker) > badShare
}

// cutBudget shrinks a budget, at most once for all the jobs of one round trip.
func (d *Dispatcher) cutBudget(w *worker, sentAt time.Duration) {
	if sentAt >= w.lastCut {
		w.budget = admission.ShrunkBudget(w.budget, cut, minBudget*d.mean)
		w.lastCut = d.now
		d.index(w)
	}
}

// trust ends a suspicion: there is news.
func (d *Dispatcher) trust(w *worker) {
	d.heard(w)
	if w.suspect && w.down { // it may have come back as a new, cold process before the list tells
		d.log("worker %d answers again", w.Worker)
		w.down, w.coldFrom = false, d.now
		w.budget = min(w.budget, startBudget*d.mean)
		d.index(w)
	}
	w.suspect = false
}

// doubt holds new work back from a worker until a trial, the next of which is later each time.
func (d *Dispatcher) doubt(w *worker, down bool) {
	if w.down = w.down || down; !w.suspect {
		w.suspect = true
		d.unheard(w)
		d.log("worker %d is silent, down or failing: no new work, %d jobs out", w.Worker, len(w.attempts))
	}
	w.trialWait = min(max(2*w.trialWait, trialFirst), trialLast)
	d.trialIn(w, d.jitter(w.trialWait))
}

// look checks a worker with attempts out for overdue ones.
func (d *Dispatcher) look(w *worker) {
	for _, a := range w.attempts {
		if d.watches() && a.started == 0 && d.now >= a.at+startSoon {
			d.countWait(a) // there is no room, whatever the worker reports
		}
		d.tie(a.job)
		d.rescue(a)
		if d.now < a.due {
			continue
		}
		if !a.overdue {
			a.overdue = true
			w.silent++
			d.cutBudget(w, a.at)
		}
		if !w.suspect && w.news < a.due {
			d.doubt(w, false)
			break
		}
	}
}

// rescue asks back a job that still waits for its start, at the last moment at which an idle worker of the
// group can have it in time. Later it is late for sure; sooner, the first worker may yet start it, and what
// is asked back runs on there.
func (d *Dispatcher) rescue(a *attempt) {
	j := a.job
	if a.called || a.started != 0 || j.done || !d.watches() || !d.Limits.Cancel || j.effect() == AtMostOnce ||
		d.tied(j) || len(j.attempts) >= j.most {
		return
	}
	ran := j.ran
	j.ran = cmp.Or(ran, a)
	to := d.place(j)
	j.ran = ran
	if to == nil || to.suspect || to.failing || len(to.attempts) > 0 {
		return
	}
	left := time.Duration(rescueRuns * j.run * to.pace() * d.common * d.chilled(to))
	if d.now+left+tickEvery >= j.aim && d.again(j) {
		a.worker.shutTill = d.now + d.now - a.at
		d.callOff(a)
	}
}

// watches tells whether a missing start shuts a worker: where own sums and reports say little of its room.
func (d *Dispatcher) watches() bool { return d.ReportsStart && (d.crowded || !d.asks) }

// tied tells whether a job may wait at several workers until one starts it: where nobody reports free slots,
// a told start is the only evidence of room ("tied requests", Dean and Barroso, The Tail at Scale, 2013).
func (d *Dispatcher) tied(j *job) bool {
	return !d.asks && d.ReportsStart && d.Limits.ConcurrentAttempts && d.Limits.Cancel &&
		j.class.Effect == Idempotent
}

// tie sends a further copy of a job that does not start soon. One that waits at workers until it is hopeless
// is given up like a held one: late work would fill their queues for good.
func (d *Dispatcher) tie(j *job) {
	if d.tied(j) && !j.done && j.running == nil && !d.lost(j) &&
		d.now >= j.attempts[len(j.attempts)-1].at+startSoon && d.mayResend(j) {
		if w := d.choose(j); w != nil && d.again(j) {
			d.send(j, w)
		}
	}
}

// ask probes the workers of the subset whose reports are oldest, within the share of probes.
func (d *Dispatcher) ask() {
	for d.asks && d.probes >= 1 {
		var oldest *worker
		for _, w := range d.subset {
			if d.usable(w) && !w.suspect && !w.probing && d.now-w.probedAt >= probeEvery &&
				d.now-w.reportAt >= probeEvery && (oldest == nil || w.reportAt < oldest.reportAt) {
				oldest = w
			}
		}
		if oldest == nil {
			return
		}
		d.probes--
		d.probe(oldest)
	}
}

// report takes in a load report: free slots, less what waits and what was sent too late to be in it, and the
// slots of a job that ended with it.
func (d *Dispatcher) report(w *worker, r Report, ended float64) {
	if r.Has&HasX0 == 0 || !d.slotsX0 || d.now < w.wary {
		return
	}
	w.kind.slots = max(w.kind.slots, r.X0)
	slots, memory := w.sentLately(d.now - reportLag)
	w.free, w.reportAt = r.X0+ended-r.Queue-slots, d.now
	w.memory, w.hasMem = r.X1-memory, r.Has&HasX1 != 0 && d.memX1
}

// fresh tells whether a report is believed: in a crowd for a mean cost, the time in which jobs come and go.
func (d *Dispatcher) fresh(w *worker, life time.Duration) bool {
	return w.reportAt != 0 && d.now-w.reportAt < min(life, reportLife)
}

// cold tells whether a worker may not be warm yet.
func (d *Dispatcher) cold(w *worker) bool {
	return w.coldFrom != 0 && d.now-w.coldFrom < d.Rules.WarmupTime
}

// share is the part of its capacity that a worker has at least, at an age.
func (d *Dispatcher) share(w *worker, age time.Duration) float64 {
	if !d.cold(w) {
		return 1
	}
	warmed := min(1, float64(age)/float64(max(1, d.Rules.WarmupTime)))
	return d.Rules.ColdCapacity + (1-d.Rules.ColdCapacity)*warmed
}

// coldRoom is the cost that a cold worker may still get from this instance. Slots seen at its kind, at its
// pace, stand for its capacity at the window's start. Even parts, where they take the job, keep the
// sum for sure. Where many share they don't: there each draws, once a window, what it may send.
func (d *Dispatcher) coldRoom(w *worker, j *job) float64 {
	capacity := max(1, 0.8*w.kind.slots) / w.pace() * float64(d.Rules.ColdOverloadWindow)
	age := max(0, d.now-w.coldFrom-d.Rules.ColdOverloadWindow)
	whole := d.Rules.ColdOverloadMultiple * d.share(w, age) * capacity
	got := w.sentSince(d.now - d.Rules.ColdOverloadWindow)
	if d.divided(&whole) {
		return coldSure*whole - got
	}
	part := coldSure * whole / float64(d.Instances)
	whole += 2*math.Sqrt(whole*d.mean) + 2*d.mean // what the rule puts down to chance
	most := max(d.mean, coldOwn*whole)
	each := coldSafety * whole / 2 / float64(d.Instances)
	if j.cost <= part || j.cost > most || got+d.drawn(w)*j.cost > each ||
		d.Instances < crowd && got+j.cost > coldEven*part { // few make no distribution
		return part - got
	}
	return most
}

// load is what a job counts against a budget: its cost, but one far heavier than the mean holds no more
// slots than others, and must not shut a worker that has free ones.
func (d *Dispatcher) load(j *job) float64 { return min(j.cost, d.mean*j.Slots) }

// room is the share of its budget that a worker can still take, by its pace, and whether the job fits. In
// plain cost the budget that has grown most would draw all jobs, at every dispatcher, past idle workers. An
// idle worker takes any job; where an own one waits for its start nothing fits, whatever is reported.
func (d *Dispatcher) room(w *worker, j *job) (float64, bool) {
	w.budget = cmp.Or(w.budget, startBudget*d.mean)
	room, fits := w.budget-w.out, w.out+d.load(j) <= w.budget || len(w.attempts) == 0
	w.full, fits = w.full || !fits, fits && w.waiting == 0 && d.now >= w.shutTill
	if d.crowded && d.asks && !d.fresh(w, time.Duration(d.mean)) { // first hear what it holds of others
		wait := float64(askWait) / max(0.03, d.prompt[0]*d.prompt[0]) // longer, the fewer jobs start soon
		fits = fits && d.now >= j.heldAt+time.Duration(wait)
	}
	if d.fresh(w, reportLife) {
		room = min(room, w.free*d.mean)
		if w.free < j.Slots-0.5 || w.hasMem && w.memory < j.Memory-0.25 {
			fits = false
		}
	}
	if d.cold(w) {
		left := d.coldRoom(w, j)
		inTurn := j.cost <= left && w.out+j.cost <= max(w.budget, j.cost)
		if d.crowded && !d.blind() { // a draw is better evidence of room than a report that many see
			return coldFirst + left/w.pace(), inTurn
		}
		room, fits = min(room, left)/d.chilled(w), fits && inTurn
	}
	if d.blind() {
		room = d.odds(w, j) * (w.budget - w.out)
	}
	return room / w.budget / w.pace(), fits
}

// blind tells whether only the starts of own jobs show room: many share the workers, and nobody reports.
func (d *Dispatcher) blind() bool { return d.thronged() && !d.asks }

// odds weigh a worker by how likely a job starts there at once, as own ones did of late, there or at all warm
// or cold ones. Who stays with one until a job waits keeps off the others (Gibbens, Kelly and Key, Dynamic
// Alternative Routing, 1988); the roomiest by own sums, which say little, is the same one for all.
func (d *Dispatcher) odds(w *worker, j *job) float64 {
	odds := d.prompt[one(d.cold(w))] * math.Pow(d.rng.ExpFloat64(), -dither) / d.chilled(w)
	if !d.cold(w) && w.promptAt != 0 {
		odds *= 1 + promptGain*math.Exp(-float64(d.now-w.promptAt)/(promptMeans*d.mean))
	}
	if !d.cold(w) && (j.Slots > 1) != (w.chance(0) < widePart) { // a wide one that waits holds up others
		odds *= astray
	}
	return odds
}

// release sends held jobs while the head of a queue fits a worker; it holds the rest.
func (d *Dispatcher) release() {
	over := d.lostAt != 0 && d.now-d.lostAt < overloadFor
	for _, q := range d.queues {
		if over != q.overload {
			q.overload = over
			heap.Init(q)
		}
		for len(q.jobs) > 0 {
			j := q.jobs[0]
			if d.lost(j) {
				continue
			}
			w := d.choose(j)
			if w == nil {
				break
			}
			heap.Pop(q)
			d.send(j, w)
		}
	}
	d.tick()
}

// choose finds the roomiest worker that the job fits, of the own zone where crossing has a price. If all
// look bad, the cause is common, or on this side, and the suspects go on being used.
func (d *Dispatcher) choose(j *job) *worker {
	if len(j.attempts) > 0 && !d.mayResend(j) {
		return nil
	}
	return d.place(j)
}

// place is choose without a look at whether the job may be sent: first at the homes of its subject,
// then among all, or of many those that may have room.
func (d *Dispatcher) place(j *job) *worker {
	for more := 0; j.subject != nil && more < 2; more++ {
		if homes, _ := d.search(j, d.homes(j, more), many); homes[0] != nil {
			return homes[0]
		}
	}
	among, enough := d.subset, len(d.subset)
	if enough >= many {
		among, enough = d.vacant.All(), sample
	}
	d.searches++
	chosen, serving := d.search(j, among, enough)
	if serving == 1 && chosen[1] != nil && len(d.subset) >= many && d.serves(j) {
		return nil // others are only full
	}
	return chosen[serving]
}

// search weighs, from a random one on, enough workers that the job fits, and tells whether any serves.
func (d *Dispatcher) search(j *job, among []*worker, enough int) (chosen [2]*worker, _ int) {
	serving, most := 1, [2]float64{} // of those that serve, of the suspects
	from := d.rng.IntN(len(among) + 1)
	for i := 0; i < len(among) && enough > 0; i++ {
		w := among[(from+i)%len(among)]
		if !d.suits(j, w) || j.waitsAt(w) {
			continue
		}
		of := one(d.dubious(w, j))
		serving = min(serving, of)
		late := float64(d.now)+hope*j.run*w.pace()*d.common*d.chilled(w) > float64(j.aim)
		if late || j.ran != nil && j.class.Effect == Deduplicated && !j.class.Group.same(j.ran.to, w.Member) {
			continue
		}
		room, fits := d.room(w, j)
		if d.near(w) || d.tied(j) && len(j.attempts) >= 2 { // a job that found no room twice looks further
			room += nearFirst
			enough -= one(fits && of == 0)
		}
		if fits && (chosen[of] == nil || room > most[of]) {
			chosen[of], most[of] = w, room
		}
	}
	return chosen, serving
}

// dueAt is when an attempt is overdue: where starts are told, soon for one that has not started.
func (d *Dispatcher) dueAt(a *attempt) time.Duration {
	if d.ReportsStart && a.started == 0 {
		return a.at + overdueFloor + time.Duration(startMeans*d.mean)
	}
	return d.now + overdueFloor + time.Duration(overdueRuns*a.run*a.worker.pace()*d.common)
}

// age marks jobs that no shorter one may pass any more and gives up those that can't be in time.
func (d *Dispatcher) age(q *queue) {
	for i := 0; i < len(q.jobs); i++ {
		j := q.jobs[i]
		if d.lost(j) {
			i = -1
		} else if !j.aged && d.now >= j.agedAt {
			j.aged = true
			heap.Fix(q, i)
		}
	}
}

// lost gives up a held job that is hopeless: a loss for want of room shows overload.
func (d *Dispatcher) lost(j *job) bool {
	lost := d.hopeless(j)
	if lost {
		d.lostAt = d.now
		d.end(j)
	}
	return lost
}

// hopeless tells that a job would be late even on the fastest worker and with luck.
func (d *Dispatcher) hopeless(j *job) bool { return d.now >= d.lastChance(j) }

// lastChance is when a job becomes hopeless.
func (d *Dispatcher) lastChance(j *job) time.Duration {
	start := j.aim - time.Duration(hope*j.run*d.best*d.common)
	return min(start, j.Deadline-2*tickEvery) // held jobs are answered by the tick
}

// end answers a job that was not served: refused where the client's retry can do no harm, else failed.
func (d *Dispatcher) end(j *job) {
	c := j.class
	known := c.Group == DedupAll && d.remembered(j, d.Limits.MaxRetryAfter) // yet, when it comes again
	if j.ran == nil && j.outs == 0 || c.Effect == Idempotent || known {
		d.host.Refuse(j.ID, d.Limits.MaxRetryAfter)
	} else {
		d.host.Fail(j.ID)
	}
	d.finish(j)
}

// mayResend tells whether a further attempt is allowed anywhere: an effect must not happen twice.
func (d *Dispatcher) mayResend(j *job) bool {
	known := j.ran == nil || j.class.Effect == Idempotent || d.remembered(j, d.Limits.ConnectTimeout)
	free := j.outs == 0 || j.running == nil && d.tied(j)
	return known && free && len(j.attempts) < j.most
}

// followList keeps one watch on the list. Many instances may start together, and the list service can't
// answer all at once: the first call and repeats of failed ones are spread, by as long as all may take.
func (d *Dispatcher) followList(kind ListKind) {
	if kind == ListFailed {
		d.host.Timer(d.jitter(d.backoff), watchToken)
		d.backoff = min(2*d.backoff, watchMax)
		d.log("no worker list: asking again, %d workers known", len(d.workers))
		return
	}
	d.backoff = time.Duration(d.Instances) * watchEach
	if kind == ListRestored {
		longest := min(d.backoff, d.Rules.MembershipMaxAge/2)
		d.host.Timer(time.Duration(d.rng.Float64()*float64(longest)), watchToken)
	}
}

// usable tells whether a worker may get new work. A drain binds until a later start; where it alone binds, a
// list that calls a worker gone, or leaves it out, is a claim: own answers and probes decide.
func (d *Dispatcher) usable(w *worker) bool {
	return !w.closed && (w.State == Ready || w.State == Removed && d.Rules.OnlyDrainBinds)
}

// listed takes in what the list says of a known worker. An old list may come back: the latest start and,
// where lists may be wrong, a drain hold. One called gone that gave no sign of life of late is tried like a
// suspect. This meets short, empty and old lists; it costs an attempt on a worker that died.
func (d *Dispatcher) listed(w *worker, m Member) {
	was, since := w.State, w.StartedAt
	w.Member, w.StartedAt = m, max(m.StartedAt, since)
	if m.State != Ready && was == Ready {
		d.log("worker %d is listed as draining or gone, %d jobs out", m.Worker, len(w.attempts))
	}
	switch {
	case m.StartedAt > since: // the same id, a new process: cold, and nothing known of it holds
		w.coldFrom, w.suspect, w.down, w.closed = m.StartedAt, false, false, m.State == Draining
		w.budget, w.lastCut, w.reportAt, w.silent = 0, 0, 0, 0
		d.index(w)
		d.joinCold(w)
	case m.State == Draining:
		w.closed = true
	case m.State == Ready && !d.Rules.OnlyDrainBinds:
		w.closed = false
	case m.State == Removed && was != Removed:
		if w.goneAt = d.now; d.now-w.news > evidenceFor {
			d.tryFirst(w)
		}
	}
}

// tryFirst holds work back until a trial, soon, where lists may be wrong: one named later may not exist.
func (d *Dispatcher) tryFirst(w *worker) {
	if d.Rules.OnlyDrainBinds && d.filledAt != 0 && !w.suspect {
		w.suspect, w.trialWait = true, max(w.trialWait, trialFirst)
		if w.member { // else it begins once it joins
			d.trialIn(w, d.jitter(trialFirst/2))
		}
	}
}

// forgotten tells whether to drop a worker that is gone: where lists may be wrong, so that drains and cold
// times survive an old one and workers called gone serve on, only when it has been silent for long.
func (d *Dispatcher) forgotten(w *worker) bool {
	kept := d.Rules.OnlyDrainBinds && d.now-max(w.goneAt, w.news) < keepGone
	return w.State == Removed && len(w.attempts) == 0 && !kept
}

// widen grows the subset with the jobs in hand: of few workers reports and connections stay fresh.
func (d *Dispatcher) widen() {
	d.peak = max(float64(len(d.jobs)), d.peak+(float64(len(d.jobs))-d.peak)/costWindow)
	if d.now-d.filledAt >= subsetEvery || d.want() > len(d.subset) && len(d.subset) < len(d.workers) {
		d.fill()
	}
}

// want is the size of the subset: half where each worker is learned by jobs that wait there, not by reports.
func (d *Dispatcher) want() int { return int(max(subsetLeast, subsetEach*d.peak)) >> one(d.blind()) }

// joinCold takes a cold worker into the subset.
func (d *Dispatcher) joinCold(w *worker) {
	if d.cold(w) {
		d.join(w)
	}
}

// fill keeps the subset: for each required kind, workers of the own zone first; suspect and cold ones do not
// count. It walks the list only if there are too few: much that is listed must cost little.
func (d *Dispatcher) fill() {
	d.filledAt = d.now
	d.sweep()
	want := d.want() + len(d.subset)/many // a little ahead: each walk costs as much as the list is long
	for _, kind := range d.needs {
		near := d.pick(kind, true, want)
		d.pick(kind, false, want*5/4-near) // some of other zones, for what the own one has no room for
	}
	d.best = d.fastest()
	d.crowded = d.Instances*len(d.subset) >= crowd*len(d.workers)
}

// pick adds workers of a kind, near or not, until so many are usable; it returns how many are. The walk over
// the list starts at a place even over the ranks, so that all workers have equally many dispatchers, and goes
// by a stride of the rank's own, so that no two share them all. One called gone is no new choice.
func (d *Dispatcher) pick(kind int, near bool, want int) (have int) {
	fits := func(w *worker) bool { return d.near(w) == near && (kind < 0 || d.Kinds[kind] == w.Kind) }
	for _, w := range d.subset {
		have += one(fits(w) && !w.suspect && !d.cold(w))
	}
	if have >= want {
		return have
	}
	var ring []*worker
	for _, w := range d.workers {
		if fits(w) && w.State == Ready && d.usable(w) {
			ring = append(ring, w)
		}
	}
	at, stride := spread(d.Rank, len(ring))
	for i := 0; i < len(ring) && have < want; i++ {
		if w := ring[(at+i*stride)%len(ring)]; !w.member {
			d.join(w)
			have += one(!w.suspect && !d.cold(w))
		}
	}
	return have
}
