package planrun

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
)

// Outcome is a run's outcome. It is stored as a number.
type Outcome uint8

// Outcomes.
const (
	Served  Outcome = iota // every stage succeeded
	Refused                // nothing has run
	Failed                 // it gave up, and what became of each effect is known
	Unknown                // it gave up, and the end of something that may have run is not known
)

func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "may have run"}[o]
}

// Answer is the final answer of a run. It is stored by the field names in its tags.
type Answer struct {
	Run, Plan         string
	Digest            uint64
	Outcome           Outcome
	Stage             string // that made it give up; empty: the run as a whole, or none
	End               plan.End
	Reason            string
	Started           time.Duration
	At                time.Duration // when it ended
	Until             time.Duration // when the answer is forgotten
	Attempts          int
	StagesWithEffects []string  `cbor:"Left"` // stages whose effects remain, though the run was not served
	Results           []Results // Served: of the stages that no other depends on; else of StagesWithEffects
	ResultsOmitted    bool      `cbor:"Cut"` // the results are missing: too large, or too old
}

// Results are one stage's results, by item.
type Results struct {
	Stage string
	Items [][]byte
}

// finishIfDone ends a run that has nothing left to do.
func (b *Tracker) finishIfDone(at time.Duration, r *Run) {
	if b.runs[r.ID] != r {
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
	b.finishRun(at, r)
}

// finishRun gives a run its answer.
func (b *Tracker) finishRun(at time.Duration, r *Run) {
	a := &Answer{
		Run: r.ID, Plan: r.Plan, Digest: r.Digest, Started: r.Started, At: at, Until: max(at+b.limits.AnswerRetention, r.StartBy), Attempts: r.AttemptsUsed,
	}
	var ran, unsure bool
	last := ^uint64(0)
	for i := range r.Stages {
		last &^= r.shape.upstreamSets[i]
		sh, st, left := &r.shape.Stages[i], &r.Stages[i], false
		for k := range st.Items {
			it := &st.Items[k]
			ran = ran || it.Job.MayHaveRun
			if !it.Job.MayHaveRun || it.Undo.State == Succeeded || sh.Shared || sh.Effect == policy.Idempotent {
				continue
			}
			left = true
			unsure = unsure || it.Job.State != Succeeded || it.Undo.MayHaveRun
		}
		if left {
			a.StagesWithEffects = append(a.StagesWithEffects, sh.Name)
		}
	}
	switch g := r.GaveUp; {
	case g == nil:
		a.Outcome, a.StagesWithEffects = Served, nil
	case !ran:
		a.Outcome = Refused
	case unsure:
		a.Outcome = Unknown
	default:
		a.Outcome = Failed
	}
	if g := r.GaveUp; g != nil {
		if a.End, a.Reason = g.End, g.Reason; g.Stage >= 0 {
			a.Stage = r.shape.Stages[g.Stage].Name
		}
	}
	size := 0
	for i := range r.Stages {
		st, name := &r.Stages[i], r.shape.Stages[i].Name
		if r.GaveUp == nil && last&(1<<i) == 0 || r.GaveUp != nil && !slices.Contains(a.StagesWithEffects, name) {
			continue
		}
		list := st.Results()
		for _, v := range list {
			size += len(v)
		}
		if size > b.limits.AnswerBytes {
			a.Results, a.ResultsOmitted = nil, true
			break
		}
		a.Results = append(a.Results, Results{name, list})
	}
	b.detachOutputs(r)
	b.unorphanRun(r)
	b.deadlines.Remove(r.heapIndex)
	delete(b.runs, r.ID)
	b.releaseShape(r.Shape)
	b.answers[r.ID] = a
	b.answersByEnd = append(b.answersByEnd, a)
	b.trimResults()
}

// trimResults drops the results of the oldest answers, beyond Limits.AnswersWithResults.
// The answers themselves stay, since an id must not start a second run.
func (b *Tracker) trimResults() {
	for ; len(b.answersByEnd)-b.firstWithResults > b.limits.AnswersWithResults; b.firstWithResults++ {
		if a := b.answersByEnd[b.firstWithResults]; a.Results != nil {
			c := *a // answers that were given out stay as they were
			c.Results, c.ResultsOmitted = nil, true
			b.answersByEnd[b.firstWithResults], b.answers[a.Run] = &c, &c
		}
	}
}

// pruneAnswers drops what has expired. Answers are dropped in the order of their ends; an
// expired one waits for those before it, for Limits.MaxTimeout at most.
func (b *Tracker) pruneAnswers(at time.Duration) {
	n := 0
	for n < len(b.answersByEnd) && b.answersByEnd[n].Until < at {
		delete(b.answers, b.answersByEnd[n].Run)
		n++
	}
	if n > 0 {
		b.answersByEnd = slices.Delete(b.answersByEnd, 0, n)
		b.firstWithResults = max(0, b.firstWithResults-n)
	}
	b.pruneOutputs(at)
}
