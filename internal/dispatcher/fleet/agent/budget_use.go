package agent

import (
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/settings"
)

// bucketSet is an immutable snapshot of the token buckets by purpose. It is read on a job's
// path, and replaced when a grant names a new budget.
type bucketSet struct {
	names                        map[string]bool
	admission, retries, inFlight map[string]*budget.TokenBucket
	cold, probes                 *budget.TokenBucket
}

// addBuckets replaces the bucket set by one that also has the buckets of these budgets, unless
// it has them all.
func (a *Agent) addBuckets(names []string) {
	old := a.buckets.Load()
	unknown := old == nil
	for _, n := range names {
		unknown = unknown || !old.names[n]
	}
	if !unknown {
		return
	}
	t := &bucketSet{names: map[string]bool{}, admission: map[string]*budget.TokenBucket{}, retries: map[string]*budget.TokenBucket{}, inFlight: map[string]*budget.TokenBucket{}}
	if old != nil {
		for n := range old.names {
			names = append(names, n)
		}
	}
	for _, n := range names {
		t.names[n] = true
		purpose, name, _ := strings.Cut(n, "/")
		switch bucket := a.allowance.Bucket(n); purpose {
		case settings.BudgetJobs:
			t.admission[name] = bucket
		case settings.BudgetRetries:
			t.retries[name] = bucket
		case settings.BudgetUnderWay:
			t.inFlight[name] = bucket
		case settings.BudgetCold:
			t.cold = bucket
		case settings.BudgetProbes:
			t.probes = bucket
		}
	}
	a.buckets.Store(t)
}

// The methods below are on a job's path: they use atomics and the bucket set, and never block.

// Admit implements pipeline.TenantLimiter.
func (a *Agent) Admit(tenant string, now time.Time) (time.Time, bool) {
	t := a.buckets.Load().admission[tenant]
	if t == nil {
		return time.Time{}, true
	}
	own := a.now() // read again: a process that was stopped must notice its lease's expiry
	if t.Take(own) {
		return time.Time{}, true
	}
	return now.Add(t.RetryAfter(own)), false
}

// TakeRetry implements policy.SharedBudget and coordinator.Fleet.
func (a *Agent) TakeRetry(_, class string) bool {
	t := a.buckets.Load().retries[class]
	return t == nil || t.Take(a.now())
}

// RetryTime implements engine.SharedBudget and coordinator.Fleet.
func (a *Agent) RetryTime(class string, now time.Time) time.Time {
	if t := a.buckets.Load().retries[class]; t != nil {
		return now.Add(t.RetryAfter(a.now()))
	}
	return now
}

// rejectionInterval is the shortest time between two rejections by one budget that are counted
// as demand, since waiting jobs call HasHeadroom again at each scheduling decision.
const rejectionInterval = 20 * time.Millisecond

// HasHeadroom implements policy.SharedBudget. It must be called by the engine's goroutine only.
func (a *Agent) HasHeadroom(kind string) bool {
	t := a.buckets.Load().inFlight[kind]
	if t == nil {
		return true
	}
	now := a.now()
	free := t.CanBegin(now)
	if !free && now-a.lastRejection[kind] >= rejectionInterval {
		a.lastRejection[kind] = now
		t.CountRejection()
	}
	return free
}

// Reserve implements engine.SharedBudget. It must be called by the engine's goroutine only.
func (a *Agent) Reserve(kind string, until time.Time) (engine.Reservation, bool) {
	t := a.buckets.Load().inFlight[kind]
	if t == nil {
		return nil, true
	}
	return t, t.Begin(a.now(), until.Sub(a.clockZero))
}

// TakeProbe implements policy.SharedBudget.
func (a *Agent) TakeProbe() bool {
	t := a.buckets.Load().probes
	return t == nil || t.Take(a.now())
}

// ColdShare implements policy.SharedBudget.
func (a *Agent) ColdShare() (float64, bool) {
	t := a.buckets.Load().cold
	if t == nil {
		return 0, false
	}
	return t.Amount(a.now())
}

// SetArrivalRate sets how many jobs a second arrive at this dispatcher. The fleet divides the
// capacity of members that are warming up according to these rates.
func (a *Agent) SetArrivalRate(rate float64) {
	if t := a.buckets.Load().cold; t != nil {
		t.SetDemand(rate)
	}
}
