// Package accounting counts every job that a dispatcher accepts, so that at every instant
//
//	taken = served + refused + failed + open
//
// holds for each front, class, tenant and member group, in total and in windows of a minute, an hour and a
// day. It also counts flows (sent = ended + out) and logical requests (a client's request, however many
// tries it takes). Audits report where two independent counts of one item differ. The package does no I/O
// and reads no clock.
//
// A Ledger belongs to one goroutine, the engine's; FrontCounters may be used by any goroutine. GET /figures
// encodes a Snapshot as JSON by the names of its fields and those of the types in it: these names must not
// change.
package accounting

import "fmt"

// Outcome is how a job ended for its client. Journals store the numeric values.
type Outcome uint8

// Outcomes of jobs.
const (
	Served   Outcome = iota
	Refused          // the job did not run, or may safely run again
	Failed           // the job may have run
	Outcomes         // the number of outcomes
)

var outcomeNames = [Outcomes]string{"served", "refused", "failed"}

// String returns the outcome's name in metrics and tables.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason is the reason why a job ended. Each belongs to one outcome. Journals store the numeric values: a new
// reason is added at the end.
type Reason uint8

// Reasons for which jobs end.
const (
	Answered       Reason = iota // answered with a member's result
	Declined                     // refused by the policy
	NoRoom                       // rejected on admission: too much in progress, or no time left
	ShuttingDown                 // refused by a dispatcher that is shutting down
	GivenUp                      // failed by the policy
	DeadlinePassed               // failed at its deadline
	MemberError                  // failed after a member's error
	ClientLeft                   // the client left before the answer
	BadRequest                   // invalid by a member's answer
	DuplicateID                  // its id is that of another job in progress
	Stopped                      // failed by a dispatcher that is shutting down
	Crashed                      // open when the dispatcher crashed
	Overloaded                   // rejected by a dispatcher that is late with its own events
	BudgetSpent                  // rejected: this dispatcher's part of a fleet budget is spent
	Reasons                      // the number of reasons
)

// reasons holds each reason's name in metrics and tables, and its outcome.
var reasons = [Reasons]struct {
	name    string
	outcome Outcome
}{
	Answered:       {"answered", Served},
	Declined:       {"declined", Refused},
	NoRoom:         {"no room", Refused},
	ShuttingDown:   {"going away", Refused},
	GivenUp:        {"given up", Failed},
	DeadlinePassed: {"deadline", Failed},
	MemberError:    {"member error", Failed},
	ClientLeft:     {"client left", Failed},
	BadRequest:     {"bad request", Failed},
	DuplicateID:    {"id in hand", Failed},
	Stopped:        {"stopped", Failed},
	Crashed:        {"cut off by a crash", Failed},
	Overloaded:     {"behind", Refused},
	BudgetSpent:    {"no share", Refused},
}

// String returns the reason's name in metrics and tables.
func (r Reason) String() string {
	if r >= Reasons {
		return fmt.Sprintf("reason %d", uint8(r))
	}
	return reasons[r].name
}

// Outcome returns the outcome that the reason belongs to.
func (r Reason) Outcome() Outcome { return reasons[r].outcome }
