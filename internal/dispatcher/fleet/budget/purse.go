package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Allowance is one process's side of the budgets. Its times are the process's own
// monotonic clock. Apply, Renewal and Tap may wait for one another; what a job's path
// calls is on Tap and waits for nothing.
type Allowance struct {
	mu           sync.Mutex
	process      string
	incarnation  uint64
	appliedGrant uint64        // of the grant applied
	grantedAt    time.Duration // when the last renewal that was granted was sent
	lease        time.Duration
	buckets      map[string]*TokenBucket
	names        []string        // of the taps, as they came
	expected     map[string]bool // nil: none
	renewalAt    time.Duration   // when the last renewal was made
	renewSoon    bool
	closed       bool
	fullBuckets  bool // the planted bug
}

// NewAllowance returns a purse without a grant.
func NewAllowance() *Allowance {
	return &Allowance{buckets: map[string]*TokenBucket{}, renewalAt: math.MinInt64 / 4, fullBuckets: faultFullBucket}
}

// ExpectBudgets names budgets that there are as far as this process knows, from its own
// operator's file. Until a grant tells, their taps are shut and not open: a process that
// has just begun admits nothing of a budget that it has no share of.
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

// SetIncarnation names the process and the incarnation that renewals are made for. A new
// incarnation has no share until its first grant; what is under way goes on.
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

// Apply takes in a grant: sent is when the renewal that it answers was sent, now
// the time of the own clock. It tells whether the process should renew at once
// (a share shrank, and others wait for the acknowledgement). A grant of another
// incarnation, older than the one applied, or that Check turns down, changes nothing.
//
// The lease is counted from sent, and Margin of its length: by the fleet's clock it
// began later and lasts longer. A grown share begins with what its bucket holds, a
// new one with none; a bucket that shrinks is clipped at once, before the
// grant's number is in any renewal.
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

// Bucket is the process's tap of a budget, looked up once and kept. Of a budget that
// does not exist (yet) it lets all through and counts.
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

// termsWithoutGrant are the terms of a budget that no grant has told of.
func (p *Allowance) termsWithoutGrant(name string) *terms {
	if p.closed || p.appliedGrant == 0 && p.expected[name] {
		return &blocked
	}
	return &unlimited
}

// NextRenewal is when, by the own clock, the next renewal is to be sent: a third of a
// lease after the last one, or a twelfth where a share shrank, where more is due than
// could be given, or where demand is not what was told, by half and by more than chance.
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

// Renewal is what to send now. It reads the number before what is under way: what is
// begun after under an older grant is not possible, as the tap is asked after it counts.
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

// Close shuts all taps for good and tells what is left under way, for the planned
// end. Nothing is admitted after it.
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

// terms are what a tap goes by, never changed once published.
type terms struct {
	kind                              Kind
	amount, burst, floor, floorBurst  float64
	linger, lease, leaseEnd, floorEnd time.Duration
}

const noEnd = time.Duration(math.MaxInt64)

// unlimited lets all through; shut lets nothing.
var (
	unlimited = terms{amount: math.MaxInt64 / 4, burst: math.MaxInt64 / 4, linger: noEnd, leaseEnd: noEnd, floorEnd: noEnd}
	blocked   = terms{}
)

// amountAt is what may be used at a time of the own clock: the share, then the floor, then nothing.
func (s *terms) amountAt(now time.Duration) float64 {
	switch {
	case now < s.leaseEnd:
		return s.amount
	case now < s.floorEnd:
		return s.floor
	}
	return 0
}

// paddedCounter keeps what all threads write off the line that they read.
type paddedCounter struct {
	_ [64]byte
	atomic.Int64
	_ [56]byte
}
