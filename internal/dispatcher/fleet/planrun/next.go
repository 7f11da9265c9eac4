package planrun

import (
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// What is what a coordinator does next.
type What uint8

// Whats.
const (
	OpenStage What = iota // evaluate a stage's list and shared key, and Open it
	SendJob               // Sending, and once that is accepted, the job
	SendUndo              // the same with the undo
	AwaitEnd              // an attempt is out: its end is to come, or, if this coordinator never sent it, plan.Unsent is to be told
	WaitUntil             // look again then
)

// Action is one thing to do.
type Action struct {
	What       What
	Stage      int
	Item       int
	Undo       bool
	Attempt    uint32
	Generation uint64
	Inputs     []uint64
	Class      string
	Extra      bool          // it spends the budget of attempts beyond the first of its class
	Where      plan.Place    // of a further try: not at Member, or not in its zone
	Member     string        // that the last attempt was at
	At         time.Duration // WaitUntil: when. SendJob, SendUndo: the attempt's deadline
}

// Next is what a run's coordinator should do: a function of the replicated state and
// the time alone, so that whoever takes over goes on from it. A run that waits for
// others to make an output, or for its end, has nothing but a WaitUntil.
func Next(at, grace time.Duration, v View) (list []Action) {
	if v.Shape.up == nil && v.Shape.link() != nil { // it came over the network
		return nil
	}
	r, s, wake := v.Run, v.Shape, v.Run.Deadline
	if r.Gave != nil {
		wake += grace
	}
	end := wake
	later := func(t time.Duration) {
		if t > at && (t < wake || wake <= at) {
			wake = t
		}
	}
	stage := -1
	if r.Gave != nil && !r.jobsOut() {
		stage = r.undoing(s)
	}
	for i := range r.Stages {
		sh, st := &s.Stages[i], &r.Stages[i]
		ready := r.Gave == nil && !st.Joined && r.ready(s, i)
		if ready && !st.Opened {
			list = append(list, Action{What: OpenStage, Stage: i, Generation: st.Gen, Class: sh.Class})
		}
		for k := range st.Items {
			it := &st.Items[k]
			a := Action{What: SendJob, Stage: i, Item: k, Attempt: it.Job.Attempt + 1, Generation: st.Gen, Class: sh.Class,
				Extra: it.Job.Attempt > 0, Where: it.Where, Member: it.Member, At: r.Deadline}
			t := &it.Job
			switch {
			case it.Job.State == Out:
				list = append(list, Action{What: AwaitEnd, Stage: i, Item: k, Attempt: it.Job.Attempt, Generation: it.Gen, Class: sh.Class})
				continue
			case it.Undo.State == Out:
				list = append(list, Action{What: AwaitEnd, Stage: i, Item: k, Attempt: it.Undo.Attempt, Class: sh.Undo.Class, Undo: true})
				continue
			case i == stage && it.Undo.State == Idle && sh.undoes(it):
				t = &it.Undo
				a = Action{What: SendUndo, Stage: i, Item: k, Attempt: t.Attempt + 1, Class: sh.Undo.Class, Undo: true, Extra: t.Attempt > 0, At: end}
			case !ready || t.State != Idle || !again(sh.Effect, t.Ran) || sh.Shared && v.Makes&(1<<i) == 0:
				continue
			}
			if t.NotBefore > at {
				later(t.NotBefore)
				continue
			}
			if a.What == SendJob {
				a.Inputs = r.inputs(s, i)
			}
			list = append(list, a)
		}
	}
	if wake > at {
		list = append(list, Action{What: WaitUntil, Stage: -1, At: wake})
	}
	return list
}

func (r *Run) jobsOut() bool {
	for i := range r.Stages {
		for k := range r.Stages[i].Items {
			if r.Stages[i].Items[k].Job.State == Out {
				return true
			}
		}
	}
	return false
}
