package pipeline

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// Relay implements engine.Stages. It answers the client at once with a result, or if the member reports an
// invalid request. For any other end of a flow it returns nil, and the policy decides whether the
// transaction ends.
func (p *Pipeline) Relay(f *engine.Flow, s policy.Status, result []byte, now time.Time) *engine.Answer {
	p.ledger.FlowEnded(f, s, now)
	switch s {
	case policy.OK:
		return &engine.Answer{Verdict: engine.Served, Body: result}
	case policy.InvalidRequest:
		const text = "the pool member can't use this request\n"
		return &engine.Answer{Verdict: engine.Denied, Reason: accounting.BadRequest, Body: []byte(text)}
	}
	p.log.Debug("flow ended", "transaction", f.Transaction.ID, "flow", f.Number, "member", f.Member.ID, "status", accounting.StatusName(s))
	return nil
}
