package budget

import (
	"math"
	"sync"
	"time"

	"basaltloft/internal/shared/saturating"
)

// Allowance is one process's side of the budgets. Its times are those of the process's own
// monotonic clock. Its methods, which lock, are safe for concurrent use; a job's path uses
// TokenBucket only.
type Allowance struct {
	mu           sync.Mutex
	process      string
	incarnation  uint64
	appliedGrant uint64        // number of the grant applied; 0: none
	grantedAt    time.Duration // when the last renewal that was granted was sent
	lease        time.Duration
	buckets      map[string]*TokenBucket
	names        []string        // of the buckets, in order of creation
	expected     map[string]bool // nil: none
	renewalAt    time.Duration   // when the last renewal was made
	renewSoon    bool
	closed       bool
	fullBuckets  bool // the injected fault
}

// NewAllowance returns an allowance without a grant.
func NewAllowance() *Allowance {
	return &Allowance{buckets: map[string]*TokenBucket{}, renewalAt: math.MinInt64 / 4, fullBuckets: faultFullBucket}
}

// ExpectBudgets sets the names of the budgets in this process's own configuration file.
// Until the first grant their buckets are blocked instead of unlimited: a process that has
// just started admits nothing of a budget of which it has no share.
func (a *Allowance) ExpectBudgets(names ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expected = map[string]bool{}
	for _, n := range names {
		a.expected[n] = true
	}
	if a.appliedGrant == 0 {
		for _, n := range a.names {
			a.buckets[n].reset(a.termsWithoutGrant(n))
		}
	}
}

// SetIncarnation sets the process and incarnation that renewals are made for. A new
// incarnation has no share until its first grant; jobs in flight continue.
func (a *Allowance) SetIncarnation(process string, incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.process == process && a.incarnation == incarnation {
		return
	}
	for _, n := range a.names {
		if t := a.buckets[n]; t.terms.Load() != &unlimited || a.expected[n] {
			t.reset(&blocked)
		}
	}
	a.process, a.incarnation, a.appliedGrant, a.grantedAt = process, incarnation, 0, 0
}

// Apply applies a grant: sent is when the renewal that it answers was sent, and now is the
// present time, both by the process's own clock. It reports whether the process should
// renew at once, because a share has shrunk and other processes wait for the
// acknowledgement. A grant of another incarnation, one that is older than the one applied,
// or one that Check refuses changes nothing.
//
// The lease is counted from sent, for LeaseMargin of its duration: in fleet time it begins
// later and lasts longer. A share that has grown begins with what its bucket holds, a new
// one with nothing. A bucket that shrinks is clipped at once, before any renewal
// acknowledges the grant.
func (a *Allowance) Apply(sent, now time.Duration, g Grant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g.Check() != nil || g.Process != a.process || g.Incarnation != a.incarnation || g.Number < a.appliedGrant || a.closed {
		return false
	}
	fresh := g.Number > a.appliedGrant
	if !fresh && sent <= a.grantedAt {
		return false
	}
	a.grantedAt, a.lease, a.renewSoon = max(a.grantedAt, sent), g.Lease, g.RenewSoon
	ends := a.grantedAt + saturating.Duration(LeaseMargin*float64(g.Lease))
	shrank := false
	named := make(map[string]bool, len(g.Shares))
	for _, s := range g.Shares {
		named[s.Name] = true
		t := a.bucket(s.Name)
		old := t.terms.Load()
		shrank = shrank || s.Amount < old.amount || s.Burst < old.burst
		next := &terms{
			kind: s.Kind, amount: s.Amount, burst: s.Burst, floor: s.Floor, floorBurst: min(s.Burst, 1),
			settleTime: s.SettleTime, lease: g.Lease, leaseEnd: ends, floorEnd: ends,
		}
		if s.Floor > 0 {
			next.floorEnd = a.grantedAt + saturating.Duration(LeaseMargin*float64(g.Lease+s.FloorDuration))
		}
		if !fresh {
			next.leaseEnd, next.floorEnd = max(next.leaseEnd, old.leaseEnd), max(next.floorEnd, old.floorEnd)
		}
		t.applyTerms(now, next, fresh && a.fullBuckets)
	}
	for _, n := range a.names {
		if !named[n] {
			a.buckets[n].reset(&unlimited)
		}
	}
	a.appliedGrant = g.Number
	a.renewSoon = a.renewSoon || shrank
	return shrank
}

// Bucket returns the process's bucket of a budget. Callers look it up once and keep it. The
// bucket of a budget that does not exist (yet) admits everything and counts it.
func (a *Allowance) Bucket(name string) *TokenBucket {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket(name)
}

func (a *Allowance) bucket(name string) *TokenBucket {
	t := a.buckets[name]
	if t == nil {
		t = &TokenBucket{}
		t.reset(a.termsWithoutGrant(name))
		a.buckets[name] = t
		a.names = append(a.names, name)
	}
	return t
}

// termsWithoutGrant returns the terms of a budget that no grant has named.
func (a *Allowance) termsWithoutGrant(name string) *terms {
	if a.closed || a.appliedGrant == 0 && a.expected[name] {
		return &blocked
	}
	return &unlimited
}

// NextRenewal returns when the next renewal is to be sent, by the process's own clock: a
// third of a lease after the last one. It is a twelfth if a share has shrunk, if more is
// due than was available, or if demand differs from what was reported by more than half
// and by more than random variation.
func (a *Allowance) NextRenewal(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lease == 0 {
		return a.renewalAt + 100*time.Millisecond
	}
	soon := a.renewSoon
	for _, n := range a.names {
		soon = soon || a.buckets[n].demandChanged(now-a.renewalAt)
	}
	if soon {
		return a.renewalAt + a.lease/12
	}
	return a.renewalAt + a.lease/3
}

// Renewal returns the renewal to be sent now. It reads the grant's number before the jobs
// in flight: no job can begin afterwards under an older grant, since a bucket checks its
// terms after it counts the job.
func (a *Allowance) Renewal(now time.Duration) Renewal {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Renewal{Process: a.process, Incarnation: a.incarnation, AppliedGrant: a.appliedGrant, Usage: make(map[string]Usage, len(a.names))}
	for _, n := range a.names {
		r.Usage[n] = a.buckets[n].usage(now, now-a.renewalAt)
	}
	a.renewalAt, a.renewSoon = now, false
	return r
}

// Close blocks all buckets permanently and returns what is in flight, for a planned
// shutdown. Nothing is admitted after it.
func (a *Allowance) Close(now time.Duration) map[string]Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	left := make(map[string]Departure, len(a.names))
	for _, n := range a.names {
		t := a.buckets[n]
		t.reset(&blocked)
		inFlight, remaining := t.unfinished(now)
		left[n] = Departure{InFlight: inFlight, MaxRemaining: remaining}
	}
	return left
}
