package stage

import (
	nt "nettletally"

	"nettletally/internal/core"
)

// Route implements core.Stages: it is all that the decisions learn of a
// transaction but its deadline, which the core puts on their clock.
func (c *Chain) Route(t *core.Transaction) nt.Request {
	return nt.Request{ID: t.ID, Class: t.Class, Hint: t.Hint, Slots: t.Slots, Memory: t.Memory, Retry: t.Retry}
}
