package planrun

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// replicas are Trackers that apply the same commands.
type replicas [3]*Tracker

func newReplicas(l Limits) (r replicas) {
	for i := range r {
		r[i] = NewTracker(l)
	}
	return r
}

// apply applies a command at each replica. It panics if their replies differ.
func (r replicas) apply(at time.Duration, command any) (reply Reply, err error) {
	var c Command
	if command != nil {
		p := reflect.New(reflect.TypeOf(command))
		p.Elem().Set(reflect.ValueOf(command))
		reflect.ValueOf(&c).Elem().FieldByName(p.Elem().Type().Name()).Set(p)
	}
	for i, b := range r {
		if got := b.Apply(at, c); i == 0 {
			reply = got
		} else if !reflect.DeepEqual(got, reply) {
			panic(fmt.Sprintf("%T: replica %d replied %+v; replica 0 %+v", command, i, got, reply))
		}
	}
	return reply, reply.Err()
}

// requireEqual checks that the encoded states of the replicas are equal, also after a decode.
func (r *replicas) requireEqual(t require.TestingT) {
	want, err := r[0].Encode()
	require.NoError(t, err)
	back := NewTracker(Limits{})
	require.NoError(t, back.Decode(want))
	for _, b := range []*Tracker{r[1], r[2], back} {
		got, err := b.Encode()
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	r[2] = back // continues with the decoded state
}

// booking returns the shape of a plan that books seats on a tour. Its stages are a price list
// that runs of the same tour share, a deduplicated hold of each seat with an undo, an
// at-most-once ticket, and a notice.
func booking(seats int) Shape {
	retry := []RetryShape{{On: []plan.End{plan.Refused, plan.Full, plan.Unsent, plan.Late, plan.Failed, plan.Reset}, MaxRetries: 2, Wait: 20 * ms, WaitAtMost: 100 * ms, Jitter: 200}}
	never := []RetryShape{{On: []plan.End{plan.Refused, plan.Full, plan.Unsent}, MaxRetries: 2, Wait: 20 * ms}}
	return Shape{MaxAttempts: 40 + 8*seats, Timeout: 3 * time.Second, Stages: []StageShape{
		{Name: "prices", Class: "read", Effect: policy.Idempotent, Shared: true, SharedFor: time.Second, Retries: retry},
		{Name: "hold", Class: "hold", Effect: policy.Deduplicated, After: []int{0}, Each: true, MaxItems: seats, MinSucceeded: max(1, seats*4/5), Retries: retry,
			Reruns: []RerunShape{{Of: 0, Most: 2}}, Undo: &UndoShape{Class: "release", Effect: policy.Deduplicated, MaxTries: 2, Wait: 20 * ms}},
		{Name: "ticket", Class: "ticket", Effect: policy.AtMostOnce, After: []int{1}, Retries: never},
		{Name: "notice", Class: "notice", Effect: policy.Idempotent, After: []int{2}, Retries: retry},
	}}
}

// manualRun applies the commands of one run step by step.
type manualRun struct {
	t *testing.T
	replicas
	at    time.Duration
	fence uint64
	run   string
}

func startManualRun(t *testing.T, s Shape, run string) *manualRun {
	c := &manualRun{t: t, replicas: newReplicas(DefaultLimits()), run: run}
	c.fence = c.start(s, run, "n1").Fence
	return c
}

func (c *manualRun) start(s Shape, run, process string) StartReply {
	reply, err := c.apply(c.at, Start{Run: run, Plan: "p", Shape: s, Before: c.at + 10*time.Second, Process: process, Incarnation: 1})
	require.NoError(c.t, err)
	return *reply.Started
}

func (c *manualRun) view() View {
	v, err := c.replicas[0].View(c.run)
	require.NoError(c.t, err)
	return v
}

func (c *manualRun) nextAttempt(stage, item int) SendAttempt {
	v := c.view()
	it := v.Run.Stages[stage].Items[item]
	return SendAttempt{Run: c.run, Fence: c.fence, Stage: stage, Item: item, Generation: v.Run.Stages[stage].Generation, Inputs: v.Run.inputGenerations(v.Shape, stage), Attempt: it.Job.Attempt + 1}
}

func (c *manualRun) send(stage, item int) error {
	c.at += ms
	_, err := c.apply(c.at, c.nextAttempt(stage, item))
	return err
}

func (c *manualRun) reportEnd(stage, item int, end plan.End, lost *LostInput) ReportEndReply {
	c.at += ms
	j := c.view().Run.Stages[stage].Items[item].Job
	reply, err := c.apply(c.at, ReportEnd{Run: c.run, Fence: j.Fence, Stage: stage, Item: item, Attempt: j.Attempt, End: end, Result: []byte(`1`), Lost: lost})
	require.NoError(c.t, err)
	return *reply.Counted
}

func (c *manualRun) runItem(stage, item int) ReportEndReply {
	require.NoError(c.t, c.send(stage, item))
	return c.reportEnd(stage, item, plan.Done, nil)
}

func (c *manualRun) open(stage, items int, key string) {
	_, err := c.apply(c.at, Open{Run: c.run, Fence: c.fence, Stage: stage, Key: key, Items: make([][]byte, items)})
	require.NoError(c.t, err)
}

// takeOver lets the lease of process n1 expire, and lets n2 claim its runs.
func (c *manualRun) takeOver() {
	_, _ = c.apply(c.at, LeaseExpired{"n1", 1})
	reply, _ := c.apply(c.at, Claim{Process: "n2", Incarnation: 1, MaxRuns: 100})
	for _, k := range reply.Claimed {
		if k.Run == c.run {
			c.fence = k.Fence
		}
	}
}

func (c *manualRun) answer() *Answer {
	c.requireEqual(c.t)
	reply, err := c.apply(c.at, Finish{c.run})
	require.NoError(c.t, err)
	return reply.Answer
}

func TestServedOnceAndKnown(t *testing.T) {
	c := startManualRun(t, booking(2), "r")
	require.Equal(t, StartReply{Known: true, Fence: c.fence}, c.start(booking(2), "r", "n1"), "started again")
	require.Equal(t, StartReply{Known: true}, c.start(booking(2), "r", "n2"), "by another")
	c.open(0, 1, "tour")
	c.runItem(0, 0)
	c.open(1, 2, "")
	c.runItem(1, 0)
	require.ErrorIs(t, c.send(2, 0), ErrStale, "a seat is yet to be held")
	c.runItem(1, 1)
	c.runItem(2, 0)
	require.ErrorIs(t, c.send(2, 0), ErrAtMostOnce)
	require.NotNil(t, c.runItem(3, 0).Answer)
	a := c.answer()
	require.Equal(t, Served, a.Outcome)
	require.Equal(t, []Results{{"notice", [][]byte{[]byte(`1`)}}}, a.Results)
	require.Equal(t, a, c.start(booking(2), "r", "n2").Answer)
	c.at = a.Until + 1
	_, _ = c.apply(c.at, nil)
	_, err := c.apply(c.at, Start{Run: "r", Shape: booking(2), Before: a.Until, Process: "n1"})
	require.ErrorIs(t, err, ErrDeadline, "delivered late, after the answer was dropped")
}

func TestTicketInFlightAtTakeOver(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := startManualRun(t, booking(1), "r")
		c.open(0, 1, "tour")
		c.runItem(0, 0)
		c.open(1, 1, "")
		c.runItem(1, 0)
		require.NoError(t, c.send(2, 0))
		old := c.nextAttempt(2, 0)
		old.Attempt--
		reply, err := c.apply(c.at, old)
		require.NoError(t, err)
		require.Equal(t, SendAttemptReply{Again: true}, *reply.Sent, "repeated after its reply was lost")
		c.takeOver()
		_, err = c.apply(c.at, old)
		require.ErrorIs(t, err, ErrFenced)
		require.ErrorIs(t, c.send(2, 0), ErrAtMostOnce)
		if late { // the end comes while the hold is being undone: it is recorded, and the run still gives up
			require.True(t, c.reportEnd(2, 0, plan.Done, nil).Accepted)
			require.False(t, c.reportEnd(2, 0, plan.Done, nil).Accepted)
		}
		undo := SendAttempt{Run: "r", Fence: c.fence, Stage: 1, Undo: true, Attempt: 1}
		_, err = c.apply(c.at, undo)
		require.NoError(t, err)
		_, err = c.apply(c.at, ReportEnd{Run: "r", Fence: c.fence, Stage: 1, Undo: true, Attempt: 1, End: plan.Done})
		require.NoError(t, err)
		a := c.answer()
		require.Equal(t, "ticket", a.Stage)
		require.Equal(t, plan.MayRun, a.End)
		require.Equal(t, []string{"ticket"}, a.StagesWithEffects)
		require.Equal(t, map[bool]Outcome{false: Unknown, true: Failed}[late], a.Outcome)
	}
}

