package agent

import (
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/settings"
)

// bucketSet are looked up on a job's path: an immutable snapshot, replaced when a grant
// names a budget that was not known.
type bucketSet struct {
	names                        map[string]bool
	admission, retries, inFlight map[string]*budget.TokenBucket
	cold, probes                 *budget.TokenBucket
}

// addBuckets makes the taps of these budgets known.
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
		of, name, _ := strings.Cut(n, "/")
		switch tap := a.allowance.Bucket(n); of {
		case settings.BudgetJobs:
			t.admission[name] = tap
		case settings.BudgetRetries:
			t.retries[name] = tap
		case settings.BudgetUnderWay:
			t.inFlight[name] = tap
		case settings.BudgetCold:
			t.cold = tap
		case settings.BudgetProbes:
			t.probes = tap
		}
	}
	a.buckets.Store(t)
}

// The methods below are on a job's path: atomics and a snapshot. Those of
// core.Spending are called by the core's goroutine alone.

// Admit implements stage.Shares.
func (a *Agent) Admit(tenant string, now time.Time) (time.Time, bool) {
	t := a.buckets.Load().admission[tenant]
	if t == nil {
		return time.Time{}, true
	}
	own := a.now() // read anew: a process that was stopped must see its lease's end
	if t.Take(own) {
		return time.Time{}, true
	}
	return now.Add(t.RetryAfter(own)), false
}

// TakeRetry implements basaltloft.Purse.
func (a *Agent) TakeRetry(_, class string) bool {
	t := a.buckets.Load().retries[class]
	return t == nil || t.Take(a.now())
}

// RetryTime implements core.Spending.
func (a *Agent) RetryTime(class string, now time.Time) time.Time {
	if t := a.buckets.Load().retries[class]; t != nil {
		return now.Add(t.RetryAfter(a.now()))
	}
	return now
}

// rejectionInterval: jobs that wait for room ask at each look of the decisions; what they
// want is counted this often.
const rejectionInterval = 20 * time.Millisecond

// HasHeadroom implements basaltloft.Purse.
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

// Reserve implements core.Spending.
func (a *Agent) Reserve(kind string, until time.Time) (engine.Reservation, bool) {
	t := a.buckets.Load().inFlight[kind]
	if t == nil {
		return nil, true
	}
	return t, t.Begin(a.now(), until.Sub(a.clockZero))
}

// TakeProbe implements basaltloft.Purse.
func (a *Agent) TakeProbe() bool {
	t := a.buckets.Load().probes
	return t == nil || t.Take(a.now())
}

// ColdShare implements basaltloft.Purse.
func (a *Agent) ColdShare() (float64, bool) {
	t := a.buckets.Load().cold
	if t == nil {
		return 0, false
	}
	return t.Amount(a.now())
}

// SetArrivalRate tells how many jobs a second this dispatcher has, by which a cold member's
// parts are divided.
func (a *Agent) SetArrivalRate(rate float64) {
	if t := a.buckets.Load().cold; t != nil {
		t.SetDemand(rate)
	}
}
