package planrun

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
)

// Outcome is a run's outcome. It is stored as a number.
type Outcome uint8

// Values of Answer.Outcome, which the client of a plan gets with the answer.
const (
	Served  Outcome = iota // every stage succeeded
	Refused                // nothing has run
	Failed                 // the run gave up, and the outcome of each effect is known
	Unknown                // the run gave up, and the outcome of a job or undo that may have run is not known
)

func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "may have run"}[o]
}

// Answer is the final answer of a run. It is stored by the field names in its tags.
type Answer struct {
	Run, Plan         string
	Digest            uint64
	Outcome           Outcome
	Stage             string // that made the run give up; empty: no single stage did, or the run was served
	End               plan.End
	Reason            string
	Started           time.Duration
	At                time.Duration // when the run ended
	Until             time.Duration // when the answer may be dropped
	Attempts          int
	StagesWithEffects []string  `cbor:"Left"` // stages whose effects remain, though the run was not served
	Results           []Results // Served: of the stages that no other depends on; else of StagesWithEffects
	ResultsOmitted    bool      `cbor:"Cut"` // the results were dropped: too large, or too old
}

// Results are one stage's results, by item.
type Results struct {
	Stage string
	Items [][]byte
}

// finishIfDone ends a run that has nothing left to do.
func (t *Tracker) finishIfDone(at time.Duration, r *Run) {
	if t.runs[r.ID] != r {
		return
	}
	if r.GaveUp == nil {
		for i := range r.Stages {
			if !r.Stages[i].Complete {
				return
			}
		}
	} else if r.hasAnyInFlight() || r.nextUndoStage(r.shape) >= 0 {
		return
	}
	t.finishRun(at, r)
}

// finishRun ends a run and records its final answer.
func (t *Tracker) finishRun(at time.Duration, r *Run) {
	a := &Answer{
		Run: r.ID, Plan: r.Plan, Digest: r.Digest, Started: r.Started, At: at, Until: max(at+t.limits.AnswerRetention, r.StartBy), Attempts: r.AttemptsUsed,
	}
	a.Outcome, a.StagesWithEffects = r.outcome()
	if g := r.GaveUp; g != nil {
		if a.End, a.Reason = g.End, g.Reason; g.Stage >= 0 {
			a.Stage = r.shape.Stages[g.Stage].Name
		}
	}
	a.Results, a.ResultsOmitted = r.finalResults(a.StagesWithEffects, t.limits.AnswerBytes)
	t.detachOutputs(r)
	t.unorphanRun(r)
	t.deadlines.Remove(r.heapIndex)
	delete(t.runs, r.ID)
	t.releaseShape(r.Shape)
	t.answers[r.ID] = a
	t.answersByEnd = append(t.answersByEnd, a)
	t.trimResults()
}

// outcome returns the outcome of a run that has ended and, if it was not served, the stages
// whose effects remain.
func (r *Run) outcome() (outcome Outcome, withEffects []string) {
	var ran, uncertain bool
	for i := range r.Stages {
		sh, st, effectRemains := &r.shape.Stages[i], &r.Stages[i], false
		for k := range st.Items {
			it := &st.Items[k]
			ran = ran || it.Job.MayHaveRun
			if !it.Job.MayHaveRun || it.Undo.State == Succeeded || sh.Shared || sh.Effect == policy.Idempotent {
				continue
			}
			effectRemains = true
			uncertain = uncertain || it.Job.State != Succeeded || it.Undo.MayHaveRun
		}
		if effectRemains {
			withEffects = append(withEffects, sh.Name)
		}
	}
	switch {
	case r.GaveUp == nil:
		return Served, nil
	case !ran:
		return Refused, withEffects
	case uncertain:
		return Unknown, withEffects
	default:
		return Failed, withEffects
	}
}

// finalResults returns the results for a run's answer: those of the stages that no other
// stage depends on or, if the run gave up, of the stages whose effects remain. They are
// omitted if they have more bytes than limit.
func (r *Run) finalResults(withEffects []string, limit int) (results []Results, omitted bool) {
	finalStages := ^uint64(0)
	for i := range r.Stages {
		finalStages &^= r.shape.upstreamSets[i]
	}
	size := 0
	for i := range r.Stages {
		st, name := &r.Stages[i], r.shape.Stages[i].Name
		if r.GaveUp == nil && finalStages&(1<<i) == 0 || r.GaveUp != nil && !slices.Contains(withEffects, name) {
			continue
		}
		list := st.Results()
		for _, v := range list {
			size += len(v)
		}
		if size > limit {
			return nil, true
		}
		results = append(results, Results{name, list})
	}
	return results, false
}

// trimResults drops the results of the oldest answers, beyond Limits.AnswersWithResults.
// The answers themselves are kept, so that a repeated Start doesn't run a plan twice.
func (t *Tracker) trimResults() {
	for ; len(t.answersByEnd)-t.firstWithResults > t.limits.AnswersWithResults; t.firstWithResults++ {
		if a := t.answersByEnd[t.firstWithResults]; a.Results != nil {
			c := *a // a copy, since callers may hold the answer
			c.Results, c.ResultsOmitted = nil, true
			t.answersByEnd[t.firstWithResults], t.answers[a.Run] = &c, &c
		}
	}
}

// pruneAnswers drops expired answers and shared outputs. Answers are dropped in the order in
// which their runs ended: an expired one is kept until those before it have expired, for
// Limits.MaxTimeout at most.
func (t *Tracker) pruneAnswers(at time.Duration) {
	n := 0
	for n < len(t.answersByEnd) && t.answersByEnd[n].Until < at {
		delete(t.answers, t.answersByEnd[n].Run)
		n++
	}
	if n > 0 {
		t.answersByEnd = slices.Delete(t.answersByEnd, 0, n)
		t.firstWithResults = max(0, t.firstWithResults-n)
	}
	t.pruneOutputs(at)
}