// TestFiftyLosses checks that an output is produced only once more, by one run, when fifty
// dependent items of one run or of fifty runs report the same loss.
func TestFiftyLosses(t *testing.T) {
	for _, plans := range []int{1, 50} {
		seats := 50 / plans
		c := startManualRun(t, booking(seats), "r00")
		var fences []uint64
		forEachRun := func(f func()) {
			for p := range plans {
				c.run, c.fence = fmt.Sprintf("r%02d", p), fences[p]
				f()
			}
		}
		fences = append(fences, c.fence)
		for p := 1; p < plans; p++ {
			fences = append(fences, c.start(booking(seats), fmt.Sprintf("r%02d", p), "n1").Fence)
		}
		forEachRun(func() { c.open(0, 1, "tour") })
		forEachRun(func() {
			if c.run == "r00" {
				c.runItem(0, 0)
			} else {
				require.Error(t, c.send(0, 0), "it waits for the output of r00, or has it")
			}
			c.open(1, seats, "")
			for i := range seats {
				require.NoError(t, c.send(1, i))
			}
		})
		newLosses, productions := 0, 0
		forEachRun(func() {
			for i := range seats {
				if c.reportEnd(1, i, plan.Lost, &LostInput{0, 1}).NewLoss {
					newLosses++
				}
			}
		})
		require.Equal(t, 1, newLosses)
		c.requireEqual(t)
		forEachRun(func() {
			for c.send(0, 0) == nil {
				productions++
				c.reportEnd(0, 0, plan.Done, nil)
			}
			require.EqualValues(t, 2, c.view().Run.Stages[0].Generation)
		})
		require.Equal(t, 1, productions)
		forEachRun(func() {
			require.EqualValues(t, []uint64{2}, c.nextAttempt(1, 0).Inputs)
			for i := range seats {
				c.runItem(1, i)
			}
			c.runItem(2, 0)
			require.Equal(t, Served, c.runItem(3, 0).Answer.Outcome)
		})
		c.requireEqual(t)
	}
}

