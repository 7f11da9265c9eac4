package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// TaskRef names a task within its shard.
type TaskRef struct {
	Job   string
	Time  int
	Step  int
	Index int
}

// String returns the name that runners know the task by.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Time, r.Step, r.Index)
}

// ParseTaskRef reads a task's name.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskRef{}, errors.Newf("%q is not a task's name", name)
	}
	ref := TaskRef{Job: parts[0]}
	for at, to := range []*int{&ref.Time, &ref.Step, &ref.Index} {
		number, err := strconv.Atoi(parts[at+1])
		if err != nil || number < 0 {
			return TaskRef{}, errors.Newf("%q is not a task's name", name)
		}
		*to = number
	}
	return ref, nil
}

// How says how a run ended.
type How uint8

// Ends of runs. Refused and Lost are this program's own: a run that never began, and one
// that is surely over without its end having been listed.
const (
	Done How = iota + 1
	Failed
	Stopped
	Lapsed
	Broken
	Alone
	Refused
	Lost
)

var howNames = map[string]How{"done": Done, "failed": Failed, "stopped": Stopped, "lapsed": Lapsed, "broken": Broken, "alone": Alone}

// ParseHow reads an end as runners list it. What is not known is taken as lapsed: it
// counts against nothing.
func ParseHow(name string) How {
	if how, ok := howNames[name]; ok {
		return how
	}
	return Lapsed
}

// Kind says what a command does.
type Kind uint8

// Kinds of commands.
const (
	Accept Kind = iota + 1 // New
	Due                    // Task.Job, Task.Time: the time's tasks exist from now on
	Start                  // Task, Attempt, Runner, Address
	End                    // Task, Attempt, Runner, How, Saved
	Save                   // Task, Attempt, Saved
	Cancel                 // Task.Job, Queue, Version
	Forget                 // Task.Job
	Seal                   // Queue, Version: nothing is accepted under older configurations any more
)

// Command is one change of a shard's jobs.
type Command struct {
	Kind    Kind
	Task    TaskRef
	Attempt int
	Runner  string // the life of a runner, as its instance ID
	Address string
	How     How
	Saved   string
	New     *New
	AtMs    int64 // time of day at the proposer
	Queue   string
	Version int64 // of the configuration by which it was asked for
}

// New is a job to be accepted, with what its queue's configuration says of it now.
type New struct {
	ID       string
	Queue    string // host and path prefix
	Service  string
	Hash     uint64 // of the body
	Spec     Spec
	Priority int
	Retries  int
	TargetMs int64
	Stretch  float64
	Version  int64 // of the configuration by which it is accepted
}

// Batch is what one entry of the log holds.
type Batch struct{ Commands []Command }
