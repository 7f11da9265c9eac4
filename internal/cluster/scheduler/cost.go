package scheduler

import "basaltloft/internal/cluster/job"

const (
	coresPerGPU = 8          // one accelerator counts as so many cores
	coresPerMB  = 1.0 / 2048 // 2 GiB of memory count as one core
	minCores    = 0.1        // a task counts as no less: it takes a start and an end all the same
)

// coreEquivalents is the size of resources in cores.
func coreEquivalents(r job.Resources) float64 {
	return max(float64(r.CPU)/1000, float64(r.MemMB)*coresPerMB) + float64(r.GPU)*coresPerGPU
}

// stepCost is what a task of a step that runs for so many seconds takes of a runner, in
// core-seconds. A long-running task costs nothing: it takes capacity for good, and no end of it
// would ever give its part of a budget back.
func stepCost(seconds float64, step *job.Step) float64 {
	if step.LongRunning {
		return 0
	}
	return seconds * max(minCores, coreEquivalents(step.Resources))
}

// maxMeanRunTime is the run time, in seconds, of work that fills a runner's capacity and is as much
// as its budget may grow to.
const maxMeanRunTime = 30

// maxBudget bounds a runner's budget, in core-seconds.
func (r *runnerSession) maxBudget() float64 { return coreEquivalents(r.capacity) * maxMeanRunTime }
