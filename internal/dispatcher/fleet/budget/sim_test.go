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

var seeds = flag.Int("seeds", 1500, "number of seeds of the simulation")

// simulation runs processes, two replicas and an unreliable network in virtual real time.
type simulation struct {
	*rand.Rand
	now   time.Duration
	queue indexedheap.Heap[*event]
	order int

	leader, follower *AllocationTable
	fleetAtStart     time.Duration // fleet time when the leader began
	leaderStart      time.Duration // real time then
	leaderRate       float64       // of the leader's clock
	leaderless, calm bool
	config           Config
	incarnations     uint64 // number of incarnations so far
	processes        []*process
	events           counts

	fullBucketFault, grantTwiceFault bool // the injected faults
	check                            checker
}

// counts are the numbers of injected faults and other events, by name.
type counts map[string]int

type event struct {
	at    time.Duration
	order int
	do    func()
}

// process is a process that is started again and again, each time with a new incarnation.
type process struct {
	*simulation
	name            string
	incarnation     uint64
	allowance       *Allowance
	rate            float64       // of its clock
	clockOffset     time.Duration // of its clock
	up, partitioned bool          // partitioned: without contact to the fleet
	frozenUntil     time.Duration
	r, u, p         *TokenBucket // of the budgets with these names
	load, wanted    float64      // load: of jobs, without a unit; wanted: of budget p
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.order++
	sim.queue.Push(&event{sim.now + max(d, 0), sim.order, do})
}

func (sim *simulation) span(m time.Duration) time.Duration {
	return time.Duration(sim.Float64() * float64(m))
}
func (sim *simulation) chance(p float64) bool    { return sim.Float64() < p }
func (sim *simulation) randomClockRate() float64 { return 0.975 + 0.05*sim.Float64() }

// at returns the fleet time.
func (sim *simulation) at() time.Duration {
	return sim.fleetAtStart + time.Duration(sim.leaderRate*float64(sim.now-sim.leaderStart))
}

// ownTime returns the time of the process's own clock.
func (p *process) ownTime() time.Duration {
	return p.clockOffset + time.Duration(p.rate*float64(p.now))
}

const simLease, simJobTime = 900 * time.Millisecond, 700 * time.Millisecond

