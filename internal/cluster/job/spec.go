package job

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Spec is a job as a client submits it. The JSON names are those of the clients' protocol; the Go
// names are stored in snapshots.
type Spec struct {
	Text       string `json:"spec"`   // opaque to the scheduler, passed to the runners
	Steps      []Step `json:"stages"` // the protocol's stages; each comes after those that it depends on
	Repeats    int    `json:"repeats"`
	StartAtMs  int64  `json:"start_at_ms"` // Unix time in milliseconds
	IntervalMs int64  `json:"interval_ms"`

	// LongRunning and Speculative apply to each step if they are set for the job.
	LongRunning bool `json:"long_running"`
	Speculative bool `json:"speculative"`
}

// Step is one step of a job: a number of equal tasks.
type Step struct {
	Count int `json:"count"` // tasks
	Resources
	EstimateMs   int64  `json:"estimate_ms"`   // the client's estimate of one task's run time
	DependsOn    []int  `json:"depends_on"`    // indexes of earlier steps, which complete first
	Checkpoints  bool   `json:"checkpoints"`   // its runs save checkpoints, from which later attempts resume
	Gang         bool   `json:"gang"`          // its tasks run all at the same time or not at all
	SameRack     bool   `json:"same_rack"`     // of a gang: its tasks should run on one rack
	Constraints  Labels `json:"constraints"`   // a runner must have all of them
	Affinity     string `json:"affinity"`      // the rack that has its data; empty: any
	AntiAffinity int    `json:"anti_affinity"` // maximum number of its tasks on one runner; 0: no limit
	Speculative  bool   `json:"speculative"`   // a task may have two runs at the same time
	LongRunning  bool   `json:"long_running"`  // its tasks run until the job is cancelled
}

// Labels are labels that a runner must have.
type Labels []string

// UnmarshalJSON accepts one label as a string, or a list of labels.
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

// Limits of a submitted job.
const (
	maxTextBytes = 4000
	maxSteps     = 1000
	maxTasks     = 100_000 // of all steps together
)

// ParseSpec decodes and validates a submitted job. An error describes what the client must change.
func ParseSpec(body []byte) (Spec, error) {
	var spec Spec
	if err := json.Unmarshal(body, &spec); err != nil {
		return Spec{}, errors.Wrap(err, "the job is not JSON as the protocol has it")
	}
	for i := range spec.Steps {
		spec.Steps[i].LongRunning = spec.Steps[i].LongRunning || spec.LongRunning
		spec.Steps[i].Speculative = spec.Steps[i].Speculative || spec.Speculative
	}
	return spec, spec.validate()
}

func (s *Spec) validate() error {
	switch {
	case len(s.Text) > maxTextBytes:
		return errors.Newf("spec has %d bytes: send at most %d", len(s.Text), maxTextBytes)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return errors.Newf("stages has %d entries: send between 1 and %d", len(s.Steps), maxSteps)
	case s.Repeats < 0 || s.Repeats > 0 && s.IntervalMs < 0:
		return errors.New("repeats and interval_ms must not be negative")
	}
	tasks := 0
	for index, step := range s.Steps {
		if err := step.validate(index); err != nil {
			return errors.Wrapf(err, "stage %d", index)
		}
		tasks += step.Count
	}
	if tasks > maxTasks {
		return errors.Newf("the job has %d tasks: send at most %d", tasks, maxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 {
		return errors.New("count must be at least 1")
	}
	if s.CPU < 0 || s.MemMB < 0 || s.GPU < 0 || s.EstimateMs < 0 || s.AntiAffinity < 0 {
		return errors.New("amounts must not be negative")
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return errors.Newf("depends_on names %d: name earlier stages only", dependency)
		}
	}
	return nil
}

// OccurrenceCount returns how often the job's steps run, at least once.
func (s *Spec) OccurrenceCount() int { return max(1, s.Repeats) }

// DueMs returns when an occurrence, counted from 0, falls due, as Unix time in milliseconds;
// 0: at once.
func (s *Spec) DueMs(occurrence int) int64 {
	if s.Repeats == 0 {
		return 0
	}
	return s.StartAtMs + int64(occurrence)*s.IntervalMs
}
