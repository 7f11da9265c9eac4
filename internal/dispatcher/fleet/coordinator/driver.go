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
	lifetime    context.Context // the coordinator's: ends are reported even if another process drives the run

	tasks sync.WaitGroup // in progress

	mu         sync.Mutex
	view       planrun.View
	index      uint64
	viewTime   time.Duration // fleet time of the view
	receivedAt time.Time     // when the view was received
	finished   bool          // the run has its final answer, or another fencing number
}

// update takes in what a reply says of the run.
func (d *driver) update(p partition.PlanReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notify()
	if p.FinalAnswer != nil {
		d.coordinator.waiting.publish(p.FinalAnswer)
	}
	if p.FinalAnswer != nil || p.Run != nil && p.Run.Fence != d.fence {
		d.finished = true
		return
	}
	if p.Run == nil || p.Index < d.index {
		return
	}
	d.view, d.index, d.viewTime, d.receivedAt = planrun.View{Shape: d.shape, Run: p.Run, Producing: p.Producing}, p.Index, p.At, time.Now()
}

func (d *driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// current returns the view, and the fleet time estimated by what has passed since it was
// received. The replicated state decides whether a time has come.
func (d *driver) current() (v planrun.View, at time.Duration, over bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.viewTime + time.Since(d.receivedAt), d.finished
}

// drive does what is to be done next, until the run has ended or belongs to another
// process.
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
		for i := range v.Run.Stages { // an output that another run makes arrives without a command of this one's
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

// refresh reads the run.
func (d *driver) refresh(ctx context.Context) {
	s := d.coordinator.fleet.Session()
	if s == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	if p, err := d.coordinator.queryRun(ctx, s, d.id); err == nil {
		d.update(p)
	}
}

// execute has a command carried out, with retries: the tracker counts each of these
// commands once. An error that is not the tracker's means that this process has given up on
// it, since the run or the process is no longer in force, or the context has ended.
func (d *driver) execute(ctx context.Context, do planrun.Command) error {
	for {
		var p partition.PlanReply
		s := d.coordinator.fleet.Session()
		err := ErrNoSession
		if s != nil {
			once, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
			err = s.Execute(once, partition.PlansCommand, do, &p)
			cancel()
		}
		if err == nil {
			d.update(p)
			return p.Err()
		}
		if ctx.Err() != nil || do.SendAttempt != nil && isOutOfForce(err) { // under another incarnation it is not this run's any more
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

// values returns what the expressions of a stage are evaluated over.
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

// openStage fixes a stage's items and its shared key.
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
		o.Key = fmt.Sprintf("%016x %s %s", d.plan.Digest, st.Name, o.Key) // one plan's stage: others mean something else by it
	}
	if err == nil {
		err = d.execute(ctx, planrun.Command{Open: &o})
		if !errors.Is(err, planrun.ErrTooLarge) && !errors.Is(err, planrun.ErrNotFound) {
			return
		}
	}
	d.abandon(ctx, o.Stage, err)
}

// abandon gives the run up, because an expression can't be evaluated.
func (d *driver) abandon(ctx context.Context, stage int, why error) {
	d.coordinator.log.Error("plan run abandoned: expression can't be evaluated", "error", why, "run", d.id)
	_ = d.execute(ctx, planrun.Command{Abandon: &planrun.Abandon{Run: d.id, Fence: d.fence, Stage: stage, End: plan.Failed, Reason: why.Error()}})
}
