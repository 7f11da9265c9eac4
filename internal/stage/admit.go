package stage

import (
	"time"

	"basaltloft/internal/account"
	"basaltloft/internal/core"
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
func (c *Chain) Admit(t *core.Transaction, load core.Load, now time.Time) *core.Answer {
	if load.Open > c.limits.Open || load.Bytes > c.limits.Bytes || !t.Deadline.After(now) {
		return &core.Answer{Verdict: core.Refused, Reason: account.NoRoom, RetryAt: now.Add(comeBack)}
	}
	if load.Behind > 0 {
		return &core.Answer{Verdict: core.Refused, Reason: account.Behind, RetryAt: now.Add(load.Behind)}
	}
	if c.shares != nil {
		if until, ok := c.shares.Admit(t.Tenant, now); !ok {
			return &core.Answer{Verdict: core.Refused, Reason: account.NoShare, RetryAt: until}
		}
	}
	return nil
}
