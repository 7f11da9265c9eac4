package simworld_test

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
)

// deployment are a deployment's figures, as far as the control side goes by them.
type deployment struct {
	nodes           int // machines with a disk
	toleratedLosses int // of them that may be lost at once
	seeds           int
	applyWithin     time.Duration // config_apply_ms
	catchUp         time.Duration // catchup_s
	recovery        time.Duration // recovery_s
	cancel          time.Duration // cancel_ms
	syncTime        time.Duration // of a disk
}

// deployments are the four that are given, as far as their control sides differ, and two
// that are made up.
var deployments = []deployment{
	{nodes: 3, toleratedLosses: 1, seeds: 3, applyWithin: 2 * time.Second, catchUp: 4 * time.Second, recovery: 12 * time.Second, cancel: 3 * time.Second, syncTime: 4 * time.Millisecond},
	{nodes: 3, toleratedLosses: 1, seeds: 3, applyWithin: 2 * time.Second, catchUp: 4 * time.Second, recovery: 12 * time.Second, cancel: 3 * time.Second, syncTime: 9 * time.Millisecond},
	{nodes: 5, toleratedLosses: 2, seeds: 3, applyWithin: 2500 * time.Millisecond, catchUp: 6 * time.Second, recovery: 15 * time.Second, cancel: 4 * time.Second, syncTime: 4 * time.Millisecond},
	{nodes: 4, toleratedLosses: 1, seeds: 3, applyWithin: 1200 * time.Millisecond, catchUp: 4 * time.Second, recovery: 12 * time.Second, cancel: 3 * time.Second, syncTime: 15 * time.Millisecond},
}

// timing is that of all groups, as in service.
var timing = replica.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: 420 * time.Millisecond, MinElectionTimeout: 520 * time.Millisecond, ElectionJitter: 260 * time.Millisecond}

// event is something that happens at a time, to a process if it names one.
type event struct {
	at          time.Duration
	number      uint64 // events of one time happen in the order of their making
	process     *process
	incarnation int
	do          func()
}

type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(a, b int) bool {
	if e[a].at != e[b].at {
		return e[a].at < e[b].at
	}
	return e[a].number < e[b].number
}
func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return x
}

// world is everything.
type world struct {
	t              testing.TB
	seed           uint64
	deployment     deployment
	random         *rand.Rand
	now            time.Duration
	queue          eventQueue
	number         uint64
	processes      map[string]*process
	nodes          []*controlNode
	dispatchers    []*dispatcher
	runners        []*runner
	partitioned    map[[2]string]bool // from, to
	lossShare      float64            // of messages
	lateShare      float64            // share of messages that are late by up to seconds
	freezeChance   float64            // chance of a freeze at a reading of a clock
	lostOrderShare float64            // share of orders to runners that get no answer and are carried out late
	freezeDepth    int                // freezes within freezes
	planted        plantedFault
	tracing        bool
	noNewLoad      bool
	log            *slog.Logger

	config     configHistory
	jobs       map[string]*jobHistory
	jobIDs     []string
	leases     map[string]map[string]group.Lease // by group and process
	tokenUsers map[string]string                 // who used a token, by group
	serial     int
	nodesMade  int // machines of the core so far
	lastStamp  int64
	recorder   recorder
}

func newWorld(t testing.TB, seed uint64, b deployment) *world {
	w := &world{
		t: t, seed: seed, deployment: b, random: rand.New(rand.NewPCG(seed, 41)), now: time.Hour, processes: map[string]*process{},
		partitioned: map[[2]string]bool{}, jobs: map[string]*jobHistory{}, leases: map[string]map[string]group.Lease{}, tokenUsers: map[string]string{},
		log: slog.New(slog.DiscardHandler),
	}
	for n := range b.nodes {
		w.addNode(fmt.Sprintf("core-%d", n))
	}
	for n := range 2 {
		w.addDispatcher(fmt.Sprintf("edge-%d", n))
	}
	for _, service := range twoServices {
		for n := range 2 {
			w.addRunner(fmt.Sprintf("runner-%s-%d", service, n), service)
		}
	}
	w.tickRunners()
	return w
}

// fail ends the play: a check does not hold.
func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now-time.Hour, fmt.Sprintf(format, args...))
}

func (w *world) tracef(format string, args ...any) {
	if w.tracing {
		w.t.Logf("%v %s", w.now-time.Hour, fmt.Sprintf(format, args...))
	}
}

func (w *world) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// schedule lets something happen after a while; it belongs to no process.
func (w *world) schedule(in time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, &event{at: w.now + in, number: w.number, do: do})
}

// processKilled unwinds the stack of a process that was killed while it was frozen.
type processKilled struct{}

// runUntil lets time pass.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(*event)
		w.now = max(w.now, next.at)
		w.execute(next)
	}
	w.now = max(w.now, end)
}

func (w *world) run(span time.Duration) { w.runUntil(w.now + span) }

func (w *world) execute(e *event) {
	p := e.process
	if p == nil {
		e.do()
		return
	}
	if !p.up || p.incarnation != e.incarnation {
		return
	}
	if p.frozen > 0 {
		p.deferred = append(p.deferred, e)
		return
	}
	p.runUnlessKilled(e.do)
}

