package stage

import (
	nt "nettletally"

	"nettletally/internal/core"
)

// Relay implements core.Stages. A result goes to the client at once; whether
// anything else ends the transaction is for the decisions to say.
func (c *Chain) Relay(f *core.Flow, s nt.Status, result []byte) *core.Answer {
	c.counts.flows[s]++
	if s != nt.OK {
		c.log.WithFields(flowFields(f)).WithField("status", statusNames[s]).Debug("flow ended")
		return nil
	}
	return &core.Answer{Verdict: core.Served, Body: result}
}

var statusNames = [...]string{
	nt.OK: "ok", nt.Error: "error", nt.Full: "full", nt.TimedOut: "timed out",
	nt.ConnectFailed: "connect failed", nt.Reset: "reset", nt.Cancelled: "cancelled", nt.Moot: "moot",
}

func flowFields(f *core.Flow) map[string]any {
	return map[string]any{"transaction": f.Transaction.ID, "flow": f.Number, "member": f.Member.ID}
}
