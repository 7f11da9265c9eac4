package coordinator

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltloft"
	"basaltloft/internal/account"
	"basaltloft/internal/core"
	"basaltloft/internal/fleet/parts"
	"basaltloft/internal/fleet/plan"
	"basaltloft/internal/fleet/planrun"
	"basaltloft/internal/fleet/state"

	"github.com/sirupsen/logrus"
)

// run is one that this process drives, under one fence.
type run struct {
	c     *Coordinator
	id    string
	fence uint64
	plan  *plan.Plan
	shape *planrun.Shape
	wake  chan struct{}   // the view is newer, or something has ended
	life  context.Context // of the coordinator: ends are told also when the run is another's

	mu    sync.Mutex
	view  planrun.View
	index uint64
	at    time.Duration // fleet time of the view
	seen  time.Time     // when it came
	over  bool          // it has its answer, or another fence
	busy  map[try]bool  // what this process is about
}

// try is one thing to do, once.
type try struct {
	what        planrun.What
	stage, item int
	undo        bool
	attempt     uint32
	gen         uint64
}

// see takes in what a reply tells of the run.
func (r *run) see(p parts.PlanReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.rouse()
	if p.Answer != nil || p.Run != nil && p.Run.Fence != r.fence {
		r.over = true
		return
	}
	if p.Run == nil || p.Index < r.index {
		return
	}
	r.view, r.index, r.at, r.seen = planrun.View{Shape: r.shape, Run: p.Run, Makes: p.Makes}, p.Index, p.At, time.Now()
}

func (r *run) rouse() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// now is the view, and the fleet time by what has passed since it came. The state
// has the last word on whether a time has come.
func (r *run) now() (v planrun.View, at time.Duration, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view, r.at + time.Since(r.seen), r.over
}

// drive does what comes next until the run has ended or is another's.
func (r *run) drive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		v, at, over := r.now()
		if over || ctx.Err() != nil {
			return
		}
		wait := lookEvery
		waits := false
		for _, a := range planrun.Next(at, r.c.grace, v) {
			if a.What == planrun.WaitUntil {
				wait = a.At - at
				continue
			}
			key := try{a.What, a.Stage, a.Item, a.Undo, a.Attempt, a.Generation}
			if a.What == planrun.SendJob || a.What == planrun.SendUndo || a.What == planrun.AwaitEnd {
				key.what, key.gen = planrun.AwaitEnd, 0
			}
			if r.begin(key) {
				r.c.all.Go(func() {
					r.do(ctx, a, v, at)
					r.end(key)
				})
			}
		}
		for i := range v.Run.Stages { // an output that another run makes comes unasked
			st := &v.Run.Stages[i]
			waits = waits || st.Key != "" && !st.Joined && v.Makes&(1<<i) == 0
		}
		if waits {
			wait = min(wait, lookEvery)
		}
		timer.Reset(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
			r.refresh(ctx)
		}
	}
}

func (r *run) begin(key try) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[key] {
		return false
	}
	r.busy[key] = true
	return true
}

func (r *run) end(key try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, key)
	r.rouse()
}

// refresh asks how the run stands.
func (r *run) refresh(ctx context.Context) {
	s := r.c.fleet.Session()
	if s == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(orderFor))
	defer cancel()
	if p, err := r.c.look(ctx, s, r.id); err == nil {
		r.see(p)
	}
}

// order has a command carried out, however often it must be asked, until the run is
// over or another's. The book takes each of these commands once.
func (r *run) order(ctx context.Context, kind state.Kind, body any) (p parts.PlanReply, ok bool) {
	for ctx.Err() == nil {
		s := r.c.fleet.Session()
		err := ErrNoFleet
		if s != nil {
			p = parts.PlanReply{}
			once, cancel := context.WithDeadline(ctx, time.Now().Add(orderFor))
			err = s.Order(once, kind, body, &p)
			cancel()
		}
		if err == nil {
			r.see(p)
			return p, p.No == ""
		}
		if kind == parts.PlansSending && gone(err) { // under another incarnation it is not this run's any more
			return p, false
		}
		r.c.log.WithError(err).WithField("run", r.id).Debug("a command for a plan was not answered")
		select {
		case <-ctx.Done():
		case <-time.After(tryEvery):
		}
	}
	return p, false
}

// do carries out one action.
func (r *run) do(ctx context.Context, a planrun.Action, v planrun.View, at time.Duration) {
	switch a.What {
	case planrun.OpenStage:
		r.open(ctx, a, v)
	case planrun.AwaitEnd: // taken over by nobody, and never sent here: its Sending was answered late
		r.order(ctx, parts.PlansEnded, planrun.Ended{Run: r.id, Fence: r.fence, Stage: a.Stage, Item: a.Item, Undo: a.Undo, Attempt: a.Attempt, End: plan.Unsent})
	case planrun.SendJob, planrun.SendUndo:
		r.send(ctx, a, v, at)
	}
}

