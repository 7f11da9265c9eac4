package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// TaskRef identifies a task within its shard. All numbers count from 0.
type TaskRef struct {
	Job        string // the job's ID
	Occurrence int    // of a repeated job
	Step       int
	Index      int // within the step
}

// String returns the name by which runners know the task: job.occurrence.step.index.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// taskNameParts is how many parts a task's name has.
const taskNameParts = 4

// ParseTaskRef is the inverse of TaskRef.String.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskNameParts {
		return TaskRef{}, errors.Newf("%q is not a task's name", name)
	}
	ref := TaskRef{Job: parts[0]}
	for i, field := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskRef{}, errors.Newf("%q is not a task's name", name)
		}
		*field = number
	}
	return ref, nil
}
