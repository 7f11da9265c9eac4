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

// answerGrace: an answer that the module still owes so long after the deadline is given for it.
const answerGrace = 10 * time.Millisecond

// minRetryDelay is how long what is turned away by a dispatcher that is behind stays
// away at least.
const minRetryDelay = time.Second

// Engine is the hub between fronts, decisions and carriers.
type Engine struct {
	settings policy.Settings
	stages   Stages
	lister   Lister
	log      logrus.FieldLogger
	stopped  chan struct{}

	mu        sync.Mutex
	events    []queuedEvent
	sources   map[string]int // how many members each has
	listedIDs map[string]bool
	wake      chan struct{} // there are events

	// Owned by Run's goroutine.
	decisions         *policy.Dispatcher
	base              time.Time
	now               time.Time
	deferred          []func() // what the handling of an event leaves to do after it
	timers            timers
	pendingTimers     map[timerKey]bool // timers of the module's that are set
	open              map[string]*Transaction
	closedEarly       map[string]closedTransaction // ids that were closed while an attempt was out, or may have run: see remember
	members           map[string]*Member
	membersByNumber   map[uint32]*Member
	heldOut           map[string]bool      // members out by hand
	restoredAt        map[string]time.Time // when a member was put back by hand
	load              Load
	delay             schedulingdelay.Detector // of what events wait
	flowsOut          int64                    // flows that are out
	lateFrom, stopsAt time.Time                // see Leaving
	closed            bool                     // see Close
	sharedBudget      SharedBudget             // nil: nothing is shared
	recordMembers     bool                     // see KeepTrails

	unanswered   atomic.Int64
	membersKnown atomic.Bool
}

