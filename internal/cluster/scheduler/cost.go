package scheduler

import "basaltloft/internal/cluster/job"

const (
	coresPerGPU = 8          // an accelerator counts as this number of cores
	coresPerMB  = 1.0 / 2048 // 2 GiB of memory count as one core
	minCores    = 0.1        // minimum per task, since each task takes a start and an end
)

// coreEquivalents returns the size of resources in cores.
func coreEquivalents(r job.Resources) float64 {
	return max(float64(r.CPU)/1000, float64(float64(r.MemMB)*coresPerMB)) + float64(float64(r.GPU)*coresPerGPU)
}

// stepCost returns the cost, in core-seconds, of a step's task that runs for the given number of
// seconds. The cost of a long-running task is zero: it holds its capacity permanently, so its share
// of a budget would never be released.
func stepCost(seconds float64, step *job.Step) float64 {
	if step.LongRunning {
		return 0
	}
	return float64(seconds * max(minCores, coreEquivalents(step.Resources)))
}

// maxMeanRunTime bounds the growth of a runner's budget: at its maximum, the budget admits work
// that fills the runner's capacity and takes this run time, in seconds.
const maxMeanRunTime = 30

// maxBudget returns the maximum of a runner's budget, in core-seconds.
func (r *runnerSession) maxBudget() float64 {
	return float64(coreEquivalents(r.capacity) * maxMeanRunTime)
}
