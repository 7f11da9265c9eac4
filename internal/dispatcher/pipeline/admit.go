package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
)

// Limits bound what is open at a time, to stay within memory and sockets.
type Limits struct {
	MaxOpen      int // transactions
	MaxBodyBytes int // of their bodies
}

// retryDelay is the delay after which a client may retry that found no room.
const retryDelay = time.Second

// Admit implements engine.Stages. What it rejects has not run and the policy never saw it, so that a
// retry is harmless.
func (p *Pipeline) Admit(t *engine.Transaction, load engine.Load, now time.Time) *engine.Answer {
	if load.Open > p.limits.MaxOpen || load.Bytes > p.limits.MaxBodyBytes || !t.Deadline.After(now) {
		return refused(accounting.NoRoom, now.Add(retryDelay))
	}
	if load.RetryDelay > 0 {
		return refused(accounting.Overloaded, now.Add(load.RetryDelay))
	}
	if p.tenants != nil {
		if until, ok := p.tenants.Admit(t.Tenant, now); !ok {
			return refused(accounting.BudgetSpent, until)
		}
	}
	return nil
}

// refused is the answer to a transaction that is not admitted.
func refused(reason accounting.Reason, retryAt time.Time) *engine.Answer {
	return &engine.Answer{Verdict: engine.Refused, Reason: reason, RetryAt: retryAt}
}
