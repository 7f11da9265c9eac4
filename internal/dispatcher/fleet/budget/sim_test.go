package budget

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget/budgetcheck"
	"basaltloft/internal/shared/indexedheap"

	"github.com/stretchr/testify/require"
)

var seeds = flag.Int("seeds", 1500, "seeds of the simulation")

// world is processes, raft nodes and a bad network in true, virtual time.
type world struct {
	*rand.Rand
	now    time.Duration
	events indexedheap.Heap[*event]
	order  int

	book, follower *AllocationTable
	fleet          time.Duration // fleet time when the leader began
	since          time.Duration // true time then
	rate           float64
	stopped, calm  bool
	config         Config
	number         uint64 // of incarnations
	procs          []*proc
	faults         counts

	full, twice bool // the planted bugs
	check       checker
}

// counts are of what went wrong or was done, by name.
type counts map[string]int

type event struct {
	at    time.Duration
	order int
	do    func()
}

// proc is a process's place; what runs there has an incarnation.
type proc struct {
	*world
	name        string
	inc         uint64
	purse       *Allowance
	rate        float64
	off         time.Duration
	up, cut     bool
	frozen      time.Duration // until then
	r, u, p     *TokenBucket
	busy, using float64
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	w.events.Push(&event{w.now + max(d, 0), w.order, do})
}

func (w *world) span(m time.Duration) time.Duration { return time.Duration(w.Float64() * float64(m)) }
func (w *world) chance(p float64) bool              { return w.Float64() < p }
func (w *world) clock() float64                     { return 0.975 + 0.05*w.Float64() }
func (w *world) at() time.Duration                  { return w.fleet + time.Duration(w.rate*float64(w.now-w.since)) }
func (p *proc) own() time.Duration                  { return p.off + time.Duration(p.rate*float64(p.now)) }

const simLease, simLife = 900 * time.Millisecond, 700 * time.Millisecond

func newWorld(seed uint64, full, twice bool) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 7)), rate: 1, full: full, twice: twice, faults: counts{}}
	w.events = indexedheap.New(func(a, b *event) bool { return a.at < b.at || a.at == b.at && a.order < b.order }, nil)
	w.config = Config{Lease: simLease, Budgets: []Budget{
		{Name: "p", Kind: Divided, Total: 100, FloorSlots: 2, Floor: 5, FloorDuration: simLease, SettleTime: 500 * time.Millisecond},
		{Name: "r", Kind: Rate, Total: 120, Burst: 24, FloorSlots: 2, Floor: 6, FloorDuration: 2 * simLease, Weights: map[string]float64{"n1": 3}},
		{Name: "u", Kind: InFlight, Total: 24, FloorSlots: 3, Floor: 2, FloorDuration: simLease, SettleTime: simLife},
	}}
	w.check.part.Window = 500 * time.Millisecond
	w.book, w.follower = NewAllocationTable(), NewAllocationTable()
	w.book.grantTwice, w.follower.grantTwice = twice, twice
	w.command(func(b *AllocationTable) { must(b.Configure(w.at(), w.config)) })
	return w
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// command applies one at both replicas, and looks whether a lowered whole binds now.
func (w *world) command(do func(b *AllocationTable)) {
	do(w.book)
	do(w.follower)
	w.check.bind(w)
}

func (p *proc) start() {
	p.number++
	p.inc, p.up, p.cut, p.frozen = p.number, true, false, 0
	p.rate, p.off = p.clock(), p.span(time.Hour)
	p.purse = NewAllowance()
	p.purse.fullBuckets = p.full
	p.purse.ExpectBudgets("p", "r", "u")
	p.purse.SetIncarnation(p.name, p.inc)
	p.r, p.u, p.p = p.purse.Bucket("r"), p.purse.Bucket("u"), p.purse.Bucket("p")
	inc := p.inc
	var tick, spend func()
	tick = p.whileUp(inc, func() {
		if own := p.own(); p.purse.NextRenewal(own) <= own {
			p.renew()
		}
		p.after(20*time.Millisecond+p.span(20*time.Millisecond), tick)
	})
	spend = p.whileUp(inc, func() {
		p.spend()
		p.after(p.span(time.Duration(float64(60*time.Millisecond)/(0.1+p.busy))), spend)
	})
	tick()
	spend()
}

