package budget

import (
	"math"
	"sync"
	"time"
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

// ExpectBudgets names the budgets that exist as far as this process knows, from its
// operator's file. Until a grant says otherwise their buckets are empty instead of
// unlimited: a process that has just started admits nothing of a budget of which it has no
// share.
func (p *Allowance) ExpectBudgets(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = map[string]bool{}
	for _, n := range names {
		p.expected[n] = true
	}
	if p.appliedGrant == 0 {
		for _, n := range p.names {
			p.buckets[n].reset(p.termsWithoutGrant(n))
		}
	}
}

// SetIncarnation sets the process and incarnation that renewals are made for. A new
// incarnation has no share until its first grant; what is in flight goes on.
func (p *Allowance) SetIncarnation(process string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == process && p.incarnation == incarnation {
		return
	}
	for _, n := range p.names {
		if t := p.buckets[n]; t.terms.Load() != &unlimited || p.expected[n] {
			t.reset(&blocked)
		}
	}
	p.process, p.incarnation, p.appliedGrant, p.grantedAt = process, incarnation, 0, 0
}

// Apply applies a grant: sent is when the renewal that it answers was sent, now the time of
// the own clock. It reports whether the process should renew at once, because a share has
// shrunk and others wait for the acknowledgement. A grant of another incarnation, one that
// is older than the one applied, or one that Check refuses changes nothing.
//
// The lease is counted from sent, for LeaseMargin of its duration: by the fleet's clock it
// has begun later and lasts longer. A share that has grown begins with what its bucket
// holds, a new one with nothing; a bucket that shrinks is clipped at once, before any
// renewal acknowledges the grant.
func (p *Allowance) Apply(sent, now time.Duration, g Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.Check() != nil || g.Process != p.process || g.Incarnation != p.incarnation || g.Number < p.appliedGrant || p.closed {
		return false
	}
	fresh := g.Number > p.appliedGrant
	if !fresh && sent <= p.grantedAt {
		return false
	}
	p.grantedAt, p.lease, p.renewSoon = max(p.grantedAt, sent), g.Lease, g.RenewSoon
	ends := p.grantedAt + time.Duration(LeaseMargin*float64(g.Lease))
	shrank := false
	named := make(map[string]bool, len(g.Shares))
	for _, s := range g.Shares {
		named[s.Name] = true
		t := p.bucket(s.Name)
		old := t.terms.Load()
		shrank = shrank || s.Amount < old.amount || s.Burst < old.burst
		next := &terms{
			kind: s.Kind, amount: s.Amount, burst: s.Burst, floor: s.Floor, floorBurst: min(s.Burst, 1), linger: s.SettleTime, lease: g.Lease,
			leaseEnd: ends, floorEnd: ends,
		}
		if s.Floor > 0 {
			next.floorEnd = p.grantedAt + time.Duration(LeaseMargin*float64(g.Lease+s.FloorDuration))
		}
		if !fresh {
			next.leaseEnd, next.floorEnd = max(next.leaseEnd, old.leaseEnd), max(next.floorEnd, old.floorEnd)
		}
		t.applyTerms(now, next, fresh && p.fullBuckets)
	}
	for _, n := range p.names {
		if !named[n] {
			p.buckets[n].reset(&unlimited)
		}
	}
	p.appliedGrant = g.Number
	p.renewSoon = p.renewSoon || shrank
	return shrank
}

// Bucket returns the process's bucket of a budget, to be looked up once and kept. The
// bucket of a budget that does not exist (yet) admits everything and counts.
func (p *Allowance) Bucket(name string) *TokenBucket {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bucket(name)
}

func (p *Allowance) bucket(name string) *TokenBucket {
	t := p.buckets[name]
	if t == nil {
		t = &TokenBucket{}
		t.reset(p.termsWithoutGrant(name))
		p.buckets[name] = t
		p.names = append(p.names, name)
	}
	return t
}

// termsWithoutGrant returns the terms of a budget that no grant has named.
func (p *Allowance) termsWithoutGrant(name string) *terms {
	if p.closed || p.appliedGrant == 0 && p.expected[name] {
		return &blocked
	}
	return &unlimited
}

// NextRenewal returns when, by the own clock, the next renewal is to be sent: a third of a
// lease after the last one, or a twelfth where a share has shrunk, where more is due than
// could be given, or where demand differs from what was reported, by half and by more than
// chance.
func (p *Allowance) NextRenewal(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == 0 {
		return p.renewalAt + 100*time.Millisecond
	}
	soon := p.renewSoon
	for _, n := range p.names {
		soon = soon || p.buckets[n].demandChanged(now-p.renewalAt)
	}
	if soon {
		return p.renewalAt + p.lease/12
	}
	return p.renewalAt + p.lease/3
}

// Renewal returns the renewal to be sent now. It reads the grant's number before what is in
// flight: nothing can begin afterwards under an older grant, since a bucket checks its
// terms after it counts.
func (p *Allowance) Renewal(now time.Duration) Renewal {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Renewal{Process: p.process, Incarnation: p.incarnation, AppliedGrant: p.appliedGrant, Usage: make(map[string]Usage, len(p.names))}
	for _, n := range p.names {
		r.Usage[n] = p.buckets[n].usage(now, now-p.renewalAt)
	}
	p.renewalAt, p.renewSoon = now, false
	return r
}

// Close closes all buckets for good and returns what is in flight, for a planned shutdown.
// Nothing is admitted after it.
func (p *Allowance) Close(now time.Duration) map[string]Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	left := make(map[string]Departure, len(p.names))
	for _, n := range p.names {
		t := p.buckets[n]
		t.reset(&blocked)
		under, latest := t.unfinished(now)
		left[n] = Departure{InFlight: under, MaxRemaining: latest}
	}
	return left
}
