package stage

import (
	"time"

	"basaltloft/internal/core"
)

// Send implements core.Stages. No flow outlives its transaction's deadline.
func (c *Chain) Send(t *core.Transaction, m *core.Member, number int, now, until time.Time) *core.Flow {
	if until.After(t.Deadline) {
		until = t.Deadline
	}
	f := &core.Flow{Transaction: t, Member: m, Number: number, SentAt: now, Deadline: until}
	c.books.Sent(f, now)
	return f
}
