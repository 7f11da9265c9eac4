package accounting

import "sync/atomic"

// FrontCounters are a front's own counters, written beside the ledger and without asking it: what the
// front submitted to the engine, what it was answered, and what it gave up since its client had left.
// They may be used by any goroutine. An audit compares them with the ledger.
type FrontCounters struct {
	Front                           string // its name in RowKey
	started, submitted, clientsLeft atomic.Int64
	answers                         [Outcomes]atomic.Int64
}

// JobStarted counts a job before the engine is told of it.
func (c *FrontCounters) JobStarted() { c.started.Add(1) }

// JobSubmitted counts a job after the engine was told of it.
func (c *FrontCounters) JobSubmitted() { c.submitted.Add(1) }

// ClientLeft counts a job whose client has left. Its answer may be under way.
func (c *FrontCounters) ClientLeft() { c.clientsLeft.Add(1) }

// JobAnswered counts an answer. It is called by the engine's goroutine.
func (c *FrontCounters) JobAnswered(o Outcome) { c.answers[o].Add(1) }

// FrontCountersSnapshot is what the counters were at a moment.
type FrontCountersSnapshot struct {
	Started, Submitted, ClientsLeft int64
	Answers                         [Outcomes]int64
}

// Snapshot reads the counters. Read on the engine's goroutine, those of the answers are exact.
func (c *FrontCounters) Snapshot() (r FrontCountersSnapshot) {
	r.Submitted = c.submitted.Load() // before begun: never more than it
	r.Started, r.ClientsLeft = c.started.Load(), c.clientsLeft.Load()
	for o := range r.Answers {
		r.Answers[o] = c.answers[o].Load()
	}
	return r
}
