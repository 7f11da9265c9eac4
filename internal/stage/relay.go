package stage

import (
	"time"

	"basaltloft"
	"basaltloft/internal/account"
	"basaltloft/internal/core"

	"github.com/sirupsen/logrus"
)

// Relay implements core.Stages. A result goes to the client at once, and so
// does a member's word that the request is bad; whether anything else ends the
// transaction is for the decisions to say.
func (c *Chain) Relay(f *core.Flow, s basaltloft.Status, result []byte, now time.Time) *core.Answer {
	c.books.FlowEnded(f, s, now)
	switch s {
	case basaltloft.OK:
		return &core.Answer{Verdict: core.Served, Body: result}
	case basaltloft.Unfit:
		return &core.Answer{Verdict: core.Denied, Reason: account.BadRequest, Body: []byte("the pool member can't use this request\n")}
	}
	if c.log.IsLevelEnabled(logrus.DebugLevel) {
		c.log.WithFields(flowFields(f)).WithField("status", account.StatusName(s)).Debug("flow ended")
	}
	return nil
}

func flowFields(f *core.Flow) map[string]any {
	return map[string]any{"transaction": f.Transaction.ID, "flow": f.Number, "member": f.Member.ID}
}
