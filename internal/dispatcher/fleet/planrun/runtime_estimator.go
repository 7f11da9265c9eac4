package planrun

import (
	"time"
)

// RuntimeEstimator measures how long jobs of each class run, for one coordinator, and
// estimates the shortest time that the rest of a run needs. The estimate is low, so that a
// run gives up only when it can hardly end before its deadline. The zero value is ready for
// use and has no measurements.
type RuntimeEstimator struct{ classes map[string]*runtimeMean }

// runtimeMean holds moving means of the run time and of its deviation (Jacobson's estimator).
type runtimeMean struct{ mean, deviation time.Duration }

// maxClasses is the largest number of classes that an operator's file may name.
const maxClasses = 4096

// Observe records the run time of a job that succeeded.
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

// Minimum returns a time that jobs of a class rarely run shorter than: the mean less twice
// the deviation, or hint if there are no measurements.
func (e *RuntimeEstimator) Minimum(class string, hint time.Duration) time.Duration {
	if t := e.classes[class]; t != nil {
		return max(0, t.mean-2*t.deviation)
	}
	return hint
}

// RemainingTime estimates the shortest time that a run still needs: the critical path over
// the stages whose output does not exist yet. Items of a stage run in parallel.
func (e *RuntimeEstimator) RemainingTime(at time.Duration, v View) time.Duration {
	if v.Run.GaveUp != nil {
		return 0
	}
	var ends [maxStages]time.Duration // of stages, from now
	remaining := time.Duration(0)
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
		if sh.Shared { // another run may complete it at any moment
			ends[i] = begin
		}
		remaining = max(remaining, ends[i])
	}
	return remaining
}
