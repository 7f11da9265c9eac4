package planrun

import (
	"slices"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// rerunAllowed reports whether a rule of the reporting stage allows a rerun of the stage whose
// output an item reports as lost.
func (t *Tracker) rerunAllowed(r *Run, c ReportEnd) bool {
	for _, q := range r.shape.Stages[c.Stage].Reruns {
		if q.Of == c.Lost.Stage {
			return r.Stages[q.Of].RerunsUsed < q.Most
		}
	}
	return false
}

// loseOutput handles the first report in this run that a generation of a stage's output is
// lost. The stage produces the next generation, unless another run has begun to (then the
// loss is not new), and everything downstream is reset. If the stage itself or a stage
// downstream is at-most-once and may have run, the run gives up.
func (t *Tracker) loseOutput(r *Run, stage int, gen uint64) (newLoss bool) {
	st := &r.Stages[stage]
	st.LostThrough = gen
	st.RerunsUsed++
	for i := range r.Stages {
		if i == stage || r.shape.dependsOn(i, stage) {
			for k := range r.Stages[i].Items {
				if it := &r.Stages[i].Items[k]; !maySendAgain(r.shape.Stages[i].Effect, it.Job.MayHaveRun) {
					t.giveUp(r, i, plan.Lost, "it may have run with what was lost, and must never run twice")
					return false
				}
			}
		}
	}
	if st.Generation == gen {
		newLoss = t.rerunStage(r, stage)
	}
	for i := stage + 1; i < len(r.Stages); i++ {
		if d := &r.Stages[i]; r.shape.dependsOn(i, stage) && d.hasBegun() {
			d.LostThrough = d.Generation
			t.rerunStage(r, i)
		}
	}
	return newLoss
}

// hasBegun reports whether a stage has an output, a shared key or an item that was sent.
func (s *Stage) hasBegun() bool {
	return s.Complete || s.SharedKey != "" || slices.ContainsFunc(s.Items, func(it Item) bool { return it.Job.Attempt > 0 })
}

// rerunStage makes a stage produce the next generation, or use the one that another run has
// produced or is producing; in that case the loss is not new.
func (t *Tracker) rerunStage(r *Run, stage int) (newLoss bool) {
	st := &r.Stages[stage]
	gen := st.Generation
	r.resetStage(stage, gen+1)
	if o := t.outputs[st.SharedKey]; st.SharedKey != "" && o != nil {
		return t.rerunShared(o, r, stage, gen)
	}
	return true
}

// resetStage resets a stage, so that it produces its output again. Items whose attempt is in
// flight become pending when that attempt has ended.
func (r *Run) resetStage(stage int, gen uint64) {
	st := &r.Stages[stage]
	st.Generation, st.Complete, st.SharedResults = gen, false, nil
	for k := range st.Items {
		it := &st.Items[k]
		r.Bytes -= len(it.Result)
		it.Result, it.RetriesUsed = nil, nil
		if it.Job.State != InFlight {
			it.Job.State, it.Job.NotBefore = Pending, 0
		}
	}
}
