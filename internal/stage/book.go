package stage

import (
	"time"

	"basaltloft"
	"basaltloft/internal/core"

	"github.com/sirupsen/logrus"
)

// Books keep the account. The core's goroutine calls them.
type Books interface {
	Enter(t *core.Transaction, now time.Time)
	Sent(f *core.Flow, now time.Time)
	FlowEnded(f *core.Flow, s basaltloft.Status, now time.Time)
	End(t *core.Transaction, a core.Answer, now time.Time)
}

// Enter implements core.Stages.
func (c *Chain) Enter(t *core.Transaction, now time.Time) { c.books.Enter(t, now) }

// Book implements core.Stages.
func (c *Chain) Book(t *core.Transaction, a core.Answer, now time.Time) {
	c.books.End(t, a, now)
	if a.Verdict != core.Served && c.log.IsLevelEnabled(logrus.DebugLevel) {
		c.log.WithFields(logrus.Fields{
			"transaction": t.ID, "class": t.Class, "tenant": t.Tenant, "left": t.Deadline.Sub(now).String(), "reason": a.Reason.String(),
		}).Debug(a.Verdict.String())
	}
}
