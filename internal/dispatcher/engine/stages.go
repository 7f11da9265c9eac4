package engine

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Load is the engine's load when a transaction arrives.
type Load struct {
	Open  int // transactions without a final answer
	Bytes int // total size of their bodies
	// RetryDelay is how long the client should wait before a retry because this dispatcher is late with
	// its own events; 0: it is not late.
	RetryDelay time.Duration
}

// Stages are the processing steps of a transaction from its acceptance to its end. Run's goroutine calls
// them; they must not block.
type Stages interface {
	// RecordAccepted counts a submitted transaction.
	RecordAccepted(t *Transaction, now time.Time)
	// Admit returns the final answer of a transaction that is rejected, or nil if it is admitted.
	Admit(t *Transaction, load Load, now time.Time) *Answer
	// Route returns the policy's request for a transaction, without its deadline and exclusions.
	Route(t *Transaction) policy.Request
	// NewFlow creates and counts a flow that the policy decided to send.
	NewFlow(t *Transaction, m *Member, number int, now, until time.Time) *Flow
	// Relay returns the answer that the end of a flow gives its client, or nil if there is none yet.
	Relay(f *Flow, s policy.Status, result []byte, now time.Time) *Answer
	// RecordEnd counts the end of a transaction: its final answer, or that its client has left.
	RecordEnd(t *Transaction, a Answer, now time.Time)
}
