package planrun

import (
	"time"
)

// RuntimeEstimator learns how long jobs of each class run, for one coordinator. It says what
// the rest of a plan needs at the least: a low figure, so that a plan is given up
// only when there is hardly a chance. The zero Estimate knows nothing.
type RuntimeEstimator struct{ classes map[string]*runtimeMean }

// runtimeMean is a moving mean of run times and of their distance from it (Jacobson's
// estimator).
type runtimeMean struct{ mean, deviation time.Duration }

const maxClasses = 4096 // what the operator's file may name

// Observe takes in a run time of a job that ended well.
func (e *RuntimeEstimator) Observe(class string, took time.Duration) {
	t := e.classes[class]
	switch {
	case took < 0:
	case t != nil:
		err := took - t.mean
		t.mean += err / 8
		t.deviation += (max(err, -err) - t.deviation) / 4
	case len(e.classes) < maxClasses:
		if e.classes == nil {
			e.classes = make(map[string]*runtimeMean)
		}
		e.classes[class] = &runtimeMean{took, took / 2}
	}
}

// Minimum is how long a job of a class hardly ever undercuts; hint where nothing is
// learned.
func (e *RuntimeEstimator) Minimum(class string, hint time.Duration) time.Duration {
	if t := e.classes[class]; t != nil {
		return max(0, t.mean-2*t.deviation)
	}
	return hint
}

// RemainingTime is the shortest time that the rest of a run's plan needs from a moment on: its
// critical path, over what is not there yet. Items of a stage run side by side.
func (e *RuntimeEstimator) RemainingTime(at time.Duration, v View) time.Duration {
	if v.Run.GaveUp != nil {
		return 0
	}
	var ends [maxStages]time.Duration // of stages, from now
	rest := time.Duration(0)
	for i := range v.Run.Stages {
		sh, st := &v.Shape.Stages[i], &v.Run.Stages[i]
		if st.Complete {
			continue
		}
		begin := time.Duration(0)
		for _, a := range sh.After {
			begin = max(begin, ends[a])
		}
		took := e.Minimum(sh.Class, sh.Cost)
		ends[i] = begin
		if !st.Opened {
			ends[i] += took
		}
		for k := range st.Items {
			switch t := &st.Items[k].Job; t.State {
			case Pending:
				ends[i] = max(ends[i], max(begin, t.NotBefore-at)+took)
			case InFlight:
				ends[i] = max(ends[i], begin, took-(at-t.SentAt))
			}
		}
		if sh.Shared { // another run may be about to have it ready
			ends[i] = begin
		}
		rest = max(rest, ends[i])
	}
	return rest
}
