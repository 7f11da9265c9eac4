package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Purse is one process's side of the budgets. Its times are the process's own
// monotonic clock. Apply, Renewal and Tap may wait for one another; what a job's path
// calls is on Tap and waits for nothing.
type Purse struct {
	mu          sync.Mutex
	process     string
	incarnation uint64
	number      uint64        // of the grant applied
	sent        time.Duration // when the last renewal that was granted was sent
	lease       time.Duration
	taps        map[string]*Tap
	names       []string        // of the taps, as they came
	expected    map[string]bool // nil: none
	asked       time.Duration   // when the last renewal was made
	soon        bool
	closed      bool
	full        bool // the planted bug
}

// NewPurse returns a purse without a grant.
func NewPurse() *Purse {
	return &Purse{taps: map[string]*Tap{}, asked: math.MinInt64 / 4, full: plantFull}
}

// Expect names budgets that there are as far as this process knows, from its own
// operator's file. Until a grant tells, their taps are shut and not open: a process that
// has just begun admits nothing of a budget that it has no share of.
func (p *Purse) Expect(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = map[string]bool{}
	for _, n := range names {
		p.expected[n] = true
	}
	if p.number == 0 {
		for _, n := range p.names {
			p.taps[n].set(p.unknown(n))
		}
	}
}

// Become names the process and the incarnation that renewals are made for. A new
// incarnation has no share until its first grant; what is under way goes on.
func (p *Purse) Become(process string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == process && p.incarnation == incarnation {
		return
	}
	for _, n := range p.names {
		if t := p.taps[n]; t.terms.Load() != &open || p.expected[n] {
			t.set(&shut)
		}
	}
	p.process, p.incarnation, p.number, p.sent = process, incarnation, 0, 0
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
func (p *Purse) Apply(sent, now time.Duration, g Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.Check() != nil || g.Process != p.process || g.Incarnation != p.incarnation || g.Number < p.number || p.closed {
		return false
	}
	fresh := g.Number > p.number
	if !fresh && sent <= p.sent {
		return false
	}
	p.sent, p.lease, p.soon = max(p.sent, sent), g.Lease, g.Soon
	ends := p.sent + time.Duration(Margin*float64(g.Lease))
	shrank := false
	named := make(map[string]bool, len(g.Shares))
	for _, s := range g.Shares {
		named[s.Name] = true
		t := p.tap(s.Name)
		old := t.terms.Load()
		shrank = shrank || s.Amount < old.amount || s.Burst < old.burst
		next := &terms{
			kind: s.Kind, amount: s.Amount, burst: s.Burst, floor: s.Floor, floorBurst: min(s.Burst, 1), linger: s.Linger, lease: g.Lease,
			ends: ends, floorEnds: ends,
		}
		if s.Floor > 0 {
			next.floorEnds = p.sent + time.Duration(Margin*float64(g.Lease+s.FloorFor))
		}
		if !fresh {
			next.ends, next.floorEnds = max(next.ends, old.ends), max(next.floorEnds, old.floorEnds)
		}
		t.give(now, next, fresh && p.full)
	}
	for _, n := range p.names {
		if !named[n] {
			p.taps[n].set(&open)
		}
	}
	p.number = g.Number
	p.soon = p.soon || shrank
	return shrank
}

// Tap is the process's tap of a budget, looked up once and kept. Of a budget that
// does not exist (yet) it lets all through and counts.
func (p *Purse) Tap(name string) *Tap {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tap(name)
}

func (p *Purse) tap(name string) *Tap {
	t := p.taps[name]
	if t == nil {
		t = &Tap{}
		t.set(p.unknown(name))
		p.taps[name] = t
		p.names = append(p.names, name)
	}
	return t
}

// unknown are the terms of a budget that no grant has told of.
func (p *Purse) unknown(name string) *terms {
	if p.closed || p.number == 0 && p.expected[name] {
		return &shut
	}
	return &open
}

// Due is when, by the own clock, the next renewal is to be sent: a third of a
// lease after the last one, or a twelfth where a share shrank, where more is due than
// could be given, or where demand is not what was told, by half and by more than chance.
func (p *Purse) Due(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == 0 {
		return p.asked + 100*time.Millisecond
	}
	soon := p.soon
	for _, n := range p.names {
		soon = soon || p.taps[n].moved(now-p.asked)
	}
	if soon {
		return p.asked + p.lease/12
	}
	return p.asked + p.lease/3
}

// Renewal is what to send now. It reads the number before what is under way: what is
// begun after under an older grant is not possible, as the tap is asked after it counts.
func (p *Purse) Renewal(now time.Duration) Renewal {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Renewal{Process: p.process, Incarnation: p.incarnation, Bound: p.number, Uses: make(map[string]Use, len(p.names))}
	for _, n := range p.names {
		r.Uses[n] = p.taps[n].use(now, now-p.asked)
	}
	p.asked, p.soon = now, false
	return r
}

// Close shuts all taps for good and tells what is left under way, for the planned
// end. Nothing is admitted after it.
func (p *Purse) Close(now time.Duration) map[string]Left {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	left := make(map[string]Left, len(p.names))
	for _, n := range p.names {
		t := p.taps[n]
		t.set(&shut)
		under, latest := t.left(now)
		left[n] = Left{UnderWay: under, Latest: latest}
	}
	return left
}

// terms are what a tap goes by, never changed once published.
type terms struct {
	kind                             Kind
	amount, burst, floor, floorBurst float64
	linger, lease, ends, floorEnds   time.Duration
}

const never = time.Duration(math.MaxInt64)

// open lets all through; shut lets nothing.
var (
	open = terms{amount: math.MaxInt64 / 4, burst: math.MaxInt64 / 4, linger: never, ends: never, floorEnds: never}
	shut = terms{}
)

// at is what may be used at a time of the own clock: the share, then the floor, then nothing.
func (s *terms) at(now time.Duration) float64 {
	switch {
	case now < s.ends:
		return s.amount
	case now < s.floorEnds:
		return s.floor
	}
	return 0
}

// padded keeps what all threads write off the line that they read.
type padded struct {
	_ [64]byte
	atomic.Int64
	_ [56]byte
}