// whileUp is do for as long as this incarnation is up; frozen, it is done when it resumes.
func (p *proc) whileUp(inc uint64, do func()) func() {
	var run func()
	run = func() {
		switch {
		case !p.up || p.inc != inc:
		case p.now < p.frozen:
			p.after(p.frozen-p.now, run)
		default:
			do()
		}
	}
	return run
}

// spend takes as greedily as it comes: several at once, at any instant.
func (p *proc) spend() {
	for range p.IntN(1 + int(20*p.busy)) {
		if !p.r.Take(p.own()) {
			break
		}
		p.faults["admitted"]++
		p.check.see(p.check.rate.Admit(p.now))
	}
	for range p.IntN(1 + int(8*p.busy)) {
		life := p.span(simLife)
		tap, purse, own := p.u, p.purse, p.own()
		if !tap.Begin(own, own+life) {
			break
		}
		p.check.see(p.check.under.Add(p.now, 1))
		really := time.Duration(float64(life) / p.rate)
		if p.chance(0.3) {
			really = p.span(really)
		}
		p.after(really, func() { // at its member, whatever became of the dispatcher
			p.check.see(p.check.under.Add(p.now, -1))
			p.after(max(p.frozen-p.now, 0), func() {
				if p.purse == purse {
					tap.End()
				}
			})
		})
	}
	p.p.SetDemand(p.using)
	if amount, ok := p.p.Amount(p.own()); ok && p.chance(0.5) {
		p.check.see(p.check.part.Use(p.now, p.inc, amount))
	}
}

func (p *proc) renew() {
	sent, inc, purse := p.own(), p.inc, p.purse
	r := purse.Renewal(sent)
	send := func(do func()) { // lost, late, twice, in any order
		times := 1
		if p.cut || p.chance(0.1) && !p.calm {
			p.faults["lost"]++
			times = 0
		} else if p.chance(0.1) {
			p.faults["twice"]++
			times = 2
		}
		for range times {
			late := p.span(20 * time.Millisecond)
			if p.chance(0.1) && !p.calm {
				late = p.span(2 * simLease)
			}
			p.after(late, do)
		}
	}
	send(func() {
		if p.stopped {
			return // no leader
		}
		var g Grant
		var err error
		p.command(func(b *AllocationTable) { g, err = b.Renew(p.at(), r) })
		if err == nil {
			send(p.whileUp(inc, func() { purse.Apply(sent, p.own(), g) }))
		}
	})
}

// happen is one thing that goes wrong, or is done.
func (w *world) happen() {
	p := w.procs[w.IntN(len(w.procs))]
	switch k := w.IntN(12); {
	case !p.up && k < 6:
		p.start()
	case k < 2 && p.up: // killed, and perhaps back before its lease's end
		w.faults["crashes"]++
		p.up = false
		w.after(w.span(2*simLease), func() {
			if !p.up {
				p.start()
			}
		})
	case k == 2 && p.up:
		w.faults["freezes"]++
		p.frozen = w.now + w.span(4*simLease)
	case k == 3 && p.up:
		w.faults["cuts"]++
		p.cut = !p.cut
	case k == 4 && p.up && w.now >= p.frozen && !w.stopped:
		w.faults["leaves"]++
		left, inc := p.purse.Close(p.own()), p.inc
		p.up = false
		w.after(w.span(50*time.Millisecond), func() {
			if !w.stopped {
				w.command(func(b *AllocationTable) { must(b.Leave(w.at(), p.name, inc, left)) })
			}
		})
	case k == 5 && !w.stopped: // fleet time stands until there is a leader
		w.faults["leaders"]++
		w.fleet, w.stopped = w.at(), true
		w.after(w.span(simLease), func() {
			w.since, w.rate, w.stopped = w.now, w.clock(), false
			text, err := w.book.Encode()
			must(err)
			w.follower, w.book = w.book, NewAllocationTable()
			must(w.book.Decode(text))
			w.book.grantTwice = w.twice
		})
	case k == 6 && !w.stopped:
		w.faults["configs"]++
		c := Config{Lease: simLease}
		for _, b := range w.config.Budgets {
			b.Total, b.Burst = float64(int(b.Total*(0.5+w.Float64()))), float64(int(b.Burst*(0.5+w.Float64())))
			c.Budgets = append(c.Budgets, b)
		}
		w.command(func(b *AllocationTable) { must(b.Configure(w.at(), c)) })
	default: // demand moves
		p.busy, p.using = w.Float64()*w.Float64()*3, 60*w.Float64()
	}
}

