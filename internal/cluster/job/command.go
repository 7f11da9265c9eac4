package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// TaskRef names a task within its shard.
type TaskRef struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that runners know the task by.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// ParseTaskRef reads a task's name.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskRef{}, errors.Newf("%q is not a task's name", name)
	}
	ref := TaskRef{Job: parts[0]}
	for at, to := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		number, err := strconv.Atoi(parts[at+1])
		if err != nil || number < 0 {
			return TaskRef{}, errors.Newf("%q is not a task's name", name)
		}
		*to = number
	}
	return ref, nil
}

// EndReason says how a run ended.
type EndReason uint8

// Ends of runs. Refused and Lost are this program's own: a run that never began, and one
// that is surely over without its end having been listed.
const (
	EndDone EndReason = iota + 1
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangBroken
	EndGangIncomplete
	EndRejected
	EndLost
)

var howNames = map[string]EndReason{"done": EndDone, "failed": EndFailed, "stopped": EndStopped, "lapsed": EndLeaseExpired, "broken": EndGangBroken, "alone": EndGangIncomplete}

// ParseEndReason reads an end as runners list it. What is not known is taken as lapsed: it
// counts against nothing.
func ParseEndReason(name string) EndReason {
	if how, ok := howNames[name]; ok {
		return how
	}
	return EndLeaseExpired
}

// CommandKind says what a command does.
type CommandKind uint8

// Kinds of commands.
const (
	AcceptJob      CommandKind = iota + 1 // New
	OpenOccurrence                        // Task.Job, Task.Time: the time's tasks exist from now on
	StartRun                              // Task, Attempt, Runner, Address
	EndRun                                // Task, Attempt, Runner, How, Saved
	SaveCheckpoint                        // Task, Attempt, Saved
	CancelJob                             // Task.Job, Queue, Version
	ForgetJob                             // Task.Job
	SealQueue                             // Queue, Version: nothing is accepted under older configurations any more
)

// Command is one change of a shard's jobs.
type Command struct {
	Kind          CommandKind
	Task          TaskRef
	Attempt       int
	Runner        string // the life of a runner, as its instance ID
	Address       string
	EndReason     EndReason
	Checkpoint    string
	Submission    *New
	ProposedAtMs  int64 // time of day at the proposer
	Queue         string
	ConfigVersion int64 // of the configuration by which it was asked for
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
