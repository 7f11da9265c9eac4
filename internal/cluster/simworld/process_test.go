package simworld_test

import (
	"container/heap"
	"time"
)

// processKilled is the panic that unwinds the stack of a process that was killed while frozen in
// the middle of a function.
type processKilled struct{}

// process is a program on a machine of its own, with the machine's clocks.
type process struct {
	w           *world
	name        string
	up          bool
	removed     bool // it is never started again
	incarnation int
	frozen      int // freezes that have not ended
	thawsForced int // how often endFreezes was called
	deferred    []*event
	clockRate   float64 // of its monotonic clock, relative to the world's time
	clockOffset time.Duration
	wallStep    time.Duration
	start       func()
}

func (w *world) addProcess(name string) *process {
	p := &process{w: w, name: name, clockRate: 0.99 + float64(0.02*w.random.Float64()), clockOffset: w.randomBetween(0, time.Minute)}
	w.processes[name] = p
	return p
}

// runUnlessKilled calls a function of the process. If the process is killed while it is frozen in the
// middle of the function, the function does not continue.
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

// after schedules a function call after a delay, in this incarnation of the process only.
func (p *process) after(in time.Duration, do func()) {
	p.w.number++
	heap.Push(&p.w.queue, &event{at: p.w.now + max(0, in), number: p.w.number, process: p, incarnation: p.incarnation, do: do})
}

// clock returns the machine's monotonic clock. The process never freezes in this call.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.w.now)*p.clockRate)
}

// delayUntil returns the delay, in the world's time, until the machine's clock reaches a time.
func (p *process) delayUntil(local time.Duration) time.Duration {
	return time.Duration(float64(local-p.clock())/p.clockRate) + time.Microsecond
}

// readClock returns the machine's monotonic clock. The process may freeze in this call.
func (p *process) readClock() time.Duration {
	w := p.w
	if w.freezeDepth < 2 && w.chance(w.freezeChance) {
		w.freezeInside(p, w.randomBetween(time.Millisecond, 3*time.Second))
	}
	return p.clock()
}

// wallMs returns the machine's wall clock in milliseconds since 1970.
func (p *process) wallMs() int64 {
	return 1_700_000_000_000 + (p.w.now - time.Hour + p.wallStep).Milliseconds()
}

// freezeInside freezes the process in the middle of a function, while all others continue.
func (w *world) freezeInside(p *process, span time.Duration) {
	incarnation := p.incarnation
	w.tracef("%s is frozen for %v in the middle of a function", p.name, span)
	p.frozen++
	w.freezeDepth++
	w.runUntil(w.now + span)
	w.freezeDepth--
	if p.incarnation != incarnation || !p.up {
		panic(processKilled{})
	}
	p.thaw()
}

// thaw ends one freeze. If it was the last one, the deferred events are executed next.
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

// freeze freezes a process between two events.
func (w *world) freeze(p *process, span time.Duration) {
	if !p.up {
		return
	}
	incarnation, thawsForced := p.incarnation, p.thawsForced
	w.tracef("%s is frozen for %v", p.name, span)
	p.frozen++
	w.schedule(span, func() {
		if p.up && p.incarnation == incarnation && p.thawsForced == thawsForced {
			p.thaw()
		}
	})
}

// endFreezes ends all freezes of the process at once.
func (p *process) endFreezes() {
	p.thawsForced++
	for p.up && p.frozen > 0 {
		p.thaw()
	}
}

// boot starts the process's next incarnation, unless it is up or removed.
func (p *process) boot() {
	if p.up || p.removed {
		return
	}
	p.w.tracef("%s starts", p.name)
	p.up, p.incarnation, p.frozen, p.deferred = true, p.incarnation+1, 0, nil
	p.runUnlessKilled(p.start)
}

// stop ends the process's incarnation at once.
func (p *process) stop() {
	p.up, p.frozen, p.deferred = false, 0, nil
	for _, holders := range p.w.leases {
		delete(holders, p.name)
	}
}
