package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
)

// Limits bound what is held at a time, to stay within memory and sockets.
type Limits struct {
	MaxOpen      int // transactions
	MaxBodyBytes int // of their bodies
}

// retryDelay is when a client may try again that found no room, or came before
// the pool was known.
const retryDelay = time.Second

// Admit implements core.Stages. What it turns away has not run and was never
// seen by the decisions, so that trying again is harmless.
func (c *Pipeline) Admit(t *engine.Transaction, load engine.Load, now time.Time) *engine.Answer {
	if load.Open > c.limits.MaxOpen || load.Bytes > c.limits.MaxBodyBytes || !t.Deadline.After(now) {
		return &engine.Answer{Verdict: engine.Refused, Reason: accounting.NoRoom, RetryAt: now.Add(retryDelay)}
	}
	if load.RetryDelay > 0 {
		return &engine.Answer{Verdict: engine.Refused, Reason: accounting.Overloaded, RetryAt: now.Add(load.RetryDelay)}
	}
	if c.tenants != nil {
		if until, ok := c.tenants.Admit(t.Tenant, now); !ok {
			return &engine.Answer{Verdict: engine.Refused, Reason: accounting.BudgetSpent, RetryAt: until}
		}
	}
	return nil
}
