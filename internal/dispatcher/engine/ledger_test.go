package engine

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/schedulingdelay"

	"github.com/stretchr/testify/require"
)

// tape stands in for everything round the engine and writes down what it is
// asked; each entry is a word and an id.
type tape struct {
	t     *testing.T
	said  []string
	flows []*Flow
}

func (p *tape) say(word, id string) { p.said = append(p.said, word+" "+id) }
func (p *tape) Admit(t *Transaction, load Load, now time.Time) *Answer {
	if load.RetryDelay > 0 {
		p.say("behind", t.ID)
		return &Answer{Verdict: Refused, RetryAt: now.Add(load.RetryDelay)}
	}
	return nil
}
func (p *tape) RecordAccepted(*Transaction, time.Time)          {}
func (p *tape) RecordEnd(t *Transaction, _ Answer, _ time.Time) { p.say("book", t.ID) }
func (p *tape) Start(f *Flow)                                   { p.flows = append(p.flows, f); p.say("start", f.Transaction.ID) }
func (p *tape) Abandon(f *Flow)                                 { p.say("abandon", f.Transaction.ID) }
func (p *tape) EndedOutOfBand(f *Flow)                          { p.say("release", f.Transaction.ID) }
func (p *tape) Recall(f *Flow)                                  { p.say("recall", f.Transaction.ID) }
func (p *tape) Probe(*Member)                                   {}
func (p *tape) Watch(bool)                                      {}
func (p *tape) Fetch()                                          {}
func (p *tape) Route(t *Transaction) policy.Request {
	return policy.Request{ID: t.ID, Class: t.Class, Hint: t.Hint}
}
func (p *tape) Relay(_ *Flow, s policy.Status, _ []byte, _ time.Time) *Answer {
	if s == policy.OK {
		return &Answer{Verdict: Served}
	}
	return nil
}
func (p *tape) NewFlow(t *Transaction, m *Member, n int, now, until time.Time) *Flow {
	return &Flow{Transaction: t, Member: m, Number: n, SentAt: now, Deadline: until}
}

type told struct {
	p  *tape
	id string
}

func (c told) Answer(a Answer) { c.p.say(a.Verdict.String(), c.id) }

// leaver is a client that has gone before the engine is told of it.
type leaver struct {
	told
	gone bool
}

func (c *leaver) Gone() bool { return c.gone }

