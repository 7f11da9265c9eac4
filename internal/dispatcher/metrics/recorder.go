// Package metrics counts the jobs of a running dispatcher, audits the counts and exports
// them. It joins the ledger of internal/dispatcher/accounting to the engine, the fronts
// and the journal, which are independent of each other. The engine's goroutine
// writes the ledger; audits and exports read it on that goroutine, at one moment.
package metrics

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// JobJournal counts the same jobs as the ledger, separately from it. *journal.Journal is
// one. Its methods are called on the engine's goroutine and must not block.
type JobJournal interface {
	// JobAccepted counts an accepted job. number identifies the job within this process.
	JobAccepted(number uint64, job accounting.Job, at time.Time)
	// JobEnded counts the end of a job. group is that of the pool member that answered last.
	JobEnded(number uint64, group string, r accounting.Reason, at time.Time)
	// Checkpoint compares the totals counted by the calls so far with t, the ledger's totals.
	Checkpoint(t accounting.Totals, at time.Time)
}

// Recorder records the events of transactions and flows in the ledger and, if one is set,
// in the job journal. It implements pipeline.Ledger. It may be used only on the engine's
// goroutine.
type Recorder struct {
	Ledger  *accounting.Ledger
	journal JobJournal // nil: none
}

// NewRecorder returns a recorder with an empty ledger.
func NewRecorder(l accounting.Limits) *Recorder { return &Recorder{Ledger: accounting.New(l)} }

// SetJobJournal sets the job journal. It must be called before the first job.
func (r *Recorder) SetJobJournal(j JobJournal) { r.journal = j }

// JobAccepted implements pipeline.Ledger.
func (r *Recorder) JobAccepted(t *engine.Transaction, now time.Time) {
	job := accounting.Job{Front: t.Front, Class: t.Class, Tenant: t.Tenant, Key: t.Key, Retry: t.Retry}
	entry := r.Ledger.JobAccepted(job, now)
	t.LedgerEntry = entry
	if r.journal != nil {
		r.journal.JobAccepted(entry.Number, entry.Job, now)
	}
}

// FlowSent implements pipeline.Ledger.
func (r *Recorder) FlowSent(f *engine.Flow, now time.Time) {
	if entry, ok := f.Transaction.LedgerEntry.(*accounting.Entry); ok {
		r.Ledger.FlowSent(entry, f.Member.Group, now)
	}
}

// FlowEnded implements pipeline.Ledger.
func (r *Recorder) FlowEnded(f *engine.Flow, s policy.Status, _ time.Time) {
	r.Ledger.FlowEnded(f.Transaction.Class, f.Member.Group, s)
}

// JobEnded implements pipeline.Ledger.
func (r *Recorder) JobEnded(t *engine.Transaction, a engine.Answer, now time.Time) {
	entry, ok := t.LedgerEntry.(*accounting.Entry)
	if !ok {
		return
	}
	t.LedgerEntry = nil
	number, group := entry.Number, entry.Group()
	r.Ledger.JobEnded(entry, a.Reason, now)
	if r.journal != nil {
		r.journal.JobEnded(number, group, a.Reason, now)
	}
}
