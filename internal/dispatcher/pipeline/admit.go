package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
)

// Limits bound what is held at a time, to stay within memory and sockets.
type Limits struct {
	Open  int // transactions
	Bytes int // of their bodies
}

// comeBack is when a client may try again that found no room, or came before
// the pool was known.
const comeBack = time.Second

// Admit implements core.Stages. What it turns away has not run and was never
// seen by the decisions, so that trying again is harmless.
func (c *Chain) Admit(t *engine.Transaction, load engine.Load, now time.Time) *engine.Answer {
	if load.Open > c.limits.Open || load.Bytes > c.limits.Bytes || !t.Deadline.After(now) {
		return &engine.Answer{Verdict: engine.Refused, Reason: accounting.NoRoom, RetryAt: now.Add(comeBack)}
	}
	if load.Behind > 0 {
		return &engine.Answer{Verdict: engine.Refused, Reason: accounting.Behind, RetryAt: now.Add(load.Behind)}
	}
	if c.shares != nil {
		if until, ok := c.shares.Admit(t.Tenant, now); !ok {
			return &engine.Answer{Verdict: engine.Refused, Reason: accounting.NoShare, RetryAt: until}
		}
	}
	return nil
}