// TestLedger drives the engine by hand, without its goroutine: what may happen
// at most once does, whoever tries to make it happen again.
//
//nolint:funlen // a table of cases, each a few lines
func TestLedger(t *testing.T) {
	begin := func() (*Engine, *tape, *Transaction) {
		p := &tape{t: t}
		log := slog.New(slog.DiscardHandler)
		c, err := New(policy.Settings{
			Instances: 1, ReportsStart: true, Limits: policy.Limits{MaxAttempts: 3, Cancel: true},
			Classes: []policy.Class{{Name: "ticket", Effect: policy.AtMostOnce, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: time.Minute, Value: 1, Kind: -1},
				{Name: "notice", Effect: policy.Idempotent, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: time.Minute, Value: 1, Kind: -1},
				{Name: "hold", Effect: policy.Deduplicated, DedupScope: policy.DedupCell, DedupWindow: 10 * time.Second, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: time.Minute, Value: 1, Kind: -1}},
		}, p, nil, log)
		require.NoError(t, err)
		c.SetLister(p)
		c.UpdateMembers("test", policy.ListRestored, []*Member{{ID: "a", Transport: p}})
		tx := &Transaction{ID: "t", Class: "ticket", Hint: time.Second, Deadline: time.Now().Add(time.Minute), Client: told{p, "t"}}
		c.Submit(tx)
		return c, p, tx
	}
	play := func(c *Engine) {
		for events := c.takeEvents(); len(events) > 0; events = c.takeEvents() {
			for _, e := range events {
				c.handle(queuedEvent{run: e.run})
			}
		}
	}
	for name, step := range map[string]struct {
		do   func(c *Engine, p *tape, tx *Transaction)
		want string
	}{
		"an end counts once": {func(c *Engine, p *tape, _ *Transaction) {
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.EndFlow(p.flows[0], policy.Rejected, nil)
		}, `["start t","book t","served t"]`},
		"a report that comes after the end counts nothing": {func(c *Engine, p *tape, _ *Transaction) {
			c.EndFlow(p.flows[0], policy.TimedOut, nil)
			c.EndFlowWithLoad(p.flows[0], policy.Error, policy.Report{Has: policy.HasX0, X0: 1})
			c.post(func() { require.Zero(p.t, p.flows[0].Load) })
		}, `["start t","book t","failed t"]`},
		// What it has in progress goes on all the while.
		"what comes while events are late is turned away, until one is in time": {func(c *Engine, p *tape, tx *Transaction) {
			c.SetDelayBounds(schedulingdelay.Bounds{Target: time.Millisecond, Interval: time.Second})
			come := func(id string) {
				c.Submit(&Transaction{ID: id, Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: told{p, id}})
			}
			now := time.Now()
			c.post(func() { c.delay.Observe(time.Minute, now); c.delay.Observe(time.Minute, now.Add(time.Second)) })
			come("x")
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { c.delay.Observe(0, now.Add(2*time.Second)) })
			come("y")
		}, `["start t","behind x","book x","refused x","book t","served t","start y"]`},
		"an id names one transaction": {func(c *Engine, p *tape, tx *Transaction) {
			c.Submit(&Transaction{ID: "t", Class: "ticket", Deadline: tx.Deadline, Client: told{p, "second"}})
		}, `["start t","book t","denied second"]`},
		"never two at once": {func(c *Engine, p *tape, _ *Transaction) {
			c.post(func() { host{c}.Send("t", p.flows[0].Member.number, 0) })
		}, `["start t"]`},
		"nothing is sent after the answer": {func(c *Engine, p *tape, _ *Transaction) {
			c.post(func() { host{c}.Fail("t"); host{c}.Send("t", p.flows[0].Member.number, 0); host{c}.Refuse("t", 0) })
		}, `["start t","book t","failed t"]`},
		"a client that left is owed nothing, and its flow is abandoned": {func(c *Engine, p *tape, tx *Transaction) {
			c.ClientLeft(tx)
			c.ClientLeft(tx)
			c.EndFlow(p.flows[0], policy.OK, nil)
		}, `["start t","book t","abandon t"]`},
		"an id whose client left is not taken again until its member has heard": {func(c *Engine, p *tape, tx *Transaction) {
			c.ClientLeft(tx)
			again := func() {
				c.Submit(&Transaction{ID: "t", Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: told{p, "again"}})
			}
			again()
			c.post(func() {
				for due := c.timers.popDue(time.Now().Add(abandonDelay)); due != nil; due = c.timers.popDue(time.Now().Add(abandonDelay)) {
					c.now = time.Now().Add(abandonDelay)
					due()
				}
				again()
			})
		}, `["start t","book t","abandon t","book t","denied again","start t"]`},
		// A leave that was handed over behind other events counts from the first.
		"a client that has gone gets no further attempt": {func(c *Engine, p *tape, tx *Transaction) {
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "b", Transport: p}})
			tx.Client = &leaver{told{p, "t"}, true}
			c.EndFlow(p.flows[0], policy.ConnectFailed, nil)
			c.ClientLeft(tx)
		}, `["start t","book t"]`},
		"a client that has gone gets no first attempt": {func(c *Engine, p *tape, tx *Transaction) {
			x := &Transaction{ID: "x", Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: &leaver{told{p, "x"}, true}}
			c.Submit(x)
			c.ClientLeft(x)
		}, `["start t","book x"]`},
		"clients that leave in a burst while they are held get none once there is room": {func(c *Engine, p *tape, tx *Transaction) {
			var held []*Transaction
			out := 0 // flows
			for n := range 50 {
				held = append(held, &Transaction{ID: fmt.Sprint("x", n), Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: &leaver{told{p, "x"}, false}})
				c.Submit(held[n])
			}
			c.post(func() {
				out = len(p.flows)
				for _, x := range held { // as one, before the first is told of
					x.Client.(*leaver).gone = true
				}
			})
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { c.endFlow(p.flows[1], policy.ConnectFailed, nil) })
			c.post(func() { require.Len(p.t, p.flows, out) })
			for _, x := range held {
				c.ClientLeft(x)
			}
			c.post(func() {
				require.Empty(p.t, c.open)
				require.Equal(p.t, 0, c.Unanswered())
				p.said = nil
			})
		}, `null`},
		"hundreds of one id at once are one job": {func(c *Engine, p *tape, tx *Transaction) {
			for range 300 {
				c.Submit(&Transaction{ID: "t", Class: "ticket", Deadline: tx.Deadline, Client: told{p, "again"}})
			}
			c.post(func() {
				require.Len(p.t, p.flows, 1)
				require.Equal(p.t, 1, c.Unanswered())
				p.said = p.said[len(p.said)-1:]
			})
		}, `["denied again"]`},
		// The first is called off before the second is looked at, whatever order their
		// connections are read in; what may run twice may come again.
		"an id comes again on another connection before the leave is told": {func(c *Engine, p *tape, tx *Transaction) {
			x := &Transaction{ID: "x", Class: "notice", Hint: time.Second, Deadline: tx.Deadline, Client: &leaver{told{p, "x"}, false}}
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "b", Transport: p}})
			c.Submit(x)
			c.post(func() { x.Client.(*leaver).gone = true })
			c.Submit(&Transaction{ID: "x", Class: "notice", Hint: time.Second, Deadline: tx.Deadline, Client: told{p, "again"}})
			c.ClientLeft(x)
		}, `["start t","start x","book x","abandon x","book x","refused again"]`},
		"an id comes again after an attempt that must not be repeated": {func(c *Engine, p *tape, tx *Transaction) {
			x := &Transaction{ID: "x", Class: "hold", Key: "k", Hint: time.Second, Deadline: tx.Deadline, Client: &leaver{told{p, "x"}, false}}
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "b", Transport: p}})
			c.Submit(x)
			c.post(func() { x.Client.(*leaver).gone = true; c.endFlow(p.flows[1], policy.Reset, nil) })
			c.Submit(&Transaction{ID: "x", Class: "hold", Key: "k", Hint: time.Second, Deadline: tx.Deadline, Client: told{p, "again"}})
			c.ClientLeft(x)
		}, `["start t","start x","book x","book x","denied again"]`},
		"an id comes again while the flow of one that was answered is called off": {func(c *Engine, p *tape, tx *Transaction) {
			c.post(func() { c.expire(tx) })
			c.Submit(&Transaction{ID: "t", Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: told{p, "again"}})
		}, `["start t","book t","failed t","abandon t","book t","denied again"]`},
		// A second attempt would run beside the first until the member has heard.
		"what is asked back goes elsewhere once the member has heard": {func(c *Engine, p *tape, tx *Transaction) {
			c.post(func() { host{c}.Cancel("t", 0); host{c}.Send("t", p.flows[0].Member.number, 0) })
			c.post(func() { require.Same(p.t, p.flows[0], tx.liveFlow) })
			c.EndFlow(p.flows[0], policy.Cancelled, nil)
			c.post(func() { require.Nil(p.t, tx.liveFlow) })
		}, `["start t","recall t","book t","failed t"]`},
		"news counts for the live flow at that member": {func(c *Engine, _ *tape, _ *Transaction) {
			for _, from := range []string{"b", "a", "a", "b"} {
				c.post(func() { c.handleJobUpdate(JobUpdate{ID: "t", Member: from, Ended: true}) })
			}
		}, `["start t","release t","book t","served t"]`},
		"what comes late to a program that ends is answered by its end": {func(c *Engine, p *tape, tx *Transaction) {
			now := time.Now()
			c.BeginShutdown(now, now.Add(time.Second))
			for _, id := range []string{"long", "short"} {
				hint := map[string]time.Duration{"short": time.Millisecond, "long": time.Minute}[id]
				c.Submit(&Transaction{ID: id, Class: "ticket", Hint: hint, Arrived: now.Add(1), Deadline: tx.Deadline, Client: told{p, id}})
			}
			c.post(func() {
				for due := c.timers.popDue(now.Add(time.Second)); due != nil; due = c.timers.popDue(now.Add(time.Second)) {
					c.handle(queuedEvent{run: due})
				}
			})
		}, `["start t","book long","refused long","start short","book short","failed short","abandon short"]`},
		// However early it came by the clock: no result could come for it.
		"nothing is sent once the way back is shut, which is not while something is in hand": {func(c *Engine, p *tape, tx *Transaction) {
			now := time.Now()
			c.BeginShutdown(now.Add(time.Minute), now.Add(time.Hour))
			come := func(id string) {
				c.Submit(&Transaction{ID: id, Class: "ticket", Hint: time.Second, Arrived: now, Deadline: tx.Deadline, Client: told{p, id}})
			}
			shut := func(want bool) { c.post(func() { require.Equal(p.t, want, c.closeIfIdle()) }) }
			shut(false)
			c.EndFlow(p.flows[0], policy.OK, nil)
			come("x") // between the last answer and the close
			shut(false)
			c.post(func() { c.endFlow(p.flows[1], policy.OK, nil) })
			shut(true)
			come("y")
		}, `["start t","book t","served t","start x","book x","served x","book y","refused y"]`},
		// A refusal says that trying again is harmless: it holds for what no member may
		// have run, and for what may run twice.
		"what never ran, or may run twice, is refused by the end": {func(c *Engine, p *tape, tx *Transaction) {
			now := time.Now()
			c.BeginShutdown(now, now.Add(time.Second))
			for n, class := range []string{"ticket", "notice", "ticket"} {
				c.Submit(&Transaction{ID: fmt.Sprint(n), Class: class, Hint: time.Millisecond, Arrived: now.Add(1), Deadline: tx.Deadline, Client: told{p, fmt.Sprint(n)}})
			}
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "a", State: policy.Draining, Transport: p}}) // so nothing is sent again
			c.post(func() { c.endFlow(p.flows[1], policy.ConnectFailed, nil) })
			c.post(func() {
				for due := c.timers.popDue(now.Add(time.Second)); due != nil; due = c.timers.popDue(now.Add(time.Second)) {
					c.handle(queuedEvent{run: due})
				}
				p.said = slices.DeleteFunc(p.said, func(s string) bool { return !strings.Contains(s, "ed ") })
				slices.Sort(p.said)
			})
		}, `["failed 2","refused 0","refused 1"]`},
		"what never ran is refused when the module owes its answer": {func(c *Engine, p *tape, tx *Transaction) {
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "a", State: policy.Draining, Transport: p}})
			c.EndFlow(p.flows[0], policy.ConnectFailed, nil)
			c.post(func() { c.expire(tx) })
		}, `["start t","book t","refused t"]`},
		// A result and the deadline in one turn: what is handled first counts, alone.
		"a result just before the deadline": {func(c *Engine, p *tape, tx *Transaction) {
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { p.flows[0].deadlineTimer.run(); c.expire(tx) })
		}, `["start t","book t","served t"]`},
		"a result just after the deadline": {func(c *Engine, p *tape, tx *Transaction) {
			c.post(func() { p.flows[0].deadlineTimer.run() })
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { c.handleJobUpdate(JobUpdate{ID: "t", Member: "a", Ended: true}) })
			c.post(func() { p.flows[0].deadlineTimer.run(); c.expire(tx) })
		}, `["start t","abandon t","book t","failed t"]`},
		"what the module still owes after the deadline is answered": {func(c *Engine, _ *tape, tx *Transaction) {
			c.post(func() { c.expire(tx); c.expire(tx) })
		}, `["start t","book t","failed t","abandon t"]`},
	} {
		t.Run(name, func(t *testing.T) {
			c, p, tx := begin()
			play(c)
			step.do(c, p, tx)
			play(c)
			said, err := json.Marshal(p.said)
			require.NoError(t, err)
			require.Equal(t, step.want, string(said))
			require.LessOrEqual(t, c.load.Open, 1, fmt.Sprint(c.open))
		})
	}
}
