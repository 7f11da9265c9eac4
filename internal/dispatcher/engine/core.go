// Package engine drives the decision module. It knows no wire: fronts submit
// transactions, carriers take flows to pool members, a lister brings the
// pool, and all of them meet the core through the interfaces declared here.
//
// One goroutine, that of Run, owns the Dispatcher, the transactions, the
// flows and the timers. All else posts events. The core is the single ledger:
// a transaction gets one final answer and has one live flow at a time, and no
// end of a flow counts twice.
package engine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/schedulingdelay"

	"github.com/sirupsen/logrus"
)

// overdue: an answer that the module still owes so long after the deadline is given for it.
const overdue = 10 * time.Millisecond

// leastAway is how long what is turned away by a dispatcher that is behind stays
// away at least.
const leastAway = time.Second

// Engine is the hub between fronts, decisions and carriers.
type Engine struct {
	settings policy.Settings
	stages   Stages
	lister   Lister
	log      logrus.FieldLogger
	stopped  chan struct{}

	mu      sync.Mutex
	events  []posted
	sources map[string]int // how many members each has
	listed  map[string]bool
	posted  chan struct{} // there are events

	// Owned by Run's goroutine.
	decisions    *policy.Dispatcher
	base         time.Time
	now          time.Time
	later        []func() // what the handling of an event leaves to do after it
	timers       timers
	asked        map[moment]bool // timers of the module's that are set
	open         map[string]*Transaction
	left         map[string]calledOff // ids that were closed while an attempt was out, or may have run: see remember
	members      map[string]*Member
	numbers      map[uint32]*Member
	held         map[string]bool      // members out by hand
	warmFrom     map[string]time.Time // when a member was put back by hand
	load         Load
	gauge        schedulingdelay.Detector // of what events wait
	flowing      int64                    // flows that are out
	late, leaves time.Time                // see Leaving
	closed       bool                     // see Close
	spending     SharedBudget             // nil: nothing is shared
	trails       bool                     // see KeepTrails

	unanswered atomic.Int64
	known      atomic.Bool
}

// New returns a core that is not running yet; spending may be nil. It fails if the module does not
// accept the settings.
func New(s policy.Settings, stages Stages, spending SharedBudget, log logrus.FieldLogger) (*Engine, error) {
	c := &Engine{
		settings: s, stages: stages, log: log, base: time.Now(),
		posted: make(chan struct{}, 1), stopped: make(chan struct{}),
		open: make(map[string]*Transaction), left: make(map[string]calledOff), members: make(map[string]*Member), numbers: make(map[uint32]*Member),
		sources: make(map[string]int), listed: make(map[string]bool), held: make(map[string]bool), warmFrom: make(map[string]time.Time), timers: newTimers(), asked: make(map[moment]bool),
	}
	if c.spending = spending; spending != nil {
		s.SharedBudget = purse{c, spending}
	}
	var err error
	if c.decisions, err = policy.New(s, host{c}); err != nil {
		return nil, fmt.Errorf("starting the decisions: %w", err)
	}
	return c, nil
}

// SharedBudget are the budgets that this dispatcher shares with others. Its methods
// are called by Run's goroutine and answer at once.
type SharedBudget interface {
	policy.SharedBudget
	// Reserve takes a place for a job that is under way at members of a kind until
	// then at the latest; false: there is none. A nil place needs no End.
	Reserve(kind string, until time.Time) (Reservation, bool)
	// RetryTime is when another attempt of a class is worth while.
	RetryTime(class string, now time.Time) time.Time
}

// Reservation is one job's among what is under way.
type Reservation interface {
	End()
}

// RecordMembersTried makes each answer tell the members that its flows went to. It must be
// called before Run.
func (c *Engine) RecordMembersTried() { c.trails = true }

// release gives back the place of a flow that was under way. What may run on at its
// member though nobody waits keeps its place to the deadline.
func (c *Engine) release(f *Flow, s policy.Status) {
	p := f.place
	if p == nil {
		return
	}
	f.place = nil
	if (s == policy.Cancelled || s == policy.Reset) && c.now.Before(f.Deadline) {
		c.timers.add(f.Deadline, p.End)
		return
	}
	p.End()
}

// SetLister names the lister. It must be called before Run.
func (c *Engine) SetLister(l Lister) { c.lister = l }

