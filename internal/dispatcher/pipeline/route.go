package pipeline

import (
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// Route implements core.Stages: it is all that the decisions learn of a
// transaction but its deadline, which the core puts on their clock.
func (c *Pipeline) Route(t *engine.Transaction) policy.Request {
	return policy.Request{ID: t.ID, Class: t.Class, AffinityKey: t.AffinityKey, Hint: t.Hint, Slots: t.Slots, Memory: t.Memory, Retry: t.Retry, KnownFirst: t.KnownFirst, Capability: t.Capability, NoRetryOnError: t.NoRetryOnError}
}
