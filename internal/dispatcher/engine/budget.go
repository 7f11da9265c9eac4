package engine

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// SharedBudget is this dispatcher's part of the budgets of the fleet. Its methods are called by Run's
// goroutine and answer at once.
type SharedBudget interface {
	policy.SharedBudget
	// Reserve takes one of the jobs that may be in flight at members of a kind, until then at the
	// latest; false: there is none left. A nil Reservation needs no End.
	Reserve(kind string, until time.Time) (Reservation, bool)
	// RetryTime is when the retry budget of a class is likely to have another attempt.
	RetryTime(class string, now time.Time) time.Time
}

// Reservation is one job in flight of a shared budget.
type Reservation interface {
	// End gives it back. It is called once, by Run's goroutine.
	End()
}

// budgetRecorder records on a transaction that the shared budget refused another attempt.
type budgetRecorder struct {
	engine *Engine
	SharedBudget
}

// TakeRetry implements policy.SharedBudget.
func (r budgetRecorder) TakeRetry(id, class string) bool {
	ok := r.SharedBudget.TakeRetry(id, class)
	if t := r.engine.open[id]; t != nil {
		t.budgetSpent = !ok
	}
	return ok
}

// releaseReservation gives back the reservation of a flow that has ended. What may run on at its member
// though nobody waits keeps it to the deadline.
func (e *Engine) releaseReservation(f *Flow, s policy.Status) {
	reservation := f.reservation
	if reservation == nil {
		return
	}
	f.reservation = nil
	if (s == policy.Cancelled || s == policy.Reset) && e.now.Before(f.Deadline) {
		e.timers.schedule(f.Deadline, reservation.End)
		return
	}
	reservation.End()
}
