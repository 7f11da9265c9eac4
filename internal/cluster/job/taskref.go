package job

import (
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

// String returns the task's name in the runners' protocol: job.occurrence.step.index.
func (r TaskRef) String() string {
	name := make([]byte, 0, len(r.Job)+taskNumbersSize)
	name = append(name, r.Job...)
	for _, number := range [...]int{r.Occurrence, r.Step, r.Index} {
		name = append(name, '.')
		name = strconv.AppendInt(name, int64(number), 10)
	}
	return string(name)
}

// taskNumbersSize is the capacity reserved for the numbers in a task's name. It is enough for usual tasks.
const taskNumbersSize = 24

// ParseTaskRef is the inverse of TaskRef.String.
func ParseTaskRef(name string) (TaskRef, error) {
	var ref TaskRef
	var rest string
	found := false
	ref.Job, rest, found = strings.Cut(name, ".")
	for _, field := range [...]*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		if !found {
			return TaskRef{}, notATaskName(name)
		}
		var part string
		part, rest, found = strings.Cut(rest, ".")
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskRef{}, notATaskName(name)
		}
		*field = number
	}
	if found {
		return TaskRef{}, notATaskName(name)
	}
	return ref, nil
}

func notATaskName(name string) error { return errors.Newf("%q is not a task's name", name) }