func (w *world) run(length time.Duration, procs int) *world {
	for i := range procs {
		p := &proc{world: w, name: fmt.Sprintf("n%d", i), busy: w.Float64(), using: 60 * w.Float64()}
		w.procs = append(w.procs, p)
		w.after(w.span(time.Second), p.start)
	}
	var chaos, advance func()
	every := 400 * time.Millisecond
	if w.IntN(20) == 0 { // all come and go some fifty times
		every /= 10
	}
	chaos = func() {
		w.happen()
		w.after(w.span(every), chaos)
	}
	advance = func() {
		if !w.stopped {
			w.command(func(b *AllocationTable) { b.Advance(w.at()) })
		}
		w.after(DivisionInterval, advance)
	}
	if w.IntN(40) > 0 {
		w.after(time.Second, chaos)
	} else { // a calm fleet that wants all there is, with clocks as fast as they come
		length, w.calm = 4*length, true
		w.after(time.Second, func() {
			for _, p := range w.procs {
				p.off, p.rate, p.busy = p.own()-time.Duration(1.025*float64(w.now)), 1.025, 4
			}
		})
	}
	advance()
	for w.events.Len() > 0 && w.check.wrong == "" {
		e := w.events.Pop()
		if e.at > length {
			break
		}
		w.now = e.at
		e.do()
	}
	if a, b := digest(w.book), digest(w.follower); a != b {
		w.check.see(fmt.Errorf("digests %x and %x", a, b))
	}
	return w
}

func digest(b *AllocationTable) uint64 {
	d, err := b.Digest()
	must(err)
	return d
}

// checker sees what was admitted, in true time and from outside. A lowered whole
// counts from when it binds.
type checker struct {
	wrong string
	whole [3]float64 // of p, r, u
	burst float64
	rate  budgetcheck.Rate
	under budgetcheck.InFlight
	part  budgetcheck.Divided
}

func (c *checker) see(err error) {
	if err != nil && c.wrong == "" {
		c.wrong = err.Error()
	}
}

func (c *checker) bind(w *world) {
	for i, s := range w.book.Status() {
		if s.Binding || s.Total > c.whole[i] {
			c.whole[i] = s.Total
		}
		if i == 1 && (s.Binding || s.Burst > c.burst) {
			c.burst = s.Burst
		}
	}
	c.part.Limit, c.under.Limit = c.whole[0], c.whole[2]
	c.rate.Set(w.now, c.whole[1], c.burst)
}

// simulate runs worlds until one is found wrong; it tells how many were.
func simulate(n int, full, twice bool) (wrong []string, all counts, under, parted float64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all = counts{}
	for first := range 4 {
		wg.Go(func() {
			for seed := first; seed < n; seed += 4 {
				w := newWorld(uint64(seed), full, twice).run(8*time.Second, 6)
				mu.Lock()
				for what, count := range w.faults {
					all[what] += count
				}
				under, parted = max(under, w.check.under.PeakFraction), max(parted, w.check.part.PeakFraction)
				if w.check.wrong != "" {
					wrong = append(wrong, fmt.Sprintf("seed %d %s", seed, w.check.wrong))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return wrong, all, under, parted
}

// TestNeverOver: whatever goes wrong, no window holds more than the whole, and a
// planted double spend is seen.
func TestNeverOver(t *testing.T) {
	wrong, all, under, parted := simulate(*seeds, faultFullBucket, faultGrantTwice)
	t.Logf("%v; at most %.2f under way, %.2f parted", all, under, parted)
	require.Empty(t, wrong)
	require.Greater(t, under, 0.9, "the check would see little")
	require.Greater(t, parted, 0.9, "the check would see little")
	for name, bugs := range map[string][2]bool{"full": {true, false}, "twice": {false, true}} {
		wrong, _, _, _ := simulate(60, bugs[0], bugs[1])
		require.NotEmpty(t, wrong, name)
		t.Logf("%s: %d of 60, %v", name, len(wrong), wrong[0])
	}
}
