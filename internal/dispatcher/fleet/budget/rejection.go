package budget

import (
	"fmt"
	"time"
)

// RejectionReason is the reason why a bucket rejected a job, for statistics and logs.
type RejectionReason uint8

// Reasons that TokenBucket.RejectionReason can return.
const (
	ReasonNone         RejectionReason = iota // it would be admitted now
	ReasonNoShare                             // no grant has named the budget yet, or the share is 0
	ReasonExhausted                           // the share, or the floor, is used up
	ReasonLeaseExpired                        // the lease has expired, and the floor too
	ReasonTooLong                             // the job may last longer than the budget's SettleTime
	ReasonWrongKind                           // the budget is of another kind
)

var reasonNames = [...]string{"admits", "no share", "share used up", "lease expired", "longer than the budget's settle time", "a budget of another kind"}

// String returns the reason in words.
func (r RejectionReason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// RejectionReason returns why another job of this duration (InFlight) would be rejected at
// now, or ReasonNone. It is called after a rejection and changes nothing; by then the job
// might be admitted.
func (b *TokenBucket) RejectionReason(now time.Duration, kind Kind, duration time.Duration) RejectionReason {
	s := b.terms.Load()
	switch {
	case s == &unlimited:
		return ReasonNone
	case s == &blocked:
		return ReasonNoShare
	case s.kind != kind:
		return ReasonWrongKind
	case now >= s.floorEnd:
		return ReasonLeaseExpired
	case s.amountAt(now) <= 0:
		return ReasonNoShare
	case kind == InFlight && duration > s.settleTime:
		return ReasonTooLong
	case kind == InFlight && float64(b.inFlight.Load()+1) > s.amountAt(now):
		return ReasonExhausted
	case kind == Rate && b.taken.Load() >= b.ceiling.Load():
		return ReasonExhausted
	}
	return ReasonNone
}
