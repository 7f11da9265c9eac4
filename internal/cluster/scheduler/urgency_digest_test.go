package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/digesttest"
)

// urgencyDigestFile has a line for each seed of jobs with objectives, in the form of digestFile.
// It is written anew only with a change that means to change decisions.
const urgencyDigestFile = "testdata/urgency_digests.txt"

// Seeds of the days on which jobs have objectives. Every second day is one with faults.
const (
	firstUrgencySeed = 200_000
	urgencySeeds     = 60
)

// stretches are the objectives' multiples of a job's work, from high to low urgency; 0: no objective.
var stretches = []float64{0, 1.1, 1.4, 1.8, 2.2, 2.6, 3.2, 4}

// randomSubmission makes a job of any kind with an objective. More of them than of the jobs of
// randomSpec have their data in a rack, since only these may wait for a runner near it.
func (w *world) randomSubmission() *job.Submission {
	spec := w.randomSpec()
	if step := &spec.Steps[0]; !step.Gang && w.random.IntN(4) == 0 {
		step.Affinity = fmt.Sprintf("r-%d", w.random.IntN(3))
	}
	if w.random.IntN(12) == 0 {
		spec.Steps = spec.Steps[:1]
		spec.Steps[0] = job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 500}, EstimateMs: 300}
	}
	submission := &job.Submission{Queue: "q/", Service: "desk", Spec: spec, Retries: 2 + w.random.IntN(3),
		Priority: w.random.IntN(w.priorities), Extension: stretches[w.random.IntN(len(stretches))]}
	if w.random.IntN(2) == 0 {
		submission.TargetMs = int64(w.random.IntN(1500))
	}
	return submission
}

// submitWithObjective hands a job with an objective in.
func (w *world) submitWithObjective() {
	submission := w.randomSubmission()
	w.serial++
	submission.ID = fmt.Sprintf("%016x", w.serial)
	w.jobs[submission.ID] = &submitted{id: submission.ID, spec: submission.Spec, service: submission.Service, retries: submission.Retries,
		ended: map[job.TaskRef]bool{}, acknowledged: map[job.TaskRef]time.Duration{}, failures: map[job.TaskRef]int{}, checkpoints: map[string]bool{}}
	w.order = append(w.order, submission.ID)
	w.apply([]job.Command{{Kind: job.AcceptJob, ProposedAtMs: w.wallMs(), Submission: submission}})
}

// playObjectives plays a day on which jobs have objectives and more of them come than of play.
// One runner after another fails or stalls its runs for a while, so that urgent tasks have suspect
// runners to avoid while the healthy ones are full.
func playObjectives(w *world, rounds int, trouble bool) {
	const newFaultyEvery = 8 // rounds
	w.priorities = 3
	w.run(100 * time.Millisecond)
	for round := range rounds {
		for range 1 + w.random.IntN(4) {
			w.submitWithObjective()
		}
		if w.random.IntN(12) == 0 {
			w.cancel(w.order[w.random.IntN(len(w.order))])
		}
		if round%newFaultyEvery == 0 {
			w.injectRunnerFaults(round / newFaultyEvery)
		}
		if trouble && w.random.IntN(6) == 0 {
			w.injectFault()
		}
		w.run(w.between(50*time.Millisecond, 400*time.Millisecond))
		w.listRunners()
	}
	w.healAndFinish()
}

// injectRunnerFaults lets one runner fail all that it starts, another stall, and heals the others.
func (w *world) injectRunnerFaults(turn int) {
	for at, inc := range w.incarnations {
		inc.failsRuns = at == (2*turn)%len(w.incarnations)
		inc.stallsRuns = at == (2*turn+1)%len(w.incarnations)
	}
}

// urgencyDecisionsOf plays a seed of jobs with objectives and returns what was decided.
func urgencyDecisionsOf(t testing.TB, seed uint64, withText bool) decisions {
	const rounds = 24
	w := newWorld(t, seed, 5+int(seed%4))
	w.decisions.trace = digesttest.New(withText)
	playObjectives(w, rounds, seed%2 == 1)
	return w.decisions
}

// TestUrgencyDecisionDigests holds each decision of 60 days with objectives to those on file.
func TestUrgencyDecisionDigests(t *testing.T) {
	if wanted, ok := digesttest.Traced(); ok {
		seed, err := strconv.ParseUint(wanted, 10, 64)
		require.NoError(t, err)
		if seed >= firstUrgencySeed {
			d := urgencyDecisionsOf(t, seed, true)
			fmt.Print(d.trace.Text())
		}
		return
	}
	var seeds []uint64
	for seed := range uint64(urgencySeeds) {
		seeds = append(seeds, firstUrgencySeed+seed)
	}
	var lines []string
	for _, seed := range digesttest.SampleUnderRace(seeds) {
		d := urgencyDecisionsOf(t, seed, false)
		lines = append(lines, fmt.Sprintf("%d %d %d %s", seed, d.orders, d.commands, d.trace.Sum()))
	}
	digesttest.Compare(t, urgencyDigestFile, lines)
}
