package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
)

// driver drives one run under one fencing number.
type driver struct {
	coordinator *Coordinator
	id          string
	fence       uint64
	plan        *plan.Plan
	shape       *planrun.Shape
	wake        chan struct{}   // the view is newer, or an attempt has ended
	lifetime    context.Context // context of Coordinator.Run: ends are reported even if another process drives the run

	tasks sync.WaitGroup // tasks in progress

	mu         sync.Mutex
	view       planrun.View
	index      uint64
	viewTime   time.Duration // fleet time of the view
	receivedAt time.Time     // when the view was received
	finished   bool          // the run has its final answer, or has another fencing number
}

// update updates the view of the run from a reply.
func (d *driver) update(r partition.PlanReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notify()
	if r.FinalAnswer != nil {
		d.coordinator.waiting.publish(r.FinalAnswer)
	}
	if r.FinalAnswer != nil || r.Run != nil && r.Run.Fence != d.fence {
		d.finished = true
		return
	}
	if r.Run == nil || r.Index < d.index {
		return
	}
	d.view, d.index, d.viewTime, d.receivedAt = planrun.View{Shape: d.shape, Run: r.Run, Producing: r.Producing}, r.Index, r.At, time.Now()
}

func (d *driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// current returns the view, the fleet time as estimated from the time since the view was
// received, and whether the run is finished here. The estimate only schedules tasks: the
// replicated state decides whether a time has come.
func (d *driver) current() (v planrun.View, at time.Duration, over bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.viewTime + time.Since(d.receivedAt), d.finished
}

// drive carries out the run's tasks until the run has ended, another process drives it, or
// the coordinator drains.
func (d *driver) drive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		v, at, over := d.current()
		var tasks []planrun.Task
		var wake time.Duration
		d.coordinator.withAttempts(func(m *planrun.AttemptRegistry) {
			if tasks, wake = m.Tasks(at, v); !m.Drives(d.id) {
				over = true
			}
		})
		if over || ctx.Err() != nil {
			return
		}
		if d.coordinator.isDraining() { // approved attempts are sent, and their ends reported
			d.tasks.Wait()
			return
		}
		for _, t := range tasks {
			d.tasks.Add(1)
			d.coordinator.running.Go(func() {
				defer d.tasks.Done()
				d.runTask(ctx, t, v, at)
				d.notify()
			})
		}
		wait := max(wake-at, time.Millisecond)
		for i := range v.Run.Stages { // the output of another run arrives without a command of this run
			if st := &v.Run.Stages[i]; st.SharedKey != "" && !st.Complete && v.Producing&(1<<i) == 0 {
				wait = min(wait, pollInterval)
			}
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-d.coordinator.draining:
		case <-d.wake:
		case <-timer.C:
			d.refresh(ctx)
		}
	}
}

// refresh reads the run from the leader and updates the view.
func (d *driver) refresh(ctx context.Context) {
	s := d.coordinator.fleet.Session()
	if s == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	if r, err := d.coordinator.queryRun(ctx, s, d.id); err == nil {
		d.update(r)
	}
}

// execute executes a command, with retries: the tracker applies each of these commands once.
// It returns the tracker's error. Any other error means that it has given up the command: the
// context has ended or, for SendAttempt, the process's incarnation is no longer in force.
func (d *driver) execute(ctx context.Context, command planrun.Command) error {
	for {
		var r partition.PlanReply
		s := d.coordinator.fleet.Session()
		err := ErrNoSession
		if s != nil {
			once, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
			err = s.Execute(once, partition.PlansCommand, command, &r)
			cancel()
		}
		if err == nil {
			d.update(r)
			return r.Err()
		}
		if ctx.Err() != nil || command.SendAttempt != nil && isNotInForce(err) { // under another incarnation the attempt is not this driver's
			return err
		}
		d.coordinator.log.Debug("plan command got no answer; retrying", "error", err, "run", d.id)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// runTask carries out one task.
func (d *driver) runTask(ctx context.Context, t planrun.Task, v planrun.View, at time.Duration) {
	if t.Sending != nil {
		d.send(ctx, t, v, at)
		return
	}
	defer d.coordinator.withAttempts(func(m *planrun.AttemptRegistry) { m.Answered(d.id, t.ID) })
	if t.Open != nil {
		d.openStage(ctx, *t.Open, v)
	} else {
		_ = d.execute(ctx, planrun.Command{ReportEnd: t.Ended})
	}
}

// values returns the values that the expressions of a stage can use.
func (d *driver) values(v planrun.View, stage int, item []byte) plan.Values {
	all := plan.Values{Input: v.Run.Input, Item: item, Results: map[string][]byte{}}
	for _, u := range d.shape.Upstream(stage) {
		st := &v.Run.Stages[u]
		if !st.Complete {
			continue
		}
		results := st.Results()
		switch {
		case d.shape.Stages[u].Each:
			all.Results[d.shape.Stages[u].Name] = plan.List(results)
		case len(results) > 0:
			all.Results[d.shape.Stages[u].Name] = results[0]
		}
	}
	return all
}

// openStage evaluates a stage's items and its shared key, and stores them in the replicated
// state.
func (d *driver) openStage(ctx context.Context, o planrun.Open, v planrun.View) {
	st, vals := d.plan.Stages[o.Stage], d.values(v, o.Stage, nil)
	o.Items = [][]byte{nil}
	var err error
	if st.Each != nil {
		var items []plan.Item
		items, err = st.Items(vals)
		o.Items = make([][]byte, len(items))
		for i := range items {
			o.Items[i] = items[i]
		}
	}
	if err == nil && st.Shared != nil {
		o.Key, err = st.SharedKey(vals)
		// Outputs are shared within one stage of one plan: elsewhere the same key has another meaning.
		o.Key = fmt.Sprintf("%016x %s %s", d.plan.Digest, st.Name, o.Key)
	}
	if err == nil {
		err = d.execute(ctx, planrun.Command{Open: &o})
		if !errors.Is(err, planrun.ErrTooLarge) && !errors.Is(err, planrun.ErrNotFound) {
			return
		}
	}
	d.abandon(ctx, o.Stage, err)
}

// abandon ends the run as failed, since an expression can't be evaluated or its value can't be
// used.
func (d *driver) abandon(ctx context.Context, stage int, why error) {
	d.coordinator.log.Error("plan run abandoned: expression can't be evaluated", "error", why, "run", d.id)
	_ = d.execute(ctx, planrun.Command{Abandon: &planrun.Abandon{Run: d.id, Fence: d.fence, Stage: stage, End: plan.Failed, Reason: why.Error()}})
}
