// Package accounting counts every job that is taken, so that at every instant
//
//	taken = served + refused + failed + open
//
// holds for each front, class, tenant and member group, in total and in
// windows of a minute, an hour and a day. It counts flows (sent = ended + out)
// and logical requests (what a client wants, however many tries it takes) beside it, and an audit
// tells where two counts of one thing differ. It does no I/O and reads no clock.
//
// A Ledger belongs to one goroutine, the engine's; FrontCounters may be used by any. GET /figures
// writes a Snapshot as JSON by the names of its fields, and of those of the types in it: they must not
// change.
package accounting

import "fmt"

// Outcome is how a job ended for its client. Journals hold the numbers.
type Outcome uint8

// Outcomes of jobs.
const (
	Served   Outcome = iota
	Refused          // it did not run, or may safely run again
	Failed           // no promise that it never ran
	Outcomes         // the number of outcomes
)

var outcomeNames = [Outcomes]string{"served", "refused", "failed"}

// String returns the name in metrics and tables.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason says why a job ended as it did. Each belongs to one outcome. Journals hold the numbers: a new
// one goes to the end.
type Reason uint8

// Reasons for which jobs end.
const (
	Answered       Reason = iota // a member's result
	Declined                     // refused by the policy
	NoRoom                       // rejected before the policy: too much in progress, or no time left
	ShuttingDown                 // refused by a dispatcher that stops
	GivenUp                      // failed by the policy
	DeadlinePassed               // failed at its deadline
	MemberError                  // failed after a member's error
	ClientLeft                   // nobody waits for the answer
	BadRequest                   // a member can't use the request
	DuplicateID                  // its id names another job in progress
	Stopped                      // failed by a dispatcher that stops
	Crashed                      // open when the dispatcher crashed
	Overloaded                   // rejected by a dispatcher that is late with its own events
	BudgetSpent                  // rejected: this dispatcher's part of a fleet budget is spent
	Reasons                      // the number of reasons
)

// reasons has each reason's name, which metrics and tables print, and its outcome.
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

// String returns the name in metrics and tables.
func (r Reason) String() string {
	if r >= Reasons {
		return fmt.Sprintf("reason %d", uint8(r))
	}
	return reasons[r].name
}

// Outcome returns the outcome that the reason belongs to.
func (r Reason) Outcome() Outcome { return reasons[r].outcome }