// Run handles events until the context ends.
func (c *Engine) Run(ctx context.Context) {
	defer close(c.stopped)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		wake.Reset(c.timers.wait(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-c.posted:
		case <-wake.C:
		}
		for _, event := range c.taken() {
			c.handle(event)
		}
		// What comes due meanwhile waits for the events that came meanwhile.
		now := time.Now()
		for due := c.timers.due(now); due != nil; due = c.timers.due(now) {
			c.handle(posted{do: due})
		}
	}
}

// handle runs one event and what it left to do. The module's methods must not
// be called from within its host's: those put what follows into later.
func (c *Engine) handle(event posted) {
	c.now = time.Now()
	if !event.at.IsZero() {
		c.gauge.Observe(c.now.Sub(event.at), c.now)
	}
	event.do()
	for len(c.later) > 0 {
		next := c.later[0]
		c.later = c.later[1:]
		next()
	}
}

// posted is an event and when it was handed over; a timer is not.
type posted struct {
	at time.Time
	do func()
}

// SetDelayBounds says when this dispatcher is behind with its own work, so that it turns
// away what comes. It must be called before Run.
func (c *Engine) SetDelayBounds(b schedulingdelay.Bounds) { c.gauge = schedulingdelay.New(b) }

// post hands an event to Run's goroutine. It never waits: a carrier posts while
// it holds a lock that its Start, called by Run's goroutine, needs too. What
// may be queued is bounded by who posts: each connection, flow and call-back
// waits for its event before it causes another.
func (c *Engine) post(event func()) {
	c.mu.Lock()
	c.events = append(c.events, posted{time.Now(), event})
	c.mu.Unlock()
	select {
	case c.posted <- struct{}{}:
	default:
	}
}

// taken empties the queue of events.
func (c *Engine) taken() []posted {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	c.events = nil
	return events
}

// Do posts an event and waits until it has been handled.
func (c *Engine) Do(event func()) {
	done := make(chan struct{})
	c.post(func() { event(); close(done) })
	select {
	case <-done:
	case <-c.stopped:
	}
}

// clock turns a time into the module's: nanoseconds since 1970, by the
// monotonic clock from the start on, so that it never runs backward.
func (c *Engine) clock(t time.Time) time.Duration {
	return time.Duration(c.base.UnixNano()) + t.Sub(c.base)
}

// Unanswered is how many transactions were taken and have no final answer.
func (c *Engine) Unanswered() int { return int(c.unanswered.Load()) }

// Ready tells whether the core has a list of members and takes transactions.
func (c *Engine) Ready() bool { return c.known.Load() }

// OpenCounts counts what is open, by front and class, from the table of open
// transactions alone, and the flows that are out. It may be called by Run's
// goroutine only, such as in a Sync.
func (c *Engine) OpenCounts() (open accounting.OpenCounts, flows int64) {
	open = make(accounting.OpenCounts)
	for _, t := range c.open {
		if !t.answered {
			open[[2]string{t.Front, t.Class}]++
		}
	}
	return open, c.flowing
}

// Submit takes a transaction. Its client is told exactly one final answer.
func (c *Engine) Submit(t *Transaction) {
	c.unanswered.Add(1)
	c.post(func() {
		c.stages.RecordAccepted(t, c.now)
		t.class = c.class(t.Class)
		if t.class.Effect == policy.Deduplicated && t.Key == "" {
			t.class.Effect = policy.AtMostOnce // members know no repeat of it
		}
		if first := c.open[t.ID]; first != nil && first.Gone() { // and Leave is still under way
			c.leave(first)
		}
		if a := c.twice(t); a != nil {
			c.unanswered.Add(-1)
			c.stages.RecordEnd(t, *a, c.now)
			t.Client.Answer(*a)
			return
		}
		c.open[t.ID] = t
		c.load.Open++
		c.load.Bytes += len(t.Body)
		load := c.load
		if c.gauge.Overloaded() {
			load.RetryDelay = c.gauge.RetryDelay(leastAway)
		}
		if a := c.stages.Admit(t, load, c.now); a != nil {
			c.answer(t, *a)
			return
		}
		if c.closed || c.comesLate(t) && c.now.Add(t.Hint).After(c.leaves) {
			c.answer(t, Answer{Verdict: Refused, Reason: accounting.ShuttingDown, RetryAt: c.now})
			return
		}
		t.due = c.timers.add(t.Deadline.Add(overdue), func() { c.expire(t) })
		c.decisions.HandleRequest(c.clock(c.now), c.request(t))
	})
}

