package planrun

import (
	"slices"
	"time"
)

// Output is an output that runs share by a key. One run at a time produces it for all.
type Output struct {
	Key        string
	Generation uint64        `cbor:"Gen"` // produced, or being produced
	Ready      bool          // it has been produced
	FreshUntil time.Duration `cbor:"Until"` // a user that comes after this time has it produced again
	Results    [][]byte
	Producer   *OutputUser `cbor:"Owner"` // user that produces it; nil: none
	Users      []OutputUser
}

// OutputUser is a stage of a run that uses an output, or waits for it.
type OutputUser struct {
	Run   string
	Stage int
}

func (o *Output) isOwnedBy(r *Run, stage int) bool {
	return !o.Ready && o.Producer != nil && *o.Producer == OutputUser{r.ID, stage}
}

// attachOutput adds a stage that was just opened to the users of its shared output: the stage
// takes an output that is fresh, waits for one that is being produced, or produces it.
func (t *Tracker) attachOutput(at time.Duration, r *Run, stage int) {
	key, me := r.Stages[stage].SharedKey, OutputUser{r.ID, stage}
	o := t.outputs[key]
	if o == nil {
		// The generation is above all that the key had before, if its output was dropped.
		o = &Output{Key: key, Generation: t.lastSharedGeneration + 1}
		t.outputs[key] = o
	}
	o.Users = append(o.Users, me)
	switch {
	case o.Ready && at < o.FreshUntil:
		r.takeOutput(stage, o)
		return
	case o.Ready: // it is too old for a new user; present users keep their copy
		o.Generation++
		o.Ready, o.Results, o.Producer = false, nil, &me
	case o.Producer == nil:
		o.Producer = &me
	}
	t.lastSharedGeneration = max(t.lastSharedGeneration, o.Generation)
	r.Stages[stage].Generation = o.Generation
}

// takeOutput completes a stage with a shared output that exists.
func (r *Run) takeOutput(stage int, o *Output) {
	st := &r.Stages[stage]
	st.Generation, st.Complete, st.SharedResults = o.Generation, true, o.Results
}

// publishOutput passes the output that a stage has produced to all stages that wait for it,
// even if another run has become the producer in the meantime.
func (t *Tracker) publishOutput(at time.Duration, r *Run, stage int) {
	st := &r.Stages[stage]
	o := t.outputs[st.SharedKey]
	if st.SharedKey == "" || o == nil || o.Ready || o.Generation != st.Generation {
		return
	}
	o.Ready, o.Producer, o.Results = true, nil, st.Results()
	o.FreshUntil = at + r.shape.Stages[stage].SharedFor
	for _, u := range slices.Clone(o.Users) {
		if w := t.runs[u.Run]; w != nil && w.GaveUp == nil && !w.Stages[u.Stage].Complete {
			w.takeOutput(u.Stage, o)
			if w != r {
				t.finishIfDone(at, w)
			}
		}
	}
}

// rerunShared makes the run that reported a loss the producer of the next generation, unless
// another run has begun to produce it. Other runs that still need the output wait for it;
// they keep what they have produced from the lost generation until one of their own stages
// reports the loss.
func (t *Tracker) rerunShared(o *Output, r *Run, stage int, gen uint64) (newLoss bool) {
	if o.Generation > gen {
		if r.Stages[stage].Generation = o.Generation; o.Ready {
			r.takeOutput(stage, o)
		}
		return false
	}
	o.Generation, o.Ready, o.Results, o.Producer = gen+1, false, nil, &OutputUser{r.ID, stage}
	t.lastSharedGeneration = max(t.lastSharedGeneration, o.Generation)
	r.Stages[stage].Generation = o.Generation
	for _, u := range o.Users {
		w := t.runs[u.Run]
		if w == r && u.Stage == stage || w.GaveUp != nil || w.Stages[u.Stage].Generation > gen || !w.needsOutput(u.Stage) {
			continue
		}
		w.resetStage(u.Stage, o.Generation)
	}
	return true
}

// needsOutput reports whether a stage, or one that depends on it, is not complete yet.
func (r *Run) needsOutput(stage int) bool {
	for i := range r.Stages {
		if i == stage && !r.Stages[i].Complete || r.shape.dependsOn(i, stage) && !r.Stages[i].Complete {
			return true
		}
	}
	return false
}

// detachOutputs removes a run from the users of its outputs.
func (t *Tracker) detachOutputs(r *Run) {
	for i := range r.Stages {
		o := t.outputs[r.Stages[i].SharedKey]
		if r.Stages[i].SharedKey == "" || o == nil {
			continue
		}
		me := OutputUser{r.ID, i}
		o.Users = slices.DeleteFunc(o.Users, func(u OutputUser) bool { return u == me })
		t.reassignOutput(o, me)
		if len(o.Users) == 0 && !o.Ready {
			delete(t.outputs, o.Key)
		}
	}
}

// reassignOutputs finds a new producer for each output that a run was producing.
func (t *Tracker) reassignOutputs(r *Run) {
	for i := range r.Stages {
		if o := t.outputs[r.Stages[i].SharedKey]; r.Stages[i].SharedKey != "" && o != nil {
			t.reassignOutput(o, OutputUser{r.ID, i})
		}
	}
}

// reassignOutput finds a new producer for an output, if from is its producer: the first
// waiting user that has a coordinator, else the first waiting user.
func (t *Tracker) reassignOutput(o *Output, from OutputUser) {
	if o.Ready || o.Producer == nil || *o.Producer != from {
		return
	}
	o.Producer = nil
	for _, u := range o.Users {
		w := t.runs[u.Run]
		if w == nil || w.GaveUp != nil || w.Stages[u.Stage].Complete {
			continue
		}
		if o.Producer == nil || !w.Orphan {
			o.Producer = &OutputUser{u.Run, u.Stage}
		}
		if !w.Orphan {
			return
		}
	}
}

func (t *Tracker) pruneOutputs(at time.Duration) {
	for key, o := range t.outputs { // the order doesn't matter: each is decided by itself
		if o.Ready && len(o.Users) == 0 && o.FreshUntil <= at {
			delete(t.outputs, key)
		}
	}
}
