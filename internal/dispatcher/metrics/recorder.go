// Package metrics counts the jobs of a running dispatcher, audits the counts and exports
// them. It joins the ledger of internal/dispatcher/accounting to the engine, the fronts
// and the journal, which know nothing of each other. The engine's goroutine writes the
// ledger; audits and exports read it there, at one moment.
package metrics

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// JobJournal is a count of the same jobs that is kept apart from the ledger, such as
// *journal.Journal. Its methods are called on the engine's goroutine and must not block.
type JobJournal interface {
	// JobAccepted counts a job, by its number within this process.
	JobAccepted(number uint64, job accounting.Job, at time.Time)
	// JobEnded counts its end, with the group of the pool member that answered last.
	JobEnded(number uint64, group string, r accounting.Reason, at time.Time)
	// Checkpoint compares its own totals with the ledger's as they are at this place.
	Checkpoint(t accounting.Totals, at time.Time)
}

// Recorder writes what happens to transactions and flows into the ledger and, where
// there is one, the job journal. It implements pipeline.Ledger. The engine's goroutine
// owns it.
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
