package job

// CommandKind is the kind of a command. Its numbers are stored in the log.
type CommandKind uint8

// Kinds of commands, with the fields of Command that each uses in addition to Kind and ProposedAtMs.
const (
	AcceptJob      CommandKind = iota + 1 // Submission
	OpenOccurrence                        // Task.Job, Task.Occurrence: creates the occurrence's tasks
	StartRun                              // Task, Attempt, Runner, Address
	EndRun                                // Task, Attempt, Runner, EndReason, Checkpoint
	SaveCheckpoint                        // Task, Attempt, Checkpoint
	CancelJob                             // Task.Job, Queue, ConfigVersion
	ForgetJob                             // Task.Job
	SealQueue                             // Queue, ConfigVersion: requests under older configurations are rejected from now on
)

// Command is one change of a shard's jobs.
type Command struct {
	Kind          CommandKind
	Task          TaskRef
	Attempt       int    // counts from 1 and increases with each run of the task
	Runner        string // ID of the runner's incarnation
	Address       string // of the runner
	EndReason     EndReason
	Checkpoint    string // opaque; empty: none
	Submission    *Submission
	ProposedAtMs  int64 // Unix time in milliseconds, by the proposer's clock
	Queue         string
	ConfigVersion int64 // version of the configuration that the sender of the request had
}

// Submission is a job to be accepted, with the settings of its queue at the time of the submission. The log
// stores it as JSON, with the names of the tags.
type Submission struct {
	ID            string  `json:"ID"`
	Queue         string  `json:"Queue"` // host and path prefix
	Service       string  `json:"Service"`
	BodyHash      uint64  `json:"Hash"` // of the body that the client sent
	Spec          Spec    `json:"Spec"`
	Priority      int     `json:"Priority"` // lower numbers are started first
	Retries       int     `json:"Retries"`  // the job fails once a task, or a gang, has this many failed runs
	TargetMs      int64   `json:"TargetMs"` // fixed part of the latency target, in milliseconds
	Extension     float64 `json:"Stretch"`  // proportional part of the latency target, as a multiple of the job's work
	ConfigVersion int64   `json:"Version"`  // of the configuration under which it is accepted
}

// Batch is the content of one entry of the replicated log.
type Batch struct{ Commands []Command }
