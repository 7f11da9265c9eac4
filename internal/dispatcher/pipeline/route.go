package pipeline

import (
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// Route implements engine.Stages.
func (p *Pipeline) Route(t *engine.Transaction) policy.Request {
	return policy.Request{
		ID: t.ID, Class: t.Class, AffinityKey: t.AffinityKey, Capability: t.Capability,
		Hint: t.Hint, Slots: t.Slots, Memory: t.Memory,
		Retry: t.Retry, KnownFirst: t.KnownFirst, NoRetryOnError: t.NoRetryOnError,
	}
}
