package planrun

import (
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// ActionKind tells what a coordinator is to do.
type ActionKind uint8

// Kinds of actions.
const (
	OpenStage ActionKind = iota // evaluate a stage's list and shared key, and send an Open
	SendJob                     // send a SendAttempt, and once that is accepted, the job
	SendUndo                    // the same with the stage's compensation
	AwaitEnd                    // an attempt is in flight: its end is to come or, if this coordinator never sent it, plan.Unsent is to be reported
	WaitUntil                   // call Next again then
)

// Action is something that a coordinator is to do.
type Action struct {
	Kind              ActionKind
	Stage             int
	Item              int
	Undo              bool
	Attempt           uint32
	Generation        uint64
	Inputs            []uint64
	Class             string
	SpendsRetryBudget bool          // an attempt beyond the first of its class's budget
	Where             plan.Place    // of a further attempt: not at Member, or not in its zone
	Member            string        // where the last attempt was
	At                time.Duration // WaitUntil: when. SendJob, SendUndo: the attempt's deadline
}

// Next returns what a run's coordinator is to do. It is a function of the replicated state
// and the time alone, so that whoever takes over continues the run. For a run that waits
// for another's output, or for its end, it returns only a WaitUntil.
func Next(at, grace time.Duration, v View) (list []Action) {
	if v.Shape.upstreamSets == nil && v.Shape.resolve() != nil { // it came over the network
		return nil
	}
	r, s, wake := v.Run, v.Shape, v.Run.Deadline
	if r.GaveUp != nil {
		wake += grace
	}
	end := wake
	later := func(t time.Duration) {
		if t > at && (t < wake || wake <= at) {
			wake = t
		}
	}
	stage := -1
	if r.GaveUp != nil && !r.hasJobsInFlight() {
		stage = r.nextUndoStage(s)
	}
	for i := range r.Stages {
		sh, st := &s.Stages[i], &r.Stages[i]
		ready := r.GaveUp == nil && !st.Complete && r.inputsReady(s, i)
		if ready && !st.Opened {
			list = append(list, Action{Kind: OpenStage, Stage: i, Generation: st.Generation, Class: sh.Class})
		}
		for k := range st.Items {
			it := &st.Items[k]
			a := Action{Kind: SendJob, Stage: i, Item: k, Attempt: it.Job.Attempt + 1, Generation: st.Generation, Class: sh.Class,
				SpendsRetryBudget: it.Job.Attempt > 0, Where: it.RetryPlace, Member: it.Member, At: r.Deadline}
			t := &it.Job
			switch {
			case it.Job.State == InFlight:
				list = append(list, Action{Kind: AwaitEnd, Stage: i, Item: k, Attempt: it.Job.Attempt, Generation: it.Generation, Class: sh.Class})
				continue
			case it.Undo.State == InFlight:
				list = append(list, Action{Kind: AwaitEnd, Stage: i, Item: k, Attempt: it.Undo.Attempt, Class: sh.Undo.Class, Undo: true})
				continue
			case i == stage && it.Undo.State == Pending && sh.needsUndo(it):
				t = &it.Undo
				a = Action{Kind: SendUndo, Stage: i, Item: k, Attempt: t.Attempt + 1, Class: sh.Undo.Class, Undo: true, SpendsRetryBudget: t.Attempt > 0, At: end}
			case !ready || t.State != Pending || !maySendAgain(sh.Effect, t.MayHaveRun) || sh.Shared && v.Producing&(1<<i) == 0:
				continue
			}
			if t.NotBefore > at {
				later(t.NotBefore)
				continue
			}
			if a.Kind == SendJob {
				a.Inputs = r.inputGenerations(s, i)
			}
			list = append(list, a)
		}
	}
	if wake > at {
		list = append(list, Action{Kind: WaitUntil, Stage: -1, At: wake})
	}
	return list
}
