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
func (r *driver) update(p partition.PlanReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	if p.FinalAnswer != nil {
		r.coordinator.waiting.publish(p.FinalAnswer)
	}
	if p.FinalAnswer != nil || p.Run != nil && p.Run.Fence != r.fence {
		r.finished = true
		return
	}
	if p.Run == nil || p.Index < r.index {
		return
	}
	r.view, r.index, r.viewTime, r.receivedAt = planrun.View{Shape: r.shape, Run: p.Run, Producing: p.Producing}, p.Index, p.At, time.Now()
}

func (r *driver) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// current returns the view, and the fleet time estimated by what has passed since it was
// received. The replicated state decides whether a time has come.
func (r *driver) current() (v planrun.View, at time.Duration, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view, r.viewTime + time.Since(r.receivedAt), r.finished
}

// drive does what is to be done next, until the run has ended or belongs to another
// process.
func (r *driver) drive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		v, at, over := r.current()
		var tasks []planrun.Task
		var wake time.Duration
		r.coordinator.withAttempts(func(m *planrun.AttemptRegistry) {
			if tasks, wake = m.Tasks(at, v); !m.Drives(r.id) {
				over = true
			}
		})
		if over || ctx.Err() != nil {
			return
		}
		if r.coordinator.isDraining() { // what was let is sent, and its end told
			r.tasks.Wait()
			return
		}
		for _, t := range tasks {
			r.tasks.Add(1)
			r.coordinator.running.Go(func() {
				defer r.tasks.Done()
				r.runTask(ctx, t, v, at)
				r.notify()
			})
		}
		wait := max(wake-at, time.Millisecond)
		for i := range v.Run.Stages { // an output that another run makes comes unasked
			if st := &v.Run.Stages[i]; st.SharedKey != "" && !st.Complete && v.Producing&(1<<i) == 0 {
				wait = min(wait, pollInterval)
			}
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-r.coordinator.draining:
		case <-r.wake:
		case <-timer.C:
			r.refresh(ctx)
		}
	}
}

// refresh reads the run.
func (r *driver) refresh(ctx context.Context) {
	s := r.coordinator.fleet.Session()
	if s == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	if p, err := r.coordinator.queryRun(ctx, s, r.id); err == nil {
		r.update(p)
	}
}

// execute has a command carried out, with retries: the tracker counts each of these
// commands once. An error that is not the tracker's means that this process has given up on
// it, since the run or the process is no longer in force, or the context has ended.
func (r *driver) execute(ctx context.Context, do planrun.Command) error {
	for {
		var p partition.PlanReply
		s := r.coordinator.fleet.Session()
		err := ErrNoSession
		if s != nil {
			once, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
			err = s.Execute(once, partition.PlansCommand, do, &p)
			cancel()
		}
		if err == nil {
			r.update(p)
			return p.Err()
		}
		if ctx.Err() != nil || do.SendAttempt != nil && isOutOfForce(err) { // under another incarnation it is not this run's any more
			return err
		}
		r.coordinator.log.WithError(err).WithField("run", r.id).Debug("plan command got no answer; retrying")
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// runTask carries out one task.
func (r *driver) runTask(ctx context.Context, t planrun.Task, v planrun.View, at time.Duration) {
	if t.Sending != nil {
		r.send(ctx, t, v, at)
		return
	}
	defer r.coordinator.withAttempts(func(m *planrun.AttemptRegistry) { m.Answered(r.id, t.ID) })
	if t.Open != nil {
		r.openStage(ctx, *t.Open, v)
	} else {
		r.execute(ctx, planrun.Command{ReportEnd: t.Ended})
	}
}

// values returns what the expressions of a stage are evaluated over.
func (r *driver) values(v planrun.View, stage int, item []byte) plan.Values {
	all := plan.Values{Input: v.Run.Input, Item: item, Results: map[string][]byte{}}
	for _, u := range r.shape.Upstream(stage) {
		st := &v.Run.Stages[u]
		if !st.Complete {
			continue
		}
		results := st.Results()
		switch {
		case r.shape.Stages[u].Each:
			all.Results[r.shape.Stages[u].Name] = plan.List(results)
		case len(results) > 0:
			all.Results[r.shape.Stages[u].Name] = results[0]
		}
	}
	return all
}

// openStage fixes a stage's items and its shared key.
func (r *driver) openStage(ctx context.Context, o planrun.Open, v planrun.View) {
	st, vals := r.plan.Stages[o.Stage], r.values(v, o.Stage, nil)
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
		o.Key = fmt.Sprintf("%016x %s %s", r.plan.Digest, st.Name, o.Key) // one plan's stage: others mean something else by it
	}
	if err == nil {
		err = r.execute(ctx, planrun.Command{Open: &o})
		if !errors.Is(err, planrun.ErrTooLarge) && !errors.Is(err, planrun.ErrNotFound) {
			return
		}
	}
	r.abandon(ctx, o.Stage, err)
}

// abandon gives the run up, because an expression can't be evaluated.
func (r *driver) abandon(ctx context.Context, stage int, why error) {
	r.coordinator.log.WithError(why).WithField("run", r.id).Error("plan run abandoned: expression can't be evaluated")
	r.execute(ctx, planrun.Command{Abandon: &planrun.Abandon{Run: r.id, Fence: r.fence, Stage: stage, End: plan.Failed, Reason: why.Error()}})
}
