package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// quantum is how often a bucket is filled at most, by the own clock.
const quantum = 50 * time.Microsecond

// Tap is where a process takes from its share of one budget: Take of a Rate,
// Begin and End of what is UnderWay, Amount of a Part. All may be called by any
// thread at once; none waits.
//
// A bucket is two counts, of those taken and the ceiling that they may reach, so
// that taking is one atomic addition. Who comes a quantum after the last filling
// fills the bucket, if nobody else is at it. In any interval that begins with a
// level l, no more is taken than l and what the share fills in; the level never
// rises but by filling, never above the burst, and is clipped to the floor's burst, which is set
// aside with the floor, at the lease's end and to 0 at the floor's. So all holders
// together take no more than the sum of their levels, at most Burst, and of their rates times
// t, at most Whole x t.
type Tap struct {
	next    atomic.Int64 // a filling is worth while from then on
	valid   atomic.Int64 // the ceiling holds until then
	ceiling atomic.Int64
	terms   atomic.Pointer[terms]
	taken   padded
	turned  padded
	under   padded

	peak, begun, latest atomic.Int64
	want                atomic.Uint64 // a float64's bits

	mu     sync.Mutex // of what follows; Take only tries it
	level  float64    // at filled, before what was taken after base
	filled time.Duration
	base   int64

	counted               atomic.Int64 // who came, at the last renewal
	told                  float64      // with the last renewal; under the Purse's lock, as the next
	turnedThen, begunThen int64
}

// Take takes one of a Rate at now; false: turned away. It asks whether the lease
// holds before anything else, so that a process that was frozen takes nothing
// of a share that is over. now is to be read just before.
func (t *Tap) Take(now time.Duration) bool {
	if int64(now) >= t.next.Load() && t.mu.TryLock() {
		t.fill(now)
		t.mu.Unlock()
	}
	if int64(now) < t.valid.Load() && t.taken.Load() < t.ceiling.Load() {
		if t.taken.Add(1) <= t.ceiling.Load() {
			return true
		}
		t.taken.Add(-1)
	}
	t.turned.Add(1)
	return false
}

// fill brings the bucket to now: first what the share fills in until the lease's
// end, then the floor until its own, clipped to the floor's burst. What was taken since the last filling is
// subtracted after the clip to the burst, as if it had been taken last: never too much is left.
func (t *Tap) fill(now time.Duration) {
	s := t.terms.Load()
	if s == &open || s.kind != Rate {
		return
	}
	t.step(min(now, s.ends), s.amount, s.burst)
	if now >= s.ends {
		t.step(min(now, s.floorEnds), s.floor, s.floorBurst)
	}
	valid := s.ends
	if now >= s.ends {
		valid = s.floorEnds
	}
	if now >= s.floorEnds {
		t.level, valid = 0, 0
	}
	t.filled = max(t.filled, now)
	t.ceiling.Store(t.base + int64(math.Floor(t.level)))
	t.valid.Store(int64(valid))
	next := now + quantum
	if valid > now {
		next = min(next, valid)
	}
	t.next.Store(int64(next))
}

func (t *Tap) step(to time.Duration, rate, burst float64) {
	if to > t.filled {
		t.level += rate * Pace * (to - t.filled).Seconds()
		t.filled = to
	}
	taken := min(t.taken.Load(), t.ceiling.Load()) // above it: tries that are undone
	t.level = min(t.level, burst) - float64(taken-t.base)
	t.base = taken
}

// set puts terms without an end in the place of what there is.
func (t *Tap) set(s *terms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terms.Store(s)
	t.level, t.base = 0, t.taken.Load()
	t.ceiling.Store(t.base + int64(s.amount))
	t.valid.Store(int64(s.ends))
	t.next.Store(math.MaxInt64)
}

// give puts new terms in the place of the old, which are spent to now first.
func (t *Tap) give(now time.Duration, s *terms, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.terms.Load()
	switch {
	case s.kind != Rate:
		t.ceiling.Store(0)
	case old == &open || old == &shut || old.kind != Rate:
		t.level, t.filled, t.base = 0, now, t.taken.Load()
		t.ceiling.Store(t.base)
	default:
		t.fill(now)
		t.step(now, 0, s.burst)
	}
	t.terms.Store(s)
	if full {
		t.level = s.burst
	}
	t.fill(now)
}

