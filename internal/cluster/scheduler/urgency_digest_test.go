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

// urgencyDigestFile has one line per seed of jobs with objectives, in the format of digestFile. It
// is rewritten only with a change that is meant to change decisions.
const urgencyDigestFile = "testdata/urgency_digests.txt"

// Seeds of the workloads of jobs with objectives. Every second workload is one with faults.
const (
	firstUrgencySeed = 200_000
	urgencySeeds     = 60
)

// extensions are the multiples of a job's work that its objective allows, from high to low urgency;
// 0 means no objective.
var extensions = []float64{0, 1.1, 1.4, 1.8, 2.2, 2.6, 3.2, 4}

// randomSubmission returns a random job with an objective. Compared to randomSpec, more jobs have
// data in a rack, because only these may wait for a runner near it.
func (sim *simulation) randomSubmission() *job.Submission {
	spec := sim.randomSpec()
	if step := &spec.Steps[0]; !step.Gang && sim.random.IntN(4) == 0 {
		step.Affinity = fmt.Sprintf("r-%d", sim.random.IntN(3))
	}
	if sim.random.IntN(12) == 0 {
		spec.Steps = spec.Steps[:1]
		spec.Steps[0] = job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 500}, EstimateMs: 300}
	}
	submission := &job.Submission{Queue: "q/", Service: "desk", Spec: spec, Retries: 2 + sim.random.IntN(3),
		Priority: sim.random.IntN(sim.priorities), Extension: extensions[sim.random.IntN(len(extensions))]}
	if sim.random.IntN(2) == 0 {
		submission.TargetMs = int64(sim.random.IntN(1500))
	}
	return submission
}

// submitWithObjective submits a random job with an objective.
func (sim *simulation) submitWithObjective() {
	submission := sim.randomSubmission()
	sim.serial++
	submission.ID = fmt.Sprintf("%016x", sim.serial)
	sim.jobs[submission.ID] = &submitted{id: submission.ID, spec: submission.Spec, service: submission.Service, retries: submission.Retries,
		ended: map[job.TaskRef]bool{}, acknowledged: map[job.TaskRef]time.Duration{}, failures: map[job.TaskRef]int{}, checkpoints: map[string]bool{}}
	sim.order = append(sim.order, submission.ID)
	sim.apply([]job.Command{{Kind: job.AcceptJob, ProposedAtMs: sim.wallMs(), Submission: submission}})
}

// runObjectiveWorkload runs a workload of jobs with objectives, at a higher rate than runWorkload.
// Different runners in turn fail or stall their runs for a while, so that urgent tasks have suspect
// runners to avoid while the healthy runners are full.
func runObjectiveWorkload(sim *simulation, rounds int, faults bool) {
	const newFaultyEvery = 8 // rounds
	sim.priorities = 3
	sim.run(100 * time.Millisecond)
	for round := range rounds {
		for range 1 + sim.random.IntN(4) {
			sim.submitWithObjective()
		}
		if sim.random.IntN(12) == 0 {
			sim.cancel(sim.order[sim.random.IntN(len(sim.order))])
		}
		if round%newFaultyEvery == 0 {
			sim.injectRunnerFaults(round / newFaultyEvery)
		}
		if faults && sim.random.IntN(6) == 0 {
			sim.injectFault()
		}
		sim.run(sim.between(50*time.Millisecond, 400*time.Millisecond))
		sim.listRunners()
	}
	sim.healAndFinish()
}

// injectRunnerFaults makes one runner fail all its runs and another one stall its runs, and repairs
// the others.
func (sim *simulation) injectRunnerFaults(round int) {
	for at, inc := range sim.incarnations {
		inc.failsRuns = at == (2*round)%len(sim.incarnations)
		inc.stallsRuns = at == (2*round+1)%len(sim.incarnations)
	}
}

// urgencyDecisionsOf runs the workload of a seed of jobs with objectives and returns the recorded
// decisions.
func urgencyDecisionsOf(t testing.TB, seed uint64, withText bool) decisions {
	const rounds = 24
	sim := newSimulation(t, seed, 5+int(seed%4))
	sim.decisions.trace = digesttest.New(withText)
	runObjectiveWorkload(sim, rounds, seed%2 == 1)
	return sim.decisions
}

// TestUrgencyDecisionDigests compares the decisions of 60 workloads with objectives with the
// digests on file.
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
