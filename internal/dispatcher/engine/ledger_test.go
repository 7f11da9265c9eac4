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

// recorder implements Stages, Transport and Lister, and records their calls; each entry is a word and an id.
type recorder struct {
	t     *testing.T
	calls []string
	flows []*Flow
}

func (p *recorder) record(word, id string) { p.calls = append(p.calls, word+" "+id) }
func (p *recorder) Admit(t *Transaction, load Load, now time.Time) *Answer {
	if load.RetryDelay > 0 {
		p.record("behind", t.ID)
		return &Answer{Verdict: Refused, RetryAt: now.Add(load.RetryDelay)}
	}
	return nil
}
func (p *recorder) RecordAccepted(*Transaction, time.Time)          {}
func (p *recorder) RecordEnd(t *Transaction, _ Answer, _ time.Time) { p.record("book", t.ID) }
func (p *recorder) Start(f *Flow)                                   { p.flows = append(p.flows, f); p.record("start", f.Transaction.ID) }
func (p *recorder) Abandon(f *Flow)                                 { p.record("abandon", f.Transaction.ID) }
func (p *recorder) EndedOutOfBand(f *Flow)                          { p.record("release", f.Transaction.ID) }
func (p *recorder) Recall(f *Flow)                                  { p.record("recall", f.Transaction.ID) }
func (p *recorder) Probe(*Member)                                   {}
func (p *recorder) Watch(bool)                                      {}
func (p *recorder) Fetch()                                          {}
func (p *recorder) Route(t *Transaction) policy.Request {
	return policy.Request{ID: t.ID, Class: t.Class, Hint: t.Hint}
}
func (p *recorder) Relay(_ *Flow, s policy.Status, _ []byte, _ time.Time) *Answer {
	if s == policy.OK {
		return &Answer{Verdict: Served}
	}
	return nil
}
func (p *recorder) NewFlow(t *Transaction, m *Member, n int, now, until time.Time) *Flow {
	return &Flow{Transaction: t, Member: m, Number: n, SentAt: now, Deadline: until}
}

type recordingClient struct {
	p  *recorder
	id string
}

func (c recordingClient) Answer(a Answer) { c.p.record(a.Verdict.String(), c.id) }

// leavingClient is a client that has left before the engine has its ClientLeft event.
type leavingClient struct {
	recordingClient
	gone bool
}

func (c *leavingClient) Gone() bool { return c.gone }