// twice is the answer to a transaction whose id is that of another that is open, or
// whose client left: the module would drop it in silence, and its attempt could run
// beside the other's. It may come again once the other is called off, where running
// twice is harmless; else it is denied. Nil: its id is its own.
func (c *Engine) twice(t *Transaction) *Answer {
	first, left := c.left[t.ID]
	if left = left && c.now.Before(first.until); c.open[t.ID] == nil && !left {
		return nil
	}
	if t.ranFrom = first.ranFrom; left && c.harmless(t) {
		back := c.now.Add(c.settings.Limits.MaxRetryAfter)
		if back.After(first.until) {
			back = first.until
		}
		return &Answer{Verdict: Refused, Reason: accounting.Declined, RetryAt: back}
	}
	return &Answer{Verdict: Denied, Reason: accounting.DuplicateID, Body: []byte("this id is in hand already\n")}
}

// class is a class as the settings have it now.
func (c *Engine) class(name string) policy.Class {
	for _, class := range c.settings.Classes {
		if class.Name == name {
			return class
		}
	}
	return policy.Class{Effect: policy.AtMostOnce} // gone with a reload since it was taken in: nothing is promised of it
}

// Reconfigure takes new settings of classes and limits for what comes from now on;
// what is under way keeps its own. It tells once the decisions have them, or why
// they were turned down.
func (c *Engine) Reconfigure(s policy.Settings) (err error) {
	c.Do(func() {
		if err = c.decisions.Reconfigure(c.clock(c.now), s); err == nil {
			c.settings.Classes, c.settings.Limits = s.Classes, s.Limits
		}
	})
	return err
}

// BeginShutdown tells that the program ends. What arrived late is answered by the end:
// what can't be done by then is refused at once, and what is not done then is
// answered, since nothing can be after that. What came before keeps its deadline.
func (c *Engine) BeginShutdown(late, end time.Time) {
	c.post(func() {
		c.late, c.leaves = late, end
		c.timers.add(end, func() {
			early, held := 0, 0
			for _, t := range c.open {
				if t.answered || !c.comesLate(t) {
					if !t.answered {
						early++
						if t.live == nil {
							held++
						}
					}
					continue
				}
				a := Answer{Verdict: Failed, Reason: accounting.Stopped}
				if c.harmless(t) {
					a = Answer{Verdict: Refused, Reason: accounting.ShuttingDown, RetryAt: c.now}
				}
				c.answer(t, a)
				c.decisions.HandleClientGone(c.clock(c.now), t.ID)
			}
			if early > 0 {
				c.log.WithFields(logrus.Fields{"early": early, "held": held}).Info("jobs in hand at the end")
			}
		})
	})
}

// CloseIfIdle takes no more transactions, all that come are refused, if nothing is in hand in
// that moment, and tells whether that is so: no result is owed from then on, and the
// way on which results come may be shut.
func (c *Engine) CloseIfIdle() (done bool) {
	done = true // by Run's end, if that came before
	c.Do(func() { done = c.shut() })
	return done
}

func (c *Engine) shut() bool {
	c.closed = c.closed || c.load.Open == 0
	return c.closed
}

// LongestClientTimeout is the longest deadline of any class. It may be called by Run's goroutine
// only, such as in a Sync.
func (c *Engine) LongestClientTimeout() (longest time.Duration) {
	for _, class := range c.settings.Classes {
		longest = max(longest, class.GiveUp)
	}
	return longest
}

// harmless tells whether a client may try a transaction again that has no result: it
// was never sent on, no attempt may have run, or its class lets it run twice. Such a
// one is refused, not failed, as the module itself does.
func (c *Engine) harmless(t *Transaction) bool {
	since := t.ranFrom
	if since.IsZero() && t.live != nil {
		since = t.live.SentAt
	}
	switch {
	case since.IsZero(), t.class.Effect == policy.Idempotent:
		return true
	case t.class.Effect == policy.Deduplicated && t.class.Group == policy.DedupAll: // if the key is known yet when it comes again
		return c.now.Add(c.settings.Limits.MaxRetryAfter).Before(since.Add(t.class.Window))
	}
	return false
}

// repeatMargin is by how much sooner than a key's window ends a repeat has to be
// with its member: the way there may take longer than the first one's did.
const repeatMargin = 50 * time.Millisecond

// latest is when the next flow of a transaction must have reached its member; zero:
// no matter. A key's window counts from the first flow that may have run, at the
// soonest from its sending.
func (t *Transaction) latest() time.Time {
	if t.class.Effect != policy.Deduplicated || t.ranFrom.IsZero() {
		return time.Time{}
	}
	return t.ranFrom.Add(t.class.Window - repeatMargin)
}

