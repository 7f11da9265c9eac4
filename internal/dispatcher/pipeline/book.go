package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"

	"github.com/sirupsen/logrus"
)

// Books keep the account. The core's goroutine calls them.
type Books interface {
	Enter(t *engine.Transaction, now time.Time)
	Sent(f *engine.Flow, now time.Time)
	FlowEnded(f *engine.Flow, s policy.Status, now time.Time)
	End(t *engine.Transaction, a engine.Answer, now time.Time)
}

// Enter implements core.Stages.
func (c *Chain) Enter(t *engine.Transaction, now time.Time) { c.books.Enter(t, now) }

// Book implements core.Stages.
func (c *Chain) Book(t *engine.Transaction, a engine.Answer, now time.Time) {
	c.books.End(t, a, now)
	if a.Verdict != engine.Served && c.log.IsLevelEnabled(logrus.DebugLevel) {
		c.log.WithFields(logrus.Fields{
			"transaction": t.ID, "class": t.Class, "tenant": t.Tenant, "left": t.Deadline.Sub(now).String(), "reason": a.Reason.String(),
		}).Debug(a.Verdict.String())
	}
}
