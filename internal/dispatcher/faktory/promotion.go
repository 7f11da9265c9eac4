package faktory

import (
	"context"
	"time"

	"basaltloft/internal/dispatcher/faktory/sets"
)

// promotionBatch is how many jobs are promoted while the lock is held at a time.
const promotionBatch = 500

// idlePromotionInterval is how long the timer runs while no job is scheduled.
const idlePromotionInterval = time.Hour

// runPromotions promotes scheduled and retried jobs when they are due, until the context
// ends.
func (b *backlog) runPromotions(ctx context.Context) {
	b.mu.Lock()
	b.promotionTimer = time.NewTimer(idlePromotionInterval)
	timer := b.promotionTimer
	b.mu.Unlock()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			b.promoteDue()
		}
	}
}

// promoteDue moves the jobs that are due into their queues, promotionBatch at a time: the
// lock is released in between, so that commands don't wait long for it.
func (b *backlog) promoteDue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		now := time.Now()
		queues, nextDue := b.store.PromoteDue(now, promotionBatch)
		for _, q := range queues {
			b.submitWanted(q)
		}
		if nextDue.IsZero() || nextDue.After(now) {
			b.setPromotionTimer(nextDue)
			return
		}
		b.mu.Unlock()
		b.mu.Lock()
	}
}

// setPromotionTimer sets the timer to a time; zero is never. The lock is held.
func (b *backlog) setPromotionTimer(at time.Time) {
	if b.promotionTimer == nil {
		return
	}
	if at.IsZero() {
		b.promotionTimer.Reset(idlePromotionInterval)
		return
	}
	b.promotionTimer.Reset(max(0, time.Until(at)))
}

// resetPromotionTimer sets the timer to the time of the next job that is due. The lock is
// held.
func (b *backlog) resetPromotionTimer() {
	var at time.Time
	for _, s := range []*sets.Set{b.store.Scheduled, b.store.Retries} {
		if j := s.Earliest(); j != nil && (at.IsZero() || j.OrderTime().Before(at)) {
			at = j.OrderTime()
		}
	}
	b.setPromotionTimer(at)
}