// process is a running program on a machine of its own, with the machine's clocks.
type process struct {
	w           *world
	name        string
	up          bool
	removed     bool // for good
	incarnation int
	frozen      int // freezes that it is in
	thawsForced int // how often its freezes were ended before their time
	deferred    []*event
	clockRate   float64 // of its steady clock
	clockOffset time.Duration
	wallStep    time.Duration
	start       func()
}

func (w *world) addProcess(name string) *process {
	p := &process{w: w, name: name, clockRate: 0.99 + 0.02*w.random.Float64(), clockOffset: w.randomBetween(0, time.Minute)}
	w.processes[name] = p
	return p
}

// runUnlessKilled runs a function of the process. It may end in the middle, if the process is killed
// while it is frozen there.
func (p *process) runUnlessKilled(do func()) {
	defer func() {
		if r := recover(); r != nil {
			if _, dead := r.(processKilled); !dead {
				panic(r)
			}
		}
	}()
	do()
}

// after lets something happen in this life of the process.
func (p *process) after(in time.Duration, do func()) {
	p.w.number++
	heap.Push(&p.w.queue, &event{at: p.w.now + max(0, in), number: p.w.number, process: p, incarnation: p.incarnation, do: do})
}

// clock reads the machine's steady clock, without a freeze.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.w.now)*p.clockRate)
}

// delayUntil returns how long it is in the world's time until the machine's clock shows a time.
func (p *process) delayUntil(local time.Duration) time.Duration {
	return time.Duration(float64(local-p.clock())/p.clockRate) + time.Microsecond
}

// readClock reads the machine's steady clock. The process may be frozen there.
func (p *process) readClock() time.Duration {
	w := p.w
	if w.freezeDepth < 2 && w.chance(w.freezeChance) {
		w.freezeInside(p, w.randomBetween(time.Millisecond, 3*time.Second))
	}
	return p.clock()
}

func (p *process) wallMs() int64 {
	return 1_700_000_000_000 + (p.w.now - time.Hour + p.wallStep).Milliseconds()
}

// freezeInside freezes the process in the middle of what it does, and lets the world go on.
func (w *world) freezeInside(p *process, span time.Duration) {
	life := p.incarnation
	w.tracef("%s is frozen for %v in the middle of what it does", p.name, span)
	p.frozen++
	w.freezeDepth++
	w.runUntil(w.now + span)
	w.freezeDepth--
	if p.incarnation != life || !p.up {
		panic(processKilled{})
	}
	p.thaw()
}

// thaw ends one freeze; what arrived meanwhile happens next.
func (p *process) thaw() {
	p.frozen--
	if p.frozen > 0 {
		return
	}
	waiting := p.deferred
	p.deferred = nil
	for _, e := range waiting {
		p.after(0, e.do)
	}
}

// freeze freezes a process between two of its steps.
func (w *world) freeze(p *process, span time.Duration) {
	if !p.up {
		return
	}
	life, healed := p.incarnation, p.thawsForced
	w.tracef("%s is frozen for %v", p.name, span)
	p.frozen++
	w.schedule(span, func() {
		if p.up && p.incarnation == life && p.thawsForced == healed {
			p.thaw()
		}
	})
}

// endFreezes ends all freezes between two of its steps at once.
func (p *process) endFreezes() {
	p.thawsForced++
	for p.up && p.frozen > 0 {
		p.thaw()
	}
}

// boot starts a process's next life.
func (p *process) boot() {
	if p.up || p.removed {
		return
	}
	p.w.tracef("%s starts", p.name)
	p.up, p.incarnation, p.frozen, p.deferred = true, p.incarnation+1, 0, nil
	p.runUnlessKilled(p.start)
}

// stop ends the process's life at once.
func (p *process) stop() {
	p.up, p.frozen, p.deferred = false, 0, nil
	for _, held := range p.w.leases {
		delete(held, p.name)
	}
}

// deliver brings something from one machine to another: it is lost on a cut link, and now and
// then late. What is carried happens in the life of the receiver that is there then.
func (w *world) deliver(from, to string, do func()) {
	if w.partitioned[[2]string{from, to}] || w.chance(w.lossShare) {
		return
	}
	way := w.randomBetween(time.Millisecond, 4*time.Millisecond)
	if w.chance(w.lateShare) {
		way += w.randomBetween(0, 4*time.Second)
	}
	w.schedule(way, func() {
		p := w.processes[to]
		if w.partitioned[[2]string{from, to}] || p == nil || !p.up {
			return
		}
		w.execute(&event{process: p, incarnation: p.incarnation, do: do})
	})
}

// call carries a question to another process and the answer back. done is called once in
// this life of the caller; false: there was no answer in time.
func (p *process) call(to string, within time.Duration, ask func(reply func(any)), done func(answer any, ok bool)) {
	over := false
	finish := func(answer any, ok bool) {
		if !over {
			over = true
			done(answer, ok)
		}
	}
	w, life := p.w, p.incarnation
	w.deliver(p.name, to, func() {
		ask(func(answer any) {
			w.deliver(to, p.name, func() {
				if p.incarnation == life {
					finish(answer, true)
				}
			})
		})
	})
	p.after(within, func() { finish(nil, false) })
}