func (c *Engine) comesLate(t *Transaction) bool { return !c.late.IsZero() && t.Arrived.After(c.late) }

// request is the stage's view of the transaction, on the module's clock.
func (c *Engine) request(t *Transaction) policy.Request {
	r := c.stages.Route(t)
	r.Deadline, r.NoDedupKey = c.clock(t.Deadline), t.Key == ""
	if m := c.members[t.ExcludedMember]; m != nil {
		if r.ExcludedWorker = m.number; t.ExcludeItsZone {
			r.ExcludedZone = m.Zone
		}
	}
	return r
}

// ClientLeft tells that the client of a transaction is gone: nothing is owed.
func (c *Engine) ClientLeft(t *Transaction) {
	c.post(func() { c.leave(t) })
}

func (c *Engine) leave(t *Transaction) {
	if t.answered || c.open[t.ID] != t {
		return
	}
	c.remember(t)
	c.close(t)
	c.stages.RecordEnd(t, Answer{Verdict: Failed, Reason: accounting.ClientLeft}, c.now)
	c.decisions.HandleClientGone(c.clock(c.now), t.ID)
}

// hearing is how long a member may take to hear that a flow is abandoned.
const hearing = 2 * time.Second

// calledOff is what is remembered of a transaction that was closed early.
type calledOff struct {
	until   time.Time
	ranFrom time.Time // since when an attempt may have run
}

// remember keeps the id of a transaction that is closed, by its client's leaving or by
// an answer, while an attempt is out, or after one that must not be repeated. The
// flow ends here at once, and its member hears of it later: a client that sends the
// same id again on another connection meanwhile, as one does whose connection was
// closed on it, would have two attempts at once, or one too many.
func (c *Engine) remember(t *Transaction) {
	if t.live == nil && c.harmless(t) {
		return
	}
	since := t.ranFrom
	if since.IsZero() {
		since = t.live.SentAt
	}
	id, until := t.ID, c.now.Add(hearing)
	c.left[id] = calledOff{until, since}
	c.timers.add(until, func() {
		if !c.now.Before(c.left[id].until) {
			delete(c.left, id)
		}
	})
}

// expire answers for the module what it still owes after the deadline: an
// answer too late would break the rule, and a lost one would hang the client.
func (c *Engine) expire(t *Transaction) {
	if t.answered {
		return
	}
	c.log.WithField("transaction", t.ID).Error("no final answer by the deadline")
	a := Answer{Verdict: Failed, Reason: accounting.DeadlinePassed}
	if c.harmless(t) {
		a = Answer{Verdict: Refused, Reason: accounting.Declined, RetryAt: c.now}
	}
	c.answer(t, a)
	c.decisions.HandleClientGone(c.clock(c.now), t.ID)
}

// answer gives a transaction its one final answer.
func (c *Engine) answer(t *Transaction, a Answer) {
	if t.answered {
		return
	}
	a.Attempts, a.MayHaveRun, a.LastStatus, a.LastMember, a.MemberError, a.MembersTried = t.sends, !t.ranFrom.IsZero() || t.live != nil, t.last, t.at, t.said, t.went
	if t.live != nil {
		c.remember(t)
	}
	c.close(t)
	c.stages.RecordEnd(t, a, c.now)
	t.Client.Answer(a)
}

// close marks a transaction as done with its client.
func (c *Engine) close(t *Transaction) {
	t.answered = true
	c.timers.drop(t.due)
	c.load.Open--
	c.load.Bytes -= len(t.Body)
	c.unanswered.Add(-1)
	c.forget(t)
}

// forget drops a transaction that is answered and has no live flow.
func (c *Engine) forget(t *Transaction) {
	if t.answered && t.live == nil && c.open[t.ID] == t {
		delete(c.open, t.ID)
	}
}

// EndFlow tells how a flow ended. Only the first end of a flow counts.
func (c *Engine) EndFlow(f *Flow, s policy.Status, result []byte) {
	c.post(func() { c.end(f, s, result) })
}

// EndFlowWithLoad is End with the load report of the answer that ended the flow. Like any
// end it may come when the flow has ended, by its deadline: then it counts nothing.
func (c *Engine) EndFlowWithLoad(f *Flow, s policy.Status, load policy.Report) {
	c.post(func() {
		if !f.ended {
			f.Load = load
			c.end(f, s, nil)
		}
	})
}

