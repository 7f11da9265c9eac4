package planrun

import (
	"time"
)

// Estimate learns how long jobs of each class run, for one coordinator. It says what
// the rest of a plan needs at the least: a low figure, so that a plan is given up
// only when there is hardly a chance. The zero Estimate knows nothing.
type Estimate struct{ classes map[string]*runTime }

// runTime is a moving mean of run times and of their distance from it (Jacobson's
// estimator).
type runTime struct{ mean, off time.Duration }

const mostClasses = 4096 // what the operator's file may name

// Ran takes in a run time of a job that ended well.
func (e *Estimate) Ran(class string, took time.Duration) {
	t := e.classes[class]
	switch {
	case took < 0:
	case t != nil:
		err := took - t.mean
		t.mean += err / 8
		t.off += (max(err, -err) - t.off) / 4
	case len(e.classes) < mostClasses:
		if e.classes == nil {
			e.classes = make(map[string]*runTime)
		}
		e.classes[class] = &runTime{took, took / 2}
	}
}

// Shortest is how long a job of a class hardly ever undercuts; hint where nothing is
// learned.
func (e *Estimate) Shortest(class string, hint time.Duration) time.Duration {
	if t := e.classes[class]; t != nil {
		return max(0, t.mean-2*t.off)
	}
	return hint
}

// Rest is the shortest time that the rest of a run's plan needs from a moment on: its
// critical path, over what is not there yet. Items of a stage run side by side.
func (e *Estimate) Rest(at time.Duration, v View) time.Duration {
	if v.Run.Gave != nil {
		return 0
	}
	var ends [mostStages]time.Duration // of stages, from now
	rest := time.Duration(0)
	for i := range v.Run.Stages {
		sh, st := &v.Shape.Stages[i], &v.Run.Stages[i]
		if st.Joined {
			continue
		}
		begin := time.Duration(0)
		for _, a := range sh.After {
			begin = max(begin, ends[a])
		}
		took := e.Shortest(sh.Class, sh.Cost)
		ends[i] = begin
		if !st.Opened {
			ends[i] += took
		}
		for k := range st.Items {
			switch t := &st.Items[k].Job; t.State {
			case Idle:
				ends[i] = max(ends[i], max(begin, t.NotBefore-at)+took)
			case Out:
				ends[i] = max(ends[i], begin, took-(at-t.Sent))
			}
		}
		if sh.Shared { // another run may be about to have it ready
			ends[i] = begin
		}
		rest = max(rest, ends[i])
	}
	return rest
}