// Begin begins one job of an UnderWay budget that lasts until its latest deadline
// at most; false: turned away. Each that it let begin is ended by End. It counts
// first and then asks what is allowed, so that a share's new amount holds for
// all that are not in the count told with its acknowledgement. A job that may last longer
// than the budget's Linger is turned away: it could outlast what the fleet waits for.
func (t *Tap) Begin(now, until time.Duration) bool {
	if until-now > t.terms.Load().linger {
		t.turned.Add(1)
		return false
	}
	most(&t.latest, int64(until))
	n := t.under.Add(1)
	if s := t.terms.Load(); float64(n) > s.at(now) || s.kind != InFlight && s != &open {
		t.under.Add(-1)
		t.turned.Add(1)
		return false
	}
	most(&t.peak, n)
	t.begun.Add(1)
	return true
}

// End ends one that Begin let begin.
func (t *Tap) End() { t.under.Add(-1) }

func most(x *atomic.Int64, n int64) {
	for {
		if was := x.Load(); was >= n || x.CompareAndSwap(was, n) {
			return
		}
	}
}

// Amount is the part that this process may use at now; false: the budget is not
// divided (yet), and nothing is said.
func (t *Tap) Amount(now time.Duration) (float64, bool) {
	s := t.terms.Load()
	return s.at(now), s != &open
}

// Want says how much of a Part this process would use if it could.
func (t *Tap) Want(x float64) { t.want.Store(math.Float64bits(x)) }

// ComeBack is when trying again is worth while, from now: when a Rate has worked
// off what it turned away since the last renewal, a lease at most; else when the next
// renewal may have brought something.
func (t *Tap) ComeBack(now time.Duration) time.Duration {
	s := t.terms.Load()
	rate := s.at(now) * Pace
	if s == &open {
		return 0
	}
	if s.kind != Rate || rate <= 0 {
		return max(s.lease/3, quantum)
	}
	one := time.Duration(float64(time.Second) / max(rate, 1e-3))
	return max(one, min(time.Duration(float64(t.came()-t.counted.Load())*float64(one)), s.lease))
}

// came is how many asked so far.
func (t *Tap) came() int64 { return t.taken.Load() + t.turned.Load() + t.begun.Load() }

// use is what to tell of the time since the last renewal. What is under way is read
// before its latest deadline, which is noted before it counts.
func (t *Tap) use(now, since time.Duration) Use {
	under, latest := t.left(now)
	came, turned, begun := t.came(), t.turned.Load(), t.begun.Load()
	n := float64(came - t.counted.Swap(came))
	refused, began := float64(turned-t.turnedThen), float64(begun-t.begunThen)
	t.turnedThen, t.begunThen = turned, begun
	switch s := t.terms.Load(); {
	case s.kind == Divided:
		t.told = math.Float64frombits(t.want.Load())
	case s.kind == InFlight || began > 0:
		d := float64(t.peak.Swap(int64(under)))
		if began > 0 {
			d = min(d+refused, d*(1+refused/began))
		} else {
			d += refused
		}
		t.told = max(d, (t.told+d)/2)
	default: // what is more than chance is told as it is, the rest smoothed
		if off := n - t.told*since.Seconds(); math.Abs(off) > chance(n) {
			t.told = n / since.Seconds()
		} else {
			t.told += 0.3 * off / since.Seconds()
		}
	}
	if t.told < 1e-3 {
		t.told = 0
	}
	return Use{Demand: min(t.told, mostWhole), UnderWay: under, Latest: latest}
}

// chance is by how much a count of n may be off by chance: three times its root.
func chance(n float64) float64 { return 3 * math.Sqrt(max(n, 1)) }

// moved tells whether what came in a time is not what was told, by half.
func (t *Tap) moved(since time.Duration) bool {
	s := t.terms.Load()
	if s.kind == Divided {
		return t.told != math.Float64frombits(t.want.Load())
	}
	if s.kind == InFlight {
		n, had := float64(t.turned.Load()-t.turnedThen)+float64(t.peak.Load()), t.told
		return math.Abs(n-had) > max(n, had)/2+chance(had)
	}
	n, had := float64(t.came()-t.counted.Load()), t.told*since.Seconds()
	return math.Abs(n-had) > max(n, had)/2+chance(had)
}

// left is how many are under way, and for how long the longest may last.
func (t *Tap) left(now time.Duration) (float64, time.Duration) {
	under := t.under.Load()
	if under <= 0 {
		return 0, 0
	}
	return float64(under), max(time.Duration(t.latest.Load())-now, 0)
}