func (c *Engine) end(f *Flow, s policy.Status, result []byte) {
	t := f.Transaction
	if f.ended {
		return
	}
	f.ended = true
	c.trace("ended", func() logrus.Fields {
		fields := f.fields()
		fields["status"], fields["after"] = accounting.StatusName(s), c.now.Sub(f.SentAt).String()
		return fields
	})
	c.timers.drop(f.due)
	c.release(f, s)
	if t.last = s; t.ranFrom.IsZero() && !c.settings.Rules.ProvesNotRun(s) {
		t.ranFrom = f.SentAt
	}
	if s == policy.Error {
		t.said = result
	}
	c.flowing--
	if t.live == f {
		t.live = nil
	}
	if a := c.stages.Relay(f, s, result, c.now); a != nil {
		c.answer(t, *a)
	}
	c.decisions.HandleAttemptResult(c.clock(c.now), policy.AttemptResult{
		Request: t.ID, Attempt: f.Number, Worker: f.Member.number, Status: s, Final: t.answered,
		Latency: c.now.Sub(f.SentAt), Report: f.Load,
	})
	c.forget(t)
}

// UpdateFlow tells news of a flow that is out.
func (c *Engine) UpdateFlow(f *Flow, topic policy.UpdateKind, share float64) {
	c.post(func() { c.note(f, topic, share) })
}

func (c *Engine) note(f *Flow, topic policy.UpdateKind, share float64) {
	if !f.ended {
		if topic == policy.UpdateStarted {
			c.trace("started", f.fields)
		}
		c.decisions.HandleAttemptUpdate(c.clock(c.now), policy.AttemptUpdate{
			Request: f.Transaction.ID, Attempt: f.Number, Worker: f.Member.number, Kind: topic, Value: share,
		})
	}
}

// JobUpdate is what a member reports of a job by its id, outside any flow's own
// connection.
type JobUpdate struct {
	ID, Member string
	Started    bool
	Running    bool
	Progress   float64
	Ended      bool
	Status     policy.Status
	Result     []byte
	Load       policy.Report // the member's load report, where the news that ends a job carries one
}

// HandleJobUpdate takes in news. It counts for the live flow of that transaction at
// that member; news of an ended flow or from another member counts nothing. It
// returns once the news has been handled, so that a flood of it waits outside,
// and tells whether a transaction of that id is in hand here: news of one that
// is not may be owed to another process of this dispatcher.
func (c *Engine) HandleJobUpdate(n JobUpdate) (here bool) {
	c.Do(func() { here = c.report(n) })
	return here
}

func (c *Engine) report(n JobUpdate) bool {
	t := c.open[n.ID]
	if t == nil {
		_, left := c.left[n.ID]
		return left
	}
	if t.live == nil || t.live.Member.ID != n.Member {
		return true
	}
	switch {
	case n.Ended:
		t.live.Load = n.Load
		t.live.Member.Transport.EndedOutOfBand(t.live)
		c.end(t.live, n.Status, n.Result)
	case n.Started:
		c.note(t.live, policy.UpdateStarted, 0)
	case n.Running:
		c.note(t.live, policy.UpdateProgress, n.Progress)
	}
	return true
}

// EndProbe tells how a probe of a member ended, with the load report that its
// answer held (none: an empty one).
func (c *Engine) EndProbe(m *Member, s policy.Status, r policy.Report, sentAt time.Time) {
	c.post(func() {
		c.trace("probe ended", func() logrus.Fields {
			fields := m.fields()
			fields["status"], fields["after"] = accounting.StatusName(s), c.now.Sub(sentAt).String()
			return fields
		})
		c.decisions.HandleProbeResult(c.clock(c.now), policy.ProbeResult{Worker: m.number, Status: s, Latency: c.now.Sub(sentAt), Report: r})
	})
}

// trace writes what happens at one member to the log, where that is asked for. It
// is how the fleet's behaviour is counted over the logs of all dispatchers.
func (c *Engine) trace(what string, fields func() logrus.Fields) {
	if l, ok := c.log.(*logrus.Logger); ok && l.IsLevelEnabled(logrus.TraceLevel) {
		l.WithFields(fields()).Trace(what)
	}
}

func (f *Flow) fields() logrus.Fields {
	return logrus.Fields{"transaction": f.Transaction.ID, "class": f.Transaction.Class, "hint": f.Transaction.Hint.String(),
		"slots": f.Transaction.Slots, "flow": f.Number, "member": f.Member.ID, "kind": f.Member.Kind}
}

func (m *Member) fields() logrus.Fields { return logrus.Fields{"member": m.ID, "kind": m.Kind} }
