package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"

	"github.com/sirupsen/logrus"
)

// Ledger keep the account. The core's goroutine calls them.
type Ledger interface {
	JobAccepted(t *engine.Transaction, now time.Time)
	FlowSent(f *engine.Flow, now time.Time)
	FlowEnded(f *engine.Flow, s policy.Status, now time.Time)
	JobEnded(t *engine.Transaction, a engine.Answer, now time.Time)
}

// RecordAccepted implements core.Stages.
func (c *Pipeline) RecordAccepted(t *engine.Transaction, now time.Time) { c.ledger.JobAccepted(t, now) }

// RecordEnd implements core.Stages.
func (c *Pipeline) RecordEnd(t *engine.Transaction, a engine.Answer, now time.Time) {
	c.ledger.JobEnded(t, a, now)
	if a.Verdict != engine.Served && c.log.IsLevelEnabled(logrus.DebugLevel) {
		c.log.WithFields(logrus.Fields{
			"transaction": t.ID, "class": t.Class, "tenant": t.Tenant, "left": t.Deadline.Sub(now).String(), "reason": a.Reason.String(),
		}).Debug(a.Verdict.String())
	}
}
