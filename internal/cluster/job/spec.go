// Package job is the replicated state of a shard's jobs: what was accepted, which runs of
// its tasks were ordered and how they ended. It does no I/O; commands change it the same
// way on each replica. What to start, and where, is decided elsewhere: package scheduler.
package job

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"
)

// Resources are what a task asks for, or a runner has.
type Resources struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemMB: r.MemMB + other.MemMB, GPU: r.GPU + other.GPU}
}

// Subtract returns the difference.
func (r Resources) Subtract(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemMB: r.MemMB - other.MemMB, GPU: r.GPU - other.GPU}
}

// Multiply returns the resources of n tasks.
func (r Resources) Multiply(n int64) Resources {
	return Resources{CPU: r.CPU * n, MemMB: r.MemMB * n, GPU: r.GPU * n}
}

// FitsIn tells whether all of it fits into free.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// CountFittingIn returns how many times all of it fits into free.
func (r Resources) CountFittingIn(free Resources) int {
	times := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{r.CPU, free.CPU}, {r.MemMB, free.MemMB}, {r.GPU, free.GPU}} {
		if need, have := pair[0], pair[1]; need > 0 {
			times = min(times, max(0, have)/need)
		}
	}
	return int(times)
}

// Step is one step of a job: tasks that are alike.
type Step struct {
	Count int `json:"count"`
	Resources
	EstimateMs   int64  `json:"estimate_ms"`
	DependsOn    []int  `json:"depends_on"`
	Checkpoints  bool   `json:"checkpoints"`
	Gang         bool   `json:"gang"`
	SameRack     bool   `json:"same_rack"`
	Constraints  Labels `json:"constraints"`
	Affinity     string `json:"affinity"`
	AntiAffinity int    `json:"anti_affinity"`
	Speculative  bool   `json:"speculative"`
	LongRunning  bool   `json:"long_running"`
}

// Labels are labels that a runner must have: one as a text, or a list of them.
type Labels []string

// UnmarshalJSON takes a text or a list.
func (l *Labels) UnmarshalJSON(content []byte) error {
	var one string
	if json.Unmarshal(content, &one) == nil {
		if one != "" {
			*l = Labels{one}
		}
		return nil
	}
	var many []string
	if err := json.Unmarshal(content, &many); err != nil {
		return errors.New("constraints must be a label or a list of labels")
	}
	*l = many
	return nil
}

// Spec is a job as a client hands it in.
type Spec struct {
	Text       string `json:"spec"`
	Steps      []Step `json:"stages"`
	Repeats    int    `json:"repeats"`
	StartAtMs  int64  `json:"start_at_ms"` // counted from 1970
	IntervalMs int64  `json:"interval_ms"`

	// Flags that may stand with the job stand for each of its steps.
	LongRunning bool `json:"long_running"`
	Speculative bool `json:"speculative"`
}

// Bounds on what is taken in.
const (
	maxText  = 4000
	maxSteps = 1000
	maxTasks = 100_000
)

// ParseSpec reads a job and checks it.
func ParseSpec(body []byte) (Spec, error) {
	var spec Spec
	if err := json.Unmarshal(body, &spec); err != nil {
		return Spec{}, errors.Wrap(err, "the job is not JSON as the protocol has it")
	}
	for at := range spec.Steps {
		spec.Steps[at].LongRunning = spec.Steps[at].LongRunning || spec.LongRunning
		spec.Steps[at].Speculative = spec.Steps[at].Speculative || spec.Speculative
	}
	return spec, spec.check()
}

func (s *Spec) check() error {
	switch {
	case len(s.Text) > maxText:
		return errors.Newf("spec has %d bytes: send at most %d", len(s.Text), maxText)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return errors.Newf("stages has %d entries: send between 1 and %d", len(s.Steps), maxSteps)
	case s.Repeats < 0 || s.Repeats > 0 && s.IntervalMs < 0:
		return errors.New("repeats and interval_ms must not be negative")
	}
	tasks := 0
	for at, step := range s.Steps {
		if err := step.check(at); err != nil {
			return errors.Wrapf(err, "stage %d", at)
		}
		tasks += step.Count
	}
	if tasks > maxTasks {
		return errors.Newf("the job has %d tasks: send at most %d", tasks, maxTasks)
	}
	return nil
}

func (s *Step) check(at int) error {
	if s.Count < 1 {
		return errors.New("count must be at least 1")
	}
	if s.CPU < 0 || s.MemMB < 0 || s.GPU < 0 || s.EstimateMs < 0 || s.AntiAffinity < 0 {
		return errors.New("amounts must not be negative")
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= at {
			return errors.Newf("depends_on names %d: name earlier stages only", before)
		}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// DueMs returns when a time falls due, in milliseconds from 1970; 0: at once.
func (s *Spec) DueMs(occurrence int) int64 {
	if s.Repeats == 0 {
		return 0
	}
	return s.StartAtMs + int64(occurrence)*s.IntervalMs
}

// HasLongRunningStep tells whether the job runs until it is cancelled.
func (s *Spec) HasLongRunningStep() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}
