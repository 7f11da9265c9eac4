package faktory

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// pushError is the reason why a PUSH was not accepted, as the text of the protocol's error reply.
type pushError string

// Error implements error.
func (e pushError) Error() string { return string(e) }

// refusedPush returns the error of a job that may be pushed again later.
func refusedPush(a engine.Answer) pushError {
	wait := defaultRetryAfter
	if !a.RetryAt.IsZero() {
		wait = max(0, time.Until(a.RetryAt))
	}
	return pushError(fmt.Sprintf("ERR refused, retry-after %.3f", wait.Seconds()))
}

// invalidPush returns the error of a job that can't be accepted as it is.
func invalidPush(err error) pushError { return pushError("ERR " + err.Error()) }

// push accepts a job, or returns a pushError. If the job is submitted at once and the engine
// refuses it at once, it is not accepted, and the error says when the client may push it again. A
// push of a known jid adds no job, unless nothing of the earlier one has run (mayPushAgain).
func (b *backlog) push(v *fastjson.Value, client string, now time.Time) error {
	j, err := b.parseIncoming(v, now)
	if err != nil {
		return invalidPush(err)
	}
	effect, ok := b.transactions.Effect(j.submission.Class)
	if !ok && j.plan == "" {
		return invalidPush(fmt.Errorf("unknown class %q", j.submission.Class))
	}
	t, err := b.enqueue(j, effect, client, now)
	if err != nil || t == nil {
		return err
	}
	b.engine.Do(func() {}) // wait until the engine has decided on it, if it was submitted
	b.mu.Lock()
	defer b.mu.Unlock()
	t.pushPending = false
	switch {
	case t.state != taskFinal || t.answer.Verdict == engine.Served:
		return nil
	case t.answer.Verdict == engine.Refused:
		return refusedPush(*t.answer)
	}
	return pushError("ERR the job failed: " + strings.TrimSpace(string(t.answer.Body)))
}

// enqueue puts a job into its queue or set, and submits what is wanted of the queue. It
// returns a task only if the reply to the PUSH must wait for the engine's first decision.
func (b *backlog) enqueue(j job, effect policy.Effect, client string, now time.Time) (*task, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining {
		return nil, refusedPush(engine.Answer{})
	}
	known := b.tasks[j.id]
	if known != nil && (known.state != taskFinal || !mayPushAgain(known.answer.Verdict)) {
		return nil, nil
	}
	if j.batch != "" {
		if err := b.batches.CheckAdd(j.batch); err != nil {
			return nil, invalidPush(fmt.Errorf("batch %s: %w", j.batch, err))
		}
	}
	stored := j.stored()
	stored.Client = client
	if err := b.store.Push(now, stored); err != nil {
		return nil, b.storeError(err)
	}
	t := b.addTask(j, stored, effect, known, now)
	if j.batch != "" {
		b.batches.Add(j.batch, j.id)
	}
	if stored.Location() != sets.InQueue {
		b.resetPromotionTimer()
		return nil, nil
	}
	t.pushPending = t.plan == nil
	b.submitWanted(j.queue)
	if t.state == taskSubmitted && t.pushPending {
		return t, nil
	}
	t.pushPending = false
	return nil, nil
}

// storeError returns the protocol's error for an error of the store.
func (b *backlog) storeError(err error) pushError {
	switch {
	case errors.Is(err, sets.ErrNotUnique):
		return pushError("NOTUNIQUE Job not unique")
	case errors.Is(err, sets.ErrFull):
		b.log.Debug("a push exceeds the backlog's limits", "error", err)
		return refusedPush(engine.Answer{})
	}
	return invalidPush(err)
}

// addTask makes the task of a job that the store has just accepted. known is the task of an
// earlier push of its jid, or nil.
func (b *backlog) addTask(j job, stored *sets.Job, effect policy.Effect, known *task, now time.Time) *task {
	t := &task{backlog: b, job: stored, id: j.id, batch: j.batch, effect: effect, updatedAt: now, plan: newPlanRuns(j.plan, known)}
	stored.Attachment = t
	b.tasks[j.id] = t
	b.pushed++
	return t
}

// newID returns a random identifier: 96 bits in hexadecimal.
func newID() string {
	id := make([]byte, 12)
	rand.Read(id) // it never fails (crypto/rand)
	return hex.EncodeToString(id)
}
