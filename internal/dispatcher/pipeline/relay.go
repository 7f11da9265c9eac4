package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"

	"github.com/sirupsen/logrus"
)

// Relay implements core.Stages. A result goes to the client at once, and so
// does a member's word that the request is bad; whether anything else ends the
// transaction is for the decisions to say.
func (c *Pipeline) Relay(f *engine.Flow, s policy.Status, result []byte, now time.Time) *engine.Answer {
	c.ledger.FlowEnded(f, s, now)
	switch s {
	case policy.OK:
		return &engine.Answer{Verdict: engine.Served, Body: result}
	case policy.InvalidRequest:
		return &engine.Answer{Verdict: engine.Denied, Reason: accounting.BadRequest, Body: []byte("the pool member can't use this request\n")}
	}
	if c.log.IsLevelEnabled(logrus.DebugLevel) {
		c.log.WithFields(flowFields(f)).WithField("status", accounting.StatusName(s)).Debug("flow ended")
	}
	return nil
}

func flowFields(f *engine.Flow) map[string]any {
	return map[string]any{"transaction": f.Transaction.ID, "flow": f.Number, "member": f.Member.ID}
}
