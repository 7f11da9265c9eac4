package pipeline

import (
	"context"
	"log/slog"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// Ledger counts transactions, their flows and their results. Only the engine's goroutine calls it.
type Ledger interface {
	// JobAccepted may set t.LedgerEntry, which is for the ledger alone.
	JobAccepted(t *engine.Transaction, now time.Time)
	FlowSent(f *engine.Flow, now time.Time)
	FlowEnded(f *engine.Flow, s policy.Status, now time.Time)
	JobEnded(t *engine.Transaction, a engine.Answer, now time.Time)
}

// RecordAccepted implements engine.Stages.
func (p *Pipeline) RecordAccepted(t *engine.Transaction, now time.Time) { p.ledger.JobAccepted(t, now) }

// RecordEnd implements engine.Stages.
func (p *Pipeline) RecordEnd(t *engine.Transaction, a engine.Answer, now time.Time) {
	p.ledger.JobEnded(t, a, now)
	if a.Verdict != engine.Served && p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug(a.Verdict.String(), "transaction", t.ID, "class", t.Class, "tenant", t.Tenant,
			"left", t.Deadline.Sub(now).String(), "reason", a.Reason.String())
	}
}