// New returns a core that is not running yet; spending may be nil. It fails if the module does not
// accept the settings.
func New(s policy.Settings, stages Stages, spending SharedBudget, log logrus.FieldLogger) (*Engine, error) {
	c := &Engine{
		settings: s, stages: stages, log: log, base: time.Now(),
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		open: make(map[string]*Transaction), closedEarly: make(map[string]closedTransaction), members: make(map[string]*Member), membersByNumber: make(map[uint32]*Member),
		sources: make(map[string]int), listedIDs: make(map[string]bool), heldOut: make(map[string]bool), restoredAt: make(map[string]time.Time), timers: newTimers(), pendingTimers: make(map[timerKey]bool),
	}
	if c.sharedBudget = spending; spending != nil {
		s.SharedBudget = budgetRecorder{c, spending}
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
func (c *Engine) RecordMembersTried() { c.recordMembers = true }

// releaseReservation gives back the place of a flow that was under way. What may run on at its
// member though nobody waits keeps its place to the deadline.
func (c *Engine) releaseReservation(f *Flow, s policy.Status) {
	p := f.reservation
	if p == nil {
		return
	}
	f.reservation = nil
	if (s == policy.Cancelled || s == policy.Reset) && c.now.Before(f.Deadline) {
		c.timers.schedule(f.Deadline, p.End)
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
		wake.Reset(c.timers.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-wake.C:
		}
		for _, event := range c.takeEvents() {
			c.handle(event)
		}
		// What comes due meanwhile waits for the events that came meanwhile.
		now := time.Now()
		for due := c.timers.popDue(now); due != nil; due = c.timers.popDue(now) {
			c.handle(queuedEvent{run: due})
		}
	}
}

// handle runs one event and what it left to do. The module's methods must not
// be called from within its host's: those put what follows into later.
func (c *Engine) handle(event queuedEvent) {
	c.now = time.Now()
	if !event.at.IsZero() {
		c.delay.Observe(c.now.Sub(event.at), c.now)
	}
	event.run()
	for len(c.deferred) > 0 {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		next()
	}
}

// queuedEvent is an event and when it was handed over; a timer is not.
type queuedEvent struct {
	at  time.Time
	run func()
}

// SetDelayBounds says when this dispatcher is behind with its own work, so that it turns
// away what comes. It must be called before Run.
func (c *Engine) SetDelayBounds(b schedulingdelay.Bounds) { c.delay = schedulingdelay.New(b) }

// post hands an event to Run's goroutine. It never waits: a carrier posts while
// it holds a lock that its Start, called by Run's goroutine, needs too. What
// may be queued is bounded by who posts: each connection, flow and call-back
// waits for its event before it causes another.
func (c *Engine) post(event func()) {
	c.mu.Lock()
	c.events = append(c.events, queuedEvent{time.Now(), event})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeEvents empties the queue of events.
func (c *Engine) takeEvents() []queuedEvent {
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
func (c *Engine) Ready() bool { return c.membersKnown.Load() }

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
	return open, c.flowsOut
}

// Submit takes a transaction. Its client is told exactly one final answer.
func (c *Engine) Submit(t *Transaction) {
	c.unanswered.Add(1)
	c.post(func() {
		c.stages.RecordAccepted(t, c.now)
		t.class = c.classNamed(t.Class)
		if t.class.Effect == policy.Deduplicated && t.Key == "" {
			t.class.Effect = policy.AtMostOnce // members know no repeat of it
		}
		if first := c.open[t.ID]; first != nil && first.Gone() { // and Leave is still under way
			c.clientLeft(first)
		}
		if a := c.answerDuplicate(t); a != nil {
			c.unanswered.Add(-1)
			c.stages.RecordEnd(t, *a, c.now)
			t.Client.Answer(*a)
			return
		}
		c.open[t.ID] = t
		c.load.Open++
		c.load.Bytes += len(t.Body)
		load := c.load
		if c.delay.Overloaded() {
			load.RetryDelay = c.delay.RetryDelay(minRetryDelay)
		}
		if a := c.stages.Admit(t, load, c.now); a != nil {
			c.answer(t, *a)
			return
		}
		if c.closed || c.arrivedLate(t) && c.now.Add(t.Hint).After(c.stopsAt) {
			c.answer(t, Answer{Verdict: Refused, Reason: accounting.ShuttingDown, RetryAt: c.now})
			return
		}
		t.deadlineTimer = c.timers.schedule(t.Deadline.Add(answerGrace), func() { c.expire(t) })
		c.decisions.HandleRequest(c.clock(c.now), c.policyRequest(t))
	})
}

// answerDuplicate is the answer to a transaction whose id is that of another that is open, or
// whose client left: the module would drop it in silence, and its attempt could run
// beside the other's. It may come again once the other is called off, where running
// twice is harmless; else it is denied. Nil: its id is its own.
func (c *Engine) answerDuplicate(t *Transaction) *Answer {
	first, left := c.closedEarly[t.ID]
	if left = left && c.now.Before(first.until); c.open[t.ID] == nil && !left {
		return nil
	}
	if t.mayHaveRunSince = first.mayHaveRunSince; left && c.mayRunAgain(t) {
		back := c.now.Add(c.settings.Limits.MaxRetryAfter)
		if back.After(first.until) {
			back = first.until
		}
		return &Answer{Verdict: Refused, Reason: accounting.Declined, RetryAt: back}
	}
	return &Answer{Verdict: Denied, Reason: accounting.DuplicateID, Body: []byte("this id is in hand already\n")}
}

// classNamed is a class as the settings have it now.
func (c *Engine) classNamed(name string) policy.Class {
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
		c.lateFrom, c.stopsAt = late, end
		c.timers.schedule(end, func() {
			early, held := 0, 0
			for _, t := range c.open {
				if t.answered || !c.arrivedLate(t) {
					if !t.answered {
						early++
						if t.liveFlow == nil {
							held++
						}
					}
					continue
				}
				a := Answer{Verdict: Failed, Reason: accounting.Stopped}
				if c.mayRunAgain(t) {
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
	c.Do(func() { done = c.closeIfIdle() })
	return done
}

func (c *Engine) closeIfIdle() bool {
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

// mayRunAgain tells whether a client may try a transaction again that has no result: it
// was never sent on, no attempt may have run, or its class lets it run twice. Such a
// one is refused, not failed, as the module itself does.
func (c *Engine) mayRunAgain(t *Transaction) bool {
	since := t.mayHaveRunSince
	if since.IsZero() && t.liveFlow != nil {
		since = t.liveFlow.SentAt
	}
	switch {
	case since.IsZero(), t.class.Effect == policy.Idempotent:
		return true
	case t.class.Effect == policy.Deduplicated && t.class.Group == policy.DedupAll: // if the key is known yet when it comes again
		return c.now.Add(c.settings.Limits.MaxRetryAfter).Before(since.Add(t.class.Window))
	}
	return false
}

// dedupMargin is by how much sooner than a key's window ends a repeat has to be
// with its member: the way there may take longer than the first one's did.
const dedupMargin = 50 * time.Millisecond

// latestSend is when the next flow of a transaction must have reached its member; zero:
// no matter. A key's window counts from the first flow that may have run, at the
// soonest from its sending.
func (t *Transaction) latestSend() time.Time {
	if t.class.Effect != policy.Deduplicated || t.mayHaveRunSince.IsZero() {
		return time.Time{}
	}
	return t.mayHaveRunSince.Add(t.class.Window - dedupMargin)
}

func (c *Engine) arrivedLate(t *Transaction) bool {
	return !c.lateFrom.IsZero() && t.Arrived.After(c.lateFrom)
}

// policyRequest is the stage's view of the transaction, on the module's clock.
func (c *Engine) policyRequest(t *Transaction) policy.Request {
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
	c.post(func() { c.clientLeft(t) })
}

func (c *Engine) clientLeft(t *Transaction) {
	if t.answered || c.open[t.ID] != t {
		return
	}
	c.rememberClosed(t)
	c.closeTransaction(t)
	c.stages.RecordEnd(t, Answer{Verdict: Failed, Reason: accounting.ClientLeft}, c.now)
	c.decisions.HandleClientGone(c.clock(c.now), t.ID)
}

// abandonDelay is how long a member may take to hear that a flow is abandoned.
const abandonDelay = 2 * time.Second

// closedTransaction is what is remembered of a transaction that was closed early.
type closedTransaction struct {
	until           time.Time
	mayHaveRunSince time.Time // since when an attempt may have run
}

// rememberClosed keeps the id of a transaction that is closed, by its client's leaving or by
// an answer, while an attempt is out, or after one that must not be repeated. The
// flow ends here at once, and its member hears of it later: a client that sends the
// same id again on another connection meanwhile, as one does whose connection was
// closed on it, would have two attempts at once, or one too many.
func (c *Engine) rememberClosed(t *Transaction) {
	if t.liveFlow == nil && c.mayRunAgain(t) {
		return
	}
	since := t.mayHaveRunSince
	if since.IsZero() {
		since = t.liveFlow.SentAt
	}
	id, until := t.ID, c.now.Add(abandonDelay)
	c.closedEarly[id] = closedTransaction{until, since}
	c.timers.schedule(until, func() {
		if !c.now.Before(c.closedEarly[id].until) {
			delete(c.closedEarly, id)
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
	if c.mayRunAgain(t) {
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
	a.Attempts, a.MayHaveRun, a.LastStatus, a.LastMember, a.MemberError, a.MembersTried = t.attempts, !t.mayHaveRunSince.IsZero() || t.liveFlow != nil, t.lastStatus, t.lastMember, t.memberError, t.membersTried
	if t.liveFlow != nil {
		c.rememberClosed(t)
	}
	c.closeTransaction(t)
	c.stages.RecordEnd(t, a, c.now)
	t.Client.Answer(a)
}

// closeTransaction marks a transaction as done with its client.
func (c *Engine) closeTransaction(t *Transaction) {
	t.answered = true
	c.timers.cancel(t.deadlineTimer)
	c.load.Open--
	c.load.Bytes -= len(t.Body)
	c.unanswered.Add(-1)
	c.forgetIfDone(t)
}

// forgetIfDone drops a transaction that is answered and has no live flow.
func (c *Engine) forgetIfDone(t *Transaction) {
	if t.answered && t.liveFlow == nil && c.open[t.ID] == t {
		delete(c.open, t.ID)
	}
}

// EndFlow tells how a flow ended. Only the first end of a flow counts.
func (c *Engine) EndFlow(f *Flow, s policy.Status, result []byte) {
	c.post(func() { c.endFlow(f, s, result) })
}

// EndFlowWithLoad is End with the load report of the answer that ended the flow. Like any
// end it may come when the flow has ended, by its deadline: then it counts nothing.
func (c *Engine) EndFlowWithLoad(f *Flow, s policy.Status, load policy.Report) {
	c.post(func() {
		if !f.ended {
			f.Load = load
			c.endFlow(f, s, nil)
		}
	})
}

func (c *Engine) endFlow(f *Flow, s policy.Status, result []byte) {
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
	c.timers.cancel(f.deadlineTimer)
	c.releaseReservation(f, s)
	if t.lastStatus = s; t.mayHaveRunSince.IsZero() && !c.settings.Rules.ProvesNotRun(s) {
		t.mayHaveRunSince = f.SentAt
	}
	if s == policy.Error {
		t.memberError = result
	}
	c.flowsOut--
	if t.liveFlow == f {
		t.liveFlow = nil
	}
	if a := c.stages.Relay(f, s, result, c.now); a != nil {
		c.answer(t, *a)
	}
	c.decisions.HandleAttemptResult(c.clock(c.now), policy.AttemptResult{
		Request: t.ID, Attempt: f.Number, Worker: f.Member.number, Status: s, Final: t.answered,
		Latency: c.now.Sub(f.SentAt), Report: f.Load,
	})
	c.forgetIfDone(t)
}

// UpdateFlow tells news of a flow that is out.
func (c *Engine) UpdateFlow(f *Flow, topic policy.UpdateKind, share float64) {
	c.post(func() { c.updateFlow(f, topic, share) })
}

func (c *Engine) updateFlow(f *Flow, topic policy.UpdateKind, share float64) {
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
	c.Do(func() { here = c.handleJobUpdate(n) })
	return here
}

func (c *Engine) handleJobUpdate(n JobUpdate) bool {
	t := c.open[n.ID]
	if t == nil {
		_, left := c.closedEarly[n.ID]
		return left
	}
	if t.liveFlow == nil || t.liveFlow.Member.ID != n.Member {
		return true
	}
	switch {
	case n.Ended:
		t.liveFlow.Load = n.Load
		t.liveFlow.Member.Transport.EndedOutOfBand(t.liveFlow)
		c.endFlow(t.liveFlow, n.Status, n.Result)
	case n.Started:
		c.updateFlow(t.liveFlow, policy.UpdateStarted, 0)
	case n.Running:
		c.updateFlow(t.liveFlow, policy.UpdateProgress, n.Progress)
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
