package accounting

import "sync/atomic"

// FrontCounters are a front's own counters, kept independently of the ledger: the jobs that the front
// submitted to the engine, the answers that it received, and the jobs whose clients left. They may be used
// by any goroutine. An audit compares them with the ledger.
type FrontCounters struct {
	Front                           string // its name in RowKey
	started, submitted, clientsLeft atomic.Int64
	answers                         [Outcomes]atomic.Int64
}

// JobStarted counts a job before the front submits it to the engine.
func (c *FrontCounters) JobStarted() { c.started.Add(1) }

// JobSubmitted counts a job after the front has submitted it to the engine.
func (c *FrontCounters) JobSubmitted() { c.submitted.Add(1) }

// ClientLeft counts a job whose client has left. The job's answer may already be on its way.
func (c *FrontCounters) ClientLeft() { c.clientsLeft.Add(1) }

// JobAnswered counts an answer. It is called by the engine's goroutine.
func (c *FrontCounters) JobAnswered(o Outcome) { c.answers[o].Add(1) }

// FrontCountersSnapshot holds the values of a front's counters at one moment.
type FrontCountersSnapshot struct {
	Started, Submitted, ClientsLeft int64
	Answers                         [Outcomes]int64
}

// Snapshot returns the counters' values. On the engine's goroutine, those of the answers are exact.
func (c *FrontCounters) Snapshot() (r FrontCountersSnapshot) {
	r.Submitted = c.submitted.Load() // read before started, so that it is never above it
	r.Started, r.ClientsLeft = c.started.Load(), c.clientsLeft.Load()
	for o := range r.Answers {
		r.Answers[o] = c.answers[o].Load()
	}
	return r
}
