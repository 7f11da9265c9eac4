package stage

import (
	"basaltloft"
	"basaltloft/internal/core"
)

// Relay implements core.Stages. A result goes to the client at once; whether
// anything else ends the transaction is for the decisions to say.
func (c *Chain) Relay(f *core.Flow, s basaltloft.Status, result []byte) *core.Answer {
	c.counts.flows[s]++
	if s != basaltloft.OK {
		c.log.WithFields(flowFields(f)).WithField("status", statusNames[s]).Debug("flow ended")
		return nil
	}
	return &core.Answer{Verdict: core.Served, Body: result}
}

var statusNames = [...]string{
	basaltloft.OK: "ok", basaltloft.Error: "error", basaltloft.Full: "full", basaltloft.TimedOut: "timed out",
	basaltloft.ConnectFailed: "connect failed", basaltloft.Reset: "reset", basaltloft.Cancelled: "cancelled", basaltloft.Moot: "moot",
}

func flowFields(f *core.Flow) map[string]any {
	return map[string]any{"transaction": f.Transaction.ID, "flow": f.Number, "member": f.Member.ID}
}