// TestSharedOutputReassigned checks that another run produces a shared output when its
// producer gives up or loses its coordinator. It also checks that a new generation, produced
// for a later run because the old one is no longer fresh, isn't a loss for present users.
func TestSharedOutputReassigned(t *testing.T) {
	for _, lostCoordinator := range []bool{true, false} {
		c := startManualRun(t, booking(1), "r1")
		first, second := c.fence, c.start(booking(1), "r2", "n3").Fence
		c.open(0, 1, "tour")
		require.NoError(t, c.send(0, 0))
		c.run, c.fence = "r2", second
		c.open(0, 1, "tour")
		require.ErrorIs(t, c.send(0, 0), ErrProducedElsewhere)
		if lostCoordinator {
			_, _ = c.apply(c.at, LeaseExpired{"n1", 1})
		} else {
			_, _ = c.apply(c.at, Abandon{Run: "r1", Fence: first, Stage: -1, End: plan.Failed})
		}
		c.runItem(0, 0)
		c.open(1, 1, "")
		require.NoError(t, c.send(1, 0)) // with generation 1
		c.at += 1100 * ms                // past SharedFor: a later run produces it again
		c.run, c.fence = "r3", c.start(booking(1), "r3", "n3").Fence
		c.open(0, 1, "tour")
		c.runItem(0, 0)
		require.EqualValues(t, 2, c.view().Run.Stages[0].Generation)
		c.run, c.fence = "r2", second
		require.EqualValues(t, 1, c.view().Run.Stages[0].Generation, "it keeps the generation that it has")
		require.False(t, c.reportEnd(1, 0, plan.Lost, &LostInput{0, 1}).NewLoss)
		require.Equal(t, []uint64{2}, c.nextAttempt(1, 0).Inputs)
		old := c.nextAttempt(1, 0)
		old.Inputs = []uint64{1}
		_, err := c.apply(c.at, old)
		require.ErrorIs(t, err, ErrStale)
		c.runItem(1, 0)
		c.runItem(2, 0)
		require.Equal(t, Served, c.runItem(3, 0).Answer.Outcome)
		c.requireEqual(t)
	}
}

