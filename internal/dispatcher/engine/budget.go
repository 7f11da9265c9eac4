package engine

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// SharedBudget is this dispatcher's part of the budgets that the fleet's dispatchers share. Run's
// goroutine calls its methods, which must not block.
type SharedBudget interface {
	policy.SharedBudget
	// Reserve reserves one job in flight at members of a kind, until the given time at the latest. It
	// returns false if none is left. A nil Reservation needs no End.
	Reserve(kind string, until time.Time) (Reservation, bool)
	// RetryTime returns when the retry budget of a class is likely to allow another attempt.
	RetryTime(class string, now time.Time) time.Time
}

// Reservation is one reserved job in flight of a shared budget.
type Reservation interface {
	// End releases the reservation. It is called once, by Run's goroutine.
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

// releaseReservation releases the reservation of a flow that has ended. A flow that was cancelled or reset
// may still run at its member: its reservation is released at the flow's deadline.
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
