package faktory

import (
	"time"

	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/faktory/sets"

	"github.com/valyala/fastjson"
)

// pushCallbacks pushes the call-back jobs of batches that are due. A pushed job can make further
// call-backs due, which are pushed after the others. The lock is held.
func (b *backlog) pushCallbacks(due []batch.Callback) {
	b.pendingCallbacks = append(b.pendingCallbacks, due...)
	for len(b.pendingCallbacks) > 0 {
		c := b.pendingCallbacks[0]
		b.pendingCallbacks = b.pendingCallbacks[1:]
		if err := b.pushCallback(c); err != nil {
			b.log.Error("a batch's call-back can't be queued", "error", err, "batch", c.Batch, "callback", c.Kind)
		}
	}
}

// pushCallback pushes one call-back job, marked with its batch and its kind.
func (b *backlog) pushCallback(c batch.Callback) error {
	v, err := fastjson.ParseBytes(c.Job)
	if err != nil {
		return err
	}
	var a fastjson.Arena
	if custom := v.Get("custom"); isAbsent(custom) {
		v.Set("custom", a.NewObject())
	}
	v.Get("custom").Set("_bid", a.NewString(c.Batch))
	v.Get("custom").Set("_cb", a.NewString(string(c.Kind)))
	now := time.Now()
	j, err := b.parseIncoming(v, now)
	if err != nil {
		return err
	}
	effect, _ := b.transactions.Effect(j.submission.Class)
	stored := j.stored()
	if stored.Options == nil {
		stored.Options = new(sets.Options)
	}
	stored.CallbackOf, stored.CallbackKind = c.Batch, string(c.Kind)
	if err := b.store.Push(now, stored); err != nil {
		return err
	}
	b.addTask(j, stored, effect, nil, now)
	if stored.Location() == sets.InQueue {
		b.submitWanted(stored.Queue)
	} else {
		b.resetPromotionTimer()
	}
	return nil
}
