package coordinator

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/policy"

	"github.com/sirupsen/logrus"
)

// driver is one that this process drives, under one fence.
type driver struct {
	coordinator *Coordinator
	id          string
	fence       uint64
	plan        *plan.Plan
	shape       *planrun.Shape
	wake        chan struct{}   // the view is newer, or something has ended
	lifetime    context.Context // of the coordinator: ends are told also when the run is another's

	tasks sync.WaitGroup // that are being done

	mu         sync.Mutex
	view       planrun.View
	index      uint64
	viewTime   time.Duration // fleet time of the view
	receivedAt time.Time     // when it came
	finished   bool          // it has its answer, or another fence
}

// update takes in what a reply tells of the run.
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

// current is the view, and the fleet time by what has passed since it came. The state
// has the last word on whether a time has come.
func (r *driver) current() (v planrun.View, at time.Duration, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view, r.viewTime + time.Since(r.receivedAt), r.finished
}

// drive does what comes next until the run has ended or is another's.
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

// refresh asks how the run stands.
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

// execute has a command carried out, however often it must be asked. The book takes
// each of these commands once. An error that is not the book's says that this process
// has given up waiting, since the run or the process is out of force, or ends.
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
		r.coordinator.log.WithError(err).WithField("run", r.id).Debug("a command for a plan was not answered")
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

// values are what expressions of a stage are evaluated over.
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

// abandon gives the run up: what it says can't be evaluated.
func (r *driver) abandon(ctx context.Context, stage int, why error) {
	r.coordinator.log.WithError(why).WithField("run", r.id).Error("a plan can't go on")
	r.execute(ctx, planrun.Command{Abandon: &planrun.Abandon{Run: r.id, Fence: r.fence, Stage: stage, End: plan.Failed, Reason: why.Error()}})
}

// job makes the job of an attempt.
func (r *driver) job(a planrun.Action, v planrun.View, at time.Duration) (j Job, err error) {
	st, it := r.plan.Stages[a.Stage], &v.Run.Stages[a.Stage].Items[a.Item]
	j = Job{ID: jobID(r.id, a), Class: a.Class, Tenant: v.Run.Tenant, CostHint: st.Cost, Plan: r.plan.Name, Stage: st.Name, Deadline: time.Now().Add(a.At - at)}
	if vals := r.values(v, a.Stage, it.Value); a.Undo {
		j.Path, j.Body, j.Key, err = st.Undo.Render(vals)
	} else {
		j.Path, j.Body, j.Key, err = st.Render(vals)
	}
	if a.Where != plan.Anywhere {
		j.ExcludedMember, j.ExcludeItsZone = a.Member, a.Where == plan.OtherZone
	}
	return j, err
}

// send sends an attempt, once the state has it written down, and tells its end.
func (r *driver) send(ctx context.Context, t planrun.Task, v planrun.View, at time.Duration) {
	j, err := r.job(t.Action, v, at)
	if err != nil {
		r.abandon(ctx, t.Stage, err)
	} else if !t.SpendsRetryBudget || r.takeRetryBudget(ctx, t.Class, j.Deadline) {
		err = r.execute(ctx, planrun.Command{SendAttempt: t.Sending})
	} else {
		err = ErrNoSession
	}
	may := false
	r.coordinator.withAttempts(func(m *planrun.AttemptRegistry) {
		may = m.Accepted(*t.Sending, t.ID, err, r.coordinator.fleet.HoldsLease())
	})
	if !may {
		return
	}
	done, sent := make(chan engine.Answer, 1), time.Now()
	if err := r.coordinator.jobs.Submit(j, func(answer engine.Answer) { done <- answer }); err != nil {
		r.coordinator.log.WithError(err).WithField("run", r.id).Error("a stage of a plan is no job that can be taken")
		r.reportEnd(t.Sending.EndReport(plan.Unsent, nil, "", nil))
		return
	}
	answer := <-done
	end, result, said := endOf(answer), []byte(nil), answer.MemberError
	r.coordinator.log.WithFields(logrus.Fields{"run": r.id, "job": j.ID, "stage": j.Stage, "end": end, "reason": answer.Reason.String(), "flows": answer.Attempts}).Debug("a stage's job ended")
	if end == plan.Done {
		r.coordinator.withAttempts(func(m *planrun.AttemptRegistry) { m.Estimator.Observe(t.Class, time.Since(sent)) })
		result, said = answer.Body, answer.Body
	}
	var lost *planrun.LostInput
	if !t.Undo {
		if lost = r.lostInput(end, t, said); lost != nil {
			end, result = plan.Lost, nil
		}
	}
	r.reportEnd(t.Sending.EndReport(end, result, answer.LastMember, lost))
}

// reportEnd tells an end, also when another drives the run by then: it may still count.
func (r *driver) reportEnd(e planrun.ReportEnd) {
	if err := r.execute(r.lifetime, planrun.Command{ReportEnd: &e}); errors.Is(err, planrun.ErrTooLarge) {
		e.End, e.Result = plan.Failed, nil
		r.execute(r.lifetime, planrun.Command{ReportEnd: &e})
	}
}

// lostInput holds an end against the rules for what was lost upstream.
func (r *driver) lostInput(end plan.End, t planrun.Task, said []byte) *planrun.LostInput {
	st, upstream := r.plan.Stages[t.Stage], r.shape.Upstream(t.Stage)
	for i := range st.Reruns {
		holds, err := st.Reruns[i].Holds(end, said)
		if err != nil {
			r.coordinator.log.WithError(err).WithField("run", r.id).Warn("a rerun's condition can't be evaluated and does not hold")
			continue
		}
		at := slices.IndexFunc(upstream, func(u int) bool { return r.shape.Stages[u].Name == st.Reruns[i].Of })
		if holds && at >= 0 && at < len(t.Inputs) {
			return &planrun.LostInput{Stage: upstream[at], Generation: t.Inputs[at]}
		}
	}
	return nil
}

// takeRetryBudget takes an attempt beyond the first of the fleet's budget, and waits for one while
// the attempt can still begin.
func (r *driver) takeRetryBudget(ctx context.Context, class string, until time.Time) bool {
	for !r.coordinator.fleet.TakeRetry(r.id, class) {
		at := r.coordinator.fleet.RetryTime(class, time.Now())
		if !at.Before(until) {
			at = until
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(max(time.Millisecond, time.Until(at))):
		}
		if _, _, over := r.current(); over || r.coordinator.isDraining() || !time.Now().Before(until) {
			return false
		}
	}
	return true
}

// jobID names an attempt: the same at whoever drives the run, and no other's.
func jobID(run string, a planrun.Action) string {
	sum := sha256.Sum256([]byte(run))
	what := "j"
	if a.Undo {
		what = "u"
	}
	return fmt.Sprintf("plan-%x-%d-%d-%s%d", sum[:12], a.Stage, a.Item, what, a.Attempt)
}

// endOf says in the words of plans how a job ended.
func endOf(a engine.Answer) plan.End {
	switch {
	case a.Verdict == engine.Served:
		return plan.Done
	case !a.MayHaveRun && a.Attempts > 0 && a.LastStatus == policy.Rejected:
		return plan.Full
	case !a.MayHaveRun && a.Attempts > 0:
		return plan.Unsent
	case !a.MayHaveRun:
		return plan.Refused
	case a.Reason == accounting.MemberError || a.Reason == accounting.BadRequest || a.LastStatus == policy.Error:
		return plan.Failed
	case a.LastStatus == policy.Reset:
		return plan.Reset
	}
	return plan.Late
}
