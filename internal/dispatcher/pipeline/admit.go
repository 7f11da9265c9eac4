package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
)

// Limits bound the transactions that are open at a time, to stay within the memory and the sockets.
type Limits struct {
	MaxOpen      int // transactions
	MaxBodyBytes int // total size of their bodies
}

// retryDelay is the delay after which a client may retry a job that was rejected for lack of room.
const retryDelay = time.Second

// Admit implements engine.Stages. A transaction that it rejects was not sent and was not passed to the
// policy, so the client may safely retry it.
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

// refused returns the answer to a transaction that is not admitted.
func refused(reason accounting.Reason, retryAt time.Time) *engine.Answer {
	return &engine.Answer{Verdict: engine.Refused, Reason: reason, RetryAt: retryAt}
}