func newSimulation(seed uint64, fullBucketFault, grantTwiceFault bool) *simulation {
	sim := &simulation{Rand: rand.New(rand.NewPCG(seed, 7)), leaderRate: 1, fullBucketFault: fullBucketFault, grantTwiceFault: grantTwiceFault, events: counts{}}
	sim.queue = indexedheap.New(func(a, b *event) bool { return a.at < b.at || a.at == b.at && a.order < b.order }, nil)
	sim.config = Config{Lease: simLease, Budgets: []Budget{
		{Name: "p", Kind: Divided, Total: 100, FloorSlots: 2, Floor: 5, FloorDuration: simLease, SettleTime: 500 * time.Millisecond},
		{Name: "r", Kind: Rate, Total: 120, Burst: 24, FloorSlots: 2, Floor: 6, FloorDuration: 2 * simLease, Weights: map[string]float64{"n1": 3}},
		{Name: "u", Kind: InFlight, Total: 24, FloorSlots: 3, Floor: 2, FloorDuration: simLease, SettleTime: simJobTime},
	}}
	sim.check.divided.Window = 500 * time.Millisecond
	sim.leader, sim.follower = NewAllocationTable(), NewAllocationTable()
	sim.leader.grantTwice, sim.follower.grantTwice = grantTwiceFault, grantTwiceFault
	sim.command(func(b *AllocationTable) { must(b.Configure(sim.at(), sim.config)) })
	return sim
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// command applies a command at both replicas, and updates the checker's limits.
func (sim *simulation) command(do func(b *AllocationTable)) {
	do(sim.leader)
	do(sim.follower)
	sim.check.updateLimits(sim)
}

func (p *process) start() {
	p.incarnations++
	p.incarnation, p.up, p.partitioned, p.frozenUntil = p.incarnations, true, false, 0
	p.rate, p.clockOffset = p.randomClockRate(), p.span(time.Hour)
	p.allowance = NewAllowance()
	p.allowance.fullBuckets = p.fullBucketFault
	p.allowance.ExpectBudgets("p", "r", "u")
	p.allowance.SetIncarnation(p.name, p.incarnation)
	p.r, p.u, p.p = p.allowance.Bucket("r"), p.allowance.Bucket("u"), p.allowance.Bucket("p")
	incarnation := p.incarnation
	var tick, use func()
	tick = p.whileUp(incarnation, func() {
		if ownTime := p.ownTime(); p.allowance.NextRenewal(ownTime) <= ownTime {
			p.renew()
		}
		p.after(20*time.Millisecond+p.span(20*time.Millisecond), tick)
	})
	use = p.whileUp(incarnation, func() {
		p.use()
		p.after(p.span(time.Duration(float64(60*time.Millisecond)/(0.1+p.load))), use)
	})
	tick()
	use()
}

// whileUp returns a function that runs do if this incarnation is up. While the process is
// frozen, do is delayed until it resumes.
func (p *process) whileUp(incarnation uint64, do func()) func() {
	var run func()
	run = func() {
		switch {
		case !p.up || p.incarnation != incarnation:
		case p.now < p.frozenUntil:
			p.after(p.frozenUntil-p.now, run)
		default:
			do()
		}
	}
	return run
}

// use takes as much as the load wants: several jobs at once, at any instant.
func (p *process) use() {
	for range p.IntN(1 + int(20*p.load)) {
		if !p.r.Take(p.ownTime()) {
			break
		}
		p.events["admitted"]++
		p.check.report(p.check.rate.Admit(p.now))
	}
	for range p.IntN(1 + int(8*p.load)) {
		duration := p.span(simJobTime)
		bucket, allowance, ownTime := p.u, p.allowance, p.ownTime()
		if !bucket.Begin(ownTime, ownTime+duration) {
			break
		}
		p.check.report(p.check.inFlight.Add(p.now, 1))
		elapsed := time.Duration(float64(duration) / p.rate)
		if p.chance(0.3) {
			elapsed = p.span(elapsed)
		}
		p.after(elapsed, func() { // the member runs the job to its end even if the dispatcher fails
			p.check.report(p.check.inFlight.Add(p.now, -1))
			p.after(max(p.frozenUntil-p.now, 0), func() {
				if p.allowance == allowance {
					bucket.End()
				}
			})
		})
	}
	p.p.SetDemand(p.wanted)
	if amount, ok := p.p.Amount(p.ownTime()); ok && p.chance(0.5) {
		p.check.report(p.check.divided.Use(p.now, p.incarnation, amount))
	}
}

func (p *process) renew() {
	sent, incarnation, allowance := p.ownTime(), p.incarnation, p.allowance
	r := allowance.Renewal(sent)
	send := func(deliver func()) { // the message may be lost, delayed, duplicated or reordered
		copies := 1
		if p.partitioned || p.chance(0.1) && !p.calm {
			p.events["lost"]++
			copies = 0
		} else if p.chance(0.1) {
			p.events["twice"]++
			copies = 2
		}
		for range copies {
			delay := p.span(20 * time.Millisecond)
			if p.chance(0.1) && !p.calm {
				delay = p.span(2 * simLease)
			}
			p.after(delay, deliver)
		}
	}
	send(func() {
		if p.leaderless {
			return
		}
		var g Grant
		var err error
		p.command(func(b *AllocationTable) { g, err = b.Renew(p.at(), r) })
		if err == nil {
			send(p.whileUp(incarnation, func() { allowance.Apply(sent, p.ownTime(), g) }))
		}
	})
}

// randomEvent injects a fault, starts or shuts down a process, or changes the configuration
// or the demand.
func (sim *simulation) randomEvent() {
	p := sim.processes[sim.IntN(len(sim.processes))]
	switch k := sim.IntN(12); {
	case !p.up && k < 6:
		p.start()
	case k < 2 && p.up: // killed, and possibly started again before its lease expires
		sim.events["crashes"]++
		p.up = false
		sim.after(sim.span(2*simLease), func() {
			if !p.up {
				p.start()
			}
		})
	case k == 2 && p.up:
		sim.events["freezes"]++
		p.frozenUntil = sim.now + sim.span(4*simLease)
	case k == 3 && p.up:
		sim.events["cuts"]++
		p.partitioned = !p.partitioned
	case k == 4 && p.up && sim.now >= p.frozenUntil && !sim.leaderless:
		sim.events["leaves"]++
		departing, incarnation := p.allowance.Close(p.ownTime()), p.incarnation
		p.up = false
		sim.after(sim.span(50*time.Millisecond), func() {
			if !sim.leaderless {
				sim.command(func(b *AllocationTable) { must(b.Leave(sim.at(), p.name, incarnation, departing)) })
			}
		})
	case k == 5 && !sim.leaderless: // fleet time stands still until there is a leader
		sim.events["leaders"]++
		sim.fleetAtStart, sim.leaderless = sim.at(), true
		sim.after(sim.span(simLease), func() {
			sim.leaderStart, sim.leaderRate, sim.leaderless = sim.now, sim.randomClockRate(), false
			text, err := sim.leader.Encode()
			must(err)
			sim.follower, sim.leader = sim.leader, NewAllocationTable()
			must(sim.leader.Decode(text))
			sim.leader.grantTwice = sim.grantTwiceFault
		})
	case k == 6 && !sim.leaderless:
		sim.events["configs"]++
		c := Config{Lease: simLease}
		for _, b := range sim.config.Budgets {
			b.Total, b.Burst = float64(int(b.Total*(0.5+sim.Float64()))), float64(int(b.Burst*(0.5+sim.Float64())))
			c.Budgets = append(c.Budgets, b)
		}
		sim.command(func(b *AllocationTable) { must(b.Configure(sim.at(), c)) })
	default: // the demand changes
		p.load, p.wanted = sim.Float64()*sim.Float64()*3, 60*sim.Float64()
	}
}

func (sim *simulation) run(length time.Duration, processes int) *simulation {
	for i := range processes {
		p := &process{simulation: sim, name: fmt.Sprintf("n%d", i), load: sim.Float64(), wanted: 60 * sim.Float64()}
		sim.processes = append(sim.processes, p)
		sim.after(sim.span(time.Second), p.start)
	}
	var inject, advance func()
	interval := 400 * time.Millisecond
	if sim.IntN(20) == 0 { // each process starts and ends about fifty times
		interval /= 10
	}
	inject = func() {
		sim.randomEvent()
		sim.after(sim.span(interval), inject)
	}
	advance = func() {
		if !sim.leaderless {
			sim.command(func(b *AllocationTable) { b.Advance(sim.at()) })
		}
		sim.after(DivisionInterval, advance)
	}
	if sim.IntN(40) > 0 {
		sim.after(time.Second, inject)
	} else { // a fleet without faults, with demand above the totals and the fastest clocks
		length, sim.calm = 4*length, true
		sim.after(time.Second, func() {
			for _, p := range sim.processes {
				p.clockOffset, p.rate, p.load = p.ownTime()-time.Duration(1.025*float64(sim.now)), 1.025, 4
			}
		})
	}
	advance()
	for sim.queue.Len() > 0 && sim.check.wrong == "" {
		e := sim.queue.Pop()
		if e.at > length {
			break
		}
		sim.now = e.at
		e.do()
	}
	if a, b := digest(sim.leader), digest(sim.follower); a != b {
		sim.check.report(fmt.Errorf("digests %x and %x", a, b))
	}
	return sim
}

func digest(b *AllocationTable) uint64 {
	d, err := b.Digest()
	must(err)
	return d
}

// checker checks what was admitted, in real time and independently of the tables. A lowered
// total counts from when it is in force.
type checker struct {
	wrong    string     // the first violation
	totals   [3]float64 // of p, r, u
	burst    float64
	rate     budgetcheck.Rate
	inFlight budgetcheck.InFlight
	divided  budgetcheck.Divided
}

func (c *checker) report(err error) {
	if err != nil && c.wrong == "" {
		c.wrong = err.Error()
	}
}

func (c *checker) updateLimits(sim *simulation) {
	for i, s := range sim.leader.Status() {
		if s.Binding || s.Total > c.totals[i] {
			c.totals[i] = s.Total
		}
		if i == 1 && (s.Binding || s.Burst > c.burst) {
			c.burst = s.Burst
		}
	}
	c.divided.Limit, c.inFlight.Limit = c.totals[0], c.totals[2]
	c.rate.Set(sim.now, c.totals[1], c.burst)
}

// simulate runs the simulation with n seeds. It returns the violations that were found, the
// sums of the event counts, and the greatest fractions of the limits that were in use.
func simulate(n int, fullBucketFault, grantTwiceFault bool) (wrong []string, totals counts, inFlight, peakDivided float64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	totals = counts{}
	for first := range 4 {
		wg.Go(func() {
			for seed := first; seed < n; seed += 4 {
				sim := newSimulation(uint64(seed), fullBucketFault, grantTwiceFault).run(8*time.Second, 6)
				mu.Lock()
				for name, count := range sim.events {
					totals[name] += count
				}
				inFlight, peakDivided = max(inFlight, sim.check.inFlight.PeakFraction), max(peakDivided, sim.check.divided.PeakFraction)
				if sim.check.wrong != "" {
					wrong = append(wrong, fmt.Sprintf("seed %d %s", seed, sim.check.wrong))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return wrong, totals, inFlight, peakDivided
}

// TestNeverOver checks that no fault makes the processes together exceed a total in any
// window, and that the checker finds each injected fault.
func TestNeverOver(t *testing.T) {
	wrong, events, inFlight, peakDivided := simulate(*seeds, faultFullBucket, faultGrantTwice)
	t.Logf("%v; at most %.2f of the limit in flight, %.2f of the divided total in use", events, inFlight, peakDivided)
	require.Empty(t, wrong)
	require.Greater(t, inFlight, 0.9, "load too low for the check")
	require.Greater(t, peakDivided, 0.9, "load too low for the check")
	for name, faults := range map[string][2]bool{"full": {true, false}, "twice": {false, true}} {
		wrong, _, _, _ := simulate(60, faults[0], faults[1])
		require.NotEmpty(t, wrong, name)
		t.Logf("%s: %d of 60, %v", name, len(wrong), wrong[0])
	}
}
