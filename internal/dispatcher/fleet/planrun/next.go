package planrun

import (
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	OpenStage ActionKind = iota // evaluate a stage's list and shared key, and send an Open
	SendJob                     // send a SendAttempt, and once that is accepted, the job
	SendUndo                    // the same with the stage's compensation
	AwaitEnd                    // an attempt is in flight: await its end, or report plan.Unsent if this coordinator never sent it
	WaitUntil                   // call Next again at that time
)

// Action is something that a run's coordinator has to do.
type Action struct {
	Kind              ActionKind
	Stage             int
	Item              int
	Undo              bool
	Attempt           uint32
	Generation        uint64
	Inputs            []uint64
	Class             string
	SpendsRetryBudget bool          // not the first attempt, so that it takes from the retry budget of its class
	Where             plan.Place    // where a further attempt may run: anywhere, not at Member, or not in its zone
	Member            string        // where the last attempt ran
	At                time.Duration // WaitUntil: when. SendJob, SendUndo: the attempt's deadline
}

// Next returns what a run's coordinator has to do. The actions depend only on the replicated
// state and the time, so that a new coordinator continues the run where the last one stopped.
// For a run that waits for another run's output, or for its end, it returns only a WaitUntil.
func Next(at, grace time.Duration, v View) (list []Action) {
	if v.Shape.upstreamSets == nil && v.Shape.resolve() != nil { // a decoded shape has no upstream sets yet
		return nil
	}
	r, s, wake := v.Run, v.Shape, v.Run.Deadline
	if r.GaveUp != nil {
		wake += grace
	}
	n := nextItems{View: v, at: at, end: wake, undoStage: -1}
	if r.GaveUp != nil && !r.hasJobsInFlight() {
		n.undoStage = r.nextUndoStage(s)
	}
	for i := range r.Stages {
		sh, st := &s.Stages[i], &r.Stages[i]
		ready := r.GaveUp == nil && !st.Complete && r.inputsReady(s, i)
		if ready && !st.Opened {
			list = append(list, Action{Kind: OpenStage, Stage: i, Generation: st.Generation, Class: sh.Class})
		}
		for k := range st.Items {
			a, notBefore, ok := n.item(i, k, ready)
			switch {
			case !ok:
			case notBefore <= at:
				list = append(list, a)
			case notBefore < wake || wake <= at:
				wake = notBefore
			}
		}
	}
	if wake > at {
		list = append(list, Action{Kind: WaitUntil, Stage: -1, At: wake})
	}
	return list
}

// nextItems computes the actions for the items of a run.
type nextItems struct {
	View
	at, end   time.Duration // deadline of the run, with its grace once it gave up
	undoStage int           // stage whose items are to be undone now; -1: none
}

// item returns the action for an item and when it is due, if there is one. The argument ready
// is whether the stage's inputs exist, its output doesn't, and the run has not given up.
func (n *nextItems) item(i, k int, ready bool) (a Action, notBefore time.Duration, ok bool) {
	r, sh, st := n.Run, &n.Shape.Stages[i], &n.Run.Stages[i]
	it := &st.Items[k]
	job, undo := &it.Job, &it.Undo
	switch {
	case job.State == InFlight:
		return Action{Kind: AwaitEnd, Stage: i, Item: k, Attempt: job.Attempt, Generation: it.Generation, Class: sh.Class}, n.at, true
	case undo.State == InFlight:
		return Action{Kind: AwaitEnd, Stage: i, Item: k, Attempt: undo.Attempt, Class: sh.Undo.Class, Undo: true}, n.at, true
	case i == n.undoStage && undo.State == Pending && sh.needsUndo(it):
		a = Action{Kind: SendUndo, Stage: i, Item: k, Attempt: undo.Attempt + 1, Class: sh.Undo.Class, Undo: true, SpendsRetryBudget: undo.Attempt > 0, At: n.end}
		return a, undo.NotBefore, true
	case !ready || job.State != Pending || !maySendAgain(sh.Effect, job.MayHaveRun) || sh.Shared && n.Producing&(1<<i) == 0:
		return Action{}, 0, false
	}
	a = Action{Kind: SendJob, Stage: i, Item: k, Attempt: job.Attempt + 1, Generation: st.Generation, Class: sh.Class,
		SpendsRetryBudget: job.Attempt > 0, Where: it.RetryPlace, Member: it.Member, At: r.Deadline}
	if job.NotBefore <= n.at {
		a.Inputs = r.inputGenerations(n.Shape, i)
	}
	return a, job.NotBefore, true
}
