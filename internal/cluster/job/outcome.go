package job

// Outcome is the result of applying a command.
type Outcome uint8

// Outcomes. All outcomes except Applied, and UnknownJob of CancelJob, leave the state unchanged.
const (
	Applied                   Outcome = iota + 1
	AlreadyApplied                    // the command had been applied before
	Rejected                          // the state does not allow it
	UnknownJob                        // there is no such job, and a late submission under its ID is rejected
	QueueMoved                        // a newer configuration has assigned the queue to another shard
	CancelledBeforeAcceptance         // the job was cancelled before it was submitted
)
