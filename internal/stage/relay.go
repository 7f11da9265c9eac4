package stage

import (
	"basaltloft"
	"basaltloft/internal/core"
)

// Relay implements core.Stages. A result goes to the client at once, and so
// does a member's word that the request is bad; whether anything else ends the
// transaction is for the decisions to say.
func (c *Chain) Relay(f *core.Flow, s basaltloft.Status, result []byte) *core.Answer {
	c.counts.flows[s]++
	switch s {
	case basaltloft.OK:
		return &core.Answer{Verdict: core.Served, Body: result}
	case basaltloft.Unfit:
		return &core.Answer{Verdict: core.Denied, Body: []byte("the pool member can't use this request\n")}
	default:
		c.log.WithFields(flowFields(f)).WithField("status", statusNames[s]).Debug("flow ended")
		return nil
	}
}

var statusNames = [...]string{
	basaltloft.OK: "ok", basaltloft.Error: "error", basaltloft.Full: "full", basaltloft.TimedOut: "timed out",
	basaltloft.ConnectFailed: "connect failed", basaltloft.Reset: "reset", basaltloft.Cancelled: "cancelled", basaltloft.Moot: "moot",
	basaltloft.Unfit: "unfit",
}

func flowFields(f *core.Flow) map[string]any {
	return map[string]any{"transaction": f.Transaction.ID, "flow": f.Number, "member": f.Member.ID}
}
