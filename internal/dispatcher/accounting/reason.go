// Package accounting counts every job that is taken, so that at every instant
//
//	taken = served + refused + failed + open
//
// holds for each front, class, tenant and member group, in total and in
// windows of a minute, an hour and a day. It counts flows (sent = ended + out)
// and asks (a client's wish, however many tries it takes) beside it, and says
// where two counts of one thing differ. It does no I/O and keeps no clock.
//
// A Book belongs to one goroutine, the core's; a Desk may be used by any.
package accounting

import (
	"fmt"

	"basaltloft/internal/dispatcher/policy"
)

// Outcome is how a job ended, as the clients are told in figures.
type Outcome uint8

// Outcomes of jobs.
const (
	Served  Outcome = iota
	Refused         // it did not run, or may safely run again
	Failed          // no promise that it never ran
	Outcomes
)

var outcomeNames = [Outcomes]string{"served", "refused", "failed"}

func (o Outcome) String() string { return outcomeNames[o] }

// Reason says why a job ended as it did. Each belongs to one outcome. The
// numbers are written to journals: a new one goes to the end.
type Reason uint8

// Reasons for which jobs end.
const (
	Answered       Reason = iota // a member's result
	Declined                     // refused by the decisions
	NoRoom                       // refused before the decisions: too much in hand, or no time left
	ShuttingDown                 // refused by a dispatcher that ends
	GivenUp                      // failed by the decisions
	DeadlinePassed               // failed at its deadline
	MemberError                  // failed after a member's error
	ClientLeft                   // nobody waits for the answer
	BadRequest                   // a member can't use the request
	DuplicateID                  // its id names another job in hand
	Stopped                      // failed by a dispatcher that ends
	Crashed                      // open when the dispatcher crashed
	Overloaded                   // refused by a dispatcher that is behind with its own work
	BudgetSpent                  // refused: this dispatcher's share of a budget of the fleet's is spent
	Reasons
)

var reasons = [Reasons]struct {
	name    string
	outcome Outcome
}{
	Answered: {"answered", Served}, Declined: {"declined", Refused}, NoRoom: {"no room", Refused}, ShuttingDown: {"going away", Refused},
	GivenUp: {"given up", Failed}, DeadlinePassed: {"deadline", Failed}, MemberError: {"member error", Failed}, ClientLeft: {"client left", Failed},
	BadRequest: {"bad request", Failed}, DuplicateID: {"id in hand", Failed}, Stopped: {"stopped", Failed}, Crashed: {"cut off by a crash", Failed},
	Overloaded: {"behind", Refused}, BudgetSpent: {"no share", Refused},
}

func (r Reason) String() string {
	if r >= Reasons {
		return fmt.Sprintf("reason %d", uint8(r))
	}
	return reasons[r].name
}

// Outcome is the outcome that the reason belongs to.
func (r Reason) Outcome() Outcome { return reasons[r].outcome }

var statusNames = [flowStatuses]string{
	policy.OK: "ok", policy.Error: "error", policy.Rejected: "full", policy.TimedOut: "timed out",
	policy.ConnectFailed: "connect failed", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "moot",
	policy.InvalidRequest: "unfit",
}

// StatusName is how a flow ended, in a word or two.
func StatusName(s policy.Status) string { return statusNames[s] }

// StatusNameAt is the same for the number of a column of FlowRow.Ends.
func StatusNameAt(i int) string { return statusNames[i] }
