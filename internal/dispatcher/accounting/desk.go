package accounting

import "sync/atomic"

// Desk is a front's own book. The front writes it, beside the account and
// without asking it: what it handed to the core, what it was answered, and
// what it gave up since its client had left. Its methods may be called by any
// goroutine.
type Desk struct {
	Front                 string
	begun, handed, called atomic.Int64
	answers               [Outcomes]atomic.Int64
}

// Begin counts a job before the core is told of it, and Handed after.
func (d *Desk) Begin()  { d.begun.Add(1) }
func (d *Desk) Handed() { d.handed.Add(1) }

// Left counts a job whose client has gone. Its answer may be under way.
func (d *Desk) Left() { d.called.Add(1) }

// Answered counts an answer. The core's goroutine brings them.
func (d *Desk) Answered(o Outcome) { d.answers[o].Add(1) }

// DeskReading is what a desk says at a moment.
type DeskReading struct {
	Begun, Handed, Left int64
	Answers             [Outcomes]int64
}

// Read reads the desk. Of the figures the core has a hand in, the ones that
// are read on its goroutine are exact.
func (d *Desk) Read() (r DeskReading) {
	r.Handed = d.handed.Load() // before begun: never more than it
	r.Begun, r.Left = d.begun.Load(), d.called.Load()
	for o := range r.Answers {
		r.Answers[o] = d.answers[o].Load()
	}
	return r
}