// TestUndoneLastFirst checks that undos wait for jobs in flight, and run in the reverse order
// of the stages.
func TestUndoneLastFirst(t *testing.T) {
	s := booking(1)
	s.Stages[2].Undo, s.Stages[2].Effect = &UndoShape{Class: "refund", MaxTries: 1}, policy.Deduplicated
	c := startManualRun(t, s, "r")
	c.open(0, 1, "tour")
	c.runItem(0, 0)
	c.open(1, 1, "")
	c.runItem(1, 0)
	require.NoError(t, c.send(2, 0))
	_, _ = c.apply(c.at, Abandon{Run: "r", Fence: c.fence, Stage: -1, End: plan.Failed})
	undo := func(stage int) error {
		_, err := c.apply(c.at, SendAttempt{Run: "r", Fence: c.fence, Stage: stage, Undo: true, Attempt: 1})
		return err
	}
	require.ErrorIs(t, undo(2), ErrStale, "its job is in flight")
	c.reportEnd(2, 0, plan.Done, nil)
	require.ErrorIs(t, undo(1), ErrStale, "the ticket is undone first")
	require.NoError(t, undo(2))
	require.ErrorIs(t, undo(1), ErrStale, "the ticket's undo is in flight")
	_, _ = c.apply(c.at, ReportEnd{Run: "r", Fence: c.fence, Stage: 2, Undo: true, Attempt: 1, End: plan.Done})
	require.NoError(t, undo(1))
	_, _ = c.apply(c.at, ReportEnd{Run: "r", Fence: c.fence, Stage: 1, Undo: true, Attempt: 1, End: plan.Done})
	a := c.answer()
	require.Equal(t, Failed, a.Outcome)
	require.Empty(t, a.StagesWithEffects)
}

// TestOutcomeAndReason checks the outcome and the reason of runs that give up in various ways.
func TestOutcomeAndReason(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	two := func(first policy.Effect, most int) Shape {
		return Shape{MaxAttempts: 6, Timeout: time.Second, Stages: []StageShape{
			{Name: "a", Class: "a", Effect: first, Retries: []RetryShape{{On: []plan.End{plan.Failed}, MaxRetries: 9}}},
			{Name: "b", Class: "b", Effect: policy.Deduplicated, After: []int{0}, Reruns: []RerunShape{{Of: 0, Most: most}}},
		}}
	}
	for name, x := range map[string]struct {
		shape   Shape
		do      func(c *manualRun)
		outcome Outcome
		reason  string
	}{
		"nothing ran": {two(policy.AtMostOnce, 1), func(c *manualRun) {
			require.NoError(c.t, c.send(0, 0))
			c.reportEnd(0, 0, plan.Refused, nil)
		}, Refused, "no rule"},
		"a retry rule on a never-twice stage that failed": {two(policy.AtMostOnce, 1), func(c *manualRun) {
			require.NoError(c.t, c.send(0, 0))
			c.reportEnd(0, 0, plan.Failed, nil)
		}, Unknown, "never run twice"},
		"the loss of what must never be made twice": {two(policy.AtMostOnce, 1), func(c *manualRun) {
			c.runItem(0, 0)
			require.NoError(c.t, c.send(1, 0))
			c.reportEnd(1, 0, plan.Lost, &LostInput{0, 1})
		}, Unknown, "never run twice"},
		"more losses than the rule allows": {two(policy.Idempotent, 1), func(c *manualRun) {
			for g := range uint64(2) {
				c.runItem(0, 0)
				require.NoError(c.t, c.send(1, 0))
				c.reportEnd(1, 0, plan.Lost, &LostInput{0, g + 1})
			}
		}, Unknown, "no rerun is left"},
		"more attempts than the run has": {two(policy.Idempotent, 1), func(c *manualRun) {
			for range 6 {
				require.NoError(c.t, c.send(0, 0))
				c.reportEnd(0, 0, plan.Failed, nil)
			}
			require.ErrorIs(c.t, c.send(0, 0), ErrSettled)
		}, Failed, "no attempts left"},
		"a rerun that can't end in time": {two(policy.Idempotent, 1), func(c *manualRun) {
			s := c.nextAttempt(0, 0)
			s.RemainingTime = time.Second
			_, err := c.apply(c.at, s)
			require.ErrorIs(c.t, err, ErrSettled)
		}, Refused, "before the deadline"},
		"a coordinator that does nothing": {two(policy.Idempotent, 1), func(c *manualRun) {
			require.NoError(c.t, c.send(0, 0))
			c.at += time.Second
			_, _ = c.apply(c.at, nil)
			require.Equal(c.t, "its deadline passed", c.view().Run.GaveUp.Reason)
			c.at += DefaultLimits().Grace
			_, _ = c.apply(c.at, nil)
		}, Failed, "deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			c := startManualRun(t, x.shape, "r")
			x.do(c)
			a := c.answer()
			require.Equal(t, x.outcome, a.Outcome)
			require.Contains(t, a.Reason, x.reason)
		})
	}
}

