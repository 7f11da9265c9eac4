package lab

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Policy makes the decisions of one dispatcher. *policy.Dispatcher implements it. Its methods
// are those of policy.Dispatcher; they are called with virtual times, on the single
// goroutine of the run.
type Policy interface {
	HandleRequest(now time.Duration, r policy.Request)
	HandleAttemptResult(now time.Duration, o policy.AttemptResult)
	HandleProbeResult(now time.Duration, p policy.ProbeResult)
	HandleTimer(now time.Duration, token string)
	HandleAttemptUpdate(now time.Duration, n policy.AttemptUpdate)
	HandleMembers(now time.Duration, kind policy.ListKind, entries []policy.Member)
	HandleClientGone(now time.Duration, id string)
}

// PolicyMaker makes the policy of one dispatcher, which acts through the host.
type PolicyMaker func(w *World, d policy.Host, rank int, seed uint64) (Policy, error)

// NewDispatcherPolicy returns the product's policy.
func NewDispatcherPolicy(w *World, h policy.Host, rank int, seed uint64) (Policy, error) {
	s := w.experiment.Settings
	s.Rank, s.Seed = rank, seed
	return policy.New(s, h)
}
