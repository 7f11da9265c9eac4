package planrun

import (
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// ActionKind is what a coordinator does next.
type ActionKind uint8

// Whats.
const (
	OpenStage ActionKind = iota // evaluate a stage's list and shared key, and Open it
	SendJob                     // Sending, and once that is accepted, the job
	SendUndo                    // the same with the undo
	AwaitEnd                    // an attempt is out: its end is to come, or, if this coordinator never sent it, plan.Unsent is to be told
	WaitUntil                   // look again then
)

// Action is one thing to do.
type Action struct {
	Kind              ActionKind
	Stage             int
	Item              int
	Undo              bool
	Attempt           uint32
	Generation        uint64
	Inputs            []uint64
	Class             string
	SpendsRetryBudget bool          // it spends the budget of attempts beyond the first of its class
	Where             plan.Place    // of a further try: not at Member, or not in its zone
	Member            string        // that the last attempt was at
	At                time.Duration // WaitUntil: when. SendJob, SendUndo: the attempt's deadline
}

// Next is what a run's coordinator should do: a function of the replicated state and
// the time alone, so that whoever takes over goes on from it. A run that waits for
// others to make an output, or for its end, has nothing but a WaitUntil.
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

func (r *Run) hasJobsInFlight() bool {
	for i := range r.Stages {
		for k := range r.Stages[i].Items {
			if r.Stages[i].Items[k].Job.State == InFlight {
				return true
			}
		}
	}
	return false
}
