package accounting

import "sync/atomic"

// FrontCounters is a front's own book. The front writes it, beside the account and
// without asking it: what it handed to the core, what it was answered, and
// what it gave up since its client had left. Its methods may be called by any
// goroutine.
type FrontCounters struct {
	Front                           string
	started, submitted, clientsLeft atomic.Int64
	answers                         [Outcomes]atomic.Int64
}

// JobStarted counts a job before the core is told of it, and Handed after.
func (d *FrontCounters) JobStarted()   { d.started.Add(1) }
func (d *FrontCounters) JobSubmitted() { d.submitted.Add(1) }

// ClientLeft counts a job whose client has gone. Its answer may be under way.
func (d *FrontCounters) ClientLeft() { d.clientsLeft.Add(1) }

// JobAnswered counts an answer. The core's goroutine brings them.
func (d *FrontCounters) JobAnswered(o Outcome) { d.answers[o].Add(1) }

// FrontCountersSnapshot is what a desk says at a moment.
type FrontCountersSnapshot struct {
	Started, Submitted, ClientsLeft int64
	Answers                         [Outcomes]int64
}

// Snapshot reads the desk. Of the figures the core has a hand in, the ones that
// are read on its goroutine are exact.
func (d *FrontCounters) Snapshot() (r FrontCountersSnapshot) {
	r.Submitted = d.submitted.Load() // before begun: never more than it
	r.Started, r.ClientsLeft = d.started.Load(), d.clientsLeft.Load()
	for o := range r.Answers {
		r.Answers[o] = d.answers[o].Load()
	}
	return r
}
