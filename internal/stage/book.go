package stage

import (
	"time"

	"basaltloft/internal/core"

	"github.com/sirupsen/logrus"
)

// counts are the totals since the start. The core's goroutine owns them.
type counts struct {
	answers [4]int
	flows   [len(statusNames)]int
}

// Book implements core.Stages.
func (c *Chain) Book(t *core.Transaction, a core.Answer, now time.Time) {
	c.counts.answers[a.Verdict]++
	if a.Verdict != core.Served {
		c.log.WithFields(logrus.Fields{
			"transaction": t.ID, "class": t.Class, "tenant": t.Tenant, "left": t.Deadline.Sub(now).String(),
		}).Debug(a.Verdict.String())
	}
}

// Totals is a line on what has been booked, for the log at the end.
func (c *Chain) Totals() logrus.Fields {
	f := logrus.Fields{}
	for v, n := range c.counts.answers {
		f[core.Verdict(v).String()] = n
	}
	for s, n := range c.counts.flows {
		f["flows "+statusNames[s]] = n
	}
	return f
}
