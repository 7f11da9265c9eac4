package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/fleet/planrun"
)

// ErrOutcomeUnknown is returned if it could not be determined in time how a run ended. The run
// may have taken effect.
var ErrOutcomeUnknown = errors.New("how the run ended is not known")

// Waiting for a run's answer.
const (
	maxPollInterval = 2 * time.Second  // between two reads of a run that another process drives
	answerTimeout   = 30 * time.Second // how long after the run's deadline and grace its answer is still waited for
)

// answerWaiters passes the final answers of runs that this process drives to the callers that
// wait for them.
type answerWaiters struct {
	mu    sync.Mutex
	byRun map[string][]chan *planrun.Answer
}

func (w *answerWaiters) subscribe(run string) (answers chan *planrun.Answer, unsubscribe func()) {
	answers = make(chan *planrun.Answer, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byRun == nil {
		w.byRun = map[string][]chan *planrun.Answer{}
	}
	w.byRun[run] = append(w.byRun[run], answers)
	return answers, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.byRun[run] = slices.DeleteFunc(w.byRun[run], func(c chan *planrun.Answer) bool { return c == answers }); len(w.byRun[run]) == 0 {
			delete(w.byRun, run)
		}
	}
}

func (w *answerWaiters) publish(a *planrun.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, answers := range w.byRun[a.Run] {
		select {
		case answers <- a:
		default: // the answer has been sent before
		}
	}
}

// CheckInUse returns nil if a plan is in use here, and otherwise an error that wraps
// ErrUnknownPlan.
func (c *Coordinator) CheckInUse(plan string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plansByName[plan] == nil {
		return fmt.Errorf("%w: %q", ErrUnknownPlan, plan)
	}
	return nil
}

// StartAsync starts a run, unless it is in progress or has ended, and calls done once with its
// final answer, on another goroutine. It does not call done if this process stops first. The
// deadline is the plan's own if until is zero, and never later than that. An error that wraps
// ErrOutcomeUnknown means that the run may have taken effect; with any other error nothing
// has run.
func (c *Coordinator) StartAsync(a StartRequest, until time.Time, done func(*planrun.Answer, error)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, lifetime := c.plansByName[a.Plan], c.lifetime
	switch {
	case p == nil:
		return fmt.Errorf("%w: %q", ErrUnknownPlan, a.Plan)
	case lifetime == nil || lifetime.Err() != nil:
		return ErrNoSession
	}
	if most := c.now().Add(p.Timeout); until.IsZero() || until.After(most) {
		until = most
	}
	c.running.Go(func() {
		if answer, err := c.startAndWait(lifetime, a, until); lifetime.Err() == nil {
			done(answer, err)
		}
	})
	return nil
}

// startAndWait retries the start until the replicated state has the run, and then waits for
// the answer.
func (c *Coordinator) startAndWait(ctx context.Context, a StartRequest, until time.Time) (*planrun.Answer, error) {
	answers, unsubscribe := c.waiting.subscribe(a.Run)
	defer unsubscribe()
	startedAt := c.now()
	answer, before, err := c.startUntil(ctx, a, startedAt, until)
	if answer != nil {
		return answer, nil
	}
	if err != nil && before == 0 {
		return nil, err
	}
	return c.awaitAnswer(ctx, a.Run, answers, startedAt, until, before)
}

// startUntil retries a start that was first tried at startedAt, until the run has started, the
// start was refused, or the deadline has passed. It returns the fleet time up to which a
// command that was sent may still start the run; 0: none was sent.
func (c *Coordinator) startUntil(ctx context.Context, a StartRequest, startedAt, until time.Time) (answer *planrun.Answer, before time.Duration, err error) {
	stop := startedAt.Add(planrun.DefaultLimits().AnswerRetention / 2) // a later command could start the run again, if its answer is no longer stored
	if until.Before(stop) {
		stop = until
	}
	err = fmt.Errorf("%w: its deadline has passed", ErrRefused)
	for now := c.now(); now.Before(stop); now = c.now() {
		once, cancel := context.WithTimeout(ctx, min(commandTimeout, stop.Sub(now)))
		a.Timeout = until.Sub(now)
		var upTo time.Duration
		answer, upTo, err = c.start(once, a)
		cancel()
		if !errors.Is(err, ErrRefused) { // a refusal proves that this command has not started the run
			before = max(before, upTo)
		}
		if answer != nil || err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknownPlan) {
			return answer, before, err
		}
		select {
		case <-ctx.Done():
			return nil, before, ctx.Err()
		case <-time.After(retryInterval):
		}
	}
	return nil, before, err
}

// awaitAnswer waits for the answer of a run: it is published if this process drives the run,
// and polled otherwise.
func (c *Coordinator) awaitAnswer(ctx context.Context, run string, answers <-chan *planrun.Answer, startedAt, until time.Time, before time.Duration) (*planrun.Answer, error) {
	limits := planrun.DefaultLimits()
	keep := limits.AnswerRetention
	giveUpAt := until.Add(limits.Grace + answerTimeout)
	for wait := pollInterval; c.now().Before(giveUpAt); {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case answer := <-answers:
			return answer, nil
		case <-time.After(wait):
		}
		if s := c.fleet.Session(); s != nil && !c.drives(run) {
			once, cancel := context.WithTimeout(ctx, commandTimeout)
			r, queryErr := c.queryRun(once, s, run)
			cancel()
			switch {
			case queryErr != nil:
			case r.FinalAnswer != nil:
				return r.FinalAnswer, nil
			case r.Run == nil && r.At > before && c.now().Sub(startedAt) < keep-keep/10: // an answer would still be stored by now
				return nil, fmt.Errorf("%w: it was never begun", ErrRefused)
			}
		}
		wait = min(2*wait, maxPollInterval)
	}
	return nil, fmt.Errorf("run %s: %w", run, ErrOutcomeUnknown)
}

func (c *Coordinator) drives(run string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[run] != nil
}
