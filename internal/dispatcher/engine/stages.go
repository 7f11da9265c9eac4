package engine

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Load is the engine's load when a transaction comes.
type Load struct {
	Open  int // transactions without a final answer
	Bytes int // of their bodies
	// RetryDelay is how long the client should wait before a retry, as this dispatcher is late with
	// its own events; 0: it is not.
	RetryDelay time.Duration
}

// Stages are the steps of a transaction from its acceptance to its end. They are called by Run's
// goroutine and must not block.
type Stages interface {
	// RecordAccepted counts a transaction that is taken.
	RecordAccepted(t *Transaction, now time.Time)
	// Admit returns the final answer of a transaction that is rejected; nil: it is admitted.
	Admit(t *Transaction, load Load, now time.Time) *Answer
	// Route makes the policy's request of a transaction, but for its deadline and exclusions.
	Route(t *Transaction) policy.Request
	// NewFlow makes and counts the flow that the policy asked for.
	NewFlow(t *Transaction, m *Member, number int, now, until time.Time) *Flow
	// Relay returns what a flow's end means for its client: an answer, or nil for nothing yet.
	Relay(f *Flow, s policy.Status, result []byte, now time.Time) *Answer
	// RecordEnd counts a final answer, or that the client has left and is owed none.
	RecordEnd(t *Transaction, a Answer, now time.Time)
}
