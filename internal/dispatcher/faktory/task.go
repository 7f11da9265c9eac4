package faktory

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/policy"
)

// task is the backlog's record of one pushed job, from its push until its result is
// forgotten. It is the client of the job's transaction. The backlog's lock guards it.
type task struct {
	backlog     *backlog
	job         *sets.Job // nil: it has ended and is in no set
	id          string    // jid
	batch       string    // bid; empty: none
	effect      policy.Effect
	state       taskState
	fetched     bool            // a worker has fetched it since it was last submitted
	endCounted  bool            // its ACK or FAIL has counted this attempt's end
	pushPending bool            // its PUSH has not been answered: if it is refused now, it is not accepted
	failure     *failure        // of the last attempt; nil: none
	answer      *engine.Answer  // nil until the state is taskFinal
	plan        *planRuns       // nil: workers fetch it
	progress    *progressReport // nil: its worker has reported none
	updatedAt   time.Time
}

// progressReport is a worker's report on a job that it runs (TRACK SET).
type progressReport struct {
	percent     int // 0 to 100
	description string
}

// taskState is where a job is now.
type taskState uint8

const (
	taskWaiting   taskState = iota // in a queue or a set
	taskSubmitted                  // with the engine, a worker, or a plan's run
	taskFinal                      // it has its final answer
)

// failure has the details of a failed attempt, as its worker reported them.
type failure struct {
	errorType, message string
	backtrace          []string
}

// mayPushAgain reports whether a job with this final answer is accepted anew when it is
// pushed again: nothing of it has run.
func mayPushAgain(v engine.Verdict) bool { return v == engine.Refused || v == engine.Denied }