// TestLedger drives the engine without its goroutine, and checks that each transaction gets one final answer
// and has one live flow at a time, for each order in which ends, answers and leaving clients may arrive.
//
//nolint:funlen // a table of cases, each a few lines
func TestLedger(t *testing.T) {
	begin := func() (*Engine, *recorder, *Transaction) {
		p := &recorder{t: t}
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
		tx := &Transaction{ID: "t", Class: "ticket", Hint: time.Second, Deadline: time.Now().Add(time.Minute), Client: recordingClient{p, "t"}}
		c.Submit(tx)
		return c, p, tx
	}
	handleAll := func(c *Engine) {
		for events := c.takeEvents(); len(events) > 0; events = c.takeEvents() {
			for _, e := range events {
				c.handle(queuedEvent{run: e.run})
			}
		}
	}
	for name, step := range map[string]struct {
		do   func(c *Engine, p *recorder, tx *Transaction)
		want string
	}{
		"the end of a flow counts once": {func(c *Engine, p *recorder, _ *Transaction) {
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.EndFlow(p.flows[0], policy.Rejected, nil)
		}, `["start t","book t","served t"]`},
		"a load report after the end of a flow is ignored": {func(c *Engine, p *recorder, _ *Transaction) {
			c.EndFlow(p.flows[0], policy.TimedOut, nil)
			c.EndFlowWithLoad(p.flows[0], policy.Error, policy.Report{Has: policy.HasX0, X0: 1})
			c.post(func() { require.Zero(p.t, p.flows[0].Load) })
		}, `["start t","book t","failed t"]`},
		// Transactions in progress are not affected.
		"transactions are rejected while events are late, until an event is in time": {func(c *Engine, p *recorder, tx *Transaction) {
			c.SetDelayBounds(schedulingdelay.Bounds{Target: time.Millisecond, Interval: time.Second})
			submit := func(id string) {
				c.Submit(&Transaction{ID: id, Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: recordingClient{p, id}})
			}
			now := time.Now()
			c.post(func() { c.delay.Observe(time.Minute, now); c.delay.Observe(time.Minute, now.Add(time.Second)) })
			submit("x")
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { c.delay.Observe(0, now.Add(2*time.Second)) })
			submit("y")
		}, `["start t","behind x","book x","refused x","book t","served t","start y"]`},
		"the id of an open transaction is denied": {func(c *Engine, p *recorder, tx *Transaction) {
			c.Submit(&Transaction{ID: "t", Class: "ticket", Deadline: tx.Deadline, Client: recordingClient{p, "second"}})
		}, `["start t","book t","denied second"]`},
		"a transaction has one live flow at a time": {func(c *Engine, p *recorder, _ *Transaction) {
			c.post(func() { host{c}.Send("t", p.flows[0].Member.number, 0) })
		}, `["start t"]`},
		"nothing is sent after the answer": {func(c *Engine, p *recorder, _ *Transaction) {
			c.post(func() { host{c}.Fail("t"); host{c}.Send("t", p.flows[0].Member.number, 0); host{c}.Refuse("t", 0) })
		}, `["start t","book t","failed t"]`},
		"a client that left gets no answer, and its flow is abandoned": {func(c *Engine, p *recorder, tx *Transaction) {
			c.ClientLeft(tx)
			c.ClientLeft(tx)
			c.EndFlow(p.flows[0], policy.OK, nil)
		}, `["start t","book t","abandon t"]`},
		"an id whose client left is denied until its member has been informed": {func(c *Engine, p *recorder, tx *Transaction) {
			c.ClientLeft(tx)
			again := func() {
				c.Submit(&Transaction{ID: "t", Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: recordingClient{p, "again"}})
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
		// A client has left from the moment that Gone reports it, not only once ClientLeft is handled.
		"a client that has left gets no further attempt": {func(c *Engine, p *recorder, tx *Transaction) {
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "b", Transport: p}})
			tx.Client = &leavingClient{recordingClient{p, "t"}, true}
			c.EndFlow(p.flows[0], policy.ConnectFailed, nil)
			c.ClientLeft(tx)
		}, `["start t","book t"]`},
		"a client that has left gets no first attempt": {func(c *Engine, p *recorder, tx *Transaction) {
			x := &Transaction{ID: "x", Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: &leavingClient{recordingClient{p, "x"}, true}}
			c.Submit(x)
			c.ClientLeft(x)
		}, `["start t","book x"]`},
		"held transactions whose clients leave in a burst get no attempt once there is capacity": {func(c *Engine, p *recorder, tx *Transaction) {
			var held []*Transaction
			out := 0 // flows in flight
			for n := range 50 {
				held = append(held, &Transaction{ID: fmt.Sprint("x", n), Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: &leavingClient{recordingClient{p, "x"}, false}})
				c.Submit(held[n])
			}
			c.post(func() {
				out = len(p.flows)
				for _, x := range held { // all at once, before the first ClientLeft
					x.Client.(*leavingClient).gone = true
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
				p.calls = nil
			})
		}, `null`},
		"hundreds of transactions of one id run one job": {func(c *Engine, p *recorder, tx *Transaction) {
			for range 300 {
				c.Submit(&Transaction{ID: "t", Class: "ticket", Deadline: tx.Deadline, Client: recordingClient{p, "again"}})
			}
			c.post(func() {
				require.Len(p.t, p.flows, 1)
				require.Equal(p.t, 1, c.Unanswered())
				p.calls = p.calls[len(p.calls)-1:]
			})
		}, `["denied again"]`},
		// The first transaction is cancelled before the second is checked, in whatever order their
		// connections are read; an idempotent request may be retried.
		"an id is submitted again on another connection before ClientLeft": {func(c *Engine, p *recorder, tx *Transaction) {
			x := &Transaction{ID: "x", Class: "notice", Hint: time.Second, Deadline: tx.Deadline, Client: &leavingClient{recordingClient{p, "x"}, false}}
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "b", Transport: p}})
			c.Submit(x)
			c.post(func() { x.Client.(*leavingClient).gone = true })
			c.Submit(&Transaction{ID: "x", Class: "notice", Hint: time.Second, Deadline: tx.Deadline, Client: recordingClient{p, "again"}})
			c.ClientLeft(x)
		}, `["start t","start x","book x","abandon x","book x","refused again"]`},
		"an id is submitted again after an attempt that must not be repeated": {func(c *Engine, p *recorder, tx *Transaction) {
			x := &Transaction{ID: "x", Class: "hold", Key: "k", Hint: time.Second, Deadline: tx.Deadline, Client: &leavingClient{recordingClient{p, "x"}, false}}
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "b", Transport: p}})
			c.Submit(x)
			c.post(func() { x.Client.(*leavingClient).gone = true; c.endFlow(p.flows[1], policy.Reset, nil) })
			c.Submit(&Transaction{ID: "x", Class: "hold", Key: "k", Hint: time.Second, Deadline: tx.Deadline, Client: recordingClient{p, "again"}})
			c.ClientLeft(x)
		}, `["start t","start x","book x","book x","denied again"]`},
		"an id is submitted again while the flow of its answered transaction is cancelled": {func(c *Engine, p *recorder, tx *Transaction) {
			c.post(func() { c.expire(tx) })
			c.Submit(&Transaction{ID: "t", Class: "ticket", Hint: time.Second, Deadline: tx.Deadline, Client: recordingClient{p, "again"}})
		}, `["start t","book t","failed t","abandon t","book t","denied again"]`},
		// A second attempt could run at the same time as the first until the member has confirmed.
		"a recalled flow stays live until the member has confirmed the cancellation": {func(c *Engine, p *recorder, tx *Transaction) {
			c.post(func() { host{c}.Cancel("t", 0); host{c}.Send("t", p.flows[0].Member.number, 0) })
			c.post(func() { require.Same(p.t, p.flows[0], tx.liveFlow) })
			c.EndFlow(p.flows[0], policy.Cancelled, nil)
			c.post(func() { require.Nil(p.t, tx.liveFlow) })
		}, `["start t","recall t","book t","failed t"]`},
		"a job update counts for the live flow at its member only": {func(c *Engine, _ *recorder, _ *Transaction) {
			for _, from := range []string{"b", "a", "a", "b"} {
				c.post(func() { c.handleJobUpdate(JobUpdate{ID: "t", Member: from, Ended: true}) })
			}
		}, `["start t","release t","book t","served t"]`},
		"a transaction that arrives during a shutdown is answered by its end": {func(c *Engine, p *recorder, tx *Transaction) {
			now := time.Now()
			c.BeginShutdown(now, now.Add(time.Second))
			for _, id := range []string{"long", "short"} {
				hint := map[string]time.Duration{"short": time.Millisecond, "long": time.Minute}[id]
				c.Submit(&Transaction{ID: id, Class: "ticket", Hint: hint, Arrived: now.Add(1), Deadline: tx.Deadline, Client: recordingClient{p, id}})
			}
			c.post(func() {
				for due := c.timers.popDue(now.Add(time.Second)); due != nil; due = c.timers.popDue(now.Add(time.Second)) {
					c.handle(queuedEvent{run: due})
				}
			})
		}, `["start t","book long","refused long","start short","book short","failed short","abandon short"]`},
		// Even one that arrived before the late time of the shutdown: its result could not be received.
		"transactions are refused once the engine is closed, which it is only while none is open": {func(c *Engine, p *recorder, tx *Transaction) {
			now := time.Now()
			c.BeginShutdown(now.Add(time.Minute), now.Add(time.Hour))
			submit := func(id string) {
				c.Submit(&Transaction{ID: id, Class: "ticket", Hint: time.Second, Arrived: now, Deadline: tx.Deadline, Client: recordingClient{p, id}})
			}
			tryClose := func(want bool) { c.post(func() { require.Equal(p.t, want, c.closeIfIdle()) }) }
			tryClose(false)
			c.EndFlow(p.flows[0], policy.OK, nil)
			submit("x") // between the last answer and the close
			tryClose(false)
			c.post(func() { c.endFlow(p.flows[1], policy.OK, nil) })
			tryClose(true)
			submit("y")
		}, `["start t","book t","served t","start x","book x","served x","book y","refused y"]`},
		// A refusal states that a retry is safe: that holds for a transaction that no member may have
		// run, and for one that may run twice.
		"a transaction that never ran, or may run twice, is refused by the end": {func(c *Engine, p *recorder, tx *Transaction) {
			now := time.Now()
			c.BeginShutdown(now, now.Add(time.Second))
			for n, class := range []string{"ticket", "notice", "ticket"} {
				c.Submit(&Transaction{ID: fmt.Sprint(n), Class: class, Hint: time.Millisecond, Arrived: now.Add(1), Deadline: tx.Deadline, Client: recordingClient{p, fmt.Sprint(n)}})
			}
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "a", State: policy.Draining, Transport: p}}) // so that there are no further sends
			c.post(func() { c.endFlow(p.flows[1], policy.ConnectFailed, nil) })
			c.post(func() {
				for due := c.timers.popDue(now.Add(time.Second)); due != nil; due = c.timers.popDue(now.Add(time.Second)) {
					c.handle(queuedEvent{run: due})
				}
				p.calls = slices.DeleteFunc(p.calls, func(s string) bool { return !strings.Contains(s, "ed ") })
				slices.Sort(p.calls)
			})
		}, `["failed 2","refused 0","refused 1"]`},
		"a transaction that never ran is refused if the policy has not answered by the deadline": {func(c *Engine, p *recorder, tx *Transaction) {
			c.UpdateMembers("test", policy.ListDelta, []*Member{{ID: "a", State: policy.Draining, Transport: p}})
			c.EndFlow(p.flows[0], policy.ConnectFailed, nil)
			c.post(func() { c.expire(tx) })
		}, `["start t","book t","refused t"]`},
		// A result and the deadline among the same events: only the first that is handled counts.
		"a result just before the deadline": {func(c *Engine, p *recorder, tx *Transaction) {
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { p.flows[0].deadlineTimer.run(); c.expire(tx) })
		}, `["start t","book t","served t"]`},
		"a result just after the deadline": {func(c *Engine, p *recorder, tx *Transaction) {
			c.post(func() { p.flows[0].deadlineTimer.run() })
			c.EndFlow(p.flows[0], policy.OK, nil)
			c.post(func() { c.handleJobUpdate(JobUpdate{ID: "t", Member: "a", Ended: true}) })
			c.post(func() { p.flows[0].deadlineTimer.run(); c.expire(tx) })
		}, `["start t","abandon t","book t","failed t"]`},
		"a transaction that the policy has not answered by the deadline is answered once": {func(c *Engine, _ *recorder, tx *Transaction) {
			c.post(func() { c.expire(tx); c.expire(tx) })
		}, `["start t","book t","failed t","abandon t"]`},
	} {
		t.Run(name, func(t *testing.T) {
			c, p, tx := begin()
			handleAll(c)
			step.do(c, p, tx)
			handleAll(c)
			calls, err := json.Marshal(p.calls)
			require.NoError(t, err)
			require.Equal(t, step.want, string(calls))
			require.LessOrEqual(t, c.load.Open, 1, fmt.Sprint(c.open))
		})
	}
}
