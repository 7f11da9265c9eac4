package job

import "math"

// Resources are what a task requests, or what a runner has.
type Resources struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"` // whole devices
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemMB: r.MemMB + other.MemMB, GPU: r.GPU + other.GPU}
}

// Subtract returns the difference, which may be negative.
func (r Resources) Subtract(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemMB: r.MemMB - other.MemMB, GPU: r.GPU - other.GPU}
}

// Times returns the resources of n tasks that need r each.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPU: r.GPU * int64(n)}
}

// FitsIn reports whether free has enough of each resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// CountFittingIn returns how many tasks that need r each fit into free together. A resource that
// r does not need sets no limit; where r needs nothing the result is math.MaxInt32.
func (r Resources) CountFittingIn(free Resources) int {
	count := int64(math.MaxInt32)
	if r.CPU > 0 {
		count = min(count, max(0, free.CPU)/r.CPU)
	}
	if r.MemMB > 0 {
		count = min(count, max(0, free.MemMB)/r.MemMB)
	}
	if r.GPU > 0 {
		count = min(count, max(0, free.GPU)/r.GPU)
	}
	return int(count)
}