func TestShapeAndView(t *testing.T) {
	p := &plan.Plan{MaxAttempts: 9, Timeout: time.Minute, Stages: []*plan.Stage{
		{Name: "a", Class: "x", Effect: policy.Deduplicated, Cost: 100 * ms, Undo: &plan.Undo{Class: "u", Effect: policy.AtMostOnce, MaxTries: 1, Wait: ms}},
		{Name: "b", Class: "y", After: []string{"a"}, MinSucceeded: 1, Retries: []plan.Retry{{On: []plan.End{plan.Full}, MaxRetries: 2, Jitter: 0.25}},
			Reruns: []plan.Rerun{{Of: "a", MaxReruns: 3}}},
	}}
	s := ShapeOf(p)
	require.Equal(t, Shape{MaxAttempts: 9, Timeout: time.Minute, Stages: []StageShape{
		{Name: "a", Class: "x", Effect: policy.Deduplicated, Cost: 100 * ms, Undo: &UndoShape{"u", policy.AtMostOnce, 1, ms}},
		{Name: "b", Class: "y", After: []int{0}, MinSucceeded: 1, Retries: []RetryShape{{On: []plan.End{plan.Full}, MaxRetries: 2, Jitter: 250}}, Reruns: []RerunShape{{0, 3}}},
	}}, s)
	c := startManualRun(t, s, "r")
	text, err := codec.Encode(c.view())
	require.NoError(t, err)
	var decoded View // as a coordinator that is not a Raft node receives it
	require.NoError(t, codec.Decode(text, &decoded))
	require.Equal(t, Next(c.at, 0, c.view()), Next(c.at, 0, decoded))

	e := new(RuntimeEstimator)
	require.Equal(t, 100*ms, e.RemainingTime(c.at, decoded))
	for range 50 {
		e.Observe("x", 40*ms)
		e.Observe("y", 30*ms)
	}
	require.InDelta(t, 70*ms, e.RemainingTime(c.at, decoded), float64(ms))
	require.NoError(t, c.send(0, 0))
	c.at += 30 * ms
	require.InDelta(t, 40*ms, e.RemainingTime(c.at, c.view()), float64(ms))
	for _, bad := range []func(s *Shape){
		func(s *Shape) { s.Stages[0].After = []int{1} }, func(s *Shape) { s.Stages[1].Reruns[0].Of = 1 }, func(s *Shape) { s.MaxAttempts = 0 },
		func(s *Shape) { s.Stages[0].Effect, s.Stages[0].Shared = policy.AtMostOnce, true },
		func(s *Shape) { s.Stages[1].Each, s.Stages[1].MaxItems = true, 9999 },
	} {
		s := ShapeOf(p)
		bad(&s)
		_, err := c.apply(c.at, Start{Run: "bad", Shape: s, Before: c.at + time.Second})
		require.ErrorIs(t, err, ErrInvalidShape)
	}
	v2, err := codec.Encode(envelope{Version: 2})
	require.NoError(t, err)
	require.ErrorContains(t, c.replicas[0].Decode(v2), "version 2")
}

// TestAttemptRegistryRemembers checks that there is one task at a time for an attempt, and that
// an attempt is not sent once it was reported as unsent, even if the reply to its SendAttempt
// arrives later.
func TestAttemptRegistryRemembers(t *testing.T) {
	s := booking(1)
	s.Stages = s.Stages[3:]
	s.Stages[0].After = nil
	c := startManualRun(t, s, "r")
	registry := NewAttemptRegistry(time.Second)
	registry.Drive("r", c.fence)
	tasks, _ := registry.Tasks(c.at, c.view())
	require.Len(t, tasks, 1)
	again, wake := registry.Tasks(c.at, c.view())
	require.Empty(t, again)
	require.Equal(t, 3*time.Second, wake)
	_, err := c.apply(c.at, *tasks[0].Sending)
	require.NoError(t, err)
	require.False(t, registry.Accepted(*tasks[0].Sending, tasks[0].ID, errNoReply, true))
	unsent, _ := registry.Tasks(c.at, c.view())
	require.Equal(t, plan.Unsent, unsent[0].Ended.End)
	require.False(t, registry.Accepted(*tasks[0].Sending, tasks[0].ID, nil, true))
	registry.Drive("r", c.fence+1)
	registry.Tasks(c.at, c.view())
	require.False(t, registry.Drives("r"), "the view is of another coordinator")
}