// values are what expressions of a stage are evaluated over.
func (r *run) values(v planrun.View, stage int, item []byte) plan.Values {
	all := plan.Values{Input: v.Run.Input, Item: item, Results: map[string][]byte{}}
	for _, u := range r.shape.Upstream(stage) {
		st := &v.Run.Stages[u]
		if !st.Joined {
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

// open fixes a stage's items and its shared key.
func (r *run) open(ctx context.Context, a planrun.Action, v planrun.View) {
	st, vals := r.plan.Stages[a.Stage], r.values(v, a.Stage, nil)
	o := planrun.Open{Run: r.id, Fence: r.fence, Stage: a.Stage, Items: [][]byte{nil}}
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
	}
	if err != nil {
		r.abandon(ctx, a.Stage, err)
		return
	}
	if p, ok := r.order(ctx, parts.PlansOpen, o); !ok && p.No == planrun.ErrTooLarge.Error() {
		r.abandon(ctx, a.Stage, planrun.ErrTooLarge)
	}
}

// abandon gives the run up: what it says can't be evaluated.
func (r *run) abandon(ctx context.Context, stage int, why error) {
	r.c.log.WithError(why).WithField("run", r.id).Error("a plan can't go on")
	r.order(ctx, parts.PlansAbandon, planrun.Abandon{Run: r.id, Fence: r.fence, Stage: stage, End: plan.Failed, Reason: why.Error()})
}

// send sends an attempt, once the state has it written down, and tells its end.
func (r *run) send(ctx context.Context, a planrun.Action, v planrun.View, at time.Duration) {
	st, it := r.plan.Stages[a.Stage], &v.Run.Stages[a.Stage].Items[a.Item]
	j := Job{Class: a.Class, Tenant: v.Run.Tenant, Hint: st.Cost, Plan: r.plan.Name, Stage: st.Name, Until: time.Now().Add(a.At - at)}
	var err error
	if vals := r.values(v, a.Stage, it.Value); a.Undo {
		j.Path, j.Body, j.Key, err = st.Undo.Render(vals)
	} else {
		j.Path, j.Body, j.Key, err = st.Render(vals)
	}
	if err != nil {
		r.abandon(ctx, a.Stage, err)
		return
	}
	if a.Where != plan.Anywhere {
		j.NotMember, j.NotItsZone = a.Member, a.Where == plan.OtherZone
	}
	if a.Extra && !r.pay(ctx, a.Class, j.Until) {
		return
	}
	p, ok := r.order(ctx, parts.PlansSending, planrun.Sending{
		Run: r.id, Fence: r.fence, Stage: a.Stage, Item: a.Item, Undo: a.Undo, Generation: a.Generation, Inputs: a.Inputs, Attempt: a.Attempt, Rest: r.c.rest(at, v),
	})
	if !ok || p.Sent == nil || ctx.Err() != nil {
		return
	}
	j.ID = jobID(r.id, a)
	done := make(chan core.Answer, 1)
	sent := time.Now()
	ended := planrun.Ended{Run: r.id, Fence: r.fence, Stage: a.Stage, Item: a.Item, Undo: a.Undo, Attempt: a.Attempt}
	if err := r.c.jobs.Submit(j, func(answer core.Answer) { done <- answer }); err != nil {
		r.c.log.WithError(err).WithField("run", r.id).Error("a stage of a plan is no job that can be taken")
		ended.End = plan.Unsent
	} else {
		// An end is told even when another drives the run by then: it may still count.
		answer := <-done
		ended.End, ended.Member = endOf(answer), answer.Member
		said := answer.Said
		r.c.log.WithFields(logrus.Fields{"run": r.id, "job": j.ID, "stage": st.Name, "end": ended.End, "reason": answer.Reason.String(), "flows": answer.Sends}).Debug("a stage's job ended")
		if ended.End == plan.Done {
			r.c.ran(a.Class, time.Since(sent))
			said, ended.Result = answer.Body, answer.Body
		}
		if !a.Undo {
			r.lost(&ended, st, a, said)
		}
	}
	if p, _ := r.order(r.life, parts.PlansEnded, ended); p.No == planrun.ErrTooLarge.Error() {
		ended.End, ended.Result = plan.Failed, nil
		r.order(r.life, parts.PlansEnded, ended)
	}
}

// lost holds an end against the rules for what was lost upstream.
func (r *run) lost(e *planrun.Ended, st *plan.Stage, a planrun.Action, result []byte) {
	upstream := r.shape.Upstream(a.Stage)
	for i := range st.Reruns {
		holds, err := st.Reruns[i].Holds(e.End, result)
		if err != nil {
			r.c.log.WithError(err).WithField("run", r.id).Warn("a rerun's condition can't be evaluated and does not hold")
			continue
		}
		of := r.shape.Stages
		at := slices.IndexFunc(upstream, func(u int) bool { return of[u].Name == st.Reruns[i].Of })
		if holds && at >= 0 && at < len(a.Inputs) {
			e.End, e.Result, e.Lost = plan.Lost, nil, &planrun.LostInput{Stage: upstream[at], Generation: a.Inputs[at]}
			return
		}
	}
}

// pay takes an attempt beyond the first of the fleet's budget, and waits for one while
// the attempt can still begin.
func (r *run) pay(ctx context.Context, class string, until time.Time) bool {
	for !r.c.fleet.Again(r.id, class) {
		at := r.c.fleet.ComeBack(class, time.Now())
		if !at.Before(until) {
			at = until
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(max(time.Millisecond, time.Until(at))):
		}
		if _, _, over := r.now(); over || !time.Now().Before(until) {
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
func endOf(a core.Answer) plan.End {
	switch {
	case a.Verdict == core.Served:
		return plan.Done
	case !a.MayHaveRun && a.Sends > 0 && a.Last == basaltloft.Full:
		return plan.Full
	case !a.MayHaveRun && a.Sends > 0:
		return plan.Unsent
	case !a.MayHaveRun:
		return plan.Refused
	case a.Reason == account.MemberError || a.Reason == account.BadRequest || a.Last == basaltloft.Error:
		return plan.Failed
	case a.Last == basaltloft.Reset:
		return plan.Reset
	}
	return plan.Late
}
