package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
)

// NewFlow implements engine.Stages. No flow outlives its transaction's deadline.
func (p *Pipeline) NewFlow(t *engine.Transaction, m *engine.Member, number int, now, until time.Time) *engine.Flow {
	if until.After(t.Deadline) {
		until = t.Deadline
	}
	f := &engine.Flow{Transaction: t, Member: m, Number: number, SentAt: now, Deadline: until}
	p.ledger.FlowSent(f, now)
	return f
}
