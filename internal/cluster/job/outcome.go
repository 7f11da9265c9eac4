package job

// Outcome says what a command did.
type Outcome uint8

// Outcomes. All but Applied, and UnknownJob of CancelJob, leave the state as it was.
const (
	Applied                   Outcome = iota + 1
	AlreadyApplied                    // the same was done before
	Rejected                          // the state does not allow it
	UnknownJob                        // there is no such job, and a late submission under its ID is rejected
	QueueMoved                        // a newer configuration has sent the queue to another shard
	CancelledBeforeAcceptance         // the job was cancelled before it was submitted
)
