// Package figures keeps the account of a running dispatcher, audits it and
// tells it to the outside: it joins the books of internal/account to the core,
// the fronts and the journal, which know nothing of each other.
package figures

import (
	"time"

	"basaltloft"
	"basaltloft/internal/account"
	"basaltloft/internal/core"
)

// Second is a second count beside the account.
type Second interface {
	Enter(number uint64, job account.Job, at time.Time)
	End(number uint64, group string, r account.Reason, at time.Time)
	Mark(t account.Totals, at time.Time)
}

// Keeper writes what happens to transactions and flows into the account and,
// where there is one, the second count. It implements stage.Books. The core's
// goroutine owns it.
type Keeper struct {
	Book   *account.Book
	second Second
}

// NewKeeper returns a keeper of an empty account.
func NewKeeper(l account.Limits) *Keeper { return &Keeper{Book: account.New(l)} }

// With sets the second count. It must be called before the first job.
func (k *Keeper) With(s Second) { k.second = s }

// Enter implements stage.Books.
func (k *Keeper) Enter(t *core.Transaction, now time.Time) {
	e := k.Book.Enter(account.Job{Front: t.Front, Class: t.Class, Tenant: t.Tenant, Key: t.Key, Retry: t.Retry}, now)
	t.Booked = e
	if k.second != nil {
		k.second.Enter(e.Number, e.Job, now)
	}
}

// Sent implements stage.Books.
func (k *Keeper) Sent(f *core.Flow, now time.Time) {
	if e, ok := f.Transaction.Booked.(*account.Entry); ok {
		k.Book.Sent(e, f.Member.Group, now)
	}
}

// FlowEnded implements stage.Books.
func (k *Keeper) FlowEnded(f *core.Flow, s basaltloft.Status, _ time.Time) {
	k.Book.FlowEnded(f.Transaction.Class, f.Member.Group, s)
}

// End implements stage.Books.
func (k *Keeper) End(t *core.Transaction, a core.Answer, now time.Time) {
	e, ok := t.Booked.(*account.Entry)
	if !ok {
		return
	}
	t.Booked = nil
	number, group := e.Number, e.Group()
	k.Book.End(e, a.Reason, now)
	if k.second != nil {
		k.second.End(number, group, a.Reason, now)
	}
}
